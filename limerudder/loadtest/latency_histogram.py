"""What a load test has measured: latencies, the generator's lateness, and answers by kind.

Latency counts from the intended moment of an arrival, whoever was late. Counted from the moment of sending,
a stall of the system under test would hide the arrivals that it kept from being sent (coordinated omission;
Gil Tene, "How NOT to Measure Latency").
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_LATENCY_US = 3_600_000_000  #: longer latencies count as this one
SIGNIFICANT_DIGITS = 3
LATE_ARRIVAL_US = 1000  #: an arrival that begins later than this counts as late by the generator
PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}


class LatencyHistogram:
    """Counters and histograms of one run; all times in microseconds."""

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.generator_lateness = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.answers: Counter[str] = Counter()
        self.arrived = 0
        self.late_arrivals = 0
        self.waiting = 0

    def record_arrival(self, lateness_us: int) -> None:
        """Count an arrival that began this long after its intended moment."""
        self.arrived += 1
        self.waiting += 1
        if lateness_us > LATE_ARRIVAL_US:
            self.late_arrivals += 1
        self.generator_lateness.record_value(max(lateness_us, 1))

    def record_answer(self, answer: str, latency_us: int) -> None:
        """Count a final answer, or that none came, this long after the intended moment."""
        self.waiting -= 1
        self.answers[answer] += 1
        self.latency.record_value(min(max(latency_us, 1), MAX_LATENCY_US))

    def count_slower_than(self, latency_us: int) -> int:
        """Return how many answers took longer; arrivals that still wait are not counted."""
        steps = self.latency.get_recorded_iterator()
        return sum(
            step.count_added_in_this_iter_step for step in steps if step.value_iterated_to > latency_us
        )

    def summary(self) -> dict[str, Any]:
        """Return all figures in the form in which they are printed as JSON."""
        return {
            "came": self.arrived,
            "waiting": self.waiting,
            "answers": dict(sorted(self.answers.items())),
            "latency_us": _percentiles(self.latency),
            "generator": {"late": self.late_arrivals, "lateness_us": _percentiles(self.generator_lateness)},
        }


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    if not histogram.get_total_count():
        return {}
    return {
        name: int(histogram.get_value_at_percentile(percentile)) for name, percentile in PERCENTILES.items()
    }
