"""What a node feels of its servers' load where they report none: from its own connections and their messages.

A message waits behind the work that has piled up, and work piles up by a second each second for each time a
server's capacity that is asked beyond the first. So the time that messages take is the pile itself, and how
fast it grows tells the load: the bottleneck model of TCP BBR (Cardwell et al., 2016), with CoDel's lesson
(Nichols and Jacobson, 2012) that a queue which stands is what does harm. What is not this node's own is the
other nodes'. The longer all is quiet the less they are believed to ask, slowly at first, then fast, as CUBIC
probes (Ha, Rhee and Xu, 2008). Readings only: the balancer decides.
Loads are in microseconds of work a second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import (
    Settings,
)

QUOTA_SHARE_OF_CAPACITY = 0.82  #: of what a fleet can do, about so much is shared out to its tenants
SAMPLE_SILENCE_US = (
    3 * SECOND // 2
)  #: words come once a second while messages are slow: so long without, they are well
MAX_UNDELAYED_LOAD = 0.85  #: load of a server whose messages are not slow, at most
TARGET_LOAD = 0.9  #: of what a server can do is asked of it at most
BACKLOG_DRAIN_US = SECOND  #: in which a pile is to be worked off
MIN_RETAINED_LOAD = (
    0.7  #: of what it can do is left to a server with a pile at least: what leaves crowds the others
)
ADMISSION_MARGIN = 0.1  #: so much below what is left to it, one with a pile gets nothing new
MIN_SLOPE_LOAD, MAX_SLOPE_LOAD = 0.4, 3.0  #: bounds of a load read from a slope
COSTLY_FACTOR, MAX_COSTLY_KEYS = (
    4,
    1024,
)  #: times the usual load that are remembered by the client's key, of so many at most
MAX_CLASS_SAMPLES, MAX_SAMPLES = 200, 400  #: connections that a mean load is over
MIN_SLOPE_INTERVAL_US, MAX_SLOPE_INTERVAL_US = (
    7 * SECOND // 10,
    3 * SECOND,
)  #: between two words whose difference tells a slope
DECAY_PER_SECOND, DECAY_SECONDS = (
    0.04,
    6,
)  #: of what others ask fades a second of quiet; none is left after so many
MIN_RESET_LOAD = 1.2  #: load of a server that breaks off what stands, at least
MAX_GUESSED_LOAD = 1.0  #: load by a guess, above which a server is drawn last
NODE_LOAD_INTERVAL_US = SECOND // 4  #: between looks at all own connections
ROOM_SHARING_US = (
    4 * SECOND
)  #: of quiet, after which others are not reckoned to take the same room at the same time


class InferredLoads(ReportedLoads):
    """Loads without reports."""

    def __init__(self, settings: Settings, every: int) -> None:
        super().__init__(settings, every)
        self._class_means = dict[
            int, tuple[float, int]
        ]()  # of each class: mean load of a connection; of so many
        self._mean_load, self._load_samples = 0.0, 0  # load of a connection; of so many
        self._costly_keys = dict[int, float]()  # load of what is much dearer than usual, the latest last
        self._min_objective_us = min((c.message_objective_us for c in settings.classes), default=SECOND)
        self._node_count, self._counts_groups = max(settings.balancers, 1), settings.groups
        quotas = [quota for quota in settings.tenant_quotas if 0 < quota < math.inf]
        self._fleet_connections = (
            sum(quotas) / QUOTA_SHARE_OF_CAPACITY
        )  # of the usual load, that the fleet can hold
        self._fleet_weight = 0.0  # size of the fleet that the tenants' shares were made for
        self._ready_servers: Sequence[Server] = ()
        self.has_load_data = False  # until a message does
        self._node_load, self._node_load_at_us = 0.0, -SECOND  # load of all this node's connections
        self.max_load = math.inf  # a server of which no word has come is never taken for full

    def on_server_state_change(self, server: Server, others: Sequence[Server], now: int) -> None:
        """The list has changed: the most that stood on it is the fleet that shares are told of."""
        self._ready_servers, self._fleet_weight = (
            others,
            max(self._fleet_weight, sum(other.weight for other in others)),
        )

    def record_connection_load(self, flow: Connection, load: float) -> None:
        """A connection has told its load."""
        mean, many = self._class_means.get(flow.kind, (0.0, 0))
        if flow.key and (flow.key in self._costly_keys or (many and load > COSTLY_FACTOR * mean)):
            self._costly_keys.pop(flow.key, None)
            self._costly_keys[flow.key] = load
            if len(self._costly_keys) > MAX_COSTLY_KEYS:
                del self._costly_keys[next(iter(self._costly_keys))]
        if not flow.load:
            many, self._load_samples = (
                min(many + 1, MAX_CLASS_SAMPLES),
                min(self._load_samples + 1, MAX_SAMPLES),
            )
            self._class_means[flow.kind] = mean + (load - mean) / many, many
            self._mean_load += (load - self._mean_load) / self._load_samples
        flow.load = load

    def connection_load(self, flow: Connection) -> float:
        """Load of one connection as far as it is known."""
        return (
            flow.load
            or self._costly_keys.get(flow.key, 0.0)
            or self._class_means.get(flow.kind, (self._mean_load, 0))[0]
        )

    def is_costly(self, flow: Connection) -> bool:
        """Whether a connection asks for many times what is usual in its class."""
        return self.connection_load(flow) > COSTLY_FACTOR * self._class_means.get(flow.kind, (math.inf, 0))[0]

    def own_load(self, server: Server) -> float:
        """Load of this node's own connections at a server, each group's shared work once."""
        shared = (
            len({flow.group for flow in server.flows.values() if flow.group}) if self._counts_groups else 0
        )
        return (
            sum(map(self.connection_load, server.flows.values()))
            + (shared + server.elsewhere) * self._mean_load
        )

    def capacity(self, server: Server, now: int) -> float:
        """What a server can do; 0 where nothing tells of it."""
        told = (
            self._fleet_connections * self._mean_load / self._fleet_weight * self.effective_size(server, now)
            if self._fleet_weight
            else 0.0
        )
        return max(told, server.fits)

    def record_message_latency(self, server: Server, took: float, now: int) -> float:
        """A message took so many microseconds there; returns what is to leave of this node's load."""
        (before, at), server.word_at, self.has_load_data = server.word, now, True
        if now - at < MIN_SLOPE_INTERVAL_US:
            return 0.0
        here, server.word = self.own_load(server), (took, now)
        known, load = (
            now - at <= MAX_SLOPE_INTERVAL_US and (took > self._min_objective_us or took > before),
            TARGET_LOAD,
        )
        if known:
            load = min(max(1 + (took - before) / (now - at), MIN_SLOPE_LOAD), MAX_SLOPE_LOAD)
            there = (here + server.was) / 2
            server.fits = max(server.fits, there / load)
            others = max(self.capacity(server, now) * load - there, 0.0)
            server.others = (server.others + others) / 2 if server.others else others
        server.was = here
        return (
            max(here * (1 - self.permitted_load(took) / load), 0.0)
            if known and took > self._min_objective_us
            else 0.0
        )

    def record_reset(self, server: Server, now: int) -> None:
        """A server has broken off a connection that stood: some do where too much has piled up."""
        twice = now - server.dropped_at < SECOND
        server.dropped_at = now
        if twice and self._mean_load:
            server.word, server.word_at = (BACKLOG_DRAIN_US, now), now
            server.others = max(
                server.others, MIN_RESET_LOAD * self.capacity(server, now) - self.own_load(server)
            )
            self.remember_own_load(server)

    def permitted_load(self, took: float) -> float:
        """Of what a server can do, what may be asked of it where a message takes so long."""
        return min(TARGET_LOAD, max(MIN_RETAINED_LOAD, 1 - took / BACKLOG_DRAIN_US))

    def remember_own_load(self, server: Server) -> None:
        """Some have just been sent away: what is here from now on."""
        server.was = self.own_load(server)

    def total_load(self, server: Server, now: int) -> float:
        """What all nodes ask of a server, as believed now."""
        here, quiet = self.own_load(server), (now - server.word_at) / SECOND
        if server.word_at:
            return here + server.others * max(
                1 - DECAY_PER_SECOND * quiet - (quiet / DECAY_SECONDS) ** 3, 0.0
            )
        if now - self._node_load_at_us >= NODE_LOAD_INTERVAL_US:
            self._node_load, self._node_load_at_us = sum(map(self.own_load, self._ready_servers)), now
        # as if all nodes were like this one
        return here + self._node_load * (self._node_count - 1) * server.weight / self._fleet_weight

    def has_room(self, server: Server, level: float, flow: Connection | None, now: int) -> bool:
        """Whether this node may add a connection there, `level` of what it can do at most being asked."""
        can, quiet = self.capacity(server, now), now - server.word_at
        asks = self.connection_load(flow) if flow else self._mean_load
        if not can or not server.word_at:
            # DANGER: a group whose clients all come at once would crowd one server; but a guess is no word of
            # a limit, and turns nobody inside its share away: the last level is without bound
            if flow is None or not flow.live:  # one that stands is moved there by choice only
                level = math.inf if self.has_load_data or level == math.inf else MAX_GUESSED_LOAD
            return not can or self.total_load(server, now) + asks <= level * can
        may = min(TARGET_LOAD, level)
        if quiet > SAMPLE_SILENCE_US:
            server.fits = max(server.fits, self.own_load(server) / MAX_UNDELAYED_LOAD)
            can = max(can, server.fits)
        elif server.word[0] > self._min_objective_us:
            may = self.permitted_load(server.word[0]) - ADMISSION_MARGIN
        # DANGER: all nodes hear the same word at the same time; each may take its part of the room
        part = max(self._node_count * (1 - quiet / ROOM_SHARING_US), 1)
        return (may * can - self.total_load(server, now)) / part >= asks

    def estimate(self, server: Server, now: int) -> float | None:
        """The server's load now, as far as it is felt."""
        can = self.capacity(server, now)
        return self.total_load(server, now) / can if can else None

    def marginal_load(self, server: Server, now: int) -> float:
        """What one more connection of the usual load adds."""
        can = self.capacity(server, now)
        return self._mean_load / can if can else 0.0
