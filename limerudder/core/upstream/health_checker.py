"""Health checks of upstreams, as requested by the policy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from limerudder.core.operations.counters import HEALTH_CHECK_COUNTERS, CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.services import NodeServices
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.core.upstream.load_report import MALFORMED_REPORT, is_malformed
from limerudder.core.upstream.registry import Upstream, UpstreamRegistry
from limerudder.policy.actions import CheckHealth, CloseIdleConnections
from limerudder.policy.events import AttemptOutcome, HealthCheckResult, ServerState

_ANSWER_TIMEOUT_US = 120_000
_ANSWERED_OUTCOMES = (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.FULL)


class HealthChecker:
    """Sends health checks over one connection per upstream, which stays open while the upstream answers."""

    def __init__(
        self,
        upstreams: UpstreamRegistry,
        report_fields: Sequence[str],
        max_connections: Callable[[], int],
        services: NodeServices,
    ) -> None:
        """`max_connections` returns how many descriptors health checks may currently use."""
        self._upstreams = upstreams
        self._report_fields = report_fields
        self._max_connections = max_connections
        self._connected: dict[Upstream, None] = {}  # Upstreams with a connection, in dial order
        self._idle: dict[Upstream, None] = {}  # Connected ones without a pending check, longest idle first
        self._is_enabled = services.settings.allows_health_checks
        self._network = services.network
        self._timer_wheel = services.timer_wheel
        self._counters = services.counters
        self._log = services.log
        self._dispatch = services.dispatch

    def check(self, action: CheckHealth, now_us: int) -> None:
        """Send a health check; its result is dispatched to the policy as an event.

        A check for which no descriptor is available is not sent, and gives no result.
        """
        upstream = self._upstreams.by_number.get(action.server_id)
        if upstream is None or not self._is_enabled:
            return
        connection = upstream.health_check
        is_connected = connection is not None and not connection.ended
        if not is_connected and not self._ensure_capacity():
            self._counters.increment(CounterName.HEALTH_CHECKS_OBSOLETE)
            return
        self._counters.increment(CounterName.HEALTH_CHECKS)
        self._idle.pop(upstream, None)
        if connection is not None and is_connected:
            connection.send_check(now_us)
        else:
            connection = self._connect(upstream, now_us)
        self._timer_wheel.schedule(now_us + _ANSWER_TIMEOUT_US, partial(connection.expire_pending, now_us))

    def _ensure_capacity(self) -> bool:
        """Close idle connections until the limit allows one more; return whether it does."""
        max_connections = self._max_connections()
        while self._idle and len(self._connected) >= max_connections:
            self._close(next(iter(self._idle)))
        return len(self._connected) < max_connections

    def _close(self, upstream: Upstream) -> None:
        if upstream.health_check:
            upstream.health_check.close()

    def _ended(self, upstream: Upstream) -> None:
        self._connected.pop(upstream, None)
        self._idle.pop(upstream, None)

    def _connect(self, upstream: Upstream, now_us: int) -> HealthCheckConnection:
        connection = HealthCheckConnection(
            self._report_fields, partial(self._completed, upstream), partial(self._ended, upstream)
        )
        upstream.health_check = connection
        self._connected[upstream] = None
        connection.send_check(now_us)
        connection.transport = self._network.dial(upstream.address, connection)
        return connection

    def _completed(
        self,
        upstream: Upstream,
        latency_us: int,
        outcome: AttemptOutcome,
        report: tuple[float, ...],
        now_us: int,
    ) -> None:
        self._counters.increment(HEALTH_CHECK_COUNTERS[outcome])
        if is_malformed(report):
            self._counters.increment(CounterName.LOAD_REPORTS_MALFORMED)
            self._log(LogKind.LOAD_REPORT_MALFORMED, MALFORMED_REPORT.format(upstream.name))
        connection = upstream.health_check
        if connection and not connection.ended and not connection.pending_since_us:
            self._idle[upstream] = None
        if outcome in _ANSWERED_OUTCOMES:
            upstream.last_health_check_answer_us = now_us
        self._dispatch(HealthCheckResult(upstream.number, latency_us, outcome, report), now_us)

    def close_idle(self, action: CloseIdleConnections, now_us: int) -> None:
        """Close the connection to an upstream unless a health check is pending on it."""
        upstream = self._upstreams.by_number.get(action.server_id)
        if upstream and upstream in self._idle:
            self._close(upstream)

    def close_unready(self) -> None:
        """Close the connections to upstreams that are no longer ready."""
        for upstream in list(self._connected):
            if upstream.state != ServerState.READY:
                self._close(upstream)

    def has_pending_checks(self) -> bool:
        """Return whether a health check is pending on any connection."""
        connections = (upstream.health_check for upstream in self._connected)
        return any(connection and connection.pending_since_us for connection in connections)
