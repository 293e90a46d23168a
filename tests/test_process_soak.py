"""Short soak tests of real node processes; `python -m bench.process_soak` runs long ones."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from harness.many_hosts import LISTED_HOSTS
from harness.many_hosts_soak import ManyHostsSoak
from harness.process_soak import ProcessSoak

NODES = 10
HOSTS = 5
CLIENTS = 24
FAULT_SECONDS = 6.0
TIMEOUT_SECONDS = 120
MANY_HOSTS_NODES = 6


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_overlapping_faults_break_no_rule(tmp_path: Path, seed: int) -> None:
    """Guards against issue 33 and similar faults: overloaded hosts, lost requests, rule violations."""
    soak = ProcessSoak(tmp_path, NODES, HOSTS, CLIENTS, seed)
    report = uvloop.run(asyncio.wait_for(soak.run(FAULT_SECONDS), TIMEOUT_SECONDS))
    assert not report.violations, (report.faults, report.violations)
    assert report.answers > 0


@pytest.mark.parametrize("seed", [1, 2])
def test_thousands_of_hosts_and_interrupted_starts_break_no_rule(tmp_path: Path, seed: int) -> None:
    """Guards against report 47952f and similar faults: processes that crash, hang or fail to start."""
    soak = ManyHostsSoak(tmp_path, MANY_HOSTS_NODES, LISTED_HOSTS, CLIENTS, seed)
    report = uvloop.run(asyncio.wait_for(soak.run(FAULT_SECONDS), TIMEOUT_SECONDS))
    assert not report.violations, (report.faults, report.violations)
    assert report.answers > 0
