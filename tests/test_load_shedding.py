"""Tests of load shedding: server capacity, load reports, tenant quotas and slow start."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from harness.slow_start_fleet import allowed_attempts
from limerudder.policy.actions import LogMessage, StartAttempt
from limerudder.policy.events import (
    FLAG_RECONNECT,
    AttemptOutcome,
    HealthCheckResult,
    LatencySample,
    PredecessorConnections,
    TimerFired,
)
from limerudder.policy.records import SECOND, Server
from limerudder.policy.settings import Settings
from limerudder.policy.timers import TimerToken
from tests.policy_driver import (
    BASE_SETTINGS,
    FREE_HEALTH_CHECKS,
    MINIMAL_SETTINGS,
    Driver,
    server_entries,
    server_entry,
)

PRICED_HEALTH_CHECKS = replace(BASE_SETTINGS, prices={"probe": 0.002})
CONNECTIONS_REPORTED = replace(FREE_HEALTH_CHECKS, report_fields=("inflight", "x0"), node_count=2)


def test_a_full_server_sets_a_connection_limit_that_relaxes() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(1))
    for _ in range(10):
        driver.connect()
    request_id = driver.request()
    driver.end_attempt(request_id, AttemptOutcome.FULL)
    driver.run(SECOND)
    assert driver.requests[request_id].answered
    assert request_id not in driver.attempts
    driver.run(2 * SECOND)  # the limit of ten rises by a tenth per second
    assert driver.server_of(driver.request()) == 1


def test_a_server_in_slow_start_keeps_to_its_budget() -> None:
    """A new server has no connections and would always be selected, so the budget has to limit it.

    In every window of one second, the attempts of both nodes stay within the operators' limit for a budget of
    twice the server's present capacity; a warm server's capacity is a ninth of 20 connections per second.
    """
    attempts_at_new_server = 0
    for seed in range(20):
        drivers = [
            Driver(replace(MINIMAL_SETTINGS, node_index=index), seed, server_entries(9)) for index in range(2)
        ]
        for driver in drivers:
            driver.run(seed * SECOND // 7)
        for _ in range(100):
            connect_and_end(drivers)
        started_us = drivers[0].now_us
        for driver in drivers:
            driver.update_endpoints([server_entry(10, ready_since_us=started_us)])
        arrivals: list[int] = []
        for _ in range(30):
            at_new_server = connect_and_end(drivers).count(10)
            arrivals += [drivers[0].now_us] * at_new_server
        attempts_at_new_server += len(arrivals)
        for first in arrivals:
            capacity_share = 0.25 + 0.75 * (first - started_us) / MINIMAL_SETTINGS.warm_up_us
            budget = 2 * capacity_share * 20 / 9
            attempts_in_window = sum(first <= arrival < first + SECOND for arrival in arrivals)
            assert attempts_in_window <= allowed_attempts(budget)
    assert attempts_at_new_server > 0


def connect_and_end(drivers: list[Driver]) -> list[int]:
    """Send each node a request and end its connection; return the servers that were selected."""
    servers = list[int]()
    for driver in drivers:
        request_id = driver.connect()
        servers.append(driver.server_of(request_id))
        driver.end_attempt(request_id, AttemptOutcome.OK)
        driver.run(SECOND // 10)
    return servers


@pytest.mark.parametrize(
    ("load", "mean_load", "node_count", "predecessor_connections"),
    [
        (None, 0.2, 2, 0),
        (0.1, 0.2, 2, 0),
        (0.1, 0.4, 2, 0),
        (0.1, 0.9, 2, 0),
        (0.5, 0.2, 2, 0),
        (0.1, 0.2, 14, 0),
        (0.1, 0.2, 2, 9),
    ],
    ids=[
        "no report",
        "idle",
        "others half busy",
        "others busy",
        "busy",
        "many nodes",
        "during a hot restart",
    ],
)
def test_a_server_in_slow_start_gets_no_more_for_reports_of_spare_capacity(
    load: float | None, mean_load: float, node_count: int, predecessor_connections: int
) -> None:
    """The budget follows from the rate before the server's start, as a disturbance distorts reports."""
    settings = replace(MINIMAL_SETTINGS, node_count=node_count)
    turns = set[int]()
    for is_reported in (False, True):
        driver = Driver(settings, servers=server_entries(4))
        driver.update_endpoints([server_entry(5, ready_since_us=driver.now_us)])
        driver.run(SECOND)
        server = driver.balancer.registry.servers[5]
        if is_reported:
            driver.balancer.loads.mean_reported_load = mean_load
            server.load = load
            server.load_at_us = driver.now_us
            if predecessor_connections:
                driver.balancer.handle(PredecessorConnections(1, predecessor_connections), driver.now_us)
        turns.add(count_turns(driver, server, slots=9))
    assert len(turns) == 1


def count_turns(driver: Driver, server: Server, slots: int) -> int:
    """Acquire and count a node's turns at a server in slow start over a number of overload windows."""
    slow_start = driver.balancer.slow_start
    acquired = 0
    for _ in range(slots * 8):
        while slow_start.acquire(server, driver.now_us):
            acquired += 1
        driver.now_us += driver.settings.overload_window_us // 8
    return acquired


def test_a_fleet_in_slow_start_is_not_counted_as_one_server() -> None:
    """The capacity reference does not change when all servers, or all but one, restart."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(9))
    for _ in range(18):
        driver.connect()
        driver.run(SECOND // 10)
    reference = driver.balancer.slow_start.reference
    rate_before = reference.rate_per_weight(driver.now_us)
    assert rate_before > 0
    driver.update_endpoints(server_entries(8, ready_since_us=driver.now_us))
    assert reference.rate_per_weight(driver.now_us) == rate_before
    driver.update_endpoints(server_entries(9, ready_since_us=driver.now_us))
    assert reference.rate_per_weight(driver.now_us) == rate_before


def test_requests_are_rejected_while_all_servers_are_overloaded() -> None:
    driver = Driver(replace(BASE_SETTINGS, has_groups=False), servers=server_entries(3))
    for server_id in range(1, 4):
        driver.report_load(server_id, 1.2)
    request_id = driver.request()
    driver.run(SECOND)
    assert driver.requests[request_id].answered
    assert not driver.actions_of_type(StartAttempt)
    assert driver.actions_of_type(LogMessage)


@pytest.mark.parametrize("load", [float("nan"), -2.0, 1e9])
def test_reports_out_of_range_are_ignored(load: float) -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    request_id = driver.request()
    for _ in range(6):
        for server_id in (1, 2):
            driver.report_load(server_id, load)
        driver.run(SECOND // 20)
    assert request_id in driver.attempts


def test_a_server_whose_reports_stop_is_not_excluded() -> None:
    driver = Driver(FREE_HEALTH_CHECKS, servers=server_entries(1))
    driver.report_load(1, 1.5)
    driver.run(60 * SECOND)
    driver.connect()


def test_attempts_at_a_server_are_limited_and_the_other_servers_are_used_meanwhile() -> None:
    """Regression: a node started 26 attempts at a single server within half a second of its restart."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    requests = [driver.request() for _ in range(12)]
    started = [request_id for request_id in requests if request_id in driver.attempts]
    assert sorted(driver.server_of(request_id) for request_id in started) == [1] * 4 + [2] * 4
    for request_id in requests[:8]:
        driver.establish(request_id)
    driver.run(SECOND // 5)
    assert sorted(driver.server_of(request_id) for request_id in requests) == [1] * 6 + [2] * 6
    for outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OK):
        driver.end_attempt(requests.pop(), outcome)
    for request_id in requests:
        driver.establish(request_id)
    driver.run(SECOND)
    assert all(server.pending_attempts == 0 for server in driver.balancer.registry.servers.values())


def driver_with_reports(settings: Settings, reported_connections: float, load: float) -> Driver:
    """Return a node without connections, after a sweep in which both servers reported the same."""
    driver = Driver(settings, servers=server_entries(2))
    for server_id in (1, 2):
        report = (reported_connections, load)
        driver.deliver(HealthCheckResult(server_id, 1000, AttemptOutcome.OK, report))
    driver.deliver(TimerFired(TimerToken.LOAD_SWEEP))
    return driver


@pytest.mark.parametrize(
    ("reported_connections", "load_per_connection"), [(38.0, 0.03), (0.0, 0.15), (math.nan, 0.15)]
)
def test_marginal_load_is_computed_from_reported_connections(
    reported_connections: float, load_per_connection: float
) -> None:
    """Regression: just after a restart, a node estimated the load per connection at 0.15 of a server."""
    driver = driver_with_reports(CONNECTIONS_REPORTED, reported_connections, 0.6)
    assert driver.balancer.loads.load_per_connection == pytest.approx(load_per_connection)


@pytest.mark.parametrize(
    ("flags", "load", "established"), [(0, 0.6, 16), (FLAG_RECONNECT, 0.6, 40), (FLAG_RECONNECT, 0.8, 2)]
)
def test_reconnecting_clients_are_not_counted_twice_while_the_fleet_has_capacity(
    flags: int, load: float, established: int
) -> None:
    """Regression: after a node had stopped, its clients were rejected although their capacity was free."""
    driver = driver_with_reports(CONNECTIONS_REPORTED, 39.0, load)
    for _ in range(40):
        request_id = driver.request(flags=flags)
        if request_id in driver.attempts:
            driver.establish(request_id)
    assert len(driver.attempts) == established


def test_a_tenant_over_its_quota_gets_no_scarce_capacity() -> None:
    settings = replace(
        FREE_HEALTH_CHECKS, has_groups=False, tenant_quotas=(4.0, 1000.0), over_quota_weight=0.1
    )
    driver = Driver(settings, servers=server_entries(2))
    for server_id in (1, 2):
        for _ in range(40):
            driver.add_connection(server_id)
        driver.report_load(server_id, 0.75)
    driver.balancer.poller.on_demand = False
    assert (
        driver.request(tenant=0) not in driver.attempts
    ), "tenant 0 has 80 connections at this node, 160 at both nodes"
    driver.connect(tenant=1)


def test_when_all_servers_are_slow_only_those_with_low_load_get_more() -> None:
    """Incident i14f10e: all servers were slow, each was filled to 0.85, and backlogs never shrank."""
    driver = Driver(replace(FREE_HEALTH_CHECKS, has_groups=False), servers=server_entries(2))
    driver.balancer.poller.on_demand = False
    for server_id in (1, 2):
        for _ in range(40):
            request_id = driver.add_connection(server_id)
        driver.report_load(server_id, 0.75)
        driver.deliver(LatencySample(request_id, server_id, 500.0, 0))
    assert driver.request() not in driver.attempts
    driver.report_load(1, 0.5)
    assert driver.request() in driver.attempts


def test_a_node_with_hardly_any_connections_still_finds_capacity() -> None:
    """After a restart, a node has too few connections to estimate the load that one more adds."""
    driver = Driver(PRICED_HEALTH_CHECKS, servers=server_entries(2))
    driver.report_load(1, 0.65)
    driver.report_load(2, 0.65)
    driver.run(3 * SECOND)  # a sweep computes the load per connection
    for server_id in (1, 2):
        driver.report_load(server_id, 0.65)
    assert driver.server_of(driver.request()) in (1, 2)


@pytest.mark.parametrize(("reported_loads", "served"), [((0.7, 0.7), True), ((0.5, 1.0), False)])
def test_more_capacity_is_kept_free_while_loads_fluctuate(
    reported_loads: tuple[float, float], served: bool
) -> None:
    """If reports fluctuate widely, the last one is unreliable: a server at 0.7 may soon exceed 1."""
    driver = Driver(PRICED_HEALTH_CHECKS, servers=server_entries(2))
    for server_id in (1, 2):
        for _ in range(8):
            driver.add_connection(server_id)
    for round_number in range(60):
        for server_id in (1, 2):
            driver.report_load(server_id, reported_loads[round_number % 2])
        driver.run(SECOND // 10)
    for server_id in (1, 2):
        driver.report_load(server_id, 0.7)
    request_id = driver.request()
    driver.run(SECOND)
    assert (request_id in driver.attempts) is served


def test_one_low_report_is_smoothed() -> None:
    """After reports of 0.8, one report of 0.4 gives an estimate of 0.6; only several give 0.4."""
    driver = Driver(PRICED_HEALTH_CHECKS, servers=server_entries(2))
    for _ in range(20):
        driver.report_load(1, 0.8)
        driver.report_load(2, 0.8)
        driver.run(SECOND // 10)
    server = driver.balancer.registry.servers[1]
    driver.report_load(1, 0.4)
    assert driver.balancer.loads.estimate(server, driver.now_us) == pytest.approx(0.6, abs=0.01)
    for _ in range(6):
        driver.report_load(1, 0.4)
    assert driver.balancer.loads.estimate(server, driver.now_us) == pytest.approx(0.4, abs=0.01)


def test_servers_without_slow_start_budget_do_not_exclude_all_others() -> None:
    """Regression: a fleet grew while its servers were slow; as the new ones had no budget, none was used."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    new_servers = range(3, 9)
    driver.update_endpoints(
        [server_entry(server_id, ready_since_us=driver.now_us) for server_id in new_servers]
    )
    slow_start = driver.balancer.slow_start
    new = [driver.balancer.registry.servers[server_id] for server_id in new_servers]
    for server in new:
        while slow_start.acquire(server, driver.now_us):
            pass
    assert not any(slow_start.allows(server, driver.now_us) for server in new)
    for server_id in (1, 2):
        request_id = driver.add_connection(server_id)
        driver.deliver(LatencySample(request_id, server_id, 900.0, 0))
    assert driver.server_of(driver.request()) in (1, 2)
