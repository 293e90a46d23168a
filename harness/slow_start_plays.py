"""Plays of one fault in one simulated fleet, which may run in processes of their own."""

from __future__ import annotations

from typing import NamedTuple

from harness.slow_start_faults import FAULTS
from harness.slow_start_fleet import Excess
from harness.slow_start_setup import SETUPS, make_fleet

FAULTS_BY_NAME = {fault.__name__: fault for fault in FAULTS}


class Play(NamedTuple):
    """A fault in a fleet, by their names."""

    setup: str
    fault: str
    seed: int


class Outcome(NamedTuple):
    """What a play showed from the fault's beginning on."""

    excess: Excess
    requests: int
    rejections: int


def run_play(play: Play) -> Outcome:
    """Let a fleet serve for a while and then undergo the fault."""
    fleet = make_fleet(SETUPS[play.setup], play.seed)
    requests = fleet.requests
    rejections = fleet.rejections
    FAULTS_BY_NAME[play.fault](fleet)
    return Outcome(fleet.excess(), fleet.requests - requests, fleet.rejections - rejections)
