"""Tests of attempts, retries and final answers."""

from __future__ import annotations

import pytest

from limerudder.policy.actions import FailRequest, RejectRequest, StartAttempt
from limerudder.policy.events import AttemptOutcome, ServerState, UpdateKind
from limerudder.policy.records import SECOND
from tests.policy_driver import (
    BASE_SETTINGS,
    KEYED_EVERYWHERE,
    MINIMAL_SETTINGS,
    UNSAFE,
    Driver,
    server_entries,
)

CONNECT_TIMEOUT_US = BASE_SETTINGS.connect_timeout_us
KEY_WINDOW_US = BASE_SETTINGS.classes[KEYED_EVERYWHERE].idempotency_window_us


def test_a_retry_excludes_servers_that_were_tried() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    request_id = driver.request()
    tried = {driver.server_of(request_id)}
    for _ in range(2):
        driver.end_attempt(request_id, AttemptOutcome.CONNECT_FAILED)
        assert driver.server_of(request_id) not in tried
        tried.add(driver.server_of(request_id))


def test_an_unsafe_request_that_may_have_executed_is_failed_not_rejected() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    request_id = driver.request(traffic_class=UNSAFE)
    actions = driver.end_attempt(request_id, AttemptOutcome.RESET)
    decisions = [
        type(action) for action in actions if isinstance(action, FailRequest | RejectRequest | StartAttempt)
    ]
    assert decisions == [FailRequest]


def test_an_attempt_outlasts_the_latency_objective_while_half_of_the_time_is_left() -> None:
    """Incident r3c1a4b: after a restart, 25 attempts were cancelled at the objective and retried."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    request_id = driver.request()
    first_server = driver.server_of(request_id)
    driver.run(SECOND * 9 // 10)
    assert driver.attempts_started[request_id] == 1, "the objective of 500 ms has passed"
    driver.run(SECOND // 5)
    assert driver.attempts_started[request_id] == 2
    assert driver.server_of(request_id) != first_server
    late_request = driver.request(time_left_us=SECOND * 6 // 10)
    driver.run(SECOND * 4 // 10)
    assert (
        driver.attempts_started[late_request] == 1
    ), "with little time left, an attempt may take as long as the objective"


def test_requests_wait_and_are_rejected_on_an_empty_endpoint_list() -> None:
    driver = Driver(BASE_SETTINGS)
    driver.update_endpoints([], UpdateKind.CACHED)
    request_id = driver.request()
    driver.run(3 * SECOND)
    assert driver.requests[request_id].answered


@pytest.mark.parametrize(
    ("elapsed_us", "retried"),
    [(KEY_WINDOW_US - CONNECT_TIMEOUT_US - 1, True), (KEY_WINDOW_US - CONNECT_TIMEOUT_US, False)],
)
def test_a_keyed_request_is_retried_only_if_a_slow_connect_would_end_within_its_window(
    elapsed_us: int, retried: bool
) -> None:
    """The request is written once the connection is established, which may take the full connect timeout."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(4))
    request_id = driver.request(traffic_class=KEYED_EVERYWHERE)
    driver.now_us += elapsed_us
    actions = driver.end_attempt(request_id, AttemptOutcome.RESET)
    assert any(isinstance(action, StartAttempt) for action in actions) is retried


def test_requests_are_rejected_while_all_servers_drain_and_served_afterwards() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2, state=ServerState.DRAINING))
    request_id = driver.request()
    driver.run(SECOND)
    assert driver.requests[request_id].answered
    driver.update_endpoints(server_entries(2))
    driver.connect()


def test_attempts_that_fail_at_all_servers_are_paced() -> None:
    """Incident i4f7320: immediate retries kept the shared store overloaded (185 attempts per request)."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(20))
    for _ in range(50):
        driver.request()
    for _ in range(20):
        driver.run(50_000)
        fail_pending_attempts(driver)
    attempts_before = len(driver.actions_of_type(StartAttempt))
    for _ in range(20):
        driver.request()
        fail_pending_attempts(driver)
        driver.run(50_000)
    assert len(driver.actions_of_type(StartAttempt)) - attempts_before <= 4
    driver.run(3 * SECOND)
    for _ in range(30):  # the store has recovered, so successes end the pacing
        driver.request()
        driver.run(SECOND // 3)
        for request_id in driver.pending_requests():
            driver.establish(request_id)
    assert driver.balancer.pacer.interval_us == 0


def fail_pending_attempts(driver: Driver) -> None:
    for request_id in driver.pending_requests():
        driver.end_attempt(request_id, AttemptOutcome.ERROR)
