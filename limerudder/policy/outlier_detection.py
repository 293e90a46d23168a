"""Outlier ejection: servers whose attempts fail, or that are slow, are avoided for a while.

After consecutive failures a server is ejected for a time that doubles with each failure, then a single
attempt is tried (a circuit breaker, half open).
"""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.policy.context import PolicyContext
from limerudder.policy.events import AttemptOutcome, HealthCheckResult, ServerState
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.traffic_rates import TrafficRates

BASE_EJECTION_US = SECOND  #: after the first failure
MAX_EJECTION_DOUBLINGS = 4  #: up to 16 s
#: Latency samples come once a second; one may be lost, two that are missing mean that messages are fast.
LATENCY_SAMPLE_LIFETIME_US = 5 * SECOND // 2
SLOW_CONNECT_AVOIDANCE_US = SECOND
UNKNOWN_RATE_PERIOD_US = 15 * SECOND  #: after its start a process does not know its usual rate yet

#: Outcomes that say nothing of the server.
NEUTRAL_OUTCOMES = frozenset({AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.OBSOLETE})


@dataclass(eq=False, repr=False)
class OutlierDetector:
    """Learns from attempts and latencies which servers to avoid."""

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
        """Eject a server that has failed again: one trial at a time."""
        if server.consecutive_failures:
            server.ejected_until_us = self.context.clock.now_us + BASE_EJECTION_US

    def on_established(self, server: Server, connection: Connection, latency_us: int) -> None:
        """An attempt has succeeded: the server recovers, unless the connect was slow."""
        server.consecutive_failures = 0
        server.ejected_until_us = 0
        if self.inferred_loads and 3 * latency_us > connection.traffic_class.latency_objective_us:
            server.slow_until_us = self.context.clock.now_us + SLOW_CONNECT_AVOIDANCE_US

    def on_message_latency(self, server: Server, latency_us: float) -> None:
        """A message has taken this long: the server is slow, or no longer."""
        is_slow = latency_us > self._slow_latency_us
        server.slow_until_us = self.context.clock.now_us + LATENCY_SAMPLE_LIFETIME_US if is_slow else 0

    def on_health_check(self, server: Server, event: HealthCheckResult) -> None:
        """A slow health check shows a backlog, which the reported load does not include."""
        is_slow = event.latency_us > self._slow_latency_us
        if is_slow and event.outcome in (AttemptOutcome.OK, AttemptOutcome.TIMEOUT):
            server.slow_until_us = self.context.clock.now_us + LATENCY_SAMPLE_LIFETIME_US

    def on_attempt_ended(self, server: Server, connection: Connection, outcome: int) -> None:
        """Learn from how an attempt, or the connection it established, ended; it is counted out already."""
        if outcome in NEUTRAL_OUTCOMES or server.state != ServerState.READY:
            return
        connection_was_reset = outcome == AttemptOutcome.RESET and connection.answered
        if self.inferred_loads and connection_was_reset:
            self.inferred_loads.record_reset(server, self.context.clock.now_us)
        # A server that is full without any connection of this node gets no limit: with none of ours it
        # would be chosen in each further draw.
        if server.connection_count and (outcome == AttemptOutcome.FULL or connection_was_reset):
            self._limit_connections(server)
        elif not self._is_shared_fault(outcome):
            self._eject(server)

    def _limit_connections(self, server: Server) -> None:
        """The server refused or reset a connection: it holds all it can of this node's."""
        server.connection_limit = server.connection_count
        server.connection_limit_set_at_us = self.context.clock.now_us

    def _is_shared_fault(self, outcome: int) -> bool:
        """Whether a failure is put down to what all servers share, and connects are paced for it."""
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
