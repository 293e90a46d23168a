"""Selects the server of a connection by the power of d choices.

After Xie, Dong, Lu and Srikant, "Power of d Choices for Large-Scale Bin Packing: A Loss Model"
(SIGMETRICS'15): sample d servers at random and choose the one with the fewest of this node's own live
connections, breaking ties at random. Zones, groups, loads and health restrict which servers are eligible;
they do not change the sampling.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.draining import DrainMigration
from limerudder.policy.events import ServerState
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.load_polling import LoadPoller
from limerudder.policy.load_shedding import REPORTED_LOAD_ONLY, LoadShedding
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.records import Connection, Server
from limerudder.policy.reported_loads import PREFERRED_LOAD, ReportedLoads
from limerudder.policy.server_registry import ServerRegistry

CHOICES = 2  #: d in the paper; two choices already make blocking fall doubly exponentially
MAX_CANDIDATES = 8 * CHOICES  #: Maximum size of a sample, independent of the fleet size
#: Maximum number of servers whose spare capacity is computed for one sample.
MAX_WEIGHED_SERVERS = 16 * MAX_CANDIDATES
MIN_SPARE_CAPACITY_SHARE = 0.1  #: Minimum sampling weight of a loaded server, as a share of its size


@dataclass(eq=False, repr=False)
class ServerSelector:
    """Selects the server for a connection."""

    context: PolicyContext
    registry: ServerRegistry
    connections: ConnectionTable
    loads: ReportedLoads
    gossip: LoadGossip
    poller: LoadPoller
    load_shedding: LoadShedding
    outliers: OutlierDetector
    draining: DrainMigration

    def __post_init__(self) -> None:
        settings = self.context.settings
        crossing_is_priced = settings.prices.get("crossZone", 0) > 0
        #: Zones to select from, in order of preference; None means all zones.
        self.zones = (settings.zone, None) if crossing_is_priced else (None,)

    def select(self, connection: Connection) -> Server | None:
        """Return the chosen server, or None if no server is eligible."""
        for level in self._load_levels(connection):
            for pool in self._pools(connection):
                chosen = self._choose(connection, pool, level)
                if chosen is not None:
                    return chosen
        if self._may_reclaim_capacity(connection):
            chosen = self._choose(connection, self.sample(self.registry.ready), REPORTED_LOAD_ONLY)
            if chosen is not None:
                return chosen
        return self._select_unhealthy(connection)

    def ring_candidates(self, connection: Connection, zone: int | None) -> list[Server]:
        """Return the first d servers from the group's position on the hash ring, the same at every node.

        A connection without a group starts from a random position. Its request id is unsuitable: ids begin
        at 1 when a node starts, so the first requests of all nodes would select the same servers.
        """
        ring = self.registry.ring.walk(connection.group or connection.ring_key)
        servers = map(self.registry.servers.__getitem__, ring)
        return list(islice((s for s in servers if zone is None or zone == s.zone), CHOICES))

    def sample(self, servers: list[Server]) -> list[Server]:
        """Return a random sample of servers, in which those with more spare capacity tend to come first.

        Weighted random sampling after Efraimidis and Spirakis. With uniform sampling, small servers would be
        full while large ones are idle. Always choosing the servers with the most spare capacity would not
        work: reports are seconds old, and all nodes would fill the same servers. Large fleets are first
        reduced at random, since weighing thousands of servers would add milliseconds to every selection.
        """
        if len(servers) > MAX_WEIGHED_SERVERS:
            servers = self.context.rng.sample(servers, MAX_WEIGHED_SERVERS)
        now_us = self.context.clock.now_us
        loads = self.loads
        random = self.context.rng.random
        spare_capacities = [
            loads.effective_size(server, now_us)
            * max(1 - (loads.estimate(server, now_us) or 0), MIN_SPARE_CAPACITY_SHARE)
            for server in servers
        ]
        keys = {
            server: random() ** (1 / capacity)
            for server, capacity in zip(servers, spare_capacities, strict=True)
        }
        return sorted(servers, key=keys.__getitem__, reverse=True)[:MAX_CANDIDATES]

    def is_eligible(
        self, connection: Connection, server: Server, level: float, ignore_health: bool = False
    ) -> bool:
        """Whether the connection may join a server: it is healthy, has capacity, and the rules allow it."""
        return (
            (ignore_health or self.outliers.is_healthy(server))
            and self.load_shedding.has_capacity(server, level, connection)
            and self.may_join(connection, server)
        )

    def may_join(self, connection: Connection, server: Server) -> bool:
        """Whether the rules allow the server: ready, not tried, safe to retry at, slow start permits it."""
        if server.state != ServerState.READY or server in connection.tried_servers:
            return False
        if connection.possibly_executed is not None:
            scope = connection.traffic_class.key_scope
            previous = connection.possibly_executed.server
            if scope == "zone" and server.zone != previous.zone:
                return False
            if scope == "cell" and server.cell != previous.cell:
                return False
        return self.load_shedding.slow_start_allows(server)

    def _load_levels(self, connection: Connection) -> list[float]:
        """Return the load levels up to which servers are eligible, in the order in which to try them.

        If all servers are at the mean load, none is below it. Sparing busier servers must not cause
        rejections, hence the second level. A tenant over its quota gets only the first level, because it
        would crowd out other tenants when capacity is scarce.
        """
        loads = self.loads
        if self.load_shedding.exceeds_quota(connection):
            levels = [min(loads.preferred_max_load, PREFERRED_LOAD)]
        else:
            levels = [loads.preferred_max_load, loads.max_load]
        if self.poller.on_demand:
            levels.append(1.0)
        return levels

    def _pools(self, connection: Connection) -> Iterator[list[Server]]:
        """Yield the pools of servers to select from, in order of preference."""
        registry = self.registry
        on_demand = self.poller.on_demand
        if registry.returned:
            # A server that operators returned to service is a candidate until it gets its first connection.
            yield [*registry.returned, *self.sample(registry.ready)]
        with_turns = [] if connection.group else self._servers_with_turns()
        for zone in self.zones:
            yield [s for s in with_turns if zone is None or zone == s.zone]
            if connection.group:
                # Servers with connections of the group already do its shared work.
                servers_of_group = self.connections.index.servers_by_group.get(connection.group, ())
                yield self.sample([s for s in servers_of_group if zone is None or zone == s.zone])
            if connection.group or on_demand:
                yield self.ring_candidates(connection, zone)
            # Each additional server would repeat the group's shared work.
            if not (connection.group and on_demand) or self.gossip.is_active(self.context.clock.now_us):
                yield [s for s in self.sample(registry.ready) if zone is None or zone == s.zone]

    def _servers_with_turns(self) -> list[Server]:
        """Return the servers in slow start at which this node has a turn, in random order.

        Turns are short and rare, and no other node can use them. Sampling among all servers gives a server
        in slow start a low weight, so most turns would expire unused.
        """
        now_us = self.context.clock.now_us
        servers = self.load_shedding.slow_start.servers_with_turns(self.registry.warming_up, now_us)
        self.context.rng.shuffle(servers)
        return servers

    def _choose(
        self, connection: Connection, pool: list[Server], level: float, ignore_health: bool = False
    ) -> Server | None:
        """Return the server with the fewest connections among the first d eligible ones.

        The first of equals wins. In a random order this breaks ties at random; on the ring it prefers the
        group's first server.
        """
        eligible = (s for s in pool if self.is_eligible(connection, s, level, ignore_health))
        candidates = list(islice(eligible, CHOICES))
        return min(candidates, key=lambda server: server.connection_count) if candidates else None

    def _may_reclaim_capacity(self, connection: Connection) -> bool:
        """Whether a reconnecting client may reuse its previous capacity; then only reported loads count."""
        return (
            connection.is_reconnect
            and self.loads.mean_reported_load <= PREFERRED_LOAD
            and not self.draining.clients_may_reconnect()
        )

    def _select_unhealthy(self, connection: Connection) -> Server | None:
        """Select among all ready servers if none is healthy.

        A fault in a shared dependency can make all servers look unhealthy; then health does not distinguish
        them.
        """
        if self._has_healthy_server():
            return None
        level = 1.0 if self.poller.on_demand else PREFERRED_LOAD
        return self._choose(connection, self.sample(self.registry.ready), level, ignore_health=True)

    def _has_healthy_server(self) -> bool:
        """Whether any ready server is healthy and its slow start allows one more connection.

        Called for every selection that found no server, while thousands of servers may be warming up. The
        cached list of servers with turns avoids checking the turns of each.
        """
        ready = self.registry.ready
        is_healthy = self.outliers.is_healthy
        warming_up = self.registry.warming_up
        now_us = self.context.clock.now_us
        if now_us >= self.registry.first_warm_us or self.context.settings.initial_capacity >= 1:
            # Some servers in `warming_up` are warm by now.
            return any(is_healthy(s) and self.load_shedding.slow_start_allows(s) for s in ready)
        if any(is_healthy(server) for server in ready if server not in warming_up):
            return True
        with_turns = self.load_shedding.slow_start.servers_with_turns(warming_up, now_us)
        return any(is_healthy(server) for server in with_turns if server.state == ServerState.READY)
