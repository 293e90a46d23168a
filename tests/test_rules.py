"""Random legal event sequences; the driver holds every action to the rules and the counts to the truth."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firgrade import interface as io
from firgrade.records import SECOND

from .driver import BASE, Driver, entry

SETTINGS = (
    BASE,
    replace(BASE, discovery="on_request", prices={"crossZone": 0.1, "probe": 0.0}, try_limit=2),
    replace(
        BASE, probes=False, cancel=False, parallel_tries=True, mode="pass", park=5 * SECOND, groups=False
    ),
)
ENDINGS = [io.Ending.FULL, io.Ending.CONNECT_FAILED, io.Ending.RESET, io.Ending.ERROR, io.Ending.OK]
STEPS = "request request request establish establish end gone time list report open note stray failed".split()


def step(driver: Driver, rng: Random) -> None:
    what = rng.choice(STEPS)
    waiting = [a.id for a in driver.attempts.values() if not a.live]
    out = list(driver.attempts)
    if what == "request":
        left = rng.choice([None, 0, 1, 5_000, 300_000])
        driver.request(rng.randrange(5), rng.randrange(4), left, rng.randrange(2))
    elif what == "establish" and waiting:
        driver.establish(rng.choice(waiting))
    elif what == "end" and out:
        number = rng.choice(out)
        live = driver.attempts[number].live
        driver.end(
            number, rng.choice([io.Ending.OK, io.Ending.RESET, io.Ending.CANCELLED] if live else ENDINGS)
        )
    elif what == "gone":
        open_ids = [i for i, a in driver.asked.items() if not a.answered]
        if open_ids:
            driver.gone(rng.choice(open_ids))
    elif what == "time":
        driver.run(rng.choice([5_000, 100_000, SECOND, 20 * SECOND]))
    elif what == "list":
        kind = rng.choice([io.ListKind.DELTA, io.ListKind.FULL])
        chosen = rng.sample(range(1, 9), rng.randrange(1, 9))
        driver.members(
            [
                entry(s, rng.choice([1, 1, 1, 2, 0]), s % 2, rng.choice([0, driver.now]), s % 3)
                for s in chosen
            ],
            kind,
        )
    elif what == "report":
        load = rng.choice([0.1, 0.6, 0.9, 2.0, float("nan"), -1.0, 1e30])
        driver.give(io.Probed(rng.randrange(12), 900, rng.choice([200, 408]), rng.choice([(), (0.0, load)])))
    elif what == "open" and driver.entries:
        driver.open(rng.choice(list(driver.entries)), rng.randrange(5), rng.randrange(4))
    elif what == "note" and out:
        number = rng.choice(out)
        driver.give(
            io.Note(
                number, driver.where(number), rng.choice([0.0, 500.0, float("nan")]), 0, rng.choice([1, 2])
            )
        )
    elif what == "stray":
        driver.give(io.Outcome(10**6, 0, 1, 200, 1, 1, ()))
        driver.give(io.Established(10**6, 1, 0, 1))
        driver.give(io.Gone(10**6))
        driver.give(io.Note(10**6, 1, 1.0, 0, 1))
        driver.give(io.PeerMessage(1, b"\xff\x00"))
        driver.give(io.Timer(987_654))
    elif what == "failed":
        driver.give(io.Members(io.ListKind.FAILED, 0, ()))


@pytest.mark.parametrize("told", SETTINGS)
@given(seed=st.integers(0, 2**32))
@settings(max_examples=120, derandomize=True, deadline=None, database=None)
def test_rules_and_counts_hold_on_any_legal_sequence(told: io.Settings, seed: int) -> None:
    rng = Random(seed)
    driver = Driver(told, seed, [entry(s, 1, s % 2, 0, s % 3) for s in range(1, 7)])
    for _ in range(80):
        step(driver, rng)
    driver.run(3 * SECOND)
    assert all(asked.answered for asked in driver.asked.values()), "a request was lost"
    for number in list(driver.attempts):
        driver.end(number, io.Ending.OK)
    assert not driver.balancer.flows and not driver.balancer.holdings.groups and not driver.balancer.held
