"""Loads inferred from message latency, for servers that send no load reports.

A message waits behind the work that has accumulated, and under a load of n times its capacity a server
accumulates n - 1 seconds of work per second. So a message's latency equals the backlog, and its slope gives
the load: the bottleneck model of TCP BBR (Cardwell et al., 2016), with the result of CoDel (Nichols and
Jacobson, 2012) that only a standing queue does harm. Load beyond this node's own is attributed to the other
nodes. The longer a server has no latency samples, the less load is attributed to them: it decays slowly at
first, then fast, as CUBIC probes (Ha, Rhee and Xu, 2008).

Estimates only: the balancer decides. Unless stated otherwise, loads and capacities are microseconds of work
per second. docs/design/load-inference.md compares the alternatives.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import Settings

# Shares of a server's capacity
QUOTA_SHARE_OF_CAPACITY = 0.82  #: Approximate sum of the tenants' quotas as a share of the fleet's capacity
MAX_UNDELAYED_LOAD = 0.85  #: Maximum load of a server whose messages are not slow
TARGET_LOAD = 0.9  #: Maximum load that is placed on a server
MIN_RETAINED_LOAD = 0.7  #: Minimum load left at a server with a backlog, so that others are not overloaded
ADMISSION_MARGIN = 0.1  #: Margin below its permitted load in which a server with a backlog admits nothing
MIN_SLOPE_LOAD = 0.4  #: Lower bound of a load derived from a slope
MAX_SLOPE_LOAD = 3.0  #: Upper bound of a load derived from a slope
MIN_RESET_LOAD = 1.2  #: Minimum load assumed of a server that resets established connections
MAX_ASSUMED_LOAD = 1.0  #: Load above which a server is selected last where capacities are only assumed

# Times
BACKLOG_WORK_OFF_US = SECOND  #: Time in which a backlog is to be worked off
#: Slow messages give one sample per second: a server without samples for this long has no slow messages.
SAMPLE_SILENCE_US = 3 * SECOND // 2
MIN_SLOPE_INTERVAL_US = 7 * SECOND // 10  #: Minimum interval between two samples for a slope
MAX_SLOPE_INTERVAL_US = 3 * SECOND
RESET_PAIR_INTERVAL_US = SECOND  #: Two resets within this time are not attributed to chance
NODE_LOAD_INTERVAL_US = SECOND // 4  #: Interval between two sums over all of this node's connections
#: Time without samples after which nodes no longer divide a server's spare capacity.
SPARE_CAPACITY_SHARING_US = 4 * SECOND

# Decay of the other nodes' load on a server without samples
DECAY_PER_SECOND = 0.04  #: Share lost per second
DECAY_SECONDS = 6  #: Time after which no load is left

# Means
COSTLY_FACTOR = 4  #: Multiple of its class's mean load above which a connection is costly
MAX_COSTLY_KEYS = 1024  #: Maximum number of client keys stored with the load of a costly connection
MAX_CLASS_SAMPLES = 200  #: Number of connections in the mean load of a class
MAX_SAMPLES = 400  #: Number of connections in the mean load of all classes


class ClassMean(NamedTuple):
    """The mean load of one class's connections."""

    load: float
    samples: int


NO_SAMPLES = ClassMean(0.0, 0)


class InferredLoads(ReportedLoads):
    """Loads that one node infers from its own connections and their message latencies."""

    def __init__(self, settings: Settings, report_interval_us: int) -> None:
        super().__init__(settings, report_interval_us)
        self.max_load = math.inf  # No server is full before a message's latency shows its load
        self.has_load_data = False  # True from the first message latency on
        self._node_count = max(settings.node_count, 1)
        self._counts_groups = settings.has_groups
        objectives_us = [traffic_class.message_objective_us for traffic_class in settings.classes]
        self._min_objective_us = min(objectives_us, default=SECOND)
        self._class_means = dict[int, ClassMean]()
        self._mean_load = 0.0
        self._load_samples = 0
        self._costly_keys = dict[int, float]()  # Load by client key, most recent last
        quotas = [quota for quota in settings.tenant_quotas if 0 < quota < math.inf]
        # Number of connections of the mean load that the fleet has capacity for, by the quotas
        self._fleet_connections = sum(quotas) / QUOTA_SHARE_OF_CAPACITY
        self._fleet_weight = 0.0  # Size of the fleet on which the tenants' quotas are based
        self._ready_servers: Sequence[Server] = ()
        self._node_load = 0.0  # Load of all this node's connections
        self._node_load_at_us = -SECOND

    # Recording of events

    def on_server_state_change(
        self, server: Server, ready_servers: Sequence[Server], ready_weight: float, now_us: int
    ) -> None:
        """Store the ready servers; the quotas are assumed to be based on the largest fleet listed so far.

        `ready_servers` is kept by reference: the caller may modify it. `ready_weight`: total weight of them.
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
        """Record a message's latency; return how much of this node's load has to leave the server."""
        previous_latency_us, previous_at_us = server.latency_sample
        server.latency_sample_at_us = now_us
        self.has_load_data = True
        elapsed_us = now_us - previous_at_us
        if elapsed_us < MIN_SLOPE_INTERVAL_US:
            return 0.0
        own_load = self.own_load(server)
        server.latency_sample = (latency_us, now_us)
        is_slow = latency_us > self._min_objective_us
        # A backlog ends at zero, so the slope of a latency that has fallen below the objective does not show
        # the load.
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
        """Derive the server's minimum capacity and the other nodes' load from its load per capacity."""
        mean_own_load = (own_load + server.load_at_latency_sample) / 2
        server.min_capacity = max(server.min_capacity, mean_own_load / relative_load)
        others_load = max(self.capacity(server, now_us) * relative_load - mean_own_load, 0.0)
        server.other_nodes_load = (
            (server.other_nodes_load + others_load) / 2 if server.other_nodes_load else others_load
        )

    def record_reset(self, server: Server, now_us: int) -> None:
        """Record that a server has reset an established connection, as some do under a backlog."""
        is_second = now_us - server.reset_at_us < RESET_PAIR_INTERVAL_US
        server.reset_at_us = now_us
        if not is_second or not self._mean_load:
            return
        server.latency_sample = (BACKLOG_WORK_OFF_US, now_us)
        server.latency_sample_at_us = now_us
        others_load = MIN_RESET_LOAD * self.capacity(server, now_us) - self.own_load(server)
        server.other_nodes_load = max(server.other_nodes_load, others_load)
        self.remember_own_load(server)

    def remember_own_load(self, server: Server) -> None:
        """Store this node's current load on a server for the next slope, after connections have left."""
        server.load_at_latency_sample = self.own_load(server)

    # Loads

    def connection_load(self, connection: Connection) -> float:
        """Return a connection's load: its own, else that of its client's key, else its class's mean."""
        recorded_load = connection.load_us_per_second or self._costly_keys.get(connection.client_key, 0.0)
        if recorded_load:
            return recorded_load
        class_mean = self._class_means.get(connection.traffic_class_index)
        return self._mean_load if class_mean is None else class_mean.load

    def is_costly(self, connection: Connection) -> bool:
        """Whether a connection has many times the mean load of its class."""
        class_mean = self._class_means.get(connection.traffic_class_index)
        if class_mean is None:
            return False
        return self.connection_load(connection) > COSTLY_FACTOR * class_mean.load

    def own_load(self, server: Server) -> float:
        """Return the load of this node's connections at a server; each group's shared work counts once."""
        group_count = 0
        if self._counts_groups:
            group_count = len(
                {connection.group for connection in server.connections.values() if connection.group}
            )
        connections_load = sum(map(self.connection_load, server.connections.values()))
        return connections_load + (group_count + server.predecessor_connections) * self._mean_load

    def total_load(self, server: Server, now_us: int) -> float:
        """Return the estimated current load of all nodes on a server."""
        own_load = self.own_load(server)
        if server.latency_sample_at_us:
            sample_age_seconds = (now_us - server.latency_sample_at_us) / SECOND
            remaining = 1 - DECAY_PER_SECOND * sample_age_seconds - (sample_age_seconds / DECAY_SECONDS) ** 3
            return own_load + server.other_nodes_load * max(remaining, 0.0)
        if now_us - self._node_load_at_us >= NODE_LOAD_INTERVAL_US:
            self._node_load = sum(map(self.own_load, self._ready_servers))
            self._node_load_at_us = now_us
        # The other nodes' load is unknown: each is assumed to have as much load as this one.
        return own_load + self._node_load * (self._node_count - 1) * server.weight / self._fleet_weight

    # Capacity

    def capacity(self, server: Server, now_us: int) -> float:
        """Return a server's capacity; 0 if it is unknown."""
        if not self._fleet_weight:
            return max(0.0, server.min_capacity)
        fleet_capacity = self._fleet_connections * self._mean_load
        assumed_capacity = fleet_capacity / self._fleet_weight * self.effective_size(server, now_us)
        return max(assumed_capacity, server.min_capacity)

    def permitted_load(self, latency_us: float) -> float:
        """Return the permitted load of a server with this message latency, as a share of its capacity."""
        return min(TARGET_LOAD, max(MIN_RETAINED_LOAD, 1 - latency_us / BACKLOG_WORK_OFF_US))

    def has_capacity(self, server: Server, level: float, connection: Connection | None, now_us: int) -> bool:
        """Whether the server's load stays within `level` of its capacity with one more connection.

        `connection` is None for a connection of the mean load.
        """
        capacity = self.capacity(server, now_us)
        added_load = self._mean_load if connection is None else self.connection_load(connection)
        if not capacity:
            return True
        if not server.latency_sample_at_us:
            # An assumed capacity does not limit admission within a tenant's quota: the last level is
            # unbounded. Below it, a group whose clients all connect at once must not overload one server.
            # Migration of an established connection is optional, so the level applies to it unchanged.
            if connection is None or not connection.is_migratable:
                is_unbounded = self.has_load_data or level == math.inf
                level = math.inf if is_unbounded else MAX_ASSUMED_LOAD
            return self.total_load(server, now_us) + added_load <= level * capacity
        return self._spare_capacity(server, level, capacity, now_us) >= added_load

    def _spare_capacity(self, server: Server, level: float, capacity: float, now_us: int) -> float:
        """Return the load that this node may add to a server whose message latency is known."""
        sample_age_us = now_us - server.latency_sample_at_us
        permitted_load = min(TARGET_LOAD, level)
        if sample_age_us > SAMPLE_SILENCE_US:
            server.min_capacity = max(server.min_capacity, self.own_load(server) / MAX_UNDELAYED_LOAD)
            capacity = max(capacity, server.min_capacity)
        else:
            latency_us = server.latency_sample[0]
            if latency_us > self._min_objective_us:
                permitted_load = self.permitted_load(latency_us) - ADMISSION_MARGIN
        # All nodes see the same latency at the same time, so each may use only its share of what is spare.
        sharing_nodes = max(self._node_count * (1 - sample_age_us / SPARE_CAPACITY_SHARING_US), 1)
        return (permitted_load * capacity - self.total_load(server, now_us)) / sharing_nodes

    def estimate(self, server: Server, now_us: int) -> float | None:
        """Return the server's load as a share of its capacity; None if the capacity is unknown."""
        capacity = self.capacity(server, now_us)
        return self.total_load(server, now_us) / capacity if capacity else None

    def marginal_load(self, server: Server, now_us: int) -> float:
        """Return the load of one more connection of the mean load, as a share of the server's capacity."""
        capacity = self.capacity(server, now_us)
        return self._mean_load / capacity if capacity else 0.0
