"""Selects the server of a connection by the power of d choices.

After Xie, Dong, Lu and Srikant, "Power of d Choices for Large-Scale Bin Packing: A Loss Model"
(SIGMETRICS'15): draw d servers at random and join the one with the fewest of this node's own live
connections, ties at random. Zones, groups, loads and health narrow which servers are eligible; the draw
stays the same.
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

CHOICES = 2  #: the paper's d: two choices already bring the doubly exponential fall in blocking
MAX_CANDIDATES = 8 * CHOICES  #: servers that a draw looks at, however large the fleet
MAX_WEIGHED_SERVERS = 16 * MAX_CANDIDATES  #: servers whose room is weighed for that
MIN_ROOM = 0.1  #: of a server's size, by which a loaded server is still drawn


@dataclass(eq=False, repr=False)
class ServerSelector:
    """Draws the server that a connection joins."""

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
        #: Zones to draw from, in order; None stands for all zones.
        self.zones = (settings.zone, None) if crossing_is_priced else (None,)

    def select(self, connection: Connection) -> Server | None:
        """Return the chosen server, or None if no server is eligible."""
        for level in self._load_levels(connection):
            for pool in self._pools(connection):
                chosen = self._choose(connection, pool, level)
                if chosen is not None:
                    return chosen
        if self._may_reclaim_room(connection):
            chosen = self._choose(connection, self.sample(self.registry.ready), REPORTED_LOAD_ONLY)
            if chosen is not None:
                return chosen
        return self._select_unhealthy(connection)

    def ring_candidates(self, connection: Connection, zone: int | None) -> list[Server]:
        """Return the first d servers from the group's place on the hash ring: the same ones at every node.

        A connection without a group starts from a random place of its own, not from its request id: ids
        begin at 1 at each node that starts, and the nodes' first requests would meet at the same servers.
        """
        ring = self.registry.ring.walk(connection.group or connection.ring_key)
        servers = map(self.registry.servers.__getitem__, ring)
        return list(islice((s for s in servers if zone is None or zone == s.zone), CHOICES))

    def sample(self, servers: list[Server]) -> list[Server]:
        """Return some servers in random order, larger ones as a rule before smaller ones.

        A weighted sample after Efraimidis and Spirakis. Drawn alike, small servers would be full while large
        ones stand idle. Those with most room are not simply taken in turn: reports are seconds old, and all
        nodes would fill the same servers. Thousands are thinned out first, since weighing each would take
        milliseconds of every draw.
        """
        if len(servers) > MAX_WEIGHED_SERVERS:
            servers = self.context.rng.sample(servers, MAX_WEIGHED_SERVERS)
        now_us = self.context.clock.now_us
        loads = self.loads
        random = self.context.rng.random
        rooms = [
            loads.effective_size(server, now_us) * max(1 - (loads.estimate(server, now_us) or 0), MIN_ROOM)
            for server in servers
        ]
        keys = {server: random() ** (1 / room) for server, room in zip(servers, rooms, strict=True)}
        return sorted(servers, key=keys.__getitem__, reverse=True)[:MAX_CANDIDATES]

    def is_eligible(
        self, connection: Connection, server: Server, level: float, ignore_health: bool = False
    ) -> bool:
        """Whether the connection may join a server, as far as this node knows."""
        return (
            (ignore_health or self.outliers.is_healthy(server))
            and self.load_shedding.has_room(server, level, connection)
            and self.may_join(connection, server)
        )

    def may_join(self, connection: Connection, server: Server) -> bool:
        """Whether the rules allow the server: ready, not tried, safe to retry at, and not in slow start."""
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
        """Return the loads up to which servers are eligible, one after the other.

        Where all servers stand at the mean, none is below it; to spare the busier ones must not reject
        anyone, hence the second level. A tenant over its quota gets the first one only: it would crowd out
        the others where room is short.
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
        """Yield the servers to draw from, one pool after the other."""
        registry = self.registry
        on_demand = self.poller.on_demand
        if registry.returned:
            # One that operators put back is among the candidates until it gets its first connection.
            yield [*registry.returned, *self.sample(registry.ready)]
        in_turn = [] if connection.group else self._servers_in_turn()
        for zone in self.zones:
            yield [s for s in in_turn if zone is None or zone == s.zone]
            if connection.group:
                # Servers that hold some of the group already do its shared work.
                holders = self.connections.index.servers_by_group.get(connection.group, ())
                yield self.sample([s for s in holders if zone is None or zone == s.zone])
            if connection.group or on_demand:
                yield self.ring_candidates(connection, zone)
            # Each further server would do the group's shared work again.
            if not (connection.group and on_demand) or self.gossip.is_active(self.context.clock.now_us):
                yield [s for s in self.sample(registry.ready) if zone is None or zone == s.zone]

    def _servers_in_turn(self) -> list[Server]:
        """Return the servers in slow start at which this node has a turn, in random order.

        A turn is short and rare, and no other node can use it: left to a draw among all servers, which weighs
        a server in slow start by the little that it can do, most turns would be lost.
        """
        now_us = self.context.clock.now_us
        servers = self.load_shedding.slow_start.servers_in_turn(self.registry.warming_up, now_us)
        self.context.rng.shuffle(servers)
        return servers

    def _choose(
        self, connection: Connection, pool: list[Server], level: float, ignore_health: bool = False
    ) -> Server | None:
        """Return that of the first d eligible servers which has the fewest connections.

        The first of equals wins: in a random order that is a tie broken at random, on the ring it is the
        group's first server.
        """
        eligible = (s for s in pool if self.is_eligible(connection, s, level, ignore_health))
        candidates = list(islice(eligible, CHOICES))
        return min(candidates, key=lambda server: server.connection_count) if candidates else None

    def _may_reclaim_room(self, connection: Connection) -> bool:
        """Whether a reconnecting client may take the room that it just had, by the servers' reports alone."""
        return (
            connection.is_reconnect
            and self.loads.mean_reported_load <= PREFERRED_LOAD
            and not self.draining.clients_may_reconnect()
        )

    def _select_unhealthy(self, connection: Connection) -> Server | None:
        """If no server is healthy, draw among all of them.

        What all servers share may make all of them look bad; with no healthy one left, health is no guide.
        """
        if self._has_healthy_server():
            return None
        level = 1.0 if self.poller.on_demand else PREFERRED_LOAD
        return self._choose(connection, self.sample(self.registry.ready), level, ignore_health=True)

    def _has_healthy_server(self) -> bool:
        """Whether any ready server is healthy and, by its slow start, may get one more connection.

        Asked for each draw that found none, and thousands may warm up at a time: each server's turns are not
        looked at then, but those servers that are known to have one.
        """
        ready = self.registry.ready
        is_healthy = self.outliers.is_healthy
        warming_up = self.registry.warming_up
        now_us = self.context.clock.now_us
        if now_us >= self.registry.first_warm_us or self.context.settings.initial_capacity >= 1:
            # some that are held to warm up no longer do
            return any(is_healthy(s) and self.load_shedding.slow_start_allows(s) for s in ready)
        if any(is_healthy(server) for server in ready if server not in warming_up):
            return True
        in_turn = self.load_shedding.slow_start.servers_in_turn(warming_up, now_us)
        return any(is_healthy(server) for server in in_turn if server.state == ServerState.READY)
