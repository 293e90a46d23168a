"""Detects an upstream that has stopped responding, across all connections that a node has to it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

SILENCE_TIMEOUT_US = 1_000_000  #: a message unanswered for so long while nothing else comes from its upstream
CHECK_INTERVAL_US = 100_000  #: between checks
MIGRATION_STEPS = 10  #: an unresponsive upstream's clients are migrated within about this many checks


class MonitoredAttempt(Protocol):
    """An established connection, as the liveness check sees it."""

    oldest_unanswered_us: int | None  # when the client's oldest unanswered message was sent
    last_received_us: int  # when the upstream last sent anything


class LivenessMonitor:
    """Whether one upstream is silent; it stays so until it sends something again."""

    def __init__(self) -> None:
        self.silent_since_us: int | None = None

    def update(
        self, attempts: Sequence[MonitoredAttempt], last_health_check_answer_us: int, now_us: int
    ) -> bool:
        """Judge by the established connections (at least one) and the last answer to a health check.

        A machine that vanished or was cut off sends no error, and without this each of its clients would wait
        for its own message to go unanswered. A single stream that stopped is not taken for that, since the
        upstream's other connections still receive something.
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
