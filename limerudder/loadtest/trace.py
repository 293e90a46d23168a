"""Files of arrivals: CSV with a header or, for other suffixes, JSON Lines. Times are in microseconds."""

from __future__ import annotations

import csv
import json
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from limerudder.loadtest.arrivals import MAX_ARRIVALS, Arrival, PlanError

#: Columns of a trace, in the order of the fields of Arrival.
TRACE_FIELDS = ("at", "cls", "tenant", "group", "life")
CSV_SUFFIX = ".csv"


class _Row(NamedTuple):
    """A row of a trace that is not validated yet."""

    line_number: int
    values: Any


def write_trace(path: Path, arrivals: Sequence[Arrival]) -> None:
    """Write arrivals to a file."""
    with path.open("w", newline="", encoding="utf-8") as file:
        if path.suffix == CSV_SUFFIX:
            rows = csv.writer(file)
            rows.writerow(TRACE_FIELDS)
            rows.writerows(arrivals)
            return
        for arrival in arrivals:
            record = dict(zip(TRACE_FIELDS, arrival, strict=True))
            file.write(json.dumps(record) + "\n")


def read_trace(path: Path) -> list[Arrival]:
    """Return the arrivals in a file, sorted by time.

    Raises PlanError with the number of the invalid line and the expected fields.
    """
    arrivals: list[Arrival] = []
    try:
        for row in _rows(path):
            arrivals.append(_parse_arrival(path, row))
            if len(arrivals) > MAX_ARRIVALS:
                raise PlanError(f"{path}: more than {MAX_ARRIVALS} arrivals")
    except OSError as exc:
        raise PlanError(f"cannot read {path}: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise PlanError(f"{path}: bytes that are not valid UTF-8") from exc
    return sorted(arrivals)


def _rows(path: Path) -> Iterator[_Row]:
    with path.open(newline="", encoding="utf-8") as file:
        if path.suffix == CSV_SUFFIX:
            reader = csv.DictReader(file)
            for record in reader:
                yield _Row(reader.line_num, record)
            return
        for line_number, line in enumerate(file, 1):
            if line.strip():
                yield _Row(line_number, _parse_json(path, line_number, line))


def _parse_json(path: Path, line_number: int, line: str) -> Any:
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise PlanError(f"{path}:{line_number}: not JSON: {exc}") from exc


def _parse_arrival(path: Path, row: _Row) -> Arrival:
    place = f"{path}:{row.line_number}"
    try:
        arrival = _arrival(row.values)
    except KeyError as exc:
        raise PlanError(f"{place}: missing field {exc}; expected {', '.join(TRACE_FIELDS)}") from exc
    except (TypeError, ValueError, AttributeError) as exc:
        raise PlanError(f"{place}: {exc}; expected {', '.join(TRACE_FIELDS)}") from exc
    if arrival.at_us < 0 or arrival.lifetime_us < 0 or arrival.group < 0:
        raise PlanError(f"{place}: negative time or group")
    return arrival


def _arrival(values: Mapping[str, Any]) -> Arrival:
    return Arrival(
        at_us=int(values["at"]),
        traffic_class=str(values["cls"]),
        tenant=str(values.get("tenant") or ""),
        group=int(values.get("group") or 0),
        lifetime_us=int(values.get("life") or 0),
    )
