"""Tests of health checks for load reports: what they cost, and what silence means."""

from __future__ import annotations

from dataclasses import replace

from limerudder.policy.actions import (
    CheckHealth,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, Driver, server_entries


def test_health_checks_that_nobody_answers_reject_nobody() -> None:
    """Asked and silent is a sign of overload at one server; at all of them, probing itself has failed."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(30))
    numbers = []
    for _ in range(10):
        numbers.append(driver.request())
        driver.run(SECOND // 2)
        for number in numbers:
            if number in driver.attempts and not driver.attempts[number].live:
                driver.establish(number)
    assert all(number in driver.attempts for number in numbers[5:])


def test_a_server_that_does_not_report_is_not_taken_for_empty() -> None:
    """At full size a quarter of all joins went to servers past their capacity that had not answered yet."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    number = driver.request()
    asked = [a.server_id for a in driver.actions_of_type(CheckHealth) if isinstance(a, CheckHealth)]
    assert sorted(asked) == [1, 2] and number not in driver.attempts
    driver.report_load(1, 0.2)
    driver.run(SECOND // 2)
    assert driver.server_of(number) == 1


def test_a_node_with_few_requests_polls_only_the_servers_it_may_choose() -> None:
    """Incident iad2208: 1,667 nodes swept 196 servers each, five million probes in eight seconds."""
    driver = Driver(
        replace(BASE_SETTINGS, prices={"probe": 0.002}, node_count=600), servers=server_entries(100)
    )
    for _ in range(20):
        driver.run(5 * SECOND)
        number = driver.request(group=7)
        for probe in driver.actions_of_type(CheckHealth)[-2:]:
            driver.report_load(getattr(probe, "server_id"), 0.3)  # noqa: B009
        driver.run(SECOND // 10)
        driver.establish(number)
    assert 0 < len(driver.actions_of_type(CheckHealth)) <= 20 * 5 + 8


def test_existing_connections_pay_for_sweeps() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(5))
    driver.run(SECOND)
    assert not driver.actions_of_type(CheckHealth)
    for _ in range(50):
        driver.add_connection(1)
    driver.run(2 * SECOND)
    assert driver.actions_of_type(CheckHealth)


def test_sweeps_start_as_soon_as_requests_pay_for_them() -> None:
    """A node that lost its past is met by its clients at once; it must not stay blind for a whole sweep."""
    driver = Driver(replace(BASE_SETTINGS, prices={"probe": 0.002}), servers=server_entries(10))
    for group in range(10):
        driver.request(group=group)
    driver.run(SECOND * 3 // 5)
    assert len({getattr(a, "server_id") for a in driver.actions_of_type(CheckHealth)}) == 10  # noqa: B009
    for server in range(1, 11):
        driver.report_load(server, 0.5)
    before = len(driver.actions_of_type(CheckHealth))
    driver.run(2 * SECOND)  # the price paces them
    assert len(driver.actions_of_type(CheckHealth)) - before <= 30
