"""Detects an upstream that has stopped responding, across all connections that a node has to it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

SILENCE_TIMEOUT_US = 1_000_000  #: Answer timeout of a message while its upstream sends nothing else
CHECK_INTERVAL_US = 100_000  #: Interval between the checks of an upstream
MIGRATION_STEPS = 10  #: Approximate number of checks over which the clients of a silent upstream are migrated


class MonitoredAttempt(Protocol):
    """An established connection, as the liveness check uses it."""

    oldest_unanswered_us: int | None  # Send time of the client's oldest unanswered message
    last_received_us: int  # Time of the last data from the upstream


class LivenessMonitor:
    """Detects whether one upstream is silent, which it remains until it sends something again."""

    def __init__(self) -> None:
        self.silent_since_us: int | None = None

    def update(
        self, attempts: Sequence[MonitoredAttempt], last_health_check_answer_us: int, now_us: int
    ) -> bool:
        """Return whether the upstream is silent, judging by its connections (at least one) and health checks.

        A machine that vanished or was cut off sends no error. Without this check, each of its clients would
        wait for the timeout of its own message. A single stopped stream does not count as silence, because
        the upstream's other connections still receive data.
        """
        last_received = max(last_health_check_answer_us, *(attempt.last_received_us for attempt in attempts))
        if self.silent_since_us is not None and last_received > self.silent_since_us:
            self.silent_since_us = None
        if self.silent_since_us is None:
            waiting = [
                attempt.oldest_unanswered_us
                for attempt in attempts
                if attempt.oldest_unanswered_us is not None
            ]
            if any(last_received <= sent_at <= now_us - SILENCE_TIMEOUT_US for sent_at in waiting):
                self.silent_since_us = now_us
        return self.silent_since_us is not None
