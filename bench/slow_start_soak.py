"""Simulates all slow-start faults in the fleet simulation, with many seeds on several cores.

    python -m bench.slow_start_soak [--seeds N] [--first SEED] [--workers N] [--setup TEXT] [--fault TEXT]

Prints a row per fleet and fault: how many seeds and windows exceed the operators' limit, the maximum ratio of
requests to that limit in a window, and the share of requests rejected since the start of the fault.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

from harness.slow_start_cases import FAULTS_BY_NAME, FaultCase, Outcome, run_fault_case
from harness.slow_start_setup import SETUPS


def main() -> None:
    """Print the table; the exit code is 1 if any window exceeds the limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--setup", default="")
    parser.add_argument("--fault", default="")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    cases = [(s, f) for s in SETUPS for f in FAULTS_BY_NAME if options.setup in s and options.fault in f]
    print("| fleet | fault | seeds over | windows over | worst | rejected |")
    print("| --- | --- | --- | --- | --- | --- |")
    total = 0
    with ProcessPoolExecutor(options.workers) as pool:
        runs = [FaultCase(setup, fault, seed) for setup, fault in cases for seed in seeds]
        outcomes = list(pool.map(run_fault_case, runs))
    for number, (setup, fault) in enumerate(cases):
        case_outcomes = outcomes[number * len(seeds) : (number + 1) * len(seeds)]
        total += sum(outcome.excess.worst > 1 for outcome in case_outcomes)
        print(_row(setup, fault, case_outcomes), flush=True)
    print(f"{total} of {len(runs)} runs exceed the limit")
    raise SystemExit(total > 0)


def _row(setup: str, fault: str, outcomes: list[Outcome]) -> str:
    over = sum(outcome.excess.worst > 1 for outcome in outcomes)
    windows = sum(outcome.excess.windows for outcome in outcomes)
    worst = max(outcome.excess.worst for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    rejected = sum(outcome.rejections for outcome in outcomes) / max(requests, 1)
    return f"| {setup} | {fault} | {over} of {len(outcomes)} | {windows} | {worst:.2f} | {rejected:.3f} |"


if __name__ == "__main__":
    main()
