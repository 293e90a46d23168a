"""Loads inferred from message latency, for servers that report nothing.

A message waits behind the work that has piled up, and for each time a server's capacity that is asked of it
beyond the first, a second of work piles up each second. So a message's latency is the backlog itself, and its
slope tells the load: the bottleneck model of TCP BBR (Cardwell et al., 2016), with the lesson of CoDel
(Nichols and Jacobson, 2012) that a queue which stands is what does harm. Load that is not this node's own is
the other nodes'. The longer a server stays quiet, the less the other nodes are believed to ask of it: slowly
at first, then fast, as CUBIC probes (Ha, Rhee and Xu, 2008).

Readings only: the balancer decides. Unless said otherwise, loads and capacities are microseconds of work a
second. docs/design/load-inference.md compares the alternatives.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import Settings

# Shares of a server's capacity
QUOTA_SHARE_OF_CAPACITY = 0.82  #: the tenants' quotas together are about this share of the fleet's capacity
MAX_UNDELAYED_LOAD = 0.85  #: a server whose messages are not slow has at most this load
TARGET_LOAD = 0.9  #: at most this load is asked of a server
MIN_RETAINED_LOAD = 0.7  #: at least this load stays at a server with a backlog: what leaves crowds the others
ADMISSION_MARGIN = 0.1  #: a server with a backlog admits nothing within this margin below the load that stays
MIN_SLOPE_LOAD = 0.4  #: lower bound of a load read from a slope
MAX_SLOPE_LOAD = 3.0  #: upper bound of a load read from a slope
MIN_RESET_LOAD = 1.2  #: a server that breaks off established connections has at least this load
MAX_GUESSED_LOAD = 1.0  #: a server above this load is drawn last where loads are only guessed

# Times
BACKLOG_DRAIN_US = SECOND  #: time in which a backlog is to be worked off
#: While messages are slow, a sample comes once a second: a server silent for this long has no slow messages.
SAMPLE_SILENCE_US = 3 * SECOND // 2
MIN_SLOPE_INTERVAL_US = 7 * SECOND // 10  #: between two samples that give a slope
MAX_SLOPE_INTERVAL_US = 3 * SECOND
RESET_PAIR_INTERVAL_US = SECOND  #: two resets within this time are no chance
NODE_LOAD_INTERVAL_US = SECOND // 4  #: between two sums over all of this node's connections
ROOM_SHARING_US = 4 * SECOND  #: quiet time after which the nodes no longer divide a server's room among them

# How the load that other nodes ask of a quiet server decays
DECAY_PER_SECOND = 0.04  #: share lost each second
DECAY_SECONDS = 6  #: time after which none is left

# Means
COSTLY_FACTOR = 4  #: a connection with more than so many times its class's mean load is costly
MAX_COSTLY_KEYS = 1024  #: number of clients' keys whose costly connections are remembered
MAX_CLASS_SAMPLES = 200  #: number of connections that a class's mean load is taken over
MAX_SAMPLES = 400  #: number of connections that the mean load of all classes is taken over


class ClassMean(NamedTuple):
    """The mean load of one class's connections."""

    load: float
    samples: int


NO_SAMPLES = ClassMean(0.0, 0)


class InferredLoads(ReportedLoads):
    """Loads that one node infers from its own connections and their messages."""

    def __init__(self, settings: Settings, report_interval_us: int) -> None:
        super().__init__(settings, report_interval_us)
        self.max_load = math.inf  # no server counts as full before a message's latency shows its load
        self.has_load_data = False  # until a message's latency is known
        self._node_count = max(settings.node_count, 1)
        self._counts_groups = settings.has_groups
        objectives_us = [traffic_class.message_objective_us for traffic_class in settings.classes]
        self._min_objective_us = min(objectives_us, default=SECOND)
        self._class_means = dict[int, ClassMean]()
        self._mean_load = 0.0
        self._load_samples = 0
        self._costly_keys = dict[int, float]()  # load by client's key, the latest last
        quotas = [quota for quota in settings.tenant_quotas if 0 < quota < math.inf]
        # connections of the mean load that the fleet can hold
        self._fleet_connections = sum(quotas) / QUOTA_SHARE_OF_CAPACITY
        self._fleet_weight = 0.0  # size of the fleet that the tenants' quotas were made for
        self._ready_servers: Sequence[Server] = ()
        self._node_load = 0.0  # of all this node's connections
        self._node_load_at_us = -SECOND

    # Records of events

    def on_server_state_change(
        self, server: Server, ready_servers: Sequence[Server], ready_weight: float, now_us: int
    ) -> None:
        """Note the ready servers; the largest fleet ever listed is the one that the quotas were made for.

        `ready_servers` is kept: the caller may change it in place. `ready_weight`: of all of them together.
        """
        self._ready_servers = ready_servers
        self._fleet_weight = max(self._fleet_weight, ready_weight)

    def record_connection_load(self, connection: Connection, load: float) -> None:
        """Record the load that a connection has reported."""
        class_mean = self._class_means.get(connection.traffic_class_index, NO_SAMPLES)
        if connection.client_key:
            is_above_mean = class_mean.samples > 0 and load > COSTLY_FACTOR * class_mean.load
            if is_above_mean or connection.client_key in self._costly_keys:
                self._remember_costly_key(connection.client_key, load)
        is_first_report = not connection.load_us_per_second
        if is_first_report:
            self._update_means(connection.traffic_class_index, class_mean, load)
        connection.load_us_per_second = load

    def _remember_costly_key(self, key: int, load: float) -> None:
        self._costly_keys.pop(key, None)
        self._costly_keys[key] = load
        if len(self._costly_keys) > MAX_COSTLY_KEYS:
            oldest_key = next(iter(self._costly_keys))
            del self._costly_keys[oldest_key]

    def _update_means(self, kind: int, class_mean: ClassMean, load: float) -> None:
        class_samples = min(class_mean.samples + 1, MAX_CLASS_SAMPLES)
        class_load = class_mean.load + (load - class_mean.load) / class_samples
        self._class_means[kind] = ClassMean(class_load, class_samples)
        self._load_samples = min(self._load_samples + 1, MAX_SAMPLES)
        self._mean_load += (load - self._mean_load) / self._load_samples

    def record_message_latency(self, server: Server, latency_us: float, now_us: int) -> float:
        """Record how long a message took at a server; return the load of this node's that has to leave it."""
        previous_latency_us, previous_at_us = server.latency_sample
        server.latency_sample_at_us = now_us
        self.has_load_data = True
        elapsed_us = now_us - previous_at_us
        if elapsed_us < MIN_SLOPE_INTERVAL_US:
            return 0.0
        own_load = self.own_load(server)
        server.latency_sample = (latency_us, now_us)
        is_slow = latency_us > self._min_objective_us
        # A backlog cannot be less than nothing, so a latency that falls below the objective tells no load.
        has_slope = elapsed_us <= MAX_SLOPE_INTERVAL_US and (is_slow or latency_us > previous_latency_us)
        if not has_slope:
            server.load_at_latency_sample = own_load
            return 0.0
        slope = (latency_us - previous_latency_us) / elapsed_us
        relative_load = min(max(1 + slope, MIN_SLOPE_LOAD), MAX_SLOPE_LOAD)
        self._record_relative_load(server, relative_load, own_load, now_us)
        server.load_at_latency_sample = own_load
        if not is_slow:
            return 0.0
        return max(own_load * (1 - self.permitted_load(latency_us) / relative_load), 0.0)

    def _record_relative_load(
        self, server: Server, relative_load: float, own_load: float, now_us: int
    ) -> None:
        """Derive the server's least capacity and the other nodes' load from a share of its capacity."""
        mean_own_load = (own_load + server.load_at_latency_sample) / 2
        server.min_capacity = max(server.min_capacity, mean_own_load / relative_load)
        others_load = max(self.capacity(server, now_us) * relative_load - mean_own_load, 0.0)
        server.other_nodes_load = (
            (server.other_nodes_load + others_load) / 2 if server.other_nodes_load else others_load
        )

    def record_reset(self, server: Server, now_us: int) -> None:
        """Record that a server has broken off an established connection, as some do under a backlog."""
        is_second = now_us - server.reset_at_us < RESET_PAIR_INTERVAL_US
        server.reset_at_us = now_us
        if not is_second or not self._mean_load:
            return
        server.latency_sample = (BACKLOG_DRAIN_US, now_us)
        server.latency_sample_at_us = now_us
        others_load = MIN_RESET_LOAD * self.capacity(server, now_us) - self.own_load(server)
        server.other_nodes_load = max(server.other_nodes_load, others_load)
        self.remember_own_load(server)

    def remember_own_load(self, server: Server) -> None:
        """Take this node's load at a server for the next slope as it is now, after some of it has left."""
        server.load_at_latency_sample = self.own_load(server)

    # Loads

    def connection_load(self, connection: Connection) -> float:
        """The load of one connection: its own, else that of its client's key, else its class's mean."""
        known_load = connection.load_us_per_second or self._costly_keys.get(connection.client_key, 0.0)
        if known_load:
            return known_load
        class_mean = self._class_means.get(connection.traffic_class_index)
        return self._mean_load if class_mean is None else class_mean.load

    def is_costly(self, connection: Connection) -> bool:
        """Whether a connection asks for many times the mean load of its class."""
        class_mean = self._class_means.get(connection.traffic_class_index)
        if class_mean is None:
            return False
        return self.connection_load(connection) > COSTLY_FACTOR * class_mean.load

    def own_load(self, server: Server) -> float:
        """The load of this node's connections at a server, with each group's shared work counted once."""
        group_count = 0
        if self._counts_groups:
            group_count = len(
                {connection.group for connection in server.connections.values() if connection.group}
            )
        connections_load = sum(map(self.connection_load, server.connections.values()))
        return connections_load + (group_count + server.predecessor_connections) * self._mean_load

    def total_load(self, server: Server, now_us: int) -> float:
        """The load that all nodes together are believed to ask of a server now."""
        own_load = self.own_load(server)
        if server.latency_sample_at_us:
            quiet_seconds = (now_us - server.latency_sample_at_us) / SECOND
            remaining = 1 - DECAY_PER_SECOND * quiet_seconds - (quiet_seconds / DECAY_SECONDS) ** 3
            return own_load + server.other_nodes_load * max(remaining, 0.0)
        if now_us - self._node_load_at_us >= NODE_LOAD_INTERVAL_US:
            self._node_load = sum(map(self.own_load, self._ready_servers))
            self._node_load_at_us = now_us
        # Nothing is known of the other nodes: each is taken to have as much load as this one.
        return own_load + self._node_load * (self._node_count - 1) * server.weight / self._fleet_weight

    # Capacity and room

    def capacity(self, server: Server, now_us: int) -> float:
        """What a server can do; 0 where nothing tells it."""
        if not self._fleet_weight:
            return max(0.0, server.min_capacity)
        fleet_capacity = self._fleet_connections * self._mean_load
        guessed_capacity = fleet_capacity / self._fleet_weight * self.effective_size(server, now_us)
        return max(guessed_capacity, server.min_capacity)

    def permitted_load(self, latency_us: float) -> float:
        """The share of its capacity that may be asked of a server where a message takes so long."""
        return min(TARGET_LOAD, max(MIN_RETAINED_LOAD, 1 - latency_us / BACKLOG_DRAIN_US))

    def has_capacity(self, server: Server, level: float, connection: Connection | None, now_us: int) -> bool:
        """Whether this node may add a connection, with at most `level` of the server's capacity in use then.

        `connection` is None for any connection of the mean load.
        """
        capacity = self.capacity(server, now_us)
        added_load = self._mean_load if connection is None else self.connection_load(connection)
        if not capacity:
            return True
        if not server.latency_sample_at_us:
            # A guess bounds no admission within a tenant's quota: the last level is unbounded. Below it, a
            # group whose clients all come at once must not crowd one server. An established connection is
            # moved there by choice only, and is held to the level as it is.
            if connection is None or not connection.live:
                is_unbounded = self.has_load_data or level == math.inf
                level = math.inf if is_unbounded else MAX_GUESSED_LOAD
            return self.total_load(server, now_us) + added_load <= level * capacity
        return self._measured_room(server, level, capacity, now_us) >= added_load

    def _measured_room(self, server: Server, level: float, capacity: float, now_us: int) -> float:
        """The load that this node may add at a server whose message latency is known."""
        quiet_us = now_us - server.latency_sample_at_us
        permitted_load = min(TARGET_LOAD, level)
        if quiet_us > SAMPLE_SILENCE_US:
            server.min_capacity = max(server.min_capacity, self.own_load(server) / MAX_UNDELAYED_LOAD)
            capacity = max(capacity, server.min_capacity)
        else:
            latency_us = server.latency_sample[0]
            if latency_us > self._min_objective_us:
                permitted_load = self.permitted_load(latency_us) - ADMISSION_MARGIN
        # All nodes see the same latency at the same time, so each may take only its part of the room.
        sharing_nodes = max(self._node_count * (1 - quiet_us / ROOM_SHARING_US), 1)
        return (permitted_load * capacity - self.total_load(server, now_us)) / sharing_nodes

    def estimate(self, server: Server, now_us: int) -> float | None:
        """The server's load now as a share of its capacity; None where nothing tells its capacity."""
        capacity = self.capacity(server, now_us)
        return self.total_load(server, now_us) / capacity if capacity else None

    def marginal_load(self, server: Server, now_us: int) -> float:
        """What one more connection of the mean load adds, as a share of the server's capacity."""
        capacity = self.capacity(server, now_us)
        return self._mean_load / capacity if capacity else 0.0
