"""Tests of the migration of connections away from overloaded servers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.actions import (
    MigrateClient,
)
from limerudder.policy.events import (
    LatencySample,
    LoadSample,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, Driver, driver_with_loaded_server, server_entries


def test_relief_by_many_nodes_migrates_the_excess_share() -> None:
    """Where each of 500 nodes holds one connection, rounding up would move all of them at once."""
    moved = 0
    for seed in range(200):
        driver = Driver(replace(BASE_SETTINGS, node_count=500), seed, server_entries(6))
        for s in range(2, 7):
            driver.deliver(LoadSample(driver.add_connection(s), s, 1000.0, 0))
        number = driver.add_connection(1)
        driver.deliver(LoadSample(number, 1, 1000.0, 0))
        driver.deliver(LatencySample(number, 1, 2000.0, 0))
        moved += len(driver.actions_of_type(MigrateClient))
    assert 30 < moved < 95  # three tenths of 200


def test_relief_migrates_the_costliest_and_not_again_for_the_same_report() -> None:
    driver, numbers = driver_with_loaded_server()
    driver.report_load(1, 1.2)
    moved = [a.request_id for a in driver.actions_of_type(MigrateClient) if isinstance(a, MigrateClient)]
    assert moved and moved[0] == numbers[-1] and len(moved) < 6
    driver.report_load(1, 1.4)
    assert len(driver.actions_of_type(MigrateClient)) == len(moved)


@pytest.mark.parametrize(
    ("loads", "eased"), [([1.4], True), ([0.95], True), ([0.88] * 5, False), ([0.5], False)]
)
def test_reports_relieve_a_server_near_its_capacity(loads: list[float], eased: bool) -> None:
    driver, _ = driver_with_loaded_server()
    for load in loads:
        driver.report_load(1, load)
    assert (0 < len(driver.actions_of_type(MigrateClient)) < 10) is eased


def test_a_backlog_is_relieved_and_spared_until_it_is_worked_off() -> None:
    """Wide day, seed 3: two servers that aged stood at 0.97 with a pile of seconds, and earned nothing."""
    driver, _ = driver_with_loaded_server()
    server = driver.balancer.registry.servers[1]
    for load, moves in ((1.5, True), (1.5, False), (0.8, True), (0.8, False)):
        before = len(driver.actions_of_type(MigrateClient))
        driver.report_load(1, load)
        assert (
            len(driver.actions_of_type(MigrateClient)) > before
        ) is moves, "just below capacity a pile stays for seconds"
        driver.now_us += SECOND
    assert server.backlog_us > 0 and driver.server_of(driver.connect()) == 2
    driver.report_load(1, 0.2)
    assert server.backlog_us == 0
