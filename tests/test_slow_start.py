"""Tests that all nodes together use servers in slow start, and stay within the budget, on one clock."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import NamedTuple

import pytest

from harness.slow_start_fleet import SlowStartFleet
from limerudder.policy.events import FLAG_RECONNECT, AttemptOutcome, ServerState, TurnOwnership
from limerudder.policy.records import SECOND
from limerudder.policy.slow_start import MIN_REQUESTS_PER_SLOT, SHARE_SLOTS_PER_WINDOW
from limerudder.policy.slow_start_schedule import SlotSchedule
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
    """Servers and traffic of the fleet simulated for a given number of nodes."""

    server_count: int
    connections_per_second: float  #: Total rate of new connections at all nodes


FLEET_SIZES_BY_NODE_COUNT = {
    1: FleetSize(12, 15.0),
    3: FleetSize(12, 15.0),
    20: FleetSize(15, 20.0),
    30: FleetSize(15, 20.0),
    200: FleetSize(60, 80.0),
}
LARGE_FLEET_NODE_COUNT = 30  #: Fleets with more nodes are simulated for less time
MEAN_CONNECTION_SECONDS = 60.0  #: Mean lifetime; a restart makes the clients of one minute reconnect at once

Disturbance = Callable[[SlowStartFleet], None]


def make_warm_fleet(node_count: int, seed: int, load: float, **changes: float) -> SlowStartFleet:
    """Return a fleet after a period of normal traffic; some nodes get several times the mean rate."""
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
    """The operators allow 2 * sqrt(N) + 2 requests for chance on top of a budget of N in a window."""
    load = 0.5 if disturbance is some_servers_restart_as_traffic_doubles else 0.8
    for seed in range(1 if node_count > LARGE_FLEET_NODE_COUNT else 2):
        fleet = make_warm_fleet(node_count, seed, load)
        disturbance(fleet)
        assert fleet.worst_excess() <= 1, f"seed {seed}"
        restarted_servers = [server_id for server_id, since in fleet.ready_since.items() if since]
        assert any(fleet.attempts[server_id] for server_id in restarted_servers), "none of them was used"


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
    """All servers start at once, as after a zone outage, so no warm server provides the usual rate."""
    fleet = make_warm_fleet(node_count, 1, 0.5)
    if not nodes_keep_state:
        fleet.restart_nodes(list(range(node_count)))
    fleet.restart_servers(list(fleet.ready_since))
    fleet.run(4)
    assert fleet.worst_excess() <= 1
    attempts = sum(map(len, fleet.attempts.values()))
    min_attempts = len(fleet.ready_since) // 2
    assert attempts >= min_attempts, "too few attempts in four seconds without a known usual rate"
    fleet.run(20)
    assert fleet.worst_excess() <= 1
    requests_before = fleet.requests
    rejections_before = fleet.rejections
    fleet.run(2)
    requests = fleet.requests - requests_before
    rejections = fleet.rejections - rejections_before
    assert rejections <= 0.05 * requests, (rejections, requests)


@pytest.mark.parametrize(("has_connection", "rate"), [(False, 20 / 61), (True, 20 / 2)])
def test_the_rate_is_unknown_without_state_and_measured_with_inherited_connections(
    has_connection: bool, rate: float
) -> None:
    driver = Driver(SETTINGS, servers=server_entries(2))
    if has_connection:
        driver.add_connection(1)
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request())
    reference = driver.balancer.slow_start.reference
    assert reference.rate_per_weight(driver.now_us) * 2 == pytest.approx(rate, rel=0.05)


def test_reconnections_do_not_count_as_demand() -> None:
    """Issue 33: after a node restart, reconnecting clients raised the budgets to 1.7 times the usual."""
    driver = Driver(SETTINGS, servers=server_entries(2))
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request(flags=FLAG_RECONNECT))
    assert driver.balancer.slow_start.reference.rate_per_weight(driver.now_us) == 0


def test_attempts_that_no_server_accepts_do_not_count_as_demand() -> None:
    driver = Driver(SETTINGS, servers=server_entries(5))
    request_id = driver.request()
    for _ in range(2):
        driver.end_attempt(request_id, AttemptOutcome.CONNECT_FAILED)
    assert driver.balancer.slow_start.reference.rate_per_weight(driver.now_us) == 0


@pytest.mark.parametrize("change", ["a server restarts", "a server leaves", "a server comes"])
def test_the_rate_is_not_measured_while_the_fleet_changes(change: str) -> None:
    """Issue 33: fewer warm servers, or a wave of clients, increased the budget of each cold server."""
    driver = Driver(SETTINGS, servers=server_entries(4))
    driver.add_connection(1)
    for _ in range(30):
        driver.establish(driver.request())
        driver.run(SECOND // 2)
    reference = driver.balancer.slow_start.reference
    rate_before = reference.rate_per_weight(driver.now_us)
    if change == "a server restarts":
        driver.update_endpoints([server_entry(4, ready_since_us=driver.now_us)])
    elif change == "a server leaves":
        driver.update_endpoints([server_entry(4, ServerState.GONE)])
    else:
        driver.update_endpoints([server_entry(5)])
    for _ in range(200):
        driver.establish(driver.request())
        driver.run(SECOND // 100)
    assert reference.rate_per_weight(driver.now_us) == rate_before


def test_share_turns_are_in_proportion_to_the_servers_weights() -> None:
    """Of two cold servers, the one with four times the weight gets four times as many share turns."""
    weights = {3: 2.0, 4: 0.5}
    driver = Driver(replace(SETTINGS, node_count=1000, warm_up_us=600 * SECOND), servers=server_entries(2))
    driver.add_connection(1)
    for _ in range(200):
        driver.establish(driver.request())
        driver.run(SECOND // 20)
    driver.update_endpoints(
        [
            server_entry(server_id, ready_since_us=driver.now_us)._replace(weight=weight)
            for server_id, weight in weights.items()
        ]
    )
    slow_start = driver.balancer.slow_start
    driver.run(2 * SECOND)
    acquired = dict.fromkeys(weights, 0)
    for _ in range(240):
        for server_id in weights:
            while slow_start.acquire(driver.balancer.registry.servers[server_id], driver.now_us):
                acquired[server_id] += 1
        driver.now_us += SETTINGS.overload_window_us // SHARE_SLOTS_PER_WINDOW
    assert acquired[3] == pytest.approx(4 * acquired[4], rel=0.1)


@pytest.mark.parametrize("node_count", [1, 2, 3, 7, 30, 200, 1001])
def test_the_base_turns_of_all_nodes_are_three_in_any_two_slots(node_count: int) -> None:
    schedules = [SlotSchedule(index, node_count, SECOND) for index in range(node_count)]
    mean = MIN_REQUESTS_PER_SLOT / node_count
    for server_id in (1, 2, 77, 4_176_272_194):
        sums = [
            sum(schedule.turns(server_id, slot, mean) for schedule in schedules) for slot in range(100, 112)
        ]
        assert {first + second for first, second in itertools.pairwise(sums)} == {3}


@pytest.mark.parametrize("node_count", [1, 5, 200])
@pytest.mark.parametrize("mean_of_all", [0.4, 1.0, 2.7, 40.0])
def test_equal_turns_of_all_nodes_add_up_in_every_run_of_slots(node_count: int, mean_of_all: float) -> None:
    schedules = [SlotSchedule(index, node_count, SECOND) for index in range(node_count)]
    counts = [
        sum(schedule.turns(9, slot, mean_of_all / node_count) for schedule in schedules) for slot in range(64)
    ]
    for start in range(0, 56, 8):
        assert sum(counts[start : start + 8]) == pytest.approx(8 * mean_of_all, abs=2)


@pytest.mark.parametrize("index", [-1, 4, 9])
def test_a_process_outside_the_configured_node_count_has_no_turns(index: int) -> None:
    schedule = SlotSchedule(index, 4, SECOND)
    assert not any(schedule.turns(1, slot, 1.0) for slot in range(50))


def test_a_process_has_no_turn_in_the_slot_in_which_it_starts() -> None:
    """Another process of the same node may have used the turn already."""
    driver = Driver(replace(SETTINGS, node_count=1), servers=server_entries(2))
    driver.update_endpoints([server_entry(3, ready_since_us=driver.now_us)])
    server = driver.balancer.registry.servers[3]
    slow_start = driver.balancer.slow_start
    slot_end_us = -(-(driver.now_us + 1) // SETTINGS.overload_window_us) * SETTINGS.overload_window_us
    driver.run(slot_end_us - 1 - driver.now_us)
    assert not slow_start.allows(server, driver.now_us)
    driver.run(1)
    assert slow_start.allows(server, driver.now_us)
    driver.deliver(TurnOwnership(is_own=False))
    driver.run(SETTINGS.overload_window_us)
    assert not slow_start.allows(server, driver.now_us), "another process uses the turns"
    driver.deliver(TurnOwnership(is_own=True))
    assert not slow_start.allows(server, driver.now_us + 1)
    assert slow_start.allows(server, driver.now_us + SETTINGS.overload_window_us)


def test_a_turn_ends_with_its_slot_and_with_a_restart_of_its_server() -> None:
    driver = Driver(replace(SETTINGS, node_count=1, max_attempts=9), servers=server_entries(1))
    driver.update_endpoints(server_entries(1, ready_since_us=driver.now_us))
    driver.run(SETTINGS.overload_window_us)
    request_id = driver.request()
    balancer = driver.balancer
    assert driver.server_of(request_id) == 1
    while balancer.slow_start.acquire(balancer.registry.servers[1], driver.now_us):
        pass
    slot_end_us = -(-driver.now_us // SETTINGS.overload_window_us + 1) * SETTINGS.overload_window_us
    assert balancer.confirm_send(request_id, 1, driver.now_us)
    assert not balancer.confirm_send(request_id, 1, driver.now_us), "a turn allows one request only"
    other = driver.request()
    assert other not in driver.attempts or not balancer.confirm_send(other, 1, slot_end_us - 1)
