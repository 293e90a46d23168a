"""When hosts started, by this node's own clock.

Discovery tells starts as wall-clock times, and the node's clock takes the wall clock once, when its process
begins; if that was wrong, it stays wrong by as much. A clock that is ahead makes a host that has just started
look warm. But nobody can be told of a start before it happened: the least time that ever lay between a start
and its first being heard of is at least what the clock is ahead by. So much is taken off every host's age. A
host that seems to start in the future, as with a clock that is behind, counts as starting now.

Ages come out too small rather than too large: at a process's first list by the age of the newest host, later
by how late the quickest news came.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

_MICROSECONDS_PER_MILLISECOND = 1000


class ListedStart(NamedTuple):
    """A host's last start as discovery lists it: Unix time in milliseconds, 0 for long ago."""

    host: str
    started_ms: int


class _KnownStart(NamedTuple):
    started_ms: int
    local_us: int


class StartTimes:
    """Converts listed starts into times of the node's clock, once for each start: it never changes later."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownStart] = {}
        self._min_lag_us: int | None = None  # between a start and its first being heard of

    def observe(self, starts: Collection[ListedStart], now_us: int) -> None:
        """Take over the starts of a list; to be called with all of them before any is converted."""
        new_starts = [start for start in starts if start.started_ms and self._is_new(start)]
        for start in new_starts:
            lag_us = now_us - start.started_ms * _MICROSECONDS_PER_MILLISECOND
            self._min_lag_us = lag_us if self._min_lag_us is None else min(self._min_lag_us, lag_us)
        for start in new_starts:
            self._known[start.host] = _KnownStart(start.started_ms, self._local_start_us(start, now_us))

    def local_us(self, host: str, started_ms: int) -> int:
        """Return when a host that was observed with this start started, or 0 for long ago."""
        return self._known[host].local_us if started_ms else 0

    def _is_new(self, start: ListedStart) -> bool:
        known = self._known.get(start.host)
        return known is None or known.started_ms != start.started_ms

    def _local_start_us(self, start: ListedStart, now_us: int) -> int:
        lag_us = now_us - start.started_ms * _MICROSECONDS_PER_MILLISECOND
        clock_ahead_us = max(self._min_lag_us or 0, 0)
        return now_us - max(lag_us - clock_ahead_us, 0)
