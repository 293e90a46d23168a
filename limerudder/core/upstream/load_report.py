"""Load reports as hosts append them to an answer: `inflight=7,queue=2,util=0.61`."""

from __future__ import annotations

from collections.abc import Sequence
from math import nan

MALFORMED_REPORT = "node: host {} sent a malformed load report"  #: log text; takes the host's name


def is_malformed(report: Sequence[float]) -> bool:
    """Whether a value is missing or negative."""
    return not all(value >= 0 for value in report)


def parse_report(text: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """The values of these fields, in their order; NaN for one that is missing or unreadable.

    An empty text is no report: the result is empty.
    """
    values: dict[str, float] = {}
    for part in text.decode("ascii", "replace").split(","):
        name, _, value = part.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return tuple(values.get(field, nan) for field in fields) if text.strip() else ()
