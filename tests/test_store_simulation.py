"""Clusters on a simulated clock, network and disks: fixed seeds, and defects that must be found."""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

import pytest

from bench.store_sim import play
from harness.cluster_simulation import ClusterSimulation, FaultPlan, fingerprint
from harness.mutations import MUTATIONS

ROOT = Path(__file__).parent.parent
SEEDS = 160
QUICK = [
    "term and vote not persisted",
    "vote given to an older log",
    "two votes in a term",
    "truncation does not reach the disk",
    "membership applied late",
    "snapshot without its sessions",
    "a write said again is done again",
    "facts not persisted",
    "facts dropped when answered, not when applied here",
    "a later, smaller drain replaces a greater one",
]


def test_no_promise_is_broken_in_fixed_seeds() -> None:
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        played = list(pool.map(play, [(seed, FaultPlan.of(seed)) for seed in range(SEEDS)], chunksize=4))
    assert [why for _, why, _ in played if why] == []
    totals = {name: sum(told[name] for _, _, told in played) for name in played[0][2]}
    # guards the run against one in which nothing happens
    assert totals["writes"] > 20 * SEEDS and totals["terms"] > 5 * SEEDS, totals
    assert totals["refused"] > 0 and totals["promises"] > 5 * SEEDS, totals


def test_the_same_seed_is_the_same_run() -> None:
    def told(seed: int) -> tuple[object, ...]:
        sim = ClusterSimulation(seed, FaultPlan.of(seed))
        sim.run()
        states = [fingerprint(one.member) for one in sim.servers.values() if one.member]
        return sim.steps, sim.committed, sim.leaders, states, [str(one) for one in sim.history]

    assert told(11) == told(11)
    assert told(11) != told(12)


@pytest.mark.parametrize("name", QUICK)
def test_a_planted_defect_is_found(name: str) -> None:
    number = next(n for n, defect in enumerate(MUTATIONS) if defect.name == name)
    args = [sys.executable, "-m", "bench.store_defects", "--one", str(number), "--most", "60"]
    done = subprocess.run(args, capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.split("\t")[1], "it is told what was broken"


def test_every_planted_defect_still_fits_the_shipped_text() -> None:
    def fits(number: int) -> str:
        code = (
            f"from harness.mutations import *; plant(DEFECTS[{number}]); __import__(DEFECTS[{number}].module)"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
        return done.stderr

    with ThreadPoolExecutor(os.cpu_count()) as pool:
        assert [told for told in pool.map(fits, range(len(MUTATIONS))) if told] == []
