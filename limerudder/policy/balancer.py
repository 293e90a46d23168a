"""The connection policy of one node: turns events into actions (see interface).

A Balancer has no clock, sockets or threads. Each event carries its time, and random numbers come from the
generator passed to the constructor, so the same events lead to the same actions.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from limerudder.policy import events
from limerudder.policy.actions import Action
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import Clock, PolicyContext
from limerudder.policy.discovery_polling import DiscoveryPoller
from limerudder.policy.draining import DrainMigration
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.gossip_exchange import GossipExchange
from limerudder.policy.load_events import LoadEvents
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.load_polling import MIN_SWEEP_INTERVAL_US, LoadPoller, polls_load_reports
from limerudder.policy.load_shedding import LoadShedding
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.overload_relief import OverloadRelief
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.rebalancing import LocalZoneRebalancer, ReturnedServerRebalancer
from limerudder.policy.records import Server
from limerudder.policy.rejection_log import RejectionLog
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.request_lifecycle import RequestLifecycle
from limerudder.policy.retry import RequestPlacement
from limerudder.policy.selection import ServerSelector
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.settings import Settings
from limerudder.policy.slow_start import SlowStartBudget
from limerudder.policy.timers import ConnectionTimers, TimerToken
from limerudder.policy.traffic_rates import TrafficRates


class Balancer:
    """Owns the components of the policy and dispatches each event to its handler."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._context = context = PolicyContext(settings, rng, Clock(), [])
        self._started = False
        self._create_state(context)
        self._create_selection(context)
        self._create_request_handling(context)
        self._create_periodic_tasks(context)
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.EndpointUpdate: self._on_endpoint_update,
            events.NewRequest: self._requests.on_new_request,
            events.ExistingConnection: self._requests.on_existing_connection,
            events.ConnectionEstablished: self._requests.on_connection_established,
            events.AttemptEnded: self._requests.on_attempt_ended,
            events.ClientDisconnected: self._requests.on_client_disconnected,
            events.LoadSample: self._load_events.on_load_sample,
            events.LatencySample: self._load_events.on_latency_sample,
            events.TimerFired: self._on_timer_fired,
            events.HealthCheckResult: self._load_events.on_health_check_result,
            events.PeerMessage: self._load_events.on_peer_message,
            events.PredecessorConnections: self._requests.on_predecessor_connections,
            events.TurnOwnership: self._on_turn_ownership,
        }
        self._timer_handlers: dict[int, Callable[[], None]] = {
            TimerToken.LOAD_SWEEP: self.poller.sweep,
            TimerToken.DISCOVERY_POLL: self._discovery.poll,
            TimerToken.RETURNED_SERVER: self._returned_servers.migrate,
            TimerToken.LOCAL_ZONE_MIGRATION: self._local_zone.migrate,
            TimerToken.GOSSIP_ROUND: self._gossip_exchange.run_round,
        }

    def handle(self, event: events.Event, now_us: int, /) -> list[Action]:
        """Handle one event and return the actions, to be executed in order."""
        self._context.clock.advance(now_us)
        actions = self._context.actions
        actions.clear()
        self._handlers[type(event)](event)
        return actions.copy()

    def avoided_servers(self, now_us: int) -> set[int]:
        """Return the ids of the ready servers that are currently ejected or slow."""
        self._context.clock.advance(now_us)
        return {server.id for server in self.registry.ready if not self.outliers.is_healthy(server)}

    def malformed_peer_messages(self) -> int:
        """Return the number of peer datagrams dropped because their format is invalid."""
        return self.gossip.malformed_datagrams

    def confirm_send(self, request_id: int, server_id: int, now_us: int) -> bool:
        """Return whether a request may be written to a server now; called directly before the write.

        A request to a server in slow start needs a turn of this node: the one acquired with the decision, or
        another one if that turn has expired or the server has restarted.
        """
        self._context.clock.advance(now_us)
        server = self.registry.servers.get(server_id)
        if server is None or not self.slow_start.is_warming_up(server, now_us):
            return True
        connection = self.connections.by_id.get(request_id)
        permit = connection.permit if connection else None
        if connection:
            connection.permit = None
        if permit is None or not permit.is_valid(server, now_us):
            permit = self.slow_start.acquire(server, now_us)
        return permit is not None

    # Construction

    def _create_state(self, context: PolicyContext) -> None:
        """Create the state of servers, connections, loads and traffic."""
        settings = context.settings
        self.connections = ConnectionTable()
        self.timers = ConnectionTimers(context.actions)
        self.rates = TrafficRates(context.clock)
        self.gossip = LoadGossip(settings)
        self.pacer = ConnectPacer()
        self.inferred_loads: InferredLoads | None = None
        if settings.reports_latency and not polls_load_reports(settings):
            self.inferred_loads = InferredLoads(settings, MIN_SWEEP_INTERVAL_US)
        self.loads = self.inferred_loads or ReportedLoads(settings, MIN_SWEEP_INTERVAL_US)
        self.slow_start = SlowStartBudget(settings, self.loads)
        self.registry = ServerRegistry(context, self.slow_start)
        self.poller = LoadPoller(context, self.registry, self.loads, self.gossip, self.rates)

    def _create_selection(self, context: PolicyContext) -> None:
        """Create the components that select servers."""
        self._draining = DrainMigration(context, self.timers)
        self.outliers = OutlierDetector(context, self.inferred_loads, self.pacer, self.rates)
        self.load_shedding = LoadShedding(
            context,
            registry=self.registry,
            index=self.connections.index,
            loads=self.loads,
            inferred_loads=self.inferred_loads,
            poller=self.poller,
            slow_start=self.slow_start,
        )
        self.selector = ServerSelector(
            context,
            registry=self.registry,
            connections=self.connections,
            loads=self.loads,
            gossip=self.gossip,
            poller=self.poller,
            load_shedding=self.load_shedding,
            outliers=self.outliers,
            draining=self._draining,
        )

    def _create_request_handling(self, context: PolicyContext) -> None:
        """Create the components that place, retry, reject and track requests."""
        placement = RequestPlacement(
            context,
            registry=self.registry,
            connections=self.connections,
            timers=self.timers,
            poller=self.poller,
            pacer=self.pacer,
            rates=self.rates,
            slow_start=self.slow_start,
            outliers=self.outliers,
            selector=self.selector,
            rejection_log=RejectionLog(
                context, self.registry, self.loads, self.pacer, self.load_shedding, self.outliers
            ),
        )
        self._requests = RequestLifecycle(
            context,
            registry=self.registry,
            connections=self.connections,
            timers=self.timers,
            rates=self.rates,
            slow_start=self.slow_start,
            pacer=self.pacer,
            outliers=self.outliers,
            placement=placement,
        )

    def _create_periodic_tasks(self, context: PolicyContext) -> None:
        """Create the components that poll discovery and loads, and migrate connections."""
        self._discovery = DiscoveryPoller(context)
        self._gossip_exchange = GossipExchange(context, self.registry, self.gossip, self.rates, self.poller)
        self._returned_servers = ReturnedServerRebalancer(context, self.registry)
        overload_relief = OverloadRelief(
            context,
            self.connections,
            self.loads,
            self.gossip,
            self.rates,
            self.load_shedding,
            self.outliers,
        )
        self._load_events = LoadEvents(
            context,
            registry=self.registry,
            connections=self.connections,
            loads=self.loads,
            inferred_loads=self.inferred_loads,
            poller=self.poller,
            outliers=self.outliers,
            gossip_exchange=self._gossip_exchange,
            overload_relief=overload_relief,
        )
        self._local_zone = LocalZoneRebalancer(
            context,
            self.registry,
            self.connections,
            self.loads,
            self.poller,
            self.pacer,
            self.rates,
            self.selector,
        )

    # Endpoints

    def _on_endpoint_update(self, event: events.EndpointUpdate) -> None:
        if event.kind == events.UpdateKind.FAILED:
            self._discovery.on_failure()
            return
        self.registry.apply(event, self._on_server_state_change)
        if event.kind == events.UpdateKind.OPERATOR:
            return  # not an answer from discovery, so it must not delay the next poll
        if self._started:
            self._discovery.on_update()
        else:
            self._start()

    def _on_turn_ownership(self, event: events.TurnOwnership) -> None:
        if event.is_own:
            self.slow_start.start_using_turns(self._context.clock.now_us)
        else:
            self.slow_start.stop_using_turns()

    def _on_server_state_change(self, server: Server) -> None:
        registry = self.registry
        now_us = self._context.clock.now_us
        self.loads.on_server_state_change(server, registry.ready, registry.ready_weight, now_us)
        if server.state == events.ServerState.DRAINING:
            self._draining.start(server)

    def _start(self) -> None:
        """Start the periodic tasks after the first endpoint list has arrived."""
        self._started = True
        self._context.clock.started_at_us = self._context.clock.now_us
        self.slow_start.start_using_turns(self._context.clock.now_us)
        if self.poller.enabled:
            self.poller.sweep()
        if self.poller.enabled or self.inferred_loads:
            self._local_zone.migrate()
        self._gossip_exchange.start()
        self._discovery.start()

    # Timers

    def _on_timer_fired(self, event: events.TimerFired) -> None:
        handler = self._timer_handlers.get(event.token)
        if handler is not None:
            handler()
        else:
            self._requests.on_timer(event.token)
