"""Issue 33: total requests of all nodes to servers in slow start while servers, nodes and clocks fail."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor

import pytest

from harness.slow_start_cases import FAULTS_BY_NAME, FaultCase, Outcome, run_fault_case
from harness.slow_start_setup import SETUPS

CASES = [FaultCase(setup, fault, seed=1) for setup in SETUPS for fault in FAULTS_BY_NAME]


@pytest.fixture(scope="module")
def outcomes() -> Iterator[dict[FaultCase, Future[Outcome]]]:
    """The outcomes of all simulations, which run in parallel."""
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        yield {case: pool.submit(run_fault_case, case) for case in CASES}


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case.setup}-{case.fault}")
def test_servers_in_slow_start_are_not_overloaded_during_faults(
    outcomes: dict[FaultCase, Future[Outcome]], case: FaultCase
) -> None:
    """Guards against issue 33: requests in a window exceeded the budget N by more than 2 * sqrt(N) + 2.

    The limit for N < 30 is an excess of 3 * sqrt(N) + 3.
    """
    outcome = outcomes[case].result()
    assert outcome.excess.worst <= 1, outcome
