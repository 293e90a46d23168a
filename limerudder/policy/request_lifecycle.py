"""Tracks each request from its arrival to the end of its connection, driven by the node's events."""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.policy import events
from limerudder.policy.actions import CancelAttempt, MigrateClient
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import Connection
from limerudder.policy.retry import RequestPlacement
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.slow_start import SlowStartBudget
from limerudder.policy.timers import ConnectionTimers
from limerudder.policy.traffic_rates import TrafficRates

RING_KEY_BITS = 32


@dataclass(eq=False, repr=False)
class RequestLifecycle:
    """Handles the events of requests, attempts and connections."""

    context: PolicyContext
    registry: ServerRegistry
    connections: ConnectionTable
    timers: ConnectionTimers
    rates: TrafficRates
    slow_start: SlowStartBudget
    pacer: ConnectPacer
    outliers: OutlierDetector
    placement: RequestPlacement

    def on_new_request(self, event: events.NewRequest) -> None:
        """Place a new request; a repeated id is ignored."""
        if event.request_id in self.connections.by_id:
            return
        connection = self._add_connection(event)
        connection.ring_key = self.context.rng.getrandbits(RING_KEY_BITS)
        self.placement.place(connection)

    def on_existing_connection(self, event: events.ExistingConnection) -> None:
        """Register a connection that was established before the policy started."""
        if event.request_id in self.connections.by_id:
            return
        server = self.registry.get_or_create(event.server_id)
        connection = self._add_connection(event)
        connection.attempts_started = 1
        connection.is_migratable = True
        connection.established = True
        connection.answered = True
        self.rates.existing_connections += 1
        self.slow_start.reference.measure_from(self.context.clock.started_at_us)
        self.connections.attach(connection, server)

    def on_predecessor_connections(self, event: events.PredecessorConnections) -> None:
        """Record the connections to a server that the predecessor process still has.

        A process that has just started has no connections. It would count each client that moves over from
        its predecessor as additional load, although reports include it already, and reject all clients until
        new reports arrive.
        """
        server = self.registry.servers.get(event.server_id)
        if server is not None:
            server.predecessor_connections = event.connections

    def on_connection_established(self, event: events.ConnectionEstablished) -> None:
        """Record the success of an attempt."""
        connection = self.connections.find_attempt(event)
        if connection is None or connection.server is None:
            return
        server = connection.server
        self.connections.establish(connection, server, self.context.clock.now_us)
        if not connection.is_reconnect:
            self.slow_start.reference.record_connection(self.context.clock.now_us)
        if server.state == events.ServerState.DRAINING:  # drained during the attempt: migrate it, too
            self.timers.schedule(connection, self.context.clock.now_us)
        self.outliers.on_established(server, connection, event.latency_us)
        self.pacer.record_success(self.rates.last_request_rate)

    def on_attempt_ended(self, event: events.AttemptEnded) -> None:
        """Update the server's health after an attempt or its connection has ended, and retry if needed."""
        connection = self.connections.find_attempt(event)
        if connection is None or connection.server is None:
            return
        server = connection.server
        self.connections.detach(connection, server)
        self.outliers.on_attempt_ended(server, connection, event.outcome)
        if event.request_closed or connection.answered:
            self.connections.conclude(connection)
        else:
            self.placement.on_attempt_failed(connection, server, event)

    def on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """Conclude the request of a client that has disconnected, and cancel its attempt if the node can."""
        connection = self.connections.by_id.get(event.request_id)
        if connection is None or connection.answered:
            return
        self.connections.conclude(connection)
        attempt_is_pending = connection.server is not None and not connection.is_migratable
        if attempt_is_pending and self.context.settings.allows_cancellation:
            cancel = CancelAttempt(connection.id, connection.attempts_started - 1)
            self.context.actions.append(cancel)

    def on_timer(self, token: int) -> None:
        """Migrate a connection from a draining server, or place its waiting request, when its timer fires."""
        connection = self.timers.pop(token)
        if connection is None:
            return
        server = connection.server
        if connection.is_migratable and server and server.state == events.ServerState.DRAINING:
            self.context.actions.append(MigrateClient(connection.id))
        elif not connection.answered:
            self.placement.place(connection)

    def _add_connection(self, event: events.NewRequest | events.ExistingConnection) -> Connection:
        traffic_class = self.context.settings.classes[event.traffic_class]
        connection = Connection(event, traffic_class, self.context.clock.now_us)
        self.connections.by_id[event.request_id] = connection
        return connection
