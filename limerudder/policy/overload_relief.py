"""Migrates connections away from overloaded servers, those with the most load for their priority first.

The next server of a migrated client is selected when it reconnects, as for any other request.
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

MAX_LOAD_BEFORE_RELIEF = 0.9  #: Relief threshold; beyond its capacity a server answers nothing in time
#: Minimum time between two reliefs of a server, equal to the maximum age of a report: a report that arrives
#: earlier may not show the migrations of the last relief.
RELIEF_INTERVAL_US = 3 * SECOND // 2
MIN_OVER_QUOTA_WEIGHT = 0.01
GOSSIP_MIGRATION_BURST = 2.0  #: Number of migrations allowed at once while all nodes migrate


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
        """Handle a load report: migrate connections if the server is overloaded.

        With gossip all nodes receive the same report, and their migrations add up. So the backlog is ignored
        then, and the time until the next relief is longer: the backlog is not load of the current
        connections, and all nodes would migrate for it again before reports show the first migrations.
        """
        now_us = self._clock.now_us
        gossip_active = self._gossip.is_active(now_us)
        if gossip_active:
            offered_load = load
            interval_us = 2 * RELIEF_INTERVAL_US + self._gossip.round_interval_us
        else:
            offered_load = load_with_backlog
            interval_us = RELIEF_INTERVAL_US
        is_due = now_us - server.relieved_at_us >= interval_us
        if load > 0 and offered_load > MAX_LOAD_BEFORE_RELIEF and is_due:
            excess_share = (offered_load - self._loads.preferred_max_load) / load
            self._relieve(server, excess_share, gossip_active)

    def on_message_latency(self, inferred_loads: InferredLoads, server: Server, latency_us: float) -> None:
        """Handle a message's latency: migrate the excess load, where loads are inferred."""
        excess_load = inferred_loads.record_message_latency(server, latency_us, self._clock.now_us)
        migratable = [c for c in server.connections.values() if c.is_migratable] if excess_load > 0 else []
        migratable.sort(key=lambda c: self._cost(c, inferred_loads.connection_load(c)), reverse=True)
        for connection in migratable:
            if excess_load <= 0:
                break
            load = inferred_loads.connection_load(connection)
            # A connection that needs half of a server's capacity is always migrated: if it were spared, all
            # the others would be migrated instead.
            if inferred_loads.is_costly(connection) or self._rng.random() * load < excess_load:
                excess_load -= load
                self._migrate(connection)
        inferred_loads.remember_own_load(server)

    def on_slow_message(self, server: Server) -> None:
        """Handle a slow message at a server, in a tier whose nodes cannot afford sweeps.

        Relieves the server only while most of this node's connections are at healthy servers: if all servers
        were slow, hundreds of nodes would migrate all their connections.
        """
        healthy = [
            self._outliers.is_healthy(connection.server)
            for connection in self._connections.by_id.values()
            if connection.is_migratable and connection.server
        ]
        if 2 * sum(healthy) >= len(healthy) - 1:
            self._relieve(server, 1 - PREFERRED_LOAD)

    def _relieve(self, server: Server, excess_share: float, gossip_active: bool = False) -> None:
        """Migrate the costliest connections, up to this share of the load that this node adds to the server.

        Beyond its capacity a server answers nothing in time, and its connections last for minutes. A report
        may be seconds old: by itself it justifies migrations only where the overload is certain, and no
        further ones soon after.
        """
        server.relieved_at_us = self._clock.now_us
        loads = [
            connection.load_us_per_second
            for connection in self._connections.by_id.values()
            if connection.is_migratable and connection.load_us_per_second
        ]
        mean_load = sum(loads) / max(len(loads), 1)
        migratable = [c for c in server.connections.values() if c.is_migratable and c.load_us_per_second]
        migratable.sort(key=lambda c: self._cost(c, c.load_us_per_second), reverse=True)
        excess_load = excess_share * sum(c.load_us_per_second for c in migratable)
        for connection in migratable:
            if self._stops_randomly(excess_load, mean_load):
                break
            if gossip_active and not self._acquire_gossip_migration():
                break
            excess_load -= connection.load_us_per_second
            self._migrate(connection)

    def _stops_randomly(self, excess_load: float, mean_load: float) -> bool:
        """Return at random whether to stop migrating; the smaller the remaining excess, the more likely.

        If hundreds of nodes each rounded the excess up to a whole connection, they would migrate all their
        connections at once.
        """
        probability = max(excess_load / mean_load, (excess_load > 0) / self._node_count)
        return self._rng.random() > probability

    def _acquire_gossip_migration(self) -> bool:
        """Whether the store shared by all attempts can sustain one more migration while all nodes migrate."""
        rate = PACED_RATE_FACTOR * self._rates.usual_fresh_rate(self._gossip)
        return self._gossip_migrations.try_acquire(self._clock.now_us, rate)

    def _cost(self, connection: Connection, load: float) -> float:
        """Return a connection's load relative to its priority; tenants over their quota count more."""
        quota_weight = self._over_quota_weight if self._load_shedding.exceeds_quota(connection) else 1
        return load / connection.traffic_class.priority_weight / quota_weight

    def _migrate(self, connection: Connection) -> None:
        connection.is_migratable = False
        self._actions.append(MigrateClient(connection.id))
