"""What real hosts in slow start were sent, judged by the operators' term.

What a host can do at least is taken from what a warm one was sent before the faults.
"""

from __future__ import annotations

from collections.abc import Sequence

from harness.configurations import SECOND, settings
from harness.slow_start_fleet import allowed_calls

INVARIANTS = settings()["invariants"]
WINDOW_SECONDS = INVARIANTS["overloadForUs"] / SECOND
WARM_UP_SECONDS = INVARIANTS["warmUpUs"] / SECOND


def fullest_window_share(arrivals: Sequence[float], started: float, usual_rate: float) -> float:
    """Return the fullest window's requests over those that are allowed there.

    `arrivals` and `started` are seconds of one clock; `usual_rate`: what a warm host is sent in a second.
    """
    start_share = INVARIANTS["startCapacity"]
    worst = 0.0
    for position, first in enumerate(arrivals):
        age = (first - started) / WARM_UP_SECONDS
        capacity = usual_rate * (start_share + (1 - start_share) * age)
        budget = INVARIANTS["overloadFactor"] * capacity * WINDOW_SECONDS
        calls = sum(first <= arrival < first + WINDOW_SECONDS for arrival in arrivals[position:])
        worst = max(worst, calls / allowed_calls(budget))
    return worst
