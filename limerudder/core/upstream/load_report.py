"""Load reports, as upstreams append them to an answer: `inflight=7,queue=2,util=0.61`."""

from __future__ import annotations

from collections.abc import Sequence
from math import nan

MALFORMED_REPORT = "node: host {} sent a malformed load report"  #: Log text; takes the host's name


def is_malformed(report: Sequence[float]) -> bool:
    """Return whether a value is missing or negative."""
    return not all(value >= 0 for value in report)


def parse_report(text: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """Return the values of these fields, in order; NaN for a missing or unreadable one.

    An empty text is not a report: the result is empty.
    """
    values: dict[str, float] = {}
    for part in text.decode("ascii", "replace").split(","):
        name, _, value = part.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return tuple(values.get(field, nan) for field in fields) if text.strip() else ()
