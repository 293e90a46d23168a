"""Tests of the endpoint list: servers that drain, leave, return or are listed with invalid weights."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest

from limerudder.policy.actions import MigrateClient, StartAttempt
from limerudder.policy.events import ServerState, UpdateKind
from limerudder.policy.records import SECOND
from tests.policy_driver import (
    BASE_SETTINGS,
    MINIMAL_SETTINGS,
    Driver,
    driver_with_loaded_server,
    server_entries,
    server_entry,
)


def test_a_draining_server_gets_no_further_attempts() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    driver.update_endpoints([server_entry(1, ServerState.DRAINING)])
    assert {driver.server_of(driver.connect()) for _ in range(20)} == {2}
    driver.update_endpoints([server_entry(2)], UpdateKind.FULL)
    driver.update_endpoints([server_entry(1, ServerState.READY)])
    selected = {driver.server_of(driver.connect()) for _ in range(20)}
    assert 1 in selected, "a server that is ready again under the same id is used again"


def test_the_connections_of_a_draining_server_are_migrated_gradually_before_it_stops() -> None:
    """Connections must leave before the drained server stops and closes them; 58 were lost this way."""
    driver, connections = driver_with_loaded_server()
    driver.update_endpoints([server_entry(1, ServerState.DRAINING)])
    migrations = []
    for _ in range(5):
        driver.run(SECOND // 4)
        migrations.append(len(driver.actions_of_type(MigrateClient)))
    assert 0 < migrations[0] < migrations[1] < migrations[4] == len(connections)


def test_a_large_list_replaced_at_once_is_warmed_up_within_its_budgets() -> None:
    """One of a thousand nodes: no attempts at old servers, few at cold ones, and all served once warm."""
    settings = replace(BASE_SETTINGS, node_count=1000, allows_health_checks=False)
    driver = Driver(settings, servers=server_entries(150))
    for group in range(40):
        driver.connect(group=group)
    new_servers = range(1001, 1151)
    new_entries = [server_entry(server_id, ready_since_us=driver.now_us) for server_id in new_servers]
    driver.update_endpoints(new_entries, UpdateKind.FULL)
    attempts_before = len(driver.actions_of_type(StartAttempt))
    for group in range(20):
        driver.request(group=group)
    new_attempts = driver.actions_of_type(StartAttempt)[attempts_before:]
    assert all(attempt.server_id > 1000 for attempt in new_attempts)
    assert len(driver.balancer.registry.ready) == 150
    establish_pending_attempts(driver)
    new_attempts = driver.actions_of_type(StartAttempt)[attempts_before:]
    assert len(new_attempts) < 10, "limited by the slow-start budgets of one of a thousand nodes"
    for _ in range(4 * settings.warm_up_us // SECOND):
        driver.run(SECOND // 4)
        establish_pending_attempts(driver)
    assert all(driver.server_of(driver.connect(group=group)) > 1000 for group in range(20))


def establish_pending_attempts(driver: Driver) -> None:
    """Establish the currently pending attempts, without those that start as a result."""
    for request_id in driver.pending_requests():
        driver.establish(request_id)


def test_a_delta_that_removes_an_unknown_server_changes_nothing() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    driver.update_endpoints([server_entry(99, ServerState.GONE)])
    driver.update_endpoints([server_entry(98, ServerState.DRAINING)])
    assert {driver.server_of(driver.connect()) for _ in range(30)} == {1, 2, 3}


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf, 1e300])
def test_a_server_with_an_invalid_weight_does_not_prevent_connections(weight: float) -> None:
    invalid_entry = server_entry(1)._replace(weight=weight)
    driver = Driver(replace(MINIMAL_SETTINGS, has_groups=True), servers=[invalid_entry, server_entry(2)])
    for _ in range(20):
        driver.connect(group=7)
    driver.update_endpoints([server_entry(1, ServerState.GONE)])
    driver.update_endpoints([invalid_entry])
    driver.connect(group=7)


def test_the_ready_weight_is_the_sum_over_the_ready_servers_after_any_updates() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(20))
    registry = driver.balancer.registry
    rng = Random(2)
    for _ in range(300):
        state = rng.choice([ServerState.READY, ServerState.DRAINING, ServerState.GONE])
        entry = server_entry(rng.randrange(1, 30), state)._replace(weight=rng.choice([0.3, 1.0, 2.5]))
        driver.update_endpoints([entry])
        assert registry.ready_weight == pytest.approx(sum(server.weight for server in registry.ready))


def test_servers_in_slow_start_are_those_that_started_within_the_warm_up_time() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(3))
    registry = driver.balancer.registry
    warm_up_us = BASE_SETTINGS.warm_up_us
    for server_id in (1, 2):
        restarted = server_entry(server_id)._replace(ready_since_us=driver.now_us)
        driver.update_endpoints([restarted])
        driver.run(warm_up_us // 2 + SECOND)
    registry.update_slow_start()
    assert [server.id for server in registry.warming_up] == [2]
    driver.run(warm_up_us)
    registry.update_slow_start()
    assert not registry.warming_up
