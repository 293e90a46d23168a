"""Suggestions for misspelt names."""

from __future__ import annotations

from collections.abc import Iterable

MIN_SIMILARITY = 0.6


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return a suggestion of the known name closest to `name`; empty if none is similar."""
    from difflib import get_close_matches  # needed only when an error is reported

    matches = get_close_matches(name, list(known_names), 1, MIN_SIMILARITY)
    return f"; did you mean {matches[0]}?" if matches else ""
