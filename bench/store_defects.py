"""Counts the seeds that the simulation needs to detect each mutation: `python -m bench.store_defects`."""

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
    """Number of seeds needed, or NOT_FOUND, and the violation that the last one detected."""

    seeds: int
    violation: str


def find_mutation(number: int, max_seeds: int, profile: int | None) -> SearchResult:
    """Inject a mutation into this process and run seeds, of all plans or one, until one detects it."""
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
    completed = subprocess.run(args, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or completed.stderr.strip().splitlines()[-1]


def _find_all(max_seeds: int) -> int:
    """Print a table of all mutations; return how many were not detected."""
    missed = 0
    with ThreadPoolExecutor(PARALLEL_SEARCHES) as pool:
        outputs = pool.map(lambda number: _find_in_new_process(number, max_seeds), range(len(MUTATIONS)))
        for mutation, output in zip(MUTATIONS, outputs, strict=True):
            seeds, _, violation = output.partition("\t")
            missed += not seeds.isdigit()
            print(f"| {mutation.name} | {seeds} | {violation[:90]} |", flush=True)
    return missed


def main() -> int:
    """Test all mutations, each in a separate process, or one in this process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=2000, help="maximum number of seeds per mutation")
    parser.add_argument("--one", type=int, help="index of the only mutation to test, in this process")
    parser.add_argument("--kind", type=int, help="only seeds of this fault plan, 0 to 5")
    args = parser.parse_args()
    if args.one is None:
        return 1 if _find_all(args.most) else 0
    result = find_mutation(args.one, args.most, args.kind)
    print(f"{result.seeds}\t{result.violation}")
    return 0 if result.seeds > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
