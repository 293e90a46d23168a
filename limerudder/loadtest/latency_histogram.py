"""What a run has seen. Latency counts from the intended moment, whoever was late: else a stall hides those
it kept from coming (Tene, "How NOT to Measure Latency", on coordinated omission).
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

HIGHEST = 3_600_000_000  #: microseconds that are told apart
LATE = 1000  #: microseconds after its intended moment, from which an arrival counts as late by the generator


class LatencyHistogram:
    """Counts and histograms, in microseconds."""

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, HIGHEST, 3)  # from the intended moment to the final answer
        self.lateness = HdrHistogram(1, HIGHEST, 3)  # of the generator, at each arrival
        self.answers: Counter[str] = Counter()
        self.came = self.late = self.waiting = 0

    def begin(self, lateness: int) -> None:
        """One has come, so long after it was meant to."""
        self.came += 1
        self.waiting += 1
        self.late += lateness > LATE
        self.lateness.record_value(max(lateness, 1))

    def end(self, answer: str, latency: int) -> None:
        """It has its final answer, or will get none."""
        self.waiting -= 1
        self.answers[answer] += 1
        self.latency.record_value(min(max(latency, 1), HIGHEST))

    def slow(self, over: int) -> int:
        """How many took longer than that, those that still wait not among them."""
        steps = self.latency.get_recorded_iterator()
        return sum(one.count_added_in_this_iter_step for one in steps if one.value_iterated_to > over)

    def told(self) -> dict[str, Any]:
        """All of it, for JSON."""
        return {
            "came": self.came,
            "waiting": self.waiting,
            "answers": dict(sorted(self.answers.items())),
            "latency_us": _percentiles(self.latency),
            "generator": {"late": self.late, "lateness_us": _percentiles(self.lateness)},
        }


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    if not histogram.get_total_count():
        return {}
    wanted = {"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}
    return {name: int(histogram.get_value_at_percentile(at)) for name, at in wanted.items()}
