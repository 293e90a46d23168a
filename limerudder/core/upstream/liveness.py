"""An upstream that has fallen silent, noticed across all connections that a node holds there."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

SILENCE_TIMEOUT_US = (
    1_000_000  #: a message unanswered for so long, with no word from its upstream on any connection
)
CHECK_INTERVAL_US = 100_000  #: between looks
MIGRATION_STEPS = 10  #: in so many, about, the clients of a silent upstream are sent away


class MonitoredAttempt(Protocol):
    """A connection that stands, as far as silence goes."""

    oldest_unanswered_us: int | None  # when the client's oldest unanswered message was passed on
    last_received_us: int  # when the upstream's last word came


class LivenessMonitor:
    """Whether one upstream is silent; it stays so until it is heard again."""

    def __init__(self) -> None:
        self.silent_since_us: int | None = None

    def update(self, standing: Sequence[MonitoredAttempt], probed: int, now: int) -> bool:
        """Look at what stands there; `probed` is when it last answered a probe."""
        # guards clients of a machine that vanished or was cut off: nothing is said, and each alone would wait
        # for its own message to go unanswered. One stream that stopped short is not taken for that.
        heard = max(probed, *(one.last_received_us for one in standing))
        if self.silent_since_us is not None and heard > self.silent_since_us:
            self.silent_since_us = None
        waiting = [one.oldest_unanswered_us for one in standing if one.oldest_unanswered_us is not None]
        if self.silent_since_us is None and any(
            heard <= asked <= now - SILENCE_TIMEOUT_US for asked in waiting
        ):
            self.silent_since_us = now
        return self.silent_since_us is not None
