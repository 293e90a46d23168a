"""Migrates connections to better placed servers: in the local zone, or returned to service.

The next server of a migrated client is selected when it reconnects, as for any other request.
"""

from __future__ import annotations

from limerudder.policy.actions import MigrateClient, SetTimer
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import ServerState
from limerudder.policy.load_polling import REPORT_WAIT_US, LoadPoller
from limerudder.policy.pacing import PACED_RATE_FACTOR, ConnectPacer
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.reported_loads import PREFERRED_LOAD, ReportedLoads
from limerudder.policy.selection import CHOICES, ServerSelector
from limerudder.policy.server_registry import RETURNED_SERVER_INTERVAL_US, ServerRegistry
from limerudder.policy.timers import TimerToken
from limerudder.policy.traffic_rates import TrafficRates

#: Minimum ratio of the price of a cross-zone connection to that of a migration; more than 1, because a
#: migration also interrupts the client's connection.
MIN_CROSS_ZONE_TO_MIGRATION_PRICE_RATIO = 3
SETTLED_AFTER_US = 5 * SECOND  #: Age at which a reconnected client may be migrated to the local zone
MIN_MIGRATION_INTERVAL_US = SECOND // 2
MAX_MIGRATION_INTERVAL_US = 10 * SECOND
IDLE_INTERVAL_US = SECOND  #: Time until the next check while no connection crosses zones
MIN_MARGINAL_LOAD = 0.001  #: Lower bound that keeps the number of connections that fit finite


class ReturnedServerRebalancer:
    """Migrates connections so that servers that operators have returned to service get clients."""

    def __init__(self, context: PolicyContext, registry: ServerRegistry) -> None:
        self._rng = context.rng
        self._clock = context.clock
        self._actions = context.actions
        self._registry = registry

    def migrate(self) -> None:
        """Migrate a connection from the server with the most connections, while a returned server is unused.

        Connections last for minutes: if few new ones arrive, a returned server would stay idle beside full
        ones.
        """
        now_us = self._clock.now_us
        registry = self._registry
        registry.returned = {
            server: until_us
            for server, until_us in registry.returned.items()
            if until_us > now_us and server.state == ServerState.READY
        }
        if not registry.returned:
            return
        fullest = max(registry.ready, key=lambda server: server.connection_count)
        migratable = [connection for connection in fullest.connections.values() if connection.is_migratable]
        if migratable and fullest not in registry.returned:
            connection = self._rng.choice(migratable)
            connection.is_migratable = False
            self._actions.append(MigrateClient(connection.id))
        self._actions.append(SetTimer(now_us + RETURNED_SERVER_INTERVAL_US, TimerToken.RETURNED_SERVER))


class LocalZoneRebalancer:
    """Migrates connections that cross zones, where crossing has a price.

    A crossing costs for as long as the connection lasts, a migration only once.
    """

    def __init__(
        self,
        context: PolicyContext,
        registry: ServerRegistry,
        connections: ConnectionTable,
        loads: ReportedLoads,
        poller: LoadPoller,
        pacer: ConnectPacer,
        rates: TrafficRates,
        selector: ServerSelector,
    ) -> None:
        self._settings = context.settings
        self._rng = context.rng
        self._clock = context.clock
        self._actions = context.actions
        self._registry = registry
        self._connections = connections
        self._loads = loads
        self._poller = poller
        self._pacer = pacer
        self._rates = rates
        self._selector = selector

    def migrate(self) -> None:
        """Migrate one connection if a local server has spare capacity, and schedule the next check."""
        prices = self._settings.prices
        if prices.get("crossZone", 0) <= MIN_CROSS_ZONE_TO_MIGRATION_PRICE_RATIO * prices.get("moves", 0):
            return
        wait_us = IDLE_INTERVAL_US
        remote = self._migratable_connections()
        if remote:
            wait_us = self._migrate_one_of(remote)
        due_at_us = self._clock.now_us + int(wait_us * self._rng.uniform(0.5, 1.5))
        self._actions.append(SetTimer(due_at_us, TimerToken.LOCAL_ZONE_MIGRATION))

    def _migratable_connections(self) -> list[Connection]:
        """Return the connections to servers in other zones that may be migrated.

        Returns none while attempts fail everywhere. Without load data it returns none either: the servers of
        the local zone could be overloaded without the overload ever being detected.
        """
        if self._pacer.interval_us or not self._loads.has_load_data:
            return []
        zone = self._settings.zone
        remote_ids = {server.id for server in self._registry.ready if server.zone != zone}
        return [
            connection
            for connection in self._connections.by_id.values()
            if connection.is_migratable
            and connection.server
            and connection.server.id in remote_ids
            and self._is_settled(connection)
        ]

    def _is_settled(self, connection: Connection) -> bool:
        """Whether a client may be migrated.

        A client that has just reconnected for lack of local capacity would move back and forth.
        """
        settled_at_us = connection.established_at_us + SETTLED_AFTER_US
        return not connection.is_reconnect or self._clock.now_us >= settled_at_us

    def _migrate_one_of(self, remote: list[Connection]) -> int:
        """Migrate one of these connections if there is capacity; return the time until the next check."""
        interval_us = self._migration_interval_us()
        connection = self._rng.choice(remote)
        zone = self._settings.zone
        local = [server for server in self._selector.sample(self._registry.ready) if server.zone == zone]
        max_load = self._max_load(connection)
        local = [
            server
            for server in local
            if self._estimate(server) is None or self._selector.is_eligible(connection, server, max_load)
        ]
        servers_with_estimate = [server for server in local if self._estimate(server) is not None]
        if self._rng.random() < self._migration_probability(servers_with_estimate, max_load, interval_us):
            connection.is_migratable = False
            self._actions.append(MigrateClient(connection.id))
        elif not servers_with_estimate:
            polled = [self._poller.poll(server) for server in local[:CHOICES]]
            if any(polled):
                return REPORT_WAIT_US
        return interval_us

    def _migration_interval_us(self) -> int:
        """Return the time between migrations, derived from the usual rate of requests.

        Migrated at once, all nodes' clients would overload the store shared by all attempts: it sustains a
        few times the usual rate, and connections that break by themselves need capacity there too.
        """
        interval_us = int(SECOND / (PACED_RATE_FACTOR * self._rates.usual_request_rate()))
        return min(max(interval_us, MIN_MIGRATION_INTERVAL_US), MAX_MIGRATION_INTERVAL_US)

    def _max_load(self, connection: Connection) -> float:
        """Return the load up to which local servers are filled.

        This is the higher of the fleet's load and that of the connection's server. Filled further, servers of
        a zone with many clients would have no capacity left for a load spike.
        """
        current_load = self._estimate(connection.server) if connection.server else None
        return min(PREFERRED_LOAD, max(self._loads.mean_reported_load, current_load or 0))

    def _migration_probability(self, servers: list[Server], max_load: float, interval_us: int) -> float:
        """Return the probability of a migration, from this node's share of these servers' spare capacity.

        Until reports show the migrations of the other nodes, each node would fill the same capacity.
        """
        now_us = self._clock.now_us
        connection_capacity = sum(
            (max_load - (self._estimate(server) or 0))
            / max(self._loads.marginal_load(server, now_us), MIN_MARGINAL_LOAD)
            for server in servers
        )
        report_interval_us = max(2 * self._loads.report_interval_us, SECOND)
        return connection_capacity / self._settings.node_count * interval_us / report_interval_us

    def _estimate(self, server: Server) -> float | None:
        return self._loads.estimate(server, self._clock.now_us)
