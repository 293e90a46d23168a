"""Arrivals as files: CSV with a heading, or JSON Lines, by the file's ending."""

from __future__ import annotations

import csv
import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from limerudder.loadtest.arrivals import MAX_ARRIVALS, Arrival, PlanError

FIELDS = Arrival._fields


def write(path: Path, arrivals: Sequence[Arrival]) -> None:
    """Write arrivals; times in microseconds."""
    with path.open("w", newline="", encoding="utf-8") as file:
        if path.suffix == ".csv":
            rows = csv.writer(file)
            rows.writerow(FIELDS)
            rows.writerows(arrivals)
        else:
            file.writelines(json.dumps(one._asdict()) + "\n" for one in arrivals)


def read(path: Path) -> list[Arrival]:
    """Read arrivals, put in order. PlanError names the line that cannot be read, and what was expected."""
    found: list[Arrival] = []
    try:
        for number, given in _rows(path):
            found.append(_arrival(path, number, given))
            if len(found) > MAX_ARRIVALS:
                raise PlanError(f"{path}: more than {MAX_ARRIVALS} arrivals")
    except OSError as exc:
        raise PlanError(f"cannot read {path}: {exc.strerror}") from None
    except UnicodeDecodeError:
        raise PlanError(f"{path}: bytes that are no UTF-8") from None
    return sorted(found)


def _rows(path: Path) -> Iterator[tuple[int, Any]]:
    with path.open(newline="", encoding="utf-8") as file:
        if path.suffix == ".csv":
            reader = csv.DictReader(file)
            yield from ((reader.line_num, row) for row in reader)
            return
        for number, line in enumerate(file, 1):
            if line.strip():
                try:
                    yield number, json.loads(line)
                except (ValueError, RecursionError) as exc:
                    raise PlanError(f"{path}:{number}: not JSON: {exc}") from None


def _arrival(path: Path, number: int, given: Any) -> Arrival:
    try:
        one = Arrival(
            int(given["at"]),
            str(given["cls"]),
            str(given.get("tenant") or ""),
            int(given.get("group") or 0),
            int(given.get("life") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        told = f"lacks {exc}" if isinstance(exc, KeyError) else str(exc)
        raise PlanError(f"{path}:{number}: {told}; expected {', '.join(FIELDS)}") from None
    if one.at < 0 or one.life < 0 or one.group < 0:
        raise PlanError(f"{path}:{number}: a negative time or group")
    return one
