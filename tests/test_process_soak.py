"""A short soak of real node processes; the long one is `python -m bench.process_soak`."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from harness.process_soak import ProcessSoak

NODES = 10
HOSTS = 5
CLIENTS = 24
FAULT_SECONDS = 6.0
TIMEOUT_SECONDS = 120


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_overlapping_faults_break_no_rule(tmp_path: Path, seed: int) -> None:
    """Guards against issue 33 and its relatives: overloaded hosts, lost requests, rules broken in service."""
    soak = ProcessSoak(tmp_path, NODES, HOSTS, CLIENTS, seed)
    report = uvloop.run(asyncio.wait_for(soak.run(FAULT_SECONDS), TIMEOUT_SECONDS))
    assert not report.violations, (report.faults, report.violations)
    assert report.answers > 0
