"""Places requests: starts attempts, queues requests until there is capacity, retries, and answers.

A request that a server may have executed is retried only if its traffic class makes that safe.
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

PENDING_RETRY_INTERVAL_US = SECOND // 10  #: Selection interval of a request that waits for capacity
RETRY_AFTER_US = SECOND  #: Retry-After sent to rejected clients
#: Minimum time before the deadline to start an attempt; with less, it could not end in time.
MIN_TIME_LEFT_TICKS = 2


@dataclass(eq=False, repr=False)
class RequestPlacement:
    """Assigns each request to a server or gives its final answer."""

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
        """Start an attempt, queue the request while a server may still become available, or answer it."""
        now_us = self.context.clock.now_us
        if not self._may_attempt(connection):
            self.answer(connection)
            return
        if self.pacer.interval_us and not connection.paced_start_us:
            latest_us = connection.deadline_us - self.context.settings.connect_timeout_us
            start_us = self.pacer.reserve(now_us, latest_us)
            if start_us is None:  # no connection could be established before the deadline
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
        """Give the final answer: rejected if the client can safely retry, otherwise failed."""
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
        """Retry an unanswered request, unless its attempt has become obsolete."""
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
            # The request is sent when the connection is established, which may take the full connect timeout.
            latest_send_us = now_us + settings.connect_timeout_us
            if latest_send_us >= connection.possibly_executed.started_at_us + window_us:
                return False
        if connection.attempts_started >= settings.max_attempts:
            return False
        return connection.deadline_us - now_us > MIN_TIME_LEFT_TICKS * settings.tick_us

    def _poll_candidates(self, connection: Connection) -> bool:
        """Poll the servers that a request may join, once; return whether to wait for their reports.

        Only the first d candidates are polled: each additional one would repeat the group's shared work.
        """
        reports_arrive_in_time = self.context.clock.now_us + REPORT_WAIT_US < connection.objective_at_us
        if not self.poller.on_demand or connection.candidates_polled or not reports_arrive_in_time:
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
        connection.permit = self._acquire_permit(server)
        self.outliers.on_attempt_started(server)
        if connection.attempts_started == 1:
            self.rates.record_request(connection.is_reconnect)
            self.poller.earn_credit()
        self.context.actions.append(StartAttempt(connection.id, server.id, timeout_us))

    def _acquire_permit(self, server: Server) -> Permit | None:
        """Acquire a turn at a server in slow start; warm servers need no permit."""
        now_us = self.context.clock.now_us
        if not self.slow_start.is_warming_up(server, now_us):
            return None
        return self.slow_start.acquire(server, now_us)

    def _attempt_timeout_us(self, connection: Connection) -> int:
        """Return the timeout of an attempt: about half of the time left, or all of it for the last attempt.

        After a wave of clients, attempts are slow because the servers share an overloaded store. Cancelling
        them at the latency objective and retrying would double the work and delay them further. A late start
        is acceptable, since a connection has its value over its whole lifetime.
        """
        time_left_us = connection.deadline_us - self.context.clock.now_us
        is_last = connection.attempts_started + 1 >= self.context.settings.max_attempts
        if is_last or self.pacer.interval_us:
            return time_left_us
        objective_us = connection.traffic_class.latency_objective_us
        return max(time_left_us // 2, min(time_left_us, objective_us))
