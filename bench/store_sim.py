"""Runs simulated clusters with many seeds: `python -m bench.store_sim --seeds 10000`."""

from __future__ import annotations

import argparse
import sys
import time
import traceback
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from multiprocessing import Pool

from harness.cluster_checks import InvariantError
from harness.cluster_simulation import ClusterSimulation
from harness.fault_plan import FaultPlan


@dataclass(frozen=True)
class SimulationTask:
    """The seed and the fault plan of a run."""

    seed: int
    plan: FaultPlan


@dataclass(frozen=True)
class SimulationResult:
    """The violation that a run detected or, without one, its activity counts."""

    seed: int
    violation: str = ""
    counts: dict[str, int] = field(default_factory=dict)


def run_simulation(task: SimulationTask) -> SimulationResult:
    """Run one seed. An exception in a member, such as a failed assertion, is a violation too."""
    simulation = ClusterSimulation(task.seed, task.plan)
    try:
        simulation.run()
    except InvariantError as exc:
        return SimulationResult(task.seed, str(exc))
    except Exception as exc:
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        violation = f"{type(exc).__name__}: {exc} in {frame.name} line {frame.lineno}"
        return SimulationResult(task.seed, violation)
    return SimulationResult(task.seed, counts=_count(simulation))


def _count(simulation: ClusterSimulation) -> dict[str, int]:
    checks = simulation.checks
    return {
        "steps": simulation.environment.clock.executed_events,
        "entries": checks.committed_index,
        "writes": simulation.acknowledged_writes,
        "terms": max(checks.leaders_by_term, default=0),
        "refused": len(simulation.network.rejections),
        "durable drains": len(checks.durable_drains),
    }


def _tasks(first_seed: int, seed_count: int, seconds: float) -> Iterator[SimulationTask]:
    for seed in range(first_seed, first_seed + seed_count):
        yield SimulationTask(seed, replace(FaultPlan.for_seed(seed), seconds=seconds))


def main() -> int:
    """Run the requested seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=6.0, help="simulated seconds with faults per run")
    parser.add_argument("--jobs", type=int, default=8)
    args = parser.parse_args()
    started = time.monotonic()
    totals: Counter[str] = Counter()
    violations = 0
    tasks = _tasks(args.first, args.seeds, args.seconds)
    with Pool(args.jobs) as pool:
        for result in pool.imap_unordered(run_simulation, tasks, chunksize=4):
            totals.update(result.counts)
            if result.violation:
                violations += 1
                print(f"seed {result.seed}: {result.violation}", flush=True)
    summary = ", ".join(f"{count} {name}" for name, count in totals.items())
    print(f"{args.seeds} seeds in {time.monotonic() - started:.0f} s: {summary}; {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
