"""A simulated clock with an event queue: the only source of time and ordering in a simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MICROSECONDS_PER_MILLISECOND = 1000
MICROSECONDS_PER_SECOND = 1_000_000


class SimulatedClock:
    """Runs scheduled calls in the order of their due times; ties run in scheduling order."""

    def __init__(self) -> None:
        self.now_us = 0
        self.executed_events = 0
        self._scheduled_events = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []

    def schedule(self, delay_us: float, call: Callable[[], None]) -> None:
        """Run `call` after a delay; a negative delay counts as 0."""
        self._scheduled_events += 1
        due_us = self.now_us + max(int(delay_us), 0)
        heapq.heappush(self._queue, (due_us, self._scheduled_events, call))

    def run_until(self, end_us: int) -> None:
        """Run all calls that are due by the end time, and advance the clock to it."""
        while self._queue and self._queue[0][0] <= end_us:
            self.now_us, _, call = heapq.heappop(self._queue)
            self.executed_events += 1
            call()
        self.now_us = end_us

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.now_us / MICROSECONDS_PER_SECOND
