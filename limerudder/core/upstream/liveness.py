"""Detects an upstream that has stopped responding, across all connections that a node has to it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

SILENT = 1_000_000  #: a message unanswered for so long while nothing else comes from its upstream
LOOK = 100_000  #: between checks
LOOKS = 10  #: an unresponsive upstream's clients are migrated within about this many checks


class MonitoredAttempt(Protocol):
    """An established connection, as the liveness check sees it."""

    asked: int | None  # when the client's oldest unanswered message was sent
    heard: int  # when the upstream last sent anything


class LivenessMonitor:
    """Whether one upstream is silent; it stays so until it sends something again."""

    def __init__(self) -> None:
        self.since: int | None = None

    def look(self, standing: Sequence[MonitoredAttempt], probed: int, now: int) -> bool:
        """Judge by the established connections (at least one) and the last answer to a health check.

        A machine that vanished or was cut off sends no error, and without this each of its clients would wait
        for its own message to go unanswered. A single stream that stopped is not taken for that, since the
        upstream's other connections still receive something.
        """
        last_received = max(probed, *(attempt.heard for attempt in standing))
        if self.since is not None and last_received > self.since:
            self.since = None
        if self.since is None:
            waiting = [attempt.asked for attempt in standing if attempt.asked is not None]
            if any(last_received <= sent_at <= now - SILENT for sent_at in waiting):
                self.since = now
        return self.since is not None
