"""Simulated clusters: runs of fixed seeds, and injected defects that the checks must detect."""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from bench.store_sim import SimulationTask, run_simulation
from harness.cluster_checks import state_digest
from harness.cluster_simulation import ClusterSimulation
from harness.fault_plan import FaultPlan
from harness.mutations import MUTATIONS

ROOT = Path(__file__).parent.parent
SEEDS = 160
QUICKLY_FOUND = [
    "term and vote not persisted",
    "vote granted to an outdated log",
    "two votes in a term",
    "truncation not persisted",
    "membership applied late",
    "snapshot without its sessions",
    "repeated write applied again",
    "facts not persisted",
    "facts deleted when answered, not when applied locally",
    "later drain with an earlier start replaces the record",
]


def test_no_invariant_is_violated_in_fixed_seeds() -> None:
    tasks = [SimulationTask(seed, FaultPlan.for_seed(seed)) for seed in range(SEEDS)]
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run_simulation, tasks, chunksize=4))
    assert [result.violation for result in results if result.violation] == []
    totals = {name: sum(result.counts[name] for result in results) for name in results[0].counts}
    # without enough activity the absence of violations would prove nothing
    assert totals["writes"] > 20 * SEEDS, totals
    assert totals["terms"] > 5 * SEEDS, totals
    assert totals["refused"] > 0, totals
    assert totals["durable drains"] > 5 * SEEDS, totals


def test_the_same_seed_gives_the_same_run() -> None:
    def trace(seed: int) -> tuple[object, ...]:
        simulation = ClusterSimulation(seed, FaultPlan.for_seed(seed))
        simulation.run()
        checks = simulation.checks
        digests = [state_digest(member.process) for member in simulation.members.values() if member.process]
        calls = [str(call) for call in simulation.history]
        events = simulation.environment.clock.executed_events
        return events, checks.committed, checks.leaders_by_term, digests, calls

    assert trace(11) == trace(11)
    assert trace(11) != trace(12)


@pytest.mark.parametrize("name", QUICKLY_FOUND)
def test_an_injected_defect_is_found(name: str) -> None:
    names = [mutation.name for mutation in MUTATIONS]
    number = names.index(name)
    args = [sys.executable, "-m", "bench.store_defects", "--one", str(number), "--most", "60"]
    completed = subprocess.run(args, capture_output=True, text=True, cwd=ROOT, check=False)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert completed.stdout.split("\t")[1], "the violation is printed"
