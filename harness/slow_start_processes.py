"""Compares the requests that real hosts in slow start received with the operators' limit.

The rate of requests at a warm host before the faults is the lower bound of a host's capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

from harness.configurations import SECOND, settings
from harness.slow_start_fleet import allowed_attempts

INVARIANTS = settings()["invariants"]
WINDOW_SECONDS = INVARIANTS["overloadForUs"] / SECOND
WARM_UP_SECONDS = INVARIANTS["warmUpUs"] / SECOND


def fullest_window_share(arrivals: Sequence[float], started: float, baseline_rate: float) -> float:
    """Return the maximum ratio of requests to the limit in a window.

    `arrivals` and `started` are seconds of one clock; `baseline_rate` is the rate of requests at a warm host,
    per second.
    """
    start_share = INVARIANTS["startCapacity"]
    worst = 0.0
    for position, first in enumerate(arrivals):
        age = (first - started) / WARM_UP_SECONDS
        capacity = baseline_rate * (start_share + (1 - start_share) * age)
        budget = INVARIANTS["overloadFactor"] * capacity * WINDOW_SECONDS
        requests = sum(first <= arrival < first + WINDOW_SECONDS for arrival in arrivals[position:])
        worst = max(worst, requests / allowed_attempts(budget))
    return worst
