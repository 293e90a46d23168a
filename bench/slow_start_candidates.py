"""Finds which cause overloads servers in slow start: fleet simulations with one cause at a time.

    python -m bench.slow_start_candidates [--seeds N]

Each row simulates a fault with one factor removed, or with its true value instead of the nodes' estimate. It
shows how many seeds and windows exceed the operators' limit, and the worst ratio. The true rate of each
server is available in the simulation.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import NamedTuple

from harness import slow_start_faults as faults
from harness.slow_start_fleet import SlowStartFleet
from harness.slow_start_setup import FleetSetup, make_fleet

Preparation = Callable[[SlowStartFleet], None]


class Case(NamedTuple):
    """One row of the table."""

    candidate: str
    description: str
    setup: FleetSetup
    fault: faults.Fault


LARGE = FleetSetup(node_count=200)
SMALL = FleetSetup(node_count=30)
MORE_PROCESSES = FleetSetup(node_count=200, configured_node_count=100)

CASES = [
    Case("A", "rolling restart, servers and nodes", LARGE, faults.rolling_restart),
    Case("A", "rolling restart, 30 nodes", SMALL, faults.rolling_restart),
    Case("A", "six in ten servers replaced, 30 nodes", SMALL, faults.fast_replacement),
    Case("B", "clocks one hour ahead", LARGE, faults.clocks_ahead),
    Case("B", "the same restarts, correct clocks", LARGE, faults.correct_clocks),
    Case("B", "clocks one hour behind", LARGE, faults.clocks_behind),
    Case("C", "nodes restart repeatedly", LARGE, faults.nodes_restart_repeatedly),
    Case("D", "low load, then three times the rate", LARGE, faults.load_spike_after_low_traffic),
    Case("H", "twice the processes in the settings, rolling restart", MORE_PROCESSES, faults.rolling_restart),
]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    print("| candidate | what happens | nodes | seeds over | windows over | worst |")
    print("| --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        print(_row(case, options.seeds), flush=True)


def _row(case: Case, seeds: int) -> str:
    over = 0
    windows = 0
    worst = 0.0
    for seed in range(seeds):
        fleet = make_fleet(case.setup, seed)
        case.fault(fleet)
        excess = fleet.excess()
        over += excess.worst > 1
        windows += excess.windows
        worst = max(worst, excess.worst)
    cells = (case.candidate, case.description, case.setup.node_count, f"{over} of {seeds}", windows)
    return "| " + " | ".join(map(str, cells)) + f" | {worst:.2f} |"


if __name__ == "__main__":
    main()
