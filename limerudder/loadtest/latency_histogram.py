"""Results of a load test: latencies, the generator's lateness, and counts of answers by kind.

Latency is measured from the intended time of an arrival, even if the generator was late. Measured from the
time of sending, it would omit the delay of arrivals that could not be sent during a stall of the system under
test (coordinated omission; Gil Tene, "How NOT to Measure Latency").
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_LATENCY_US = 3_600_000_000  #: Highest recorded latency; longer ones are recorded as this one
SIGNIFICANT_DIGITS = 3
LATE_ARRIVAL_US = 1000  #: Lateness above which the generator counts an arrival as late
PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}


class LatencyHistogram:
    """Counters and histograms of one run; all times are in microseconds."""

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.generator_lateness = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.answers: Counter[str] = Counter()
        self.arrived = 0
        self.late_arrivals = 0
        self.waiting = 0

    def record_arrival(self, lateness_us: int) -> None:
        """Count an arrival that started `lateness_us` after its intended time."""
        self.arrived += 1
        self.waiting += 1
        if lateness_us > LATE_ARRIVAL_US:
            self.late_arrivals += 1
        self.generator_lateness.record_value(max(lateness_us, 1))

    def record_answer(self, answer: str, latency_us: int) -> None:
        """Count a final answer, or its absence, `latency_us` after the intended arrival time."""
        self.waiting -= 1
        self.answers[answer] += 1
        self.latency.record_value(min(max(latency_us, 1), MAX_LATENCY_US))

    def count_slower_than(self, latency_us: int) -> int:
        """Return how many answers took longer; arrivals without an answer yet are not counted."""
        steps = self.latency.get_recorded_iterator()
        return sum(
            step.count_added_in_this_iter_step for step in steps if step.value_iterated_to > latency_us
        )

    def summary(self) -> dict[str, Any]:
        """Return all results in the form in which they are printed as JSON."""
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
