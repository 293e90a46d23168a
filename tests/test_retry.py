"""Tests of attempts, retries and final answers."""

from __future__ import annotations

from limerudder.policy.actions import (
    FailRequest,
    RejectRequest,
    StartAttempt,
)
from limerudder.policy.events import (
    AttemptOutcome,
    ServerState,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries


def test_a_retry_leaves_out_servers_tried() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    number = driver.request()
    seen = {driver.server_of(number)}
    for _ in range(2):
        driver.end_attempt(number, AttemptOutcome.CONNECT_FAILED)
        assert driver.server_of(number) not in seen
        seen.add(driver.server_of(number))


def test_an_unsafe_request_that_may_have_executed_is_failed_not_rejected() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    number = driver.request(traffic_class=1)
    actions = driver.end_attempt(number, AttemptOutcome.RESET)
    assert [type(a) for a in actions if isinstance(a, FailRequest | RejectRequest | StartAttempt)] == [
        FailRequest
    ]


def test_an_attempt_outlasts_the_latency_objective_while_half_of_the_time_is_left() -> None:
    """Incident r3c1a4b: after a restart 25 set-ups were given up at the aim and sent again."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    number = driver.request()
    first = driver.server_of(number)
    driver.run(SECOND * 9 // 10)
    assert driver.attempts_started[number] == 1, "the aim of 500 ms is past"
    driver.run(SECOND // 5)
    assert driver.attempts_started[number] == 2 and driver.server_of(number) != first
    late = driver.request(time_left_us=SECOND * 6 // 10)
    driver.run(SECOND * 4 // 10)
    assert driver.attempts_started[late] == 1, "with little time left, the aim is what an attempt gets"


def test_requests_wait_and_are_rejected_on_an_empty_endpoint_list() -> None:
    driver = Driver(BASE_SETTINGS)
    driver.update_endpoints([], UpdateKind.CACHED)
    number = driver.request()
    driver.run(3 * SECOND)
    assert driver.requests[number].answered


def test_a_keyed_request_is_sent_again_only_while_a_late_dial_would_be_within_its_window() -> None:
    """The line is written when the connection is up, as late as the settings let a dial take."""
    window, dial = BASE_SETTINGS.classes[2].idempotency_window_us, BASE_SETTINGS.connect_timeout_us
    for after, again in ((window - dial - 1, True), (window - dial, False)):
        driver = Driver(MINIMAL_SETTINGS, servers=server_entries(4))
        number = driver.request(traffic_class=2)
        driver.now_us += after
        actions = driver.end_attempt(number, AttemptOutcome.RESET)
        assert any(isinstance(a, StartAttempt) for a in actions) is again, after


def test_all_draining_rejects_and_recovers() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2, state=ServerState.DRAINING))
    number = driver.request()
    driver.run(SECOND)
    assert driver.requests[number].answered
    driver.update_endpoints(server_entries(2))
    driver.connect()


def test_connects_that_fail_everywhere_are_paced() -> None:
    """Incident i4f7320: tries at once kept the shared store behind for good (185 attempts a request)."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(20))
    for _ in range(50):
        driver.request()
    for _ in range(20):
        driver.run(50_000)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end_attempt(number, AttemptOutcome.ERROR)
    before = len(driver.actions_of_type(StartAttempt))
    for _ in range(20):
        driver.request()
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end_attempt(number, AttemptOutcome.ERROR)
        driver.run(50_000)
    assert len(driver.actions_of_type(StartAttempt)) - before <= 4
    driver.run(3 * SECOND)
    for _ in range(30):  # the store is back: successes take the spacing away
        driver.request()
        driver.run(SECOND // 3)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.establish(number)
    assert driver.balancer.pacer.interval_us == 0
