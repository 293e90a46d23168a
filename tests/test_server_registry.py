"""Tests of the endpoint list: servers that drain, leave, return or are listed with nonsense."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from limerudder.policy.actions import (
    MigrateClient,
    StartAttempt,
)
from limerudder.policy.events import (
    ServerState,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import (
    BASE_SETTINGS,
    MINIMAL_SETTINGS,
    Driver,
    driver_with_loaded_server,
    server_entries,
    server_entry,
)


def test_a_draining_server_gets_nothing_at_once() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    driver.update_endpoints([server_entry(1, ServerState.DRAINING)])
    assert {driver.server_of(driver.connect()) for _ in range(20)} == {2}
    driver.update_endpoints([server_entry(2)], UpdateKind.FULL)
    driver.update_endpoints([server_entry(1, ServerState.READY)])
    assert 1 in {
        driver.server_of(driver.connect()) for _ in range(20)
    }, "back under the same id, it is used again"


def test_the_connections_of_a_draining_server_are_migrated_gradually_before_it_stops() -> None:
    """Disco day, seed 3: 58 connections were cut off by servers that drained and then stopped."""
    driver, numbers = driver_with_loaded_server()
    driver.update_endpoints(server_entries(2, state=ServerState.DRAINING)[:1])
    moved = []
    for _ in range(5):
        driver.run(SECOND // 4)
        moved.append(len(driver.actions_of_type(MigrateClient)))
    assert 0 < moved[0] < moved[1] < moved[4] == len(numbers)


def test_a_large_list_replaced_at_once_is_warmed_up_within_bounds() -> None:
    """One of a thousand nodes: no send to an old server, next to none to cold ones, all of them once warm."""
    settings = replace(BASE_SETTINGS, node_count=1000, allows_health_checks=False)
    driver = Driver(settings, servers=server_entries(150))
    for group in range(40):
        driver.connect(group=group)
    driver.update_endpoints(
        [server_entry(s, since=driver.now_us) for s in range(1001, 1151)], UpdateKind.FULL
    )
    before = len(driver.actions_of_type(StartAttempt))
    for group in range(20):
        driver.request(group=group)
    assert all(getattr(a, "server_id") > 1000 for a in driver.actions_of_type(StartAttempt)[before:])  # noqa: B009
    assert len(driver.balancer.registry.ready) == 150
    for number, attempt in list(driver.attempts.items()):
        if not attempt.live:
            driver.establish(number)
    assert (
        len(driver.actions_of_type(StartAttempt)) - before < 10
    ), "held back: cold budgets of one of a thousand nodes"
    for _ in range(4 * settings.warm_up_us // SECOND):
        driver.run(SECOND // 4)
        for number, attempt in list(driver.attempts.items()):
            if not attempt.live:
                driver.establish(number)
    assert {driver.server_of(driver.connect(group=group)) > 1000 for group in range(20)} == {True}


def test_a_delta_that_removes_an_unknown_server_changes_nothing() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    driver.update_endpoints([server_entry(99, ServerState.GONE)])
    driver.update_endpoints([server_entry(98, ServerState.DRAINING)])
    assert {driver.server_of(driver.connect()) for _ in range(30)} == {1, 2, 3}


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf, 1e300])
def test_an_invalid_weight_harms_nobody(weight: float) -> None:
    driver = Driver(
        replace(MINIMAL_SETTINGS, has_groups=True),
        servers=[server_entry(1)._replace(weight=weight), server_entry(2)],
    )
    for _ in range(20):
        driver.connect(group=7)
    driver.update_endpoints([server_entry(1, ServerState.GONE)])
    driver.update_endpoints([server_entry(1)._replace(weight=weight)])
    driver.connect(group=7)
