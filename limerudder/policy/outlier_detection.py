"""Outlier ejection: servers that are slow or fail attempts are avoided for a limited time.

The ejection time doubles with each consecutive failure. After it, a single trial attempt is allowed, like in
a half-open circuit breaker.
"""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.policy.context import PolicyContext
from limerudder.policy.events import AttemptOutcome, HealthCheckResult, ServerState
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.traffic_rates import TrafficRates

BASE_EJECTION_US = SECOND  #: Ejection time after the first failure
MAX_EJECTION_DOUBLINGS = 4  #: Limits the ejection time to 16 s
#: Latency samples come once a second; one may be lost, but two missing ones mean that messages are fast.
LATENCY_SAMPLE_LIFETIME_US = 5 * SECOND // 2
SLOW_CONNECT_AVOIDANCE_US = SECOND
#: Time after its start in which a process does not know its usual request rate.
UNKNOWN_RATE_PERIOD_US = 15 * SECOND

#: Outcomes that do not indicate a fault of the server.
NEUTRAL_OUTCOMES = frozenset({AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.OBSOLETE})


@dataclass(eq=False, repr=False)
class OutlierDetector:
    """Derives the servers to avoid from attempts and latencies."""

    context: PolicyContext
    inferred_loads: InferredLoads | None
    pacer: ConnectPacer
    rates: TrafficRates

    def __post_init__(self) -> None:
        classes = self.context.settings.classes
        self._slow_latency_us = min((c.message_objective_us for c in classes), default=SECOND) / 3

    def is_healthy(self, server: Server) -> bool:
        """Whether a server is neither ejected nor slow."""
        now_us = self.context.clock.now_us
        return server.ejected_until_us <= now_us and server.slow_until_us <= now_us

    def on_attempt_started(self, server: Server) -> None:
        """Eject a server with previous failures again, so that only one trial attempt runs at a time."""
        if server.consecutive_failures:
            server.ejected_until_us = self.context.clock.now_us + BASE_EJECTION_US

    def on_established(self, server: Server, connection: Connection, latency_us: int) -> None:
        """End the ejection of a server after a successful attempt; avoid it if the connect was slow."""
        server.consecutive_failures = 0
        server.ejected_until_us = 0
        if self.inferred_loads and 3 * latency_us > connection.traffic_class.latency_objective_us:
            server.slow_until_us = self.context.clock.now_us + SLOW_CONNECT_AVOIDANCE_US

    def on_message_latency(self, server: Server, latency_us: float) -> None:
        """Update whether a server is slow, based on the latency of a message."""
        is_slow = latency_us > self._slow_latency_us
        server.slow_until_us = self.context.clock.now_us + LATENCY_SAMPLE_LIFETIME_US if is_slow else 0

    def on_health_check(self, server: Server, event: HealthCheckResult) -> None:
        """Mark a server slow after a slow health check, as the reported load does not include backlogs."""
        is_slow = event.latency_us > self._slow_latency_us
        if is_slow and event.outcome in (AttemptOutcome.OK, AttemptOutcome.TIMEOUT):
            server.slow_until_us = self.context.clock.now_us + LATENCY_SAMPLE_LIFETIME_US

    def on_attempt_ended(self, server: Server, connection: Connection, outcome: int) -> None:
        """Eject a server or limit its connections after an attempt or connection was detached from it."""
        if outcome in NEUTRAL_OUTCOMES or server.state != ServerState.READY:
            return
        connection_was_reset = outcome == AttemptOutcome.RESET and connection.answered
        if self.inferred_loads and connection_was_reset:
            self.inferred_loads.record_reset(server, self.context.clock.now_us)
        # A server that is full without any connection of this node is ejected instead of limited: having
        # none of our connections, it would be chosen by every further selection.
        if server.connection_count and (outcome == AttemptOutcome.FULL or connection_was_reset):
            self._limit_connections(server)
        elif not self._is_shared_fault(outcome):
            self._eject(server)

    def _limit_connections(self, server: Server) -> None:
        """Limit a server to its present connections, after it has refused or reset one."""
        server.connection_limit = server.connection_count
        server.connection_limit_set_at_us = self.context.clock.now_us

    def _is_shared_fault(self, outcome: int) -> bool:
        """Whether a failure is attributed to a dependency that all servers share; attempts are then paced."""
        if outcome not in (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT):
            return False
        rate_is_unknown = (
            self.inferred_loads is not None
            and self.context.clock.now_us < self.context.clock.started_at_us + UNKNOWN_RATE_PERIOD_US
        )
        return self.pacer.record_failure(self.rates.last_request_rate, rate_is_unknown)

    def _eject(self, server: Server) -> None:
        server.consecutive_failures += 1
        doublings = min(server.consecutive_failures - 1, MAX_EJECTION_DOUBLINGS)
        server.ejected_until_us = self.context.clock.now_us + (BASE_EJECTION_US << doublings)
