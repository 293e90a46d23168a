"""How many seeds the simulation needs for each planted defect: `python -m bench.store_defects`."""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from harness.fault_plan import PROFILE_COUNT, FaultPlan
from harness.mutations import MUTATIONS, install_mutation

PARALLEL_SEARCHES = 8
NOT_FOUND = -1


class SearchResult(NamedTuple):
    """How many seeds were needed, or NOT_FOUND, and the violation that the last one found."""

    seeds: int
    violation: str


def find_mutation(number: int, max_seeds: int, profile: int | None) -> SearchResult:
    """Plant a defect in this process and run seeds until one finds it, all or those of one kind of plan."""
    install_mutation(MUTATIONS[number])
    from bench.store_sim import SimulationTask, run_simulation

    first_seed = 0 if profile is None else profile
    step = 1 if profile is None else PROFILE_COUNT
    for seed in range(first_seed, max_seeds, step):
        result = run_simulation(SimulationTask(seed, FaultPlan.for_seed(seed)))
        if result.violation:
            return SearchResult(seed + 1, result.violation)
    return SearchResult(NOT_FOUND, "")


def _find_in_new_process(number: int, max_seeds: int) -> str:
    args = [sys.executable, "-m", "bench.store_defects", "--one", str(number), "--most", str(max_seeds)]
    done = subprocess.run(args, capture_output=True, text=True, check=False)
    return done.stdout.strip() or done.stderr.strip().splitlines()[-1]


def _find_all(max_seeds: int) -> int:
    """Print a table of all defects; returns how many were not found."""
    missed = 0
    with ThreadPoolExecutor(PARALLEL_SEARCHES) as pool:
        outputs = pool.map(lambda number: _find_in_new_process(number, max_seeds), range(len(MUTATIONS)))
        for mutation, output in zip(MUTATIONS, outputs, strict=True):
            seeds, _, violation = output.partition("\t")
            missed += not seeds.isdigit()
            print(f"| {mutation.name} | {seeds} | {violation[:90]} |", flush=True)
    return missed


def main() -> int:
    """Search for all defects, in a process each, or for one in this process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=2000, help="seeds to try for each")
    parser.add_argument("--one", type=int, help="only the defect of this number, in this process")
    parser.add_argument("--kind", type=int, help="only seeds of this kind of plan, 0 to 5")
    args = parser.parse_args()
    if args.one is None:
        return 1 if _find_all(args.most) else 0
    result = find_mutation(args.one, args.most, args.kind)
    print(f"{result.seeds}\t{result.violation}")
    return 0 if result.seeds > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
