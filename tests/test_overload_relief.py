"""Tests of the migration of connections away from overloaded servers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.actions import MigrateClient
from limerudder.policy.events import LatencySample, LoadSample
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, Driver, driver_with_loaded_server, server_entries


def test_relief_by_many_nodes_migrates_the_excess_share() -> None:
    """With one connection at each of 500 nodes, rounding up would migrate all of them at once."""
    migrations = 0
    for seed in range(200):
        driver = Driver(replace(BASE_SETTINGS, node_count=500), seed, server_entries(6))
        for server_id in range(2, 7):
            request_id = driver.add_connection(server_id)
            driver.deliver(LoadSample(request_id, server_id, 1000.0, 0))
        request_id = driver.add_connection(1)
        driver.deliver(LoadSample(request_id, 1, 1000.0, 0))
        driver.deliver(LatencySample(request_id, 1, 2000.0, 0))
        migrations += len(driver.actions_of_type(MigrateClient))
    assert 30 < migrations < 95  # expected: three tenths of 200


def test_relief_migrates_the_costliest_connections_once_for_the_same_overload() -> None:
    driver, connections = driver_with_loaded_server()
    driver.report_load(1, 1.2)
    migrated = driver.migrated_requests()
    assert migrated
    assert migrated[0] == connections[-1]
    assert len(migrated) < 6
    driver.report_load(1, 1.4)
    assert len(driver.actions_of_type(MigrateClient)) == len(migrated)


@pytest.mark.parametrize(
    ("loads", "relieved"), [([1.4], True), ([0.95], True), ([0.88] * 5, False), ([0.5], False)]
)
def test_reports_relieve_a_server_near_its_capacity(loads: list[float], relieved: bool) -> None:
    driver, _ = driver_with_loaded_server()
    for load in loads:
        driver.report_load(1, load)
    assert (0 < len(driver.actions_of_type(MigrateClient)) < 10) is relieved


def test_a_server_with_a_backlog_is_relieved_and_avoided_until_the_backlog_is_cleared() -> None:
    """Regression: two servers with reduced capacity stayed at 0.97 with a backlog of seconds."""
    driver, _ = driver_with_loaded_server()
    server = driver.balancer.registry.servers[1]
    for load, migrates in ((1.5, True), (1.5, False), (0.8, True), (0.8, False)):
        migrations_before = len(driver.actions_of_type(MigrateClient))
        driver.report_load(1, load)
        migrated = len(driver.actions_of_type(MigrateClient)) > migrations_before
        assert migrated is migrates, "just below capacity a backlog lasts for seconds"
        driver.now_us += SECOND
    assert server.backlog_us > 0
    assert driver.server_of(driver.connect()) == 2
    driver.report_load(1, 0.2)
    assert server.backlog_us == 0
