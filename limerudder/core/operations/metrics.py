"""The numbers operators fetch: counts from the start of the process, and gauges of the moment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

OUTCOMES = ("fulfilled", "throttled", "faulted")  #: brought up, refused, failed


class RequestMetrics:
    """Counts where a thing happens, a req's once: every name is there from the start, zeros too."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = classes
        self.ended: Counter[tuple[str, int]] = Counter()  # by outcome and the class's number
        self.relayed = 0  # attempts written whole to backends

    def count(self, outcome: str, cls: int) -> None:
        """A req of this class was brought up, refused or failed."""
        self.ended[outcome, cls] += 1

    def text(self, gauges: Mapping[str, int]) -> str:
        """All of them, a line each."""
        counts = {
            f"{outcome}.{name}": self.ended[outcome, number]
            for outcome in OUTCOMES
            for number, name in enumerate(self.classes)
        }
        counts["relayed"] = self.relayed
        lines = [f"app.{name}:{value}|c\n" for name, value in counts.items()]
        return "".join(lines + [f"app.{name}:{value}|g\n" for name, value in gauges.items()])
