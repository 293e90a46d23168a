"""Load reports as hosts write them behind a word: `inflight=7,queue=2,util=0.61`."""

from __future__ import annotations

from collections.abc import Sequence
from math import nan

MALFORMED_REPORT = "node: host {} sent a malformed load report"


def is_malformed(report: Sequence[float]) -> bool:
    """Whether a value is missing, or is none that a host can have."""
    return not all(value >= 0 for value in report)


def parse_report(text: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """The values of these fields in their order; one that is missing is not a number. No report is ()."""
    told: dict[str, float] = {}
    for part in text.decode("ascii", "replace").split(","):
        name, _, value = part.partition("=")
        try:
            told[name.strip()] = float(value)
        except ValueError:
            continue
    return tuple(told.get(field, nan) for field in fields) if text.strip() else ()
