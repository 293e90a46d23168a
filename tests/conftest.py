"""Ignores failures of the tests that KNOWN-RED.txt lists, and prints its entries.

Each line of that file is an entry with fields separated by ` | `: the test id, the command and seed, the
observed failure, the issue. A listed test still runs. If it passes, the run fails until its entry is removed,
unless the observed failure begins with "flaky".
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest
from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "
FLAKY = "flaky"


class KnownFailure(NamedTuple):
    """One entry of KNOWN-RED.txt."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Return the file's entries; raise TypeError for a line that does not have exactly four fields."""
    return [KnownFailure(*line.split(SEPARATOR)) for line in text.splitlines() if line.strip()]


def _known_failures() -> list[KnownFailure]:
    return read_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    failures_by_test = {failure.test: failure for failure in _known_failures()}
    for item in items:
        failure = failures_by_test.get(item.nodeid)
        if failure:
            strict = not failure.seen.startswith(FLAKY)
            item.add_marker(pytest.mark.xfail(reason=f"known: {failure.issue}", strict=strict))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for failure in _known_failures():
        terminalreporter.write_line("known failure, ignored: " + SEPARATOR.join(failure))
