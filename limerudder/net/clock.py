"""The node's clock: the system's time at start-up, then monotonic progress from there."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1000


class Clock:
    """Microseconds since 1970, the unit in which discovery counts; never goes back."""

    def __init__(self) -> None:
        self._monotonic_offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the time now, in microseconds since 1970."""
        return (self._monotonic_offset_ns + time.monotonic_ns()) // NANOSECONDS_PER_MICROSECOND
