"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

Each line of that file is an entry, its fields separated by ` | `: the test's id, the command and seed, what
was seen, the issue. A listed test still runs. If it passes, the run fails until its entry is taken out,
unless what was seen begins with "flaky".
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
    """Return the entries of the file; a line without exactly four fields raises a TypeError."""
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
        terminalreporter.write_line("known failure, passed over: " + SEPARATOR.join(failure))
