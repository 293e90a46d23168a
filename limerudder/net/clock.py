"""The node's clock: system time at start-up plus the monotonic time elapsed since."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1000


class Clock:
    """Microseconds since 1970, as in discovery's time stamps; never goes backwards."""

    def __init__(self) -> None:
        self._monotonic_offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the current time in microseconds since 1970."""
        return (self._monotonic_offset_ns + time.monotonic_ns()) // NANOSECONDS_PER_MICROSECOND
