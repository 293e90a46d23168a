"""Tests of the ejection of servers that fail or are slow."""

from __future__ import annotations

from limerudder.policy.actions import (
    MigrateClient,
)
from limerudder.policy.events import (
    AttemptOutcome,
    LatencySample,
    LoadSample,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE, PLAIN, Driver, fleet


def test_a_suspect_server_comes_back_by_one_trial() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.request()
    bad = driver.where(number)
    driver.end(number, AttemptOutcome.CONNECT_FAILED)
    assert driver.where(number) != bad
    driver.establish(number)
    assert {driver.where(driver.connect()) for _ in range(10)} == {3 - bad}
    driver.run(SECOND)
    there = [driver.where(driver.request()) for _ in range(4)]
    assert there.count(bad) == 1


def test_when_all_servers_look_bad_none_is_excluded() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    for s in range(1, 4):
        driver.give(LatencySample(driver.open(s), s, 900.0, 0))
    driver.connect()


def test_slow_messages_exclude_a_server_and_silence_readmits_it() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.open(1)
    driver.give(LatencySample(number, 1, 90.0, 0))
    assert {driver.where(driver.connect()) for _ in range(9)} == {2}
    driver.run(3 * SECOND)
    assert driver.where(driver.connect()) == 1


def test_a_reset_that_meets_our_own_migration_is_no_failure() -> None:
    driver = Driver(BASE, servers=fleet(2))
    numbers = [driver.open(1) for _ in range(10)]
    for number in numbers:
        driver.give(LoadSample(number, 1, 1000.0, 0))
    driver.give(LatencySample(numbers[0], 1, 80.0, 0))
    driver.report(1, 1.2)
    moved = [a.request_id for a in driver.logged(MigrateClient) if isinstance(a, MigrateClient)]
    driver.end(moved[0], AttemptOutcome.RESET)
    assert driver.balancer.registry.servers[1].consecutive_failures == 0
