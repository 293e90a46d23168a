"""Periodic scan for silent upstreams, and the migration of their clients."""

from __future__ import annotations

from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.ports import Attempt
from limerudder.core.requests.proxied_connection import ConnectionState
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.services import NodeServices
from limerudder.core.upstream.liveness import CHECK_INTERVAL_US, MIGRATION_STEPS
from limerudder.core.upstream.registry import Upstream


class LivenessScanner:
    """Migrates the clients of silent upstreams step by step while the upstreams remain silent."""

    def __init__(self, requests: RequestTable, services: NodeServices) -> None:
        self._requests = requests
        self._timer_wheel = services.timer_wheel
        self._counters = services.counters
        self._log = services.log

    def scan(self, now_us: int) -> None:
        """Scan now, and again at every interval."""
        self._timer_wheel.schedule(now_us + CHECK_INTERVAL_US, self.scan)
        for upstream, attempts in self._established_attempts().items():
            self._check(upstream, attempts, now_us)

    def _established_attempts(self) -> dict[Upstream, list[Attempt]]:
        established = ConnectionState.ESTABLISHED
        attempts: dict[Upstream, list[Attempt]] = {}
        for connection in self._requests.values():
            if connection.state is established and connection.upstream and connection.attempt:
                attempts.setdefault(connection.upstream, []).append(connection.attempt)
        return attempts

    def _check(self, upstream: Upstream, attempts: list[Attempt], now_us: int) -> None:
        was_silent = upstream.liveness.silent_since_us is not None
        if not upstream.liveness.update(attempts, upstream.last_health_check_answer_us, now_us):
            return
        if not was_silent:
            self._counters.increment(CounterName.UPSTREAMS_UNRESPONSIVE)
            text = f"node: upstream {upstream.name} is unresponsive; migrating {len(attempts)} connections"
            self._log(LogKind.HOST_UNRESPONSIVE, text)
        step_size = -(-len(attempts) // MIGRATION_STEPS)
        for attempt in attempts[:step_size]:
            self._counters.increment(CounterName.MIGRATIONS)
            attempt.end_unresponsive(now_us)
