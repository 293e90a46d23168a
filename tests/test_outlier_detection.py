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
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries


def test_a_suspect_server_comes_back_by_one_trial() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    number = driver.request()
    bad = driver.server_of(number)
    driver.end_attempt(number, AttemptOutcome.CONNECT_FAILED)
    assert driver.server_of(number) != bad
    driver.establish(number)
    assert {driver.server_of(driver.connect()) for _ in range(10)} == {3 - bad}
    driver.run(SECOND)
    there = [driver.server_of(driver.request()) for _ in range(4)]
    assert there.count(bad) == 1


def test_when_all_servers_look_bad_none_is_excluded() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    for s in range(1, 4):
        driver.deliver(LatencySample(driver.add_connection(s), s, 900.0, 0))
    driver.connect()


def test_slow_messages_exclude_a_server_and_silence_readmits_it() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    number = driver.add_connection(1)
    driver.deliver(LatencySample(number, 1, 90.0, 0))
    assert {driver.server_of(driver.connect()) for _ in range(9)} == {2}
    driver.run(3 * SECOND)
    assert driver.server_of(driver.connect()) == 1


def test_a_reset_that_meets_our_own_migration_is_no_failure() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    numbers = [driver.add_connection(1) for _ in range(10)]
    for number in numbers:
        driver.deliver(LoadSample(number, 1, 1000.0, 0))
    driver.deliver(LatencySample(numbers[0], 1, 80.0, 0))
    driver.report_load(1, 1.2)
    moved = [a.request_id for a in driver.actions_of_type(MigrateClient) if isinstance(a, MigrateClient)]
    driver.end_attempt(moved[0], AttemptOutcome.RESET)
    assert driver.balancer.registry.servers[1].consecutive_failures == 0
