"""The node's one clock: the system's time at the start, and monotonic progress from there."""

from __future__ import annotations

import time


class Clock:
    """Microseconds since 1970, as discovery counts them; never goes back."""

    def __init__(self) -> None:
        self.start = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The time now."""
        return (self.start + time.monotonic_ns()) // 1000
