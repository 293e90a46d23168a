"""Metrics in statsd's line format: counters since the process started, and current gauges."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum


class RequestOutcome(StrEnum):
    """How a request was answered; the values are metric names."""

    FULFILLED = "fulfilled"  # an upstream accepted the connection
    THROTTLED = "throttled"  # rejected
    FAULTED = "faulted"  # failed


class RequestMetrics:
    """Counts each request once, when it is answered; all metrics are printed, including zeros."""

    def __init__(self, class_names: Sequence[str]) -> None:
        self._class_names = class_names
        self._answered: Counter[tuple[RequestOutcome, int]] = Counter()  # counts per outcome and class number
        self._relayed = 0  # attempts whose request was written completely to the upstream

    def record(self, outcome: RequestOutcome, class_number: int) -> None:
        """Count a request of this class as answered."""
        self._answered[outcome, class_number] += 1

    def record_relayed(self) -> None:
        """Count an attempt whose request was written completely to its upstream."""
        self._relayed += 1

    def text(self, gauges: Mapping[str, int]) -> str:
        """Return all metrics, one per line, counters before gauges."""
        counts = {
            f"{outcome}.{name}": self._answered[outcome, number]
            for outcome in RequestOutcome
            for number, name in enumerate(self._class_names)
        }
        counts["relayed"] = self._relayed
        lines = [f"app.{name}:{value}|c\n" for name, value in counts.items()]
        lines += [f"app.{name}:{value}|g\n" for name, value in gauges.items()]
        return "".join(lines)
