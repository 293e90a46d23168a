"""Places requests: starts attempts, lets requests wait for room, retries, and gives final answers.

A request whose attempt may have been executed is retried only where its traffic class makes that safe.
"""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.policy.actions import FailRequest, RejectRequest, StartAttempt
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import NOT_EXECUTED_OUTCOMES, AttemptEnded, AttemptOutcome
from limerudder.policy.load_polling import REPORT_WAIT_US, LoadPoller
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import SECOND, Connection, Permit, PossibleExecution, Server
from limerudder.policy.rejection_log import RejectionLog
from limerudder.policy.selection import ServerSelector
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.slow_start import SlowStartBudget
from limerudder.policy.timers import ConnectionTimers
from limerudder.policy.traffic_rates import TrafficRates

PENDING_RETRY_INTERVAL_US = SECOND // 10  #: between draws for a request that waits for room
RETRY_AFTER_US = SECOND  #: the Retry-After of a rejected client
MIN_TIME_LEFT_TICKS = 2  #: with less time left, an attempt could not end before the deadline


@dataclass(eq=False, repr=False)
class RequestPlacement:
    """Brings each request to a server or to its final answer."""

    context: PolicyContext
    registry: ServerRegistry
    connections: ConnectionTable
    timers: ConnectionTimers
    poller: LoadPoller
    pacer: ConnectPacer
    rates: TrafficRates
    slow_start: SlowStartBudget
    outliers: OutlierDetector
    selector: ServerSelector
    rejection_log: RejectionLog

    def place(self, connection: Connection) -> None:
        """Start an attempt, let the request wait while that may help, or give its final answer."""
        now_us = self.context.clock.now_us
        if not self._may_attempt(connection):
            self.answer(connection)
            return
        if self.pacer.interval_us and not connection.paced_start_us:
            latest_us = connection.deadline_us - self.context.settings.connect_timeout_us
            start_us = self.pacer.reserve(now_us, latest_us)
            if start_us is None:  # answered early, since it could not be established in time
                self.answer(connection)
                return
            connection.paced_start_us = start_us
            if start_us > now_us:
                self.timers.schedule(connection, start_us)
                return
        if self._poll_candidates(connection):
            self.timers.schedule(connection, now_us + REPORT_WAIT_US)
            return
        server = self.selector.select(connection)
        if server is not None:
            self._start_attempt(connection, server)
        elif now_us + PENDING_RETRY_INTERVAL_US < connection.objective_at_us:
            self.timers.schedule(connection, now_us + PENDING_RETRY_INTERVAL_US)
        else:
            self.answer(connection)

    def answer(self, connection: Connection) -> None:
        """Give the final answer: rejected where the client may safely retry, else failed."""
        self.rejection_log.record()
        traffic_class = connection.traffic_class
        is_idempotent = traffic_class.effect == "safe" or (
            traffic_class.effect == "keyed" and traffic_class.key_scope == "all"
        )
        if connection.possibly_executed is None or is_idempotent:
            retry_after_us = RETRY_AFTER_US if self.context.settings.sends_retry_after else 0
            self.context.actions.append(RejectRequest(connection.id, retry_after_us))
        else:
            self.context.actions.append(FailRequest(connection.id))
        self.connections.conclude(connection)

    def on_attempt_failed(self, connection: Connection, server: Server, event: AttemptEnded) -> None:
        """Retry a request that still waits for its answer, unless its attempt has become obsolete."""
        connection.tried_servers.append(server)
        may_have_executed = (
            event.outcome not in NOT_EXECUTED_OUTCOMES and connection.traffic_class.effect != "safe"
        )
        if may_have_executed and connection.possibly_executed is None:
            started_at_us = self.context.clock.now_us - event.latency_us
            connection.possibly_executed = PossibleExecution(started_at_us, server)
        if event.outcome == AttemptOutcome.OBSOLETE:
            self.answer(connection)
        else:
            self.place(connection)

    def _may_attempt(self, connection: Connection) -> bool:
        """Whether one more attempt is allowed, safe and in time."""
        now_us = self.context.clock.now_us
        settings = self.context.settings
        if connection.possibly_executed is not None:
            traffic_class = connection.traffic_class
            window_us = traffic_class.idempotency_window_us if traffic_class.effect == "keyed" else 0
            # The request is sent once the connection is established, as late as the connect timeout allows.
            latest_send_us = now_us + settings.connect_timeout_us
            if latest_send_us >= connection.possibly_executed.started_at_us + window_us:
                return False
        if connection.attempts_started >= settings.max_attempts:
            return False
        return connection.deadline_us - now_us > MIN_TIME_LEFT_TICKS * settings.tick_us

    def _poll_candidates(self, connection: Connection) -> bool:
        """Poll the servers that a request may join, once; return whether to wait for their reports.

        Candidates beyond the first d are not polled: each would do the group's shared work again.
        """
        reports_come_in_time = self.context.clock.now_us + REPORT_WAIT_US < connection.objective_at_us
        if not self.poller.on_demand or connection.candidates_polled or not reports_come_in_time:
            return False
        connection.candidates_polled = True
        polled = False
        for server in self.selector.ring_candidates(connection, self.selector.zones[0]):
            if self.selector.may_join(connection, server) and self.poller.poll(server):
                polled = True
        return polled

    def _start_attempt(self, connection: Connection, server: Server) -> None:
        timeout_us = self._attempt_timeout_us(connection)
        connection.attempts_started += 1
        connection.paced_start_us = 0
        self.registry.returned.pop(server, None)
        self.connections.attach(connection, server)
        connection.permit = self._take_permit(server)
        self.outliers.on_attempt_started(server)
        if connection.attempts_started == 1:
            self.rates.record_request(connection.is_reconnect)
            self.poller.earn_credit()
        self.context.actions.append(StartAttempt(connection.id, server.id, timeout_us))

    def _take_permit(self, server: Server) -> Permit | None:
        """Take a turn at a server in slow start; others need no permit."""
        now_us = self.context.clock.now_us
        if not self.slow_start.is_warming_up(server, now_us):
            return None
        return self.slow_start.take(server, now_us)

    def _attempt_timeout_us(self, connection: Connection) -> int:
        """Return how long an attempt may take: about half of the time left, unless it is the last.

        After a wave of clients, connects take long at a store that they share. Given up at the latency
        objective and retried, each would be done twice and later still; a connection earns over its whole
        life, so it may start late.
        """
        time_left_us = connection.deadline_us - self.context.clock.now_us
        is_last = connection.attempts_started + 1 >= self.context.settings.max_attempts
        if is_last or self.pacer.interval_us:
            return time_left_us
        objective_us = connection.traffic_class.latency_objective_us
        return max(time_left_us // 2, min(time_left_us, objective_us))
