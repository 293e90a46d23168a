"""Random legal event sequences; the driver checks every action against the rules, and the counts."""

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
from tests.policy_driver import BASE_SETTINGS, Driver, server_entry

SETTINGS = (
    BASE_SETTINGS,
    replace(BASE_SETTINGS, discovery="on_request", prices={"crossZone": 0.1, "probe": 0.0}, max_attempts=2),
    replace(
        BASE_SETTINGS,
        allows_health_checks=False,
        allows_cancellation=False,
        allows_hedging=True,
        mode="pass",
        park_us=5 * SECOND,
        has_groups=False,
    ),
)
PENDING_ATTEMPT_OUTCOMES = [
    AttemptOutcome.FULL,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.ERROR,
    AttemptOutcome.OK,
]
STEPS = "request request request establish establish end gone time list report open note stray failed".split()


def step(driver: Driver, rng: Random) -> None:
    kind_of_step = rng.choice(STEPS)
    pending = [attempt.id for attempt in driver.attempts.values() if not attempt.live]
    attempt_ids = list(driver.attempts)
    if kind_of_step == "request":
        left = rng.choice([None, 0, 1, 5_000, 300_000])
        driver.request(rng.randrange(5), rng.randrange(4), left, rng.randrange(2))
    elif kind_of_step == "establish" and pending:
        driver.establish(rng.choice(pending))
    elif kind_of_step == "end" and attempt_ids:
        number = rng.choice(attempt_ids)
        live = driver.attempts[number].live
        driver.end_attempt(
            number,
            rng.choice(
                [AttemptOutcome.OK, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
                if live
                else PENDING_ATTEMPT_OUTCOMES
            ),
        )
    elif kind_of_step == "gone":
        open_ids = [i for i, a in driver.requests.items() if not a.answered]
        if open_ids:
            driver.disconnect_client(rng.choice(open_ids))
    elif kind_of_step == "time":
        driver.run(rng.choice([5_000, 100_000, SECOND, 20 * SECOND]))
    elif kind_of_step == "list":
        kind = rng.choice([UpdateKind.DELTA, UpdateKind.FULL])
        chosen = rng.sample(range(1, 9), rng.randrange(1, 9))
        driver.update_endpoints(
            [
                server_entry(s, rng.choice([1, 1, 1, 2, 0]), s % 2, rng.choice([0, driver.now_us]), s % 3)
                for s in chosen
            ],
            kind,
        )
    elif kind_of_step == "report":
        load = rng.choice([0.1, 0.6, 0.9, 2.0, float("nan"), -1.0, 1e30])
        driver.deliver(
            HealthCheckResult(rng.randrange(12), 900, rng.choice([200, 408]), rng.choice([(), (0.0, load)]))
        )
    elif kind_of_step == "open" and driver.entries:
        driver.add_connection(rng.choice(list(driver.entries)), rng.randrange(5), rng.randrange(4))
    elif kind_of_step == "note" and attempt_ids:
        number = rng.choice(attempt_ids)
        value = rng.choice([0.0, 500.0, float("nan")])
        if rng.choice([True, False]):
            driver.deliver(LoadSample(number, driver.server_of(number), value, 0))
        else:
            driver.deliver(LatencySample(number, driver.server_of(number), value, 0))
    elif kind_of_step == "stray":
        driver.deliver(AttemptEnded(10**6, 0, 1, 200, 1, 1, ()))
        driver.deliver(ConnectionEstablished(10**6, 1, 0, 1))
        driver.deliver(ClientDisconnected(10**6))
        driver.deliver(LoadSample(10**6, 1, 1.0, 0))
        driver.deliver(PeerMessage(1, b"\xff\x00"))
        driver.deliver(TimerFired(987_654))
    elif kind_of_step == "failed":
        driver.deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))


@pytest.mark.parametrize("policy_settings", SETTINGS)
@given(seed=st.integers(0, 2**32))
@settings(max_examples=120, derandomize=True, deadline=None, database=None)
def test_rules_and_counts_hold_on_any_legal_sequence(policy_settings: Settings, seed: int) -> None:
    rng = Random(seed)
    driver = Driver(policy_settings, seed, [server_entry(s, 1, s % 2, 0, s % 3) for s in range(1, 7)])
    for _ in range(80):
        step(driver, rng)
    driver.run(3 * SECOND)
    assert all(asked.answered for asked in driver.requests.values()), "a request was lost"
    for number in list(driver.attempts):
        driver.end_attempt(number, AttemptOutcome.OK)
    assert (
        not driver.balancer.connections.by_id
        and not driver.balancer.connections.index.servers_by_group
        and not driver.balancer.timers.pending
    )
