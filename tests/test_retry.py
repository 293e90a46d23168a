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
from tests.policy_driver import BASE, PLAIN, Driver, fleet


def test_a_retry_leaves_out_servers_tried() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.request()
    seen = {driver.where(number)}
    for _ in range(2):
        driver.end(number, AttemptOutcome.CONNECT_FAILED)
        assert driver.where(number) not in seen
        seen.add(driver.where(number))


def test_an_unsafe_request_that_may_have_executed_is_failed_not_rejected() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.request(cls=1)
    actions = driver.end(number, AttemptOutcome.RESET)
    assert [type(a) for a in actions if isinstance(a, FailRequest | RejectRequest | StartAttempt)] == [
        FailRequest
    ]


def test_an_attempt_outlasts_the_latency_objective_while_half_of_the_time_is_left() -> None:
    """Incident r3c1a4b: after a restart 25 set-ups were given up at the aim and sent again."""
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.request()
    first = driver.where(number)
    driver.run(SECOND * 9 // 10)
    assert driver.sends[number] == 1, "the aim of 500 ms is past"
    driver.run(SECOND // 5)
    assert driver.sends[number] == 2 and driver.where(number) != first
    late = driver.request(time_left=SECOND * 6 // 10)
    driver.run(SECOND * 4 // 10)
    assert driver.sends[late] == 1, "with little time left, the aim is what an attempt gets"


def test_requests_wait_and_are_rejected_on_an_empty_endpoint_list() -> None:
    driver = Driver(BASE)
    driver.members([], UpdateKind.CACHED)
    number = driver.request()
    driver.run(3 * SECOND)
    assert driver.asked[number].answered


def test_a_keyed_request_is_sent_again_only_while_a_late_dial_would_be_within_its_window() -> None:
    """The line is written when the connection is up, as late as the settings let a dial take."""
    window, dial = BASE.classes[2].idempotency_window_us, BASE.connect_timeout_us
    for after, again in ((window - dial - 1, True), (window - dial, False)):
        driver = Driver(PLAIN, servers=fleet(4))
        number = driver.request(cls=2)
        driver.now += after
        actions = driver.end(number, AttemptOutcome.RESET)
        assert any(isinstance(a, StartAttempt) for a in actions) is again, after


def test_all_draining_rejects_and_recovers() -> None:
    driver = Driver(PLAIN, servers=fleet(2, state=ServerState.DRAINING))
    number = driver.request()
    driver.run(SECOND)
    assert driver.asked[number].answered
    driver.members(fleet(2))
    driver.connect()


def test_connects_that_fail_everywhere_are_paced() -> None:
    """Incident i4f7320: tries at once kept the shared store behind for good (185 attempts a request)."""
    driver = Driver(PLAIN, servers=fleet(20))
    for _ in range(50):
        driver.request()
    for _ in range(20):
        driver.run(50_000)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end(number, AttemptOutcome.ERROR)
    before = len(driver.logged(StartAttempt))
    for _ in range(20):
        driver.request()
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end(number, AttemptOutcome.ERROR)
        driver.run(50_000)
    assert len(driver.logged(StartAttempt)) - before <= 4
    driver.run(3 * SECOND)
    for _ in range(30):  # the store is back: successes take the spacing away
        driver.request()
        driver.run(SECOND // 3)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.establish(number)
    assert driver.balancer.pacer.interval_us == 0
