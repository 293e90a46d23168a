"""Samples of established connections for the policy: load and message latency."""

from __future__ import annotations

from limerudder.core.operations.counters import CounterName
from limerudder.core.requests.proxied_connection import ProxiedConnection
from limerudder.core.services import NodeServices
from limerudder.policy.events import LatencySample, LoadSample
from limerudder.policy.settings import Settings

_SLOW_SAMPLE_INTERVAL_US = 1_000_000  #: Minimum interval between two slow samples of one upstream
_MICROSECONDS_PER_MILLISECOND = 1000


class ConnectionSampler:
    """Sends the policy load samples, and latency samples while an upstream is slow."""

    def __init__(self, services: NodeServices) -> None:
        self._counters = services.counters
        self._dispatch = services.dispatch
        self._slow_latency_us = slow_latency_us(services.settings)
        self._samples_latency = bool(services.settings.reports_latency and self._slow_latency_us)

    def load_reported(self, connection: ProxiedConnection, load: float, now_us: int) -> None:
        """Send the policy the load that an upstream reported for an established connection."""
        upstream = connection.upstream
        if connection.is_established and upstream:
            attempt_number = connection.attempts_started - 1
            self._dispatch(LoadSample(connection.number, upstream.number, load, attempt_number), now_us)

    def latency_measured(self, connection: ProxiedConnection, latency_us: int, now_us: int) -> None:
        """Send the policy a slow latency at most once per second, and the first fast one after it."""
        upstream = connection.upstream
        if upstream is None or not self._samples_latency:
            return
        is_slow = latency_us > self._slow_latency_us
        if is_slow and now_us < upstream.latency_reported_us + _SLOW_SAMPLE_INTERVAL_US:
            return
        if not is_slow and not upstream.is_slow:
            return
        upstream.is_slow = is_slow
        upstream.latency_reported_us = now_us
        counter = CounterName.LATENCY_EXCEEDED if is_slow else CounterName.LATENCY_RECOVERED
        self._counters.increment(counter)
        if connection.is_established:
            latency_ms = latency_us / _MICROSECONDS_PER_MILLISECOND
            attempt_number = connection.attempts_started - 1
            event = LatencySample(connection.number, upstream.number, latency_ms, attempt_number)
            self._dispatch(event, now_us)


def slow_latency_us(settings: Settings) -> int:
    """Return the threshold of slow messages: a third of the strictest objective, or 0 if there is none."""
    objectives_us = [c.message_objective_us for c in settings.classes if c.message_objective_us]
    return min(objectives_us, default=0) // 3
