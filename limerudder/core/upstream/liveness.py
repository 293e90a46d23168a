"""An upstream that has fallen silent, noticed across all connections that a node holds there."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

SILENT = 1_000_000  #: a message unanswered for so long, with no word from its upstream on any connection
LOOK = 100_000  #: between looks
LOOKS = 10  #: in so many, about, the clients of a silent upstream are sent away


class MonitoredAttempt(Protocol):
    """A connection that stands, as far as silence goes."""

    asked: int | None  # when the client's oldest unanswered message was passed on
    heard: int  # when the upstream's last word came


class LivenessMonitor:
    """Whether one upstream is silent; it stays so until it is heard again."""

    def __init__(self) -> None:
        self.since: int | None = None

    def look(self, standing: Sequence[MonitoredAttempt], probed: int, now: int) -> bool:
        """Look at what stands there; `probed` is when it last answered a probe."""
        # guards clients of a machine that vanished or was cut off: nothing is said, and each alone would wait
        # for its own message to go unanswered. One stream that stopped short is not taken for that.
        heard = max(probed, *(one.heard for one in standing))
        if self.since is not None and heard > self.since:
            self.since = None
        waiting = [one.asked for one in standing if one.asked is not None]
        if self.since is None and any(heard <= asked <= now - SILENT for asked in waiting):
            self.since = now
        return self.since is not None
