"""Tests of health checks for load reports: their cost, and the meaning of a missing answer."""

from __future__ import annotations

from dataclasses import replace

from limerudder.policy.actions import CheckHealth
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, Driver, server_entries

PRICED_HEALTH_CHECKS = replace(BASE_SETTINGS, prices={"probe": 0.002})


def test_no_request_is_rejected_if_no_health_check_is_answered() -> None:
    """A single server that does not answer is assumed overloaded; if none answers, health checks fail."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(30))
    requests = []
    for _ in range(10):
        requests.append(driver.request())
        driver.run(SECOND // 2)
        for request_id in requests:
            if driver.is_pending(request_id):
                driver.establish(request_id)
    assert all(request_id in driver.attempts for request_id in requests[5:])


def test_a_server_without_a_report_is_not_assumed_to_be_idle() -> None:
    """Regression: a quarter of all connections went to overloaded servers without a load report so far."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    request_id = driver.request()
    polled = [health_check.server_id for health_check in driver.actions_of_type(CheckHealth)]
    assert sorted(polled) == [1, 2]
    assert request_id not in driver.attempts
    driver.report_load(1, 0.2)
    driver.run(SECOND // 2)
    assert driver.server_of(request_id) == 1


def test_a_node_with_few_requests_polls_only_the_servers_it_may_choose() -> None:
    """Incident iad2208: 1,667 nodes swept 196 servers each: five million health checks in eight seconds."""
    driver = Driver(replace(PRICED_HEALTH_CHECKS, node_count=600), servers=server_entries(100))
    for _ in range(20):
        driver.run(5 * SECOND)
        request_id = driver.request(group=7)
        for health_check in driver.actions_of_type(CheckHealth)[-2:]:
            driver.report_load(health_check.server_id, 0.3)
        driver.run(SECOND // 10)
        driver.establish(request_id)
    assert 0 < len(driver.actions_of_type(CheckHealth)) <= 20 * 5 + 8


def test_existing_connections_count_as_requests_in_the_sweep_budget() -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(5))
    driver.run(SECOND)
    assert not driver.actions_of_type(CheckHealth)
    for _ in range(50):
        driver.add_connection(1)
    driver.run(2 * SECOND)
    assert driver.actions_of_type(CheckHealth)


def test_sweeps_start_as_soon_as_requests_cover_their_cost() -> None:
    """A node that starts without state gets its clients at once, so its first sweep must not be delayed."""
    driver = Driver(PRICED_HEALTH_CHECKS, servers=server_entries(10))
    for group in range(10):
        driver.request(group=group)
    driver.run(SECOND * 3 // 5)
    polled = {health_check.server_id for health_check in driver.actions_of_type(CheckHealth)}
    assert len(polled) == 10
    for server_id in range(1, 11):
        driver.report_load(server_id, 0.5)
    health_checks_before = len(driver.actions_of_type(CheckHealth))
    driver.run(2 * SECOND)  # The price of health checks limits the sweep rate
    assert len(driver.actions_of_type(CheckHealth)) - health_checks_before <= 30
