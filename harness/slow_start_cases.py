"""Runs one fault in one simulated fleet; cases and outcomes can be passed between processes."""

from __future__ import annotations

from typing import NamedTuple

from harness.slow_start_faults import FAULTS
from harness.slow_start_fleet import Excess
from harness.slow_start_setup import SETUPS, make_fleet

FAULTS_BY_NAME = {fault.__name__: fault for fault in FAULTS}


class FaultCase(NamedTuple):
    """A fault in a fleet, both given by name."""

    setup: str
    fault: str
    seed: int


class Outcome(NamedTuple):
    """Results of a run since the start of the fault."""

    excess: Excess
    requests: int
    rejections: int


def run_fault_case(case: FaultCase) -> Outcome:
    """Warm up a fleet, then run the fault."""
    fleet = make_fleet(SETUPS[case.setup], case.seed)
    requests = fleet.requests
    rejections = fleet.rejections
    FAULTS_BY_NAME[case.fault](fleet)
    return Outcome(fleet.excess(), fleet.requests - requests, fleet.rejections - rejections)
