"""Compares the days of two simulator journals: `python -m bench.compare_decisions OLD.json NEW.json`.

As long as the connection policy makes the same decisions, the simulator reproduces every figure of a day
exactly. All figures must be equal, except for CPU times, which are measured. Exits with 1 on any difference,
with 2 if the journals cannot be compared.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

#: Figures that depend on the machine rather than on the decisions.
MEASURED_FIGURES = frozenset({"cpu_us_event", "cpu_late"})


class JournalError(Exception):
    """A journal cannot be read, or two journals are not from runs of the same days."""


def load_days(path: Path) -> dict[str, dict[str, Any]]:
    """Return the days of a simulator journal by name; raise JournalError for any other file."""
    try:
        journal = json.loads(path.read_text())
        days = {day["name"]: day for day in journal["days"]}
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise JournalError(f"{path} is not a journal with days: {exc}") from exc
    if journal.get("cmd") != "score":
        raise JournalError(f"{path} was not written by the simulator's score")
    if not days:
        raise JournalError(f"{path} has no days")
    return days


def differences(old: Any, new: Any, path: str) -> Iterator[str]:
    """Yield a line for each figure that differs, with its path."""
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in sorted(old.keys() | new.keys()):
            if key in MEASURED_FIGURES:
                continue
            if key not in old or key not in new:
                yield f"{path}.{key}: only in one journal"
            else:
                yield from differences(old[key], new[key], f"{path}.{key}")
    elif old != new:
        yield f"{path}: {old!r} became {new!r}"


def compare(old_path: Path, new_path: Path) -> list[str]:
    """Return all differences between two journals; raise JournalError if their days differ."""
    old_days = load_days(old_path)
    new_days = load_days(new_path)
    if old_days.keys() != new_days.keys():
        raise JournalError(f"different days: {sorted(old_days)} and {sorted(new_days)}")
    found: list[str] = []
    for name, old_day in old_days.items():
        found.extend(differences(old_day, new_days[name], name))
    return found


def mean_cpu_us_per_event(path: Path) -> float:
    """Return the CPU time per event in microseconds, averaged over the days."""
    figures = [float(day["cpu_us_event"]) for day in load_days(path).values()]
    return sum(figures) / len(figures)


def main() -> int:
    """Print the differences and the ratio of CPU times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    arguments = parser.parse_args()
    try:
        found = compare(arguments.old, arguments.new)
        old_cpu = mean_cpu_us_per_event(arguments.old)
        new_cpu = mean_cpu_us_per_event(arguments.new)
    except JournalError as exc:
        print(exc, file=sys.stderr)
        return 2
    for line in found:
        print(line)
    print(f"CPU per event: {old_cpu:.1f} us and {new_cpu:.1f} us, ratio {new_cpu / old_cpu:.3f}")
    print(f"{len(found)} figures differ" if found else "all other figures are equal")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
