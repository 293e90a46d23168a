"""How many seeds the simulation needs for each planted defect: `python -m bench.store_defects`."""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from harness.mutations import MUTATIONS, install_mutation

KINDS = 6  #: of trouble, by the seed; see harness.cluster_simulation.Plan


def hunt(number: int, most: int, kind: int | None) -> tuple[int, str]:
    """In this process: the first seed that finds the defect, and what it found; -1 where none does."""
    install_mutation(MUTATIONS[number])
    from bench.store_sim import play
    from harness.cluster_simulation import FaultPlan

    for seed in range(kind or 0, most, 1 if kind is None else KINDS):
        _, why, _ = play((seed, FaultPlan.of(seed)))
        if why:
            return seed + 1, why
    return -1, ""


def main() -> int:
    """All defects, a process each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=2000, help="seeds to try for each")
    parser.add_argument("--one", type=int, help="only the defect of this number, in this process")
    parser.add_argument("--kind", type=int, help="only seeds of this kind of trouble, 0 to 5")
    given = parser.parse_args()
    if given.one is not None:
        needed, why = hunt(given.one, given.most, given.kind)
        print(f"{needed}\t{why}")
        return 0 if needed > 0 else 1

    def run(number: int) -> str:
        args = [sys.executable, "-m", "bench.store_defects", "--one", str(number), "--most", str(given.most)]
        done = subprocess.run(args, capture_output=True, text=True)
        return done.stdout.strip() or done.stderr.strip().splitlines()[-1]

    missed = 0
    with ThreadPoolExecutor(8) as pool:
        for defect, told in zip(MUTATIONS, pool.map(run, range(len(MUTATIONS))), strict=True):
            seeds, _, what = told.partition("\t")
            missed += not seeds.isdigit()
            print(f"| {defect.name} | {seeds} | {what[:90]} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
