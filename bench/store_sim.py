"""Simulated clusters over many seeds: `python -m bench.store_sim --seeds 10000`."""

from __future__ import annotations

import argparse
import sys
import time
import traceback
from collections import Counter
from dataclasses import replace
from multiprocessing import Pool

from harness.cluster_simulation import ClusterSimulation, FaultPlan, InvariantViolation


def play(task: tuple[int, FaultPlan]) -> tuple[int, str, dict[str, int]]:
    """One seed; what broke, or nothing."""
    seed, plan = task
    sim = ClusterSimulation(seed, plan)
    try:
        sim.run()
    except InvariantViolation as exc:
        return seed, str(exc), {}
    except Exception as exc:  # an assertion of the machine's own counts as found
        where = traceback.extract_tb(exc.__traceback__)[-1]
        return seed, f"{type(exc).__name__}: {exc} in {where.name} line {where.lineno}", {}
    told = {
        "steps": sim.steps,
        "entries": sim.committed_upto,
        "writes": sim.acked,
        "terms": max(sim.leaders, default=0),
        "refused": len(sim.refused),
        "promises": len(sim.promised),
    }
    return seed, "", told


def main() -> int:
    """Play the seeds that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=6.0, help="of trouble in each, simulated")
    parser.add_argument("--jobs", type=int, default=8)
    given = parser.parse_args()
    began = time.monotonic()
    totals: Counter[str] = Counter()
    broken = []
    tasks = (
        (seed, replace(FaultPlan.of(seed), seconds=given.seconds))
        for seed in range(given.first, given.first + given.seeds)
    )
    with Pool(given.jobs) as pool:
        for seed, why, told in pool.imap_unordered(play, tasks, chunksize=4):
            totals.update(told)
            if why:
                broken.append((seed, why))
                print(f"seed {seed}: {why}", flush=True)
    words = ", ".join(f"{totals[name]} {name}" for name in totals)
    print(f"{given.seeds} seeds in {time.monotonic() - began:.0f} s: {words}; {len(broken)} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
