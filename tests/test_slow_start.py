"""What all nodes together send servers that warm up, on one clock: within the budget, and not nothing."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from harness.slow_start_fleet import SlowStartFleet
from limerudder.policy.events import (
    FLAG_RECONNECT,
    AttemptOutcome,
)
from limerudder.policy.records import SECOND
from limerudder.policy.slow_start import MIN_CALLS_PER_WINDOW
from tests.policy_driver import BASE_SETTINGS, SAFE_CLASS, Driver, server_entry

SETTINGS = replace(
    BASE_SETTINGS,
    classes=(replace(SAFE_CLASS, latency_objective_us=300_000, deadline_us=1_800_000),),
    initial_capacity=0.13,
    warm_up_us=24 * SECOND,
    overload_factor=3.0,
    overload_window_us=2 * SECOND,
    allows_health_checks=False,
    has_groups=False,
    report_via="none",
    report_fields=(),
)
#: number of nodes: number of servers, and new connections a second at all nodes together
FLEETS = {1: (12, 15.0), 3: (12, 15.0), 20: (15, 20.0), 30: (15, 20.0), 200: (60, 80.0)}
LIFE_SECONDS = 60.0  #: of a connection; so what reconnects at once is a minute's worth


def fleet(nodes: int, seed: int, load: float, **changes: float) -> SlowStartFleet:
    """A fleet that has served for a while; some nodes see several times the mean."""
    rng = Random(seed)
    servers, total_rate = FLEETS[nodes]
    parts = [rng.lognormvariate(0, 0.8) for _ in range(nodes)]
    rates = [total_rate * part / sum(parts) for part in parts]
    settings = replace(SETTINGS, node_count=nodes, **changes)  # type: ignore[arg-type]
    simulated = SlowStartFleet(settings, rates, servers, load, LIFE_SECONDS, seed)
    simulated.run(20 if nodes > 30 else 40)
    return simulated


def some_servers_start(simulated: SlowStartFleet) -> None:
    simulated.restart_servers([1, 2, 3])
    simulated.run(20)


def half_the_servers_start(simulated: SlowStartFleet) -> None:
    simulated.restart_servers(list(simulated.ready_since)[::2])
    simulated.run(20)


def some_servers_start_as_a_third_of_the_nodes_restart(simulated: SlowStartFleet) -> None:
    simulated.restart_servers([1, 2, 3])
    simulated.run(2)
    simulated.restart_nodes(list(range(0, len(simulated.nodes), 3)))
    simulated.run(15)


def some_servers_start_as_all_nodes_restart(simulated: SlowStartFleet) -> None:
    simulated.restart_nodes(list(range(len(simulated.nodes))))
    simulated.restart_servers([1, 2, 3])
    simulated.run(15)


def some_servers_start_as_traffic_doubles(simulated: SlowStartFleet) -> None:
    simulated.restart_servers([1, 2, 3])
    simulated.rate_factor = 2.0
    simulated.run(20)


DISTURBANCES = [
    some_servers_start,
    half_the_servers_start,
    some_servers_start_as_a_third_of_the_nodes_restart,
    some_servers_start_as_all_nodes_restart,
    some_servers_start_as_traffic_doubles,
]


@pytest.mark.parametrize("disturbance", DISTURBANCES, ids=lambda disturbance: disturbance.__name__)
@pytest.mark.parametrize("nodes", list(FLEETS))
def test_no_cold_server_is_overloaded_by_all_nodes_together(nodes: int, disturbance: object) -> None:
    """Beyond a budget of N calls in a window, 2 * sqrt(N) + 2 more are put down to chance."""
    for seed in range(1 if nodes > 30 else 2):
        simulated = fleet(nodes, seed, 0.5 if disturbance is some_servers_start_as_traffic_doubles else 0.8)
        disturbance(simulated)  # type: ignore[operator]
        assert simulated.worst_excess() <= 1, f"seed {seed}"
        assert any(
            simulated.attempts[server] for server, since in simulated.ready_since.items() if since
        ), "none was ever used"


@pytest.mark.parametrize(("factor", "window"), [(2.0, 1_500_000), (4.0, SECOND)])
def test_other_overload_settings_hold_as_well(factor: float, window: int) -> None:
    for disturbance in (half_the_servers_start, some_servers_start_as_all_nodes_restart):
        simulated = fleet(3, 5, 0.8, overload_factor=factor, overload_window_us=window)
        disturbance(simulated)
        assert simulated.worst_excess() <= 1


@pytest.mark.parametrize("nodes", [1, 3, 30])
@pytest.mark.parametrize("memory", [True, False])
def test_a_fleet_that_is_cold_as_a_whole_still_serves_and_no_server_is_overloaded(
    nodes: int, memory: bool
) -> None:
    """All servers start at once, as after a zone's return: no warm server tells the usual rate."""
    simulated = fleet(nodes, 1, 0.5)
    if not memory:
        simulated.restart_nodes(list(range(nodes)))
    simulated.restart_servers(list(simulated.ready_since))
    simulated.run(4)
    assert simulated.worst_excess() <= 1
    first_calls = sum(map(len, simulated.attempts.values()))
    assert (
        first_calls >= len(simulated.ready_since) // 2
    ), "within four seconds, though nobody knows what is usual"
    simulated.run(20)
    assert simulated.worst_excess() <= 1
    asked_before = simulated.requests
    refused_before = simulated.rejections
    simulated.run(2)
    asked = simulated.requests - asked_before
    refused = simulated.rejections - refused_before
    assert refused <= 0.05 * asked, (refused, asked)


def test_a_process_without_memory_knows_no_rate_and_one_with_connections_knows_its_own() -> None:
    for opened, rate in ((False, 20 / 16), (True, 20 / 2)):
        driver = Driver(SETTINGS, servers=[server_entry(1), server_entry(2)])
        if opened:
            driver.add_connection(1)
        driver.run(SECOND)
        for _ in range(20):
            driver.establish(driver.request())
        budget = driver.balancer.slow_start
        known_since_us = budget.rate_known_since_us(driver.now_us)
        assert budget.request_rate.read(driver.now_us, known_since_us) == pytest.approx(rate, rel=0.05)


@pytest.mark.parametrize(("flags", "rate"), [(FLAG_RECONNECT, 20 / 16), (0, 20 / 2)])
def test_a_young_process_is_believed_in_its_fresh_connections(flags: int, rate: float) -> None:
    """Twenty requests in its first second: a wave, or its usual traffic. Reconnections are marked as such."""
    driver = Driver(SETTINGS, servers=[server_entry(1), server_entry(2)])
    driver.update_endpoints([server_entry(3, since=driver.now_us)])
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request(flags=flags))
    server = driver.balancer.registry.servers[3]
    server.slow_start_tokens = 0.0
    server.slow_start_tokens_at_us = driver.now_us - SECOND // 10
    driver.balancer.load_shedding.slow_start_allows(server)
    share = driver.balancer.loads.effective_size(server, driver.now_us)
    earned = SETTINGS.overload_factor * share * rate / 2 + driver.balancer.slow_start.min_tokens_per_second
    assert server.slow_start_tokens == pytest.approx(earned / 10, rel=0.05)


def test_attempts_after_the_first_do_not_count_as_demand() -> None:
    driver = Driver(SETTINGS, servers=[server_entry(n) for n in range(1, 6)])
    number = driver.request()
    first = driver.balancer.slow_start.request_rate.rate
    for _ in range(2):
        driver.end_attempt(number, AttemptOutcome.CONNECT_FAILED)
    assert driver.balancer.slow_start.request_rate.rate == first


def test_budgets_are_in_proportion_to_the_servers_sizes() -> None:
    """Of two cold servers the one four times as large gets four times as much; warm ones set the scale."""
    big, small = (server_entry(n, since=50 * SECOND)._replace(weight=w) for n, w in ((3, 2.0), (4, 0.5)))
    driver = Driver(SETTINGS, servers=[server_entry(1), server_entry(2)])
    driver.update_endpoints([big, small])
    budget = driver.balancer.slow_start
    servers = driver.balancer.registry.servers
    budget.request_rate.rate = 10.0
    budget.request_rate.updated_at_us = driver.now_us
    budget.min_tokens_per_second = 0.0
    assert budget.serving_weight == 2.0
    for number, weight in ((3, 2.0), (4, 0.5)):
        server = servers[number]
        server.slow_start_tokens = 0.0
        server.slow_start_tokens_at_us = driver.now_us - SECOND // 10
        budget.allows(server, 0.13, 1, 0.0, driver.now_us)
        assert server.slow_start_tokens == pytest.approx(3 * 0.13 * 10 * weight / 2 / 10)


@pytest.mark.parametrize("nodes", [1, 7, 200])
def test_the_minimum_budget_is_shared_by_all_nodes(nodes: int) -> None:
    driver = Driver(replace(SETTINGS, node_count=nodes), servers=[server_entry(1)])
    calls = driver.balancer.slow_start.min_tokens_per_second * nodes * SETTINGS.overload_window_us / SECOND
    assert calls == pytest.approx(MIN_CALLS_PER_WINDOW)
