"""Random legal event sequences; the driver checks every action against the rules, and all counts."""

from __future__ import annotations

from collections.abc import Callable
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
    ServerState,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from limerudder.policy.settings import Settings
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
CONNECTION_OUTCOMES = [AttemptOutcome.OK, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
LISTED_STATES = [
    ServerState.READY,
    ServerState.READY,
    ServerState.READY,
    ServerState.DRAINING,
    ServerState.GONE,
]
CLASS_COUNT = len(BASE_SETTINGS.classes)
GROUP_COUNT = 4
UNKNOWN_REQUEST = 10**6
UNKNOWN_TIMER = 987_654
STEPS_PER_SEQUENCE = 80


def new_request(driver: Driver, rng: Random) -> None:
    time_left_us = rng.choice([None, 0, 1, 5_000, 300_000])
    driver.request(rng.randrange(CLASS_COUNT), rng.randrange(GROUP_COUNT), time_left_us, rng.randrange(2))


def connection_established(driver: Driver, rng: Random) -> None:
    pending = driver.pending_requests()
    if pending:
        driver.establish(rng.choice(pending))


def attempt_ended(driver: Driver, rng: Random) -> None:
    if not driver.attempts:
        return
    request_id = rng.choice(list(driver.attempts))
    established = driver.attempts[request_id].established
    outcomes = CONNECTION_OUTCOMES if established else PENDING_ATTEMPT_OUTCOMES
    driver.end_attempt(request_id, rng.choice(outcomes))


def client_disconnected(driver: Driver, rng: Random) -> None:
    unanswered = [request_id for request_id, request in driver.requests.items() if not request.answered]
    if unanswered:
        driver.disconnect_client(rng.choice(unanswered))


def time_passed(driver: Driver, rng: Random) -> None:
    driver.run(rng.choice([5_000, 100_000, SECOND, 20 * SECOND]))


def endpoints_changed(driver: Driver, rng: Random) -> None:
    kind = rng.choice([UpdateKind.DELTA, UpdateKind.FULL])
    server_ids = rng.sample(range(1, 9), rng.randrange(1, 9))
    entries = [
        server_entry(
            server_id,
            rng.choice(LISTED_STATES),
            zone=server_id % 2,
            ready_since_us=rng.choice([0, driver.now_us]),
            cell=server_id % 3,
        )
        for server_id in server_ids
    ]
    driver.update_endpoints(entries, kind)


def discovery_failed(driver: Driver, rng: Random) -> None:
    driver.deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))


def load_reported(driver: Driver, rng: Random) -> None:
    load = rng.choice([0.1, 0.6, 0.9, 2.0, float("nan"), -1.0, 1e30])
    server_id = rng.randrange(12)
    outcome = rng.choice([AttemptOutcome.OK, AttemptOutcome.TIMEOUT])
    load_report = rng.choice([(), (0.0, load)])
    driver.deliver(HealthCheckResult(server_id, 900, outcome, load_report))


def existing_connection_found(driver: Driver, rng: Random) -> None:
    if driver.entries:
        server_id = rng.choice(list(driver.entries))
        driver.add_connection(server_id, rng.randrange(CLASS_COUNT), rng.randrange(GROUP_COUNT))


def connection_sampled(driver: Driver, rng: Random) -> None:
    if not driver.attempts:
        return
    request_id = rng.choice(list(driver.attempts))
    server_id = driver.server_of(request_id)
    value = rng.choice([0.0, 500.0, float("nan")])
    samples_load = rng.choice([True, False])
    if samples_load:
        driver.deliver(LoadSample(request_id, server_id, value, 0))
    else:
        driver.deliver(LatencySample(request_id, server_id, value, 0))


def unknown_ids_reported(driver: Driver, rng: Random) -> None:
    driver.deliver(AttemptEnded(UNKNOWN_REQUEST, 0, 1, AttemptOutcome.OK, 1, 1, ()))
    driver.deliver(ConnectionEstablished(UNKNOWN_REQUEST, 1, 0, 1))
    driver.deliver(ClientDisconnected(UNKNOWN_REQUEST))
    driver.deliver(LoadSample(UNKNOWN_REQUEST, 1, 1.0, 0))
    driver.deliver(PeerMessage(1, b"\xff\x00"))
    driver.deliver(TimerFired(UNKNOWN_TIMER))


#: Steps that are listed more than once are drawn more often.
STEPS: list[Callable[[Driver, Random], None]] = [
    new_request,
    new_request,
    new_request,
    connection_established,
    connection_established,
    attempt_ended,
    client_disconnected,
    time_passed,
    endpoints_changed,
    load_reported,
    existing_connection_found,
    connection_sampled,
    unknown_ids_reported,
    discovery_failed,
]


@pytest.mark.parametrize("policy_settings", SETTINGS)
@given(seed=st.integers(0, 2**32))
@settings(max_examples=120, derandomize=True, deadline=None, database=None)
def test_rules_and_counts_hold_on_any_legal_sequence(policy_settings: Settings, seed: int) -> None:
    rng = Random(seed)
    entries = [server_entry(server_id, zone=server_id % 2, cell=server_id % 3) for server_id in range(1, 7)]
    driver = Driver(policy_settings, seed, entries)
    for _ in range(STEPS_PER_SEQUENCE):
        step = rng.choice(STEPS)
        step(driver, rng)
    driver.run(3 * SECOND)
    assert all(request.answered for request in driver.requests.values()), "a request was never answered"
    for request_id in list(driver.attempts):
        driver.end_attempt(request_id, AttemptOutcome.OK)
    assert not driver.balancer.connections.by_id
    assert not driver.balancer.connections.index.servers_by_group
    assert not driver.balancer.timers.pending
