"""Suggestions for misspelt names."""

from __future__ import annotations

from collections.abc import Iterable

MIN_SIMILARITY = 0.6


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return words that offer the known name closest to `name`, or nothing if none is close."""
    from difflib import get_close_matches  # only needed once something is wrong

    close = get_close_matches(name, list(known_names), 1, MIN_SIMILARITY)
    return f"; did you mean {close[0]}?" if close else ""
