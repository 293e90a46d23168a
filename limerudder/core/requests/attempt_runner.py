"""Attempts at upstreams: start, timeouts and the handling of their events."""

from __future__ import annotations

from functools import partial

from limerudder.core.operations.counters import ATTEMPT_COUNTERS, CounterName
from limerudder.core.operations.metrics import RequestOutcome
from limerudder.core.operations.rule_monitor import Rule
from limerudder.core.requests.proxied_connection import ConnectionState, ProxiedConnection
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.requests.send_guard import SendGuard
from limerudder.core.services import NodeServices
from limerudder.core.upstream.registry import Upstream, UpstreamRegistry
from limerudder.policy.actions import CancelAttempt, MigrateClient, StartAttempt
from limerudder.policy.events import AttemptEnded, AttemptOutcome, ConnectionEstablished, ServerState

_DEFAULT_CONNECT_TIMEOUT_US = 30_000_000
_MAX_DURATION_US = (1 << 32) - 1  # maximum duration that the policy's event can represent


class AttemptRunner:
    """Executes the policy's decisions on attempts, and enforces the rules that apply to every decision.

    A request has one attempt at a time and no more in total than the settings allow. It is not sent after its
    deadline or its final answer, and only to an upstream that is ready when it is sent.
    """

    def __init__(
        self,
        requests: RequestTable,
        upstreams: UpstreamRegistry,
        guard: SendGuard,
        services: NodeServices,
    ) -> None:
        self._requests = requests
        self._guard = guard
        self._rule_monitor = services.rule_monitor
        self._upstreams = upstreams
        self._settings = services.settings
        self._network = services.network
        self._timer_wheel = services.timer_wheel
        self._counters = services.counters
        self._metrics = services.metrics
        self._traffic_log = services.traffic_log
        self._dispatch = services.dispatch

    # actions of the policy

    def start(self, action: StartAttempt, now_us: int) -> None:
        """Start an attempt, or report it as obsolete if the rules no longer allow it."""
        connection = self._requests.by_number.get(action.request_id)
        if connection is None:
            return
        upstream = self._upstreams.by_number.get(action.server_id)
        attempt_number = connection.attempts_started
        time_left_us = connection.deadline_us - now_us
        timeout_us = min(action.timeout_us, time_left_us) if action.timeout_us else time_left_us
        is_allowed = self._guard.may_start(connection, upstream, timeout_us)
        connection.attempts_started += 1
        if upstream is not None and is_allowed:
            self.dial(connection, upstream, timeout_us, now_us)
        else:
            self._report_obsolete(connection, attempt_number, action.server_id, now_us)

    def _report_obsolete(
        self, connection: ProxiedConnection, attempt_number: int, upstream_number: int, now_us: int
    ) -> None:
        self._counters.increment(CounterName.ATTEMPTS_OBSOLETE)
        is_concluded = int(connection.is_concluded)
        outcome = AttemptOutcome.OBSOLETE
        self._dispatch(
            AttemptEnded(connection.number, attempt_number, upstream_number, outcome, 0, is_concluded, ()),
            now_us,
        )

    def cancel(self, action: CancelAttempt, now_us: int) -> None:
        """Cancel the attempt that the policy names, unless its connection is already established."""
        connection = self._requests.by_number.get(action.request_id)
        if connection is None or connection.attempt is None or connection.is_established:
            return
        if action.attempt == connection.attempts_started - 1:
            self.abort(connection, AttemptOutcome.CANCELLED, now_us)

    def migrate(self, action: MigrateClient, now_us: int) -> None:
        """Migrate a client if its connection is established."""
        connection = self._requests.by_number.get(action.request_id)
        if connection and connection.is_established:
            self.migrate_client(connection, now_us)

    def migrate_client(self, connection: ProxiedConnection, now_us: int) -> None:
        """Make the client of an established connection reconnect, and end the connection."""
        self._counters.increment(CounterName.MIGRATIONS)
        connection.session.migrate(now_us)
        self.abort(connection, AttemptOutcome.CANCELLED, now_us)

    # dialling and aborting

    def dial(
        self, connection: ProxiedConnection, upstream: Upstream, timeout_us: int | None, now_us: int
    ) -> None:
        """Start an attempt; the upstream must accept it within `timeout_us`, if that is given."""
        self._rule_monitor.check(connection.attempt is None, Rule.ONE_ATTEMPT, connection.request.id)
        self._counters.increment(CounterName.ATTEMPTS)
        attempt = connection.session.new_attempt(connection, timeout_us)
        connection.attempt = attempt
        connection.upstream = upstream
        connection.attempt_started_us = now_us
        attempt.transport = self._network.dial(upstream.address, attempt)
        schedule = self._timer_wheel.schedule
        connect_timeout_us = self._settings.connect_timeout_us or _DEFAULT_CONNECT_TIMEOUT_US
        connection.attempt_timers = [
            schedule(now_us + connect_timeout_us, partial(self._connect_timed_out, connection))
        ]
        if timeout_us is not None:
            connection.attempt_timers.append(
                schedule(now_us + timeout_us, partial(self._attempt_timed_out, connection))
            )

    def _connect_timed_out(self, connection: ProxiedConnection, now_us: int) -> None:
        if connection.attempt and not connection.attempt.sent:
            self.abort(connection, AttemptOutcome.CONNECT_FAILED, now_us)

    def _attempt_timed_out(self, connection: ProxiedConnection, now_us: int) -> None:
        if connection.attempt and not connection.is_established:
            sent = connection.attempt.sent
            outcome = AttemptOutcome.TIMEOUT if sent else AttemptOutcome.CONNECT_FAILED
            self.abort(connection, outcome, now_us)

    def abort(self, connection: ProxiedConnection, outcome: AttemptOutcome, now_us: int) -> None:
        """Close the attempt in progress, if any, and handle its end."""
        if connection.attempt:
            connection.attempt.close()
            self.attempt_ended(connection, outcome, (), now_us)

    def abort_unsent_to_unready(self, now_us: int) -> None:
        """Abort the attempts that are still being dialled to upstreams that are no longer ready.

        Otherwise their requests could be written to a draining upstream after its grace period.
        """
        dialling = [c for c in self._requests.values() if c.attempt and not c.attempt.sent]
        for connection in dialling:
            if connection.upstream and connection.upstream.state != ServerState.READY:
                self.abort(connection, AttemptOutcome.CONNECT_FAILED, now_us)

    # events of attempts

    def attempt_ready(self, connection: ProxiedConnection, now_us: int) -> bool:
        """Return whether the request may be written to the connected upstream; if not, abort the attempt.

        The conditions may have changed during the dial, so they are checked immediately before the write.
        """
        if self._guard.may_write(connection, now_us):
            return True
        self.abort(connection, AttemptOutcome.CONNECT_FAILED, now_us)
        return False

    def attempt_sent(self, connection: ProxiedConnection, now_us: int) -> None:
        """Count and check a request whose last byte was written to an upstream."""
        connection.was_sent = True
        self._metrics.record_relayed()
        self._guard.check_written(connection, now_us)
        upstream = connection.upstream
        if upstream:
            request_id = connection.request.id
            self._traffic_log.request_sent(request_id, upstream.name, upstream.ready_since_us, now_us)

    def attempt_established(self, connection: ProxiedConnection, now_us: int) -> None:
        """Start to relay between client and upstream, unless the request is already finished."""
        attempt = connection.attempt
        upstream = connection.upstream
        if attempt is None or upstream is None:
            return
        if connection.state is not ConnectionState.WAITING:
            self.abort(connection, AttemptOutcome.CANCELLED, now_us)
            return
        connection.cancel_attempt_timers()
        connection.establish()
        self._counters.increment(CounterName.ANSWERS_SERVED)
        self._metrics.record(RequestOutcome.FULFILLED, connection.class_index)
        connection.session.start_proxying(attempt, now_us)
        if connection.request.pinned_upstream is None:
            latency_us = now_us - connection.attempt_started_us
            attempt_number = connection.attempts_started - 1
            event = ConnectionEstablished(connection.number, upstream.number, attempt_number, latency_us)
            self._dispatch(event, now_us)

    def attempt_ended(
        self, connection: ProxiedConnection, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int
    ) -> None:
        """Handle the end of an attempt whose connection is closed."""
        connection.cancel_attempt_timers()
        self._counters.increment(ATTEMPT_COUNTERS[outcome])
        connection.attempt = None
        if connection.is_established:
            connection.finish()
        if connection.state is ConnectionState.FINISHED:
            self._requests.remove(connection)
        elif connection.retry_pinned:
            connection.retry_pinned(outcome, now_us)
            return
        self.report_outcome(connection, outcome, report, now_us)

    def report_outcome(
        self, connection: ProxiedConnection, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int
    ) -> None:
        """Report the outcome of the last attempt, if any, to the policy."""
        if connection.upstream is None:
            return
        load_report = report if self._settings.report_via == "answers" else ()
        duration_us = min(now_us - connection.attempt_started_us, _MAX_DURATION_US)
        request_id = connection.request.id
        self._traffic_log.attempt_ended(request_id, connection.upstream.name, outcome, duration_us)
        is_concluded = int(connection.is_concluded)
        event = AttemptEnded(
            connection.number,
            connection.attempts_started - 1,
            connection.upstream.number,
            outcome,
            duration_us,
            is_concluded,
            load_report,
        )
        self._dispatch(event, now_us)
