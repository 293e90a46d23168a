"""Counters of what a node takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Name and number; a name appears once it has been counted."""

    def count(self, name: str) -> None:
        """One more of these."""
        self[name] += 1

    def text(self) -> str:
        """All of them on one line, in order."""
        return " ".join(f"{name}={self[name]}" for name in sorted(self))
