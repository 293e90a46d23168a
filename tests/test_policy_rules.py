"""Random legal event sequences; the driver holds every action to the rules and the counts to the truth."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limerudder.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    HealthCheckResult,
    LatencySample,
    LoadSample,
    PeerMessage,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from limerudder.policy.settings import (
    Settings,
)
from tests.policy_driver import BASE, Driver, entry

SETTINGS = (
    BASE,
    replace(BASE, discovery="on_request", prices={"crossZone": 0.1, "probe": 0.0}, max_attempts=2),
    replace(
        BASE,
        allows_health_checks=False,
        allows_cancellation=False,
        allows_hedging=True,
        mode="pass",
        park_us=5 * SECOND,
        has_groups=False,
    ),
)
ENDINGS = [
    AttemptOutcome.FULL,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.ERROR,
    AttemptOutcome.OK,
]
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
            number,
            rng.choice(
                [AttemptOutcome.OK, AttemptOutcome.RESET, AttemptOutcome.CANCELLED] if live else ENDINGS
            ),
        )
    elif what == "gone":
        open_ids = [i for i, a in driver.asked.items() if not a.answered]
        if open_ids:
            driver.gone(rng.choice(open_ids))
    elif what == "time":
        driver.run(rng.choice([5_000, 100_000, SECOND, 20 * SECOND]))
    elif what == "list":
        kind = rng.choice([UpdateKind.DELTA, UpdateKind.FULL])
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
        driver.give(
            HealthCheckResult(rng.randrange(12), 900, rng.choice([200, 408]), rng.choice([(), (0.0, load)]))
        )
    elif what == "open" and driver.entries:
        driver.open(rng.choice(list(driver.entries)), rng.randrange(5), rng.randrange(4))
    elif what == "note" and out:
        number = rng.choice(out)
        value = rng.choice([0.0, 500.0, float("nan")])
        if rng.choice([True, False]):
            driver.give(LoadSample(number, driver.where(number), value, 0))
        else:
            driver.give(LatencySample(number, driver.where(number), value, 0))
    elif what == "stray":
        driver.give(AttemptEnded(10**6, 0, 1, 200, 1, 1, ()))
        driver.give(ConnectionEstablished(10**6, 1, 0, 1))
        driver.give(ClientDisconnected(10**6))
        driver.give(LoadSample(10**6, 1, 1.0, 0))
        driver.give(PeerMessage(1, b"\xff\x00"))
        driver.give(TimerFired(987_654))
    elif what == "failed":
        driver.give(EndpointUpdate(UpdateKind.FAILED, 0, ()))


@pytest.mark.parametrize("told", SETTINGS)
@given(seed=st.integers(0, 2**32))
@settings(max_examples=120, derandomize=True, deadline=None, database=None)
def test_rules_and_counts_hold_on_any_legal_sequence(told: Settings, seed: int) -> None:
    rng = Random(seed)
    driver = Driver(told, seed, [entry(s, 1, s % 2, 0, s % 3) for s in range(1, 7)])
    for _ in range(80):
        step(driver, rng)
    driver.run(3 * SECOND)
    assert all(asked.answered for asked in driver.asked.values()), "a request was lost"
    for number in list(driver.attempts):
        driver.end(number, AttemptOutcome.OK)
    assert not driver.balancer.flows and not driver.balancer.holdings.groups and not driver.balancer.held
