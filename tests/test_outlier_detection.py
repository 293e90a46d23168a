"""Tests of the ejection of servers that fail or are slow."""

from __future__ import annotations

from limerudder.policy.events import AttemptOutcome, LatencySample, LoadSample
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries


def test_an_ejected_server_gets_one_trial_attempt_after_its_ejection() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    request_id = driver.request()
    ejected = driver.server_of(request_id)
    healthy = 3 - ejected
    driver.end_attempt(request_id, AttemptOutcome.CONNECT_FAILED)
    assert driver.server_of(request_id) != ejected
    driver.establish(request_id)
    assert {driver.server_of(driver.connect()) for _ in range(10)} == {healthy}
    driver.run(SECOND)
    selected = [driver.server_of(driver.request()) for _ in range(4)]
    assert selected.count(ejected) == 1


def test_no_server_is_excluded_while_all_are_slow() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    for server_id in range(1, 4):
        request_id = driver.add_connection(server_id)
        driver.deliver(LatencySample(request_id, server_id, 900.0, 0))
    driver.connect()


def test_slow_messages_exclude_a_server_until_no_more_of_them_arrive() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    request_id = driver.add_connection(1)
    driver.deliver(LatencySample(request_id, 1, 90.0, 0))
    assert {driver.server_of(driver.connect()) for _ in range(9)} == {2}
    driver.run(3 * SECOND)
    assert driver.server_of(driver.connect()) == 1


def test_a_reset_during_a_migration_is_not_counted_as_a_failure() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    connections = [driver.add_connection(1) for _ in range(10)]
    for request_id in connections:
        driver.deliver(LoadSample(request_id, 1, 1000.0, 0))
    driver.deliver(LatencySample(connections[0], 1, 80.0, 0))
    driver.report_load(1, 1.2)
    migrated = driver.migrated_requests()
    driver.end_attempt(migrated[0], AttemptOutcome.RESET)
    assert driver.balancer.registry.servers[1].consecutive_failures == 0
