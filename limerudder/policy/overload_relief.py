"""Migrates connections away from overloaded servers, the costliest for their priority first.

Where a migrated client goes is decided when it reconnects, as for any other request.
"""

from __future__ import annotations

from limerudder.policy.actions import MigrateClient
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.load_shedding import LoadShedding
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.pacing import PACED_RATE_FACTOR
from limerudder.policy.records import SECOND, Connection, Server, TokenBucket
from limerudder.policy.reported_loads import PREFERRED_LOAD, ReportedLoads
from limerudder.policy.traffic_rates import TrafficRates

MAX_LOAD_BEFORE_RELIEF = 0.9  #: beyond its capacity a server answers nothing in time
#: A report is as old as that at most: an earlier one may not show the last migrations.
RELIEF_INTERVAL_US = 3 * SECOND // 2
MIN_OVER_QUOTA_WEIGHT = 0.01
GOSSIP_MIGRATION_BURST = 2.0  #: migrations at once, where all nodes migrate


class OverloadRelief:
    """Decides which connections of an overloaded server are migrated."""

    def __init__(
        self,
        context: PolicyContext,
        connections: ConnectionTable,
        loads: ReportedLoads,
        gossip: LoadGossip,
        rates: TrafficRates,
        load_shedding: LoadShedding,
        outliers: OutlierDetector,
    ) -> None:
        self._rng = context.rng
        self._clock = context.clock
        self._actions = context.actions
        self._node_count = context.settings.node_count
        self._over_quota_weight = max(context.settings.over_quota_weight, MIN_OVER_QUOTA_WEIGHT)
        self._connections = connections
        self._loads = loads
        self._gossip = gossip
        self._rates = rates
        self._load_shedding = load_shedding
        self._outliers = outliers
        self._gossip_migrations = TokenBucket(GOSSIP_MIGRATION_BURST)

    def on_report(self, server: Server, load: float, load_with_backlog: float) -> None:
        """A load report has come: migrate connections if the server is asked for too much.

        Where all nodes hear the same report, what each migrates adds up. A backlog is no share of what is
        connected there, and before reports show what has left, all nodes would migrate for it again: so the
        backlog is ignored then, and the next relief comes later.
        """
        now_us = self._clock.now_us
        gossips = self._gossip.is_active(now_us)
        if gossips:
            asked_load = load
            interval_us = 2 * RELIEF_INTERVAL_US + self._gossip.round_interval_us
        else:
            asked_load = load_with_backlog
            interval_us = RELIEF_INTERVAL_US
        is_due = now_us - server.relieved_at_us >= interval_us
        if load > 0 and asked_load > MAX_LOAD_BEFORE_RELIEF and is_due:
            excess_share = (asked_load - self._loads.preferred_max_load) / load
            self._relieve(server, excess_share, gossips)

    def on_message_latency(self, inferred_loads: InferredLoads, server: Server, latency_us: float) -> None:
        """A message took this long: migrate what is too much, where loads are inferred."""
        excess_load = inferred_loads.record_message_latency(server, latency_us, self._clock.now_us)
        live = [c for c in server.connections.values() if c.live] if excess_load > 0 else []
        live.sort(key=lambda c: self._cost(c, inferred_loads.connection_load(c)), reverse=True)
        for connection in live:
            if excess_load <= 0:
                break
            load = inferred_loads.connection_load(connection)
            # A connection that asks for half a server by itself goes first: else all the others would be
            # migrated in its stead.
            if inferred_loads.is_costly(connection) or self._rng.random() * load < excess_load:
                excess_load -= load
                self._migrate(connection)
        inferred_loads.remember_own_load(server)

    def on_slow_message(self, server: Server) -> None:
        """A message took too long at a server, in a tier whose nodes cannot pay for sweeps.

        Only while most of this node's connections are at healthy servers: if all were slow, hundreds of
        nodes would migrate all they hold.
        """
        healthy = [
            self._outliers.is_healthy(connection.server)
            for connection in self._connections.by_id.values()
            if connection.live and connection.server
        ]
        if 2 * sum(healthy) >= len(healthy) - 1:
            self._relieve(server, 1 - PREFERRED_LOAD)

    def _relieve(self, server: Server, excess_share: float, gossips: bool = False) -> None:
        """Migrate the costliest connections, up to this share of what this node's ask of the server.

        Past its capacity a server answers nothing in time, and what it holds stays for minutes. A report
        may be seconds old: alone it justifies a migration only where it is beyond doubt, and not soon again.
        """
        server.relieved_at_us = self._clock.now_us
        loads = [
            connection.load_us_per_second
            for connection in self._connections.by_id.values()
            if connection.live and connection.load_us_per_second
        ]
        mean_load = sum(loads) / max(len(loads), 1)
        live = [c for c in server.connections.values() if c.live and c.load_us_per_second]
        live.sort(key=lambda c: self._cost(c, c.load_us_per_second), reverse=True)
        excess_load = excess_share * sum(c.load_us_per_second for c in live)
        for connection in live:
            if self._stops_by_chance(excess_load, mean_load):
                break
            if gossips and not self._acquire_gossip_migration():
                break
            excess_load -= connection.load_us_per_second
            self._migrate(connection)

    def _stops_by_chance(self, excess_load: float, mean_load: float) -> bool:
        """Whether to migrate no more, by chance and the likelier the smaller the excess that is left.

        If each of hundreds of nodes rounded up, all would migrate all they hold at once.
        """
        probability = max(excess_load / mean_load, (excess_load > 0) / self._node_count)
        return self._rng.random() > probability

    def _acquire_gossip_migration(self) -> bool:
        """Whether the store that connects share bears one more migration, where all nodes migrate."""
        rate = PACED_RATE_FACTOR * self._rates.usual_fresh_rate(self._gossip)
        return self._gossip_migrations.try_acquire(self._clock.now_us, rate)

    def _cost(self, connection: Connection, load: float) -> float:
        """Return a connection's load for its priority; tenants over their quota count more."""
        quota_weight = self._over_quota_weight if self._load_shedding.exceeds_quota(connection) else 1
        return load / connection.traffic_class.priority_weight / quota_weight

    def _migrate(self, connection: Connection) -> None:
        connection.live = False
        self._actions.append(MigrateClient(connection.id))
