"""Start times of upstreams by this node's own clock.

Discovery lists starts as wall-clock times. The node's clock is set from the wall clock once, when the process
starts, and keeps any error of that time. With a clock that is ahead, an upstream that has just started would
look warm. But a start cannot be listed before it happens, so the clock is ahead by at most the shortest delay
ever seen between a start and its first listing. This delay is subtracted from the age of every upstream. An
upstream that seems to start in the future, as with a clock that is behind, counts as starting now.

Ages are therefore underestimated rather than overestimated: at a process's first list by the age of the
newest upstream, later by the shortest real delay of a listing.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

_MICROSECONDS_PER_MILLISECOND = 1000


class ListedStart(NamedTuple):
    """An upstream's last start as discovery lists it: Unix time in milliseconds, 0 for long ago."""

    upstream: str
    started_ms: int


class _ObservedStart(NamedTuple):
    started_ms: int
    local_us: int


class StartTimes:
    """Converts each listed start to a time of the node's clock once; the result never changes later."""

    def __init__(self) -> None:
        self._observed: dict[str, _ObservedStart] = {}
        self._min_lag_us: int | None = None  # Shortest delay between a start and its first listing

    def observe(self, starts: Collection[ListedStart], now_us: int) -> None:
        """Record the starts of a list. Call it with the whole list before converting any of them."""
        new_starts = [start for start in starts if start.started_ms and self._is_new(start)]
        for start in new_starts:
            lag_us = now_us - start.started_ms * _MICROSECONDS_PER_MILLISECOND
            self._min_lag_us = lag_us if self._min_lag_us is None else min(self._min_lag_us, lag_us)
        for start in new_starts:
            self._observed[start.upstream] = _ObservedStart(
                start.started_ms, self._local_start_us(start, now_us)
            )

    def local_us(self, upstream: str, started_ms: int) -> int:
        """Return the local time of a start that was observed before, or 0 for long ago."""
        return self._observed[upstream].local_us if started_ms else 0

    def _is_new(self, start: ListedStart) -> bool:
        observed = self._observed.get(start.upstream)
        return observed is None or observed.started_ms != start.started_ms

    def _local_start_us(self, start: ListedStart, now_us: int) -> int:
        lag_us = now_us - start.started_ms * _MICROSECONDS_PER_MILLISECOND
        clock_ahead_us = max(self._min_lag_us or 0, 0)
        return now_us - max(lag_us - clock_ahead_us, 0)
