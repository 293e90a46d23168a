"""What all nodes together send to servers in slow start, on one clock: within the budget, and not nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import NamedTuple

import pytest

from harness.slow_start_fleet import SlowStartFleet
from limerudder.policy.events import FLAG_RECONNECT, AttemptOutcome
from limerudder.policy.records import SECOND
from limerudder.policy.slow_start import MIN_CALLS_PER_WINDOW
from tests.policy_driver import BASE_SETTINGS, SAFE_CLASS, Driver, server_entries, server_entry

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


class FleetSize(NamedTuple):
    """What a number of nodes is simulated with."""

    server_count: int
    connections_per_second: float  #: new connections at all nodes together


FLEET_SIZES_BY_NODE_COUNT = {
    1: FleetSize(12, 15.0),
    3: FleetSize(12, 15.0),
    20: FleetSize(15, 20.0),
    30: FleetSize(15, 20.0),
    200: FleetSize(60, 80.0),
}
LARGE_FLEET_NODE_COUNT = 30  #: fleets of more nodes are simulated for less time
MEAN_CONNECTION_SECONDS = 60.0  #: so a minute's worth of clients reconnects at once

Disturbance = Callable[[SlowStartFleet], None]


def make_warm_fleet(node_count: int, seed: int, load: float, **changes: float) -> SlowStartFleet:
    """A fleet that has served for a while; some nodes get several times the mean rate of requests."""
    rng = Random(seed)
    size = FLEET_SIZES_BY_NODE_COUNT[node_count]
    node_weights = [rng.lognormvariate(0, 0.8) for _ in range(node_count)]
    rates = [size.connections_per_second * weight / sum(node_weights) for weight in node_weights]
    settings = replace(SETTINGS, node_count=node_count, **changes)  # type: ignore[arg-type]
    fleet = SlowStartFleet(settings, rates, size.server_count, load, MEAN_CONNECTION_SECONDS, seed)
    fleet.run(20 if node_count > LARGE_FLEET_NODE_COUNT else 40)
    return fleet


def some_servers_restart(fleet: SlowStartFleet) -> None:
    fleet.restart_servers([1, 2, 3])
    fleet.run(20)


def half_the_servers_restart(fleet: SlowStartFleet) -> None:
    fleet.restart_servers(list(fleet.ready_since)[::2])
    fleet.run(20)


def some_servers_and_a_third_of_the_nodes_restart(fleet: SlowStartFleet) -> None:
    fleet.restart_servers([1, 2, 3])
    fleet.run(2)
    fleet.restart_nodes(list(range(0, len(fleet.nodes), 3)))
    fleet.run(15)


def some_servers_and_all_nodes_restart(fleet: SlowStartFleet) -> None:
    fleet.restart_nodes(list(range(len(fleet.nodes))))
    fleet.restart_servers([1, 2, 3])
    fleet.run(15)


def some_servers_restart_as_traffic_doubles(fleet: SlowStartFleet) -> None:
    fleet.restart_servers([1, 2, 3])
    fleet.rate_factor = 2.0
    fleet.run(20)


DISTURBANCES: list[Disturbance] = [
    some_servers_restart,
    half_the_servers_restart,
    some_servers_and_a_third_of_the_nodes_restart,
    some_servers_and_all_nodes_restart,
    some_servers_restart_as_traffic_doubles,
]


@pytest.mark.parametrize("disturbance", DISTURBANCES, ids=lambda disturbance: disturbance.__name__)
@pytest.mark.parametrize("node_count", list(FLEET_SIZES_BY_NODE_COUNT))
def test_no_cold_server_is_overloaded_by_all_nodes_together(
    node_count: int, disturbance: Disturbance
) -> None:
    """Beyond a budget of N calls in a window, 2 * sqrt(N) + 2 more are put down to chance."""
    load = 0.5 if disturbance is some_servers_restart_as_traffic_doubles else 0.8
    for seed in range(1 if node_count > LARGE_FLEET_NODE_COUNT else 2):
        fleet = make_warm_fleet(node_count, seed, load)
        disturbance(fleet)
        assert fleet.worst_excess() <= 1, f"seed {seed}"
        restarted_servers = [server_id for server_id, since in fleet.ready_since.items() if since]
        assert any(fleet.attempts[server_id] for server_id in restarted_servers), "none was ever used"


@pytest.mark.parametrize(("overload_factor", "overload_window_us"), [(2.0, 1_500_000), (4.0, SECOND)])
def test_no_cold_server_is_overloaded_with_other_overload_settings(
    overload_factor: float, overload_window_us: int
) -> None:
    for disturbance in (half_the_servers_restart, some_servers_and_all_nodes_restart):
        fleet = make_warm_fleet(
            3, 5, 0.8, overload_factor=overload_factor, overload_window_us=overload_window_us
        )
        disturbance(fleet)
        assert fleet.worst_excess() <= 1


@pytest.mark.parametrize("node_count", [1, 3, 30])
@pytest.mark.parametrize("nodes_keep_state", [True, False])
def test_a_fleet_that_is_cold_as_a_whole_still_serves_and_no_server_is_overloaded(
    node_count: int, nodes_keep_state: bool
) -> None:
    """All servers start at once, as after a zone's return: no warm server tells the usual rate."""
    fleet = make_warm_fleet(node_count, 1, 0.5)
    if not nodes_keep_state:
        fleet.restart_nodes(list(range(node_count)))
    fleet.restart_servers(list(fleet.ready_since))
    fleet.run(4)
    assert fleet.worst_excess() <= 1
    attempts = sum(map(len, fleet.attempts.values()))
    min_attempts = len(fleet.ready_since) // 2
    assert attempts >= min_attempts, "within four seconds, though no node knows the usual rate"
    fleet.run(20)
    assert fleet.worst_excess() <= 1
    requests_before = fleet.requests
    rejections_before = fleet.rejections
    fleet.run(2)
    requests = fleet.requests - requests_before
    rejections = fleet.rejections - rejections_before
    assert rejections <= 0.05 * requests, (rejections, requests)


@pytest.mark.parametrize(("has_connection", "rate"), [(False, 20 / 16), (True, 20 / 2)])
def test_the_rate_of_a_process_without_state_is_unknown_and_that_of_one_with_connections_is_its_own(
    has_connection: bool, rate: float
) -> None:
    driver = Driver(SETTINGS, servers=server_entries(2))
    if has_connection:
        driver.add_connection(1)
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request())
    slow_start = driver.balancer.slow_start
    known_since_us = slow_start.rate_known_since_us(driver.now_us)
    assert slow_start.request_rate.read(driver.now_us, known_since_us) == pytest.approx(rate, rel=0.05)


@pytest.mark.parametrize(("flags", "rate"), [(FLAG_RECONNECT, 20 / 16), (0, 20 / 2)])
def test_the_rate_of_a_young_process_is_that_of_its_fresh_connections(flags: int, rate: float) -> None:
    """Twenty requests in its first second: a wave of reconnects, which are marked, or its usual traffic."""
    driver = Driver(SETTINGS, servers=server_entries(2))
    driver.update_endpoints([server_entry(3, ready_since_us=driver.now_us)])
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request(flags=flags))
    server = driver.balancer.registry.servers[3]
    server.slow_start_tokens = 0.0
    server.slow_start_tokens_at_us = driver.now_us - SECOND // 10
    driver.balancer.load_shedding.slow_start_allows(server)
    size = driver.balancer.loads.effective_size(server, driver.now_us)
    tokens_per_second = (
        SETTINGS.overload_factor * size * rate / 2 + driver.balancer.slow_start.min_tokens_per_second
    )
    assert server.slow_start_tokens == pytest.approx(tokens_per_second / 10, rel=0.05)


def test_retries_do_not_count_as_demand() -> None:
    driver = Driver(SETTINGS, servers=server_entries(5))
    request_id = driver.request()
    request_rate = driver.balancer.slow_start.request_rate
    rate_before = request_rate.rate
    for _ in range(2):
        driver.end_attempt(request_id, AttemptOutcome.CONNECT_FAILED)
    assert request_rate.rate == rate_before


def test_budgets_are_in_proportion_to_the_servers_weights() -> None:
    """Of two cold servers the one with four times the weight gets four times as much."""
    weights = {3: 2.0, 4: 0.5}
    driver = Driver(SETTINGS, servers=server_entries(2))
    driver.update_endpoints(
        [
            server_entry(server_id, ready_since_us=50 * SECOND)._replace(weight=weight)
            for server_id, weight in weights.items()
        ]
    )
    slow_start = driver.balancer.slow_start
    slow_start.request_rate.rate = 10.0
    slow_start.request_rate.updated_at_us = driver.now_us
    slow_start.min_tokens_per_second = 0.0
    assert slow_start.serving_weight == 2.0
    for server_id, weight in weights.items():
        server = driver.balancer.registry.servers[server_id]
        server.slow_start_tokens = 0.0
        server.slow_start_tokens_at_us = driver.now_us - SECOND // 10
        slow_start.allows(server, 0.13, 1, 0.0, driver.now_us)
        assert server.slow_start_tokens == pytest.approx(3 * 0.13 * 10 * weight / 2 / 10)


@pytest.mark.parametrize("node_count", [1, 7, 200])
def test_the_minimum_budget_is_shared_by_all_nodes(node_count: int) -> None:
    driver = Driver(replace(SETTINGS, node_count=node_count), servers=server_entries(1))
    tokens_per_second = driver.balancer.slow_start.min_tokens_per_second
    calls_per_window = tokens_per_second * node_count * SETTINGS.overload_window_us / SECOND
    assert calls_per_window == pytest.approx(MIN_CALLS_PER_WINDOW)
