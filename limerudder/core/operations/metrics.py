"""Metrics in statsd's line format: counts since the process started, and gauges of the moment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum


class RequestOutcome(StrEnum):
    """How a request was answered, by the name of its metric."""

    FULFILLED = "fulfilled"  # an upstream took the connection
    THROTTLED = "throttled"  # rejected
    FAULTED = "faulted"  # failed


class RequestMetrics:
    """Counts each request once, when it is answered; every metric is printed from the start, zeros too."""

    def __init__(self, class_names: Sequence[str]) -> None:
        self._class_names = class_names
        self._answered: Counter[tuple[RequestOutcome, int]] = Counter()  # by outcome and class number
        self._relayed = 0  # attempts whose request was written completely to the upstream

    def record(self, outcome: RequestOutcome, class_number: int) -> None:
        """Count a request of this class as answered."""
        self._answered[outcome, class_number] += 1

    def record_relayed(self) -> None:
        """Count an attempt whose request was written completely to its upstream."""
        self._relayed += 1

    def text(self, gauges: Mapping[str, int]) -> str:
        """All metrics, a line each, counts before gauges."""
        counts = {
            f"{outcome}.{name}": self._answered[outcome, number]
            for outcome in RequestOutcome
            for number, name in enumerate(self._class_names)
        }
        counts["relayed"] = self._relayed
        lines = [f"app.{name}:{value}|c\n" for name, value in counts.items()]
        lines += [f"app.{name}:{value}|g\n" for name, value in gauges.items()]
        return "".join(lines)
