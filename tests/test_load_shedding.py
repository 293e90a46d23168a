"""Tests of admission: room, load reports, quotas and slow start."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from limerudder.policy.actions import (
    LogMessage,
    StartAttempt,
)
from limerudder.policy.events import (
    AttemptOutcome,
    HealthCheckResult,
    LatencySample,
    PredecessorConnections,
    TimerFired,
)
from limerudder.policy.records import SECOND
from limerudder.policy.settings import (
    Settings,
)
from tests.policy_driver import (
    BASE_SETTINGS,
    FREE_HEALTH_CHECKS,
    MINIMAL_SETTINGS,
    Driver,
    server_entries,
    server_entry,
)


def test_a_full_server_sets_a_connection_limit_that_relaxes() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(1))
    for _ in range(10):
        driver.connect()
    number = driver.request()
    driver.end_attempt(number, AttemptOutcome.FULL)
    driver.run(SECOND)
    assert driver.requests[number].answered and number not in driver.attempts
    driver.run(2 * SECOND)  # a tenth of ten a second
    assert driver.server_of(driver.request()) == 1


def test_a_server_in_slow_start_keeps_to_its_budget() -> None:
    """A new id holds nothing and would win every draw; the budget, not the count, must decide."""
    sent = 0
    for seed in range(20):
        driver = Driver(MINIMAL_SETTINGS, seed, server_entries(9))
        for _ in range(100):
            driver.end_attempt(driver.connect(), AttemptOutcome.OK)
            driver.run(SECOND // 10)
        driver.update_endpoints([server_entry(10, since=driver.now_us)])
        for _ in range(30):
            number = driver.connect()
            sent += driver.server_of(number) == 10
            driver.end_attempt(number, AttemptOutcome.OK)
            driver.run(SECOND // 10)
    # 10/s over 9 servers, twice a share of 0.25 to 0.475 over three seconds: 2.4 a run at the most
    assert 0 < sent <= 20 * 2.4


@pytest.mark.parametrize(
    ("load", "others", "nodes", "elsewhere", "times"),
    [
        (None, 0.2, 2, 0, 1),
        (0.1, 0.2, 2, 0, 3),
        (0.1, 0.4, 2, 0, 2),
        (0.1, 0.9, 2, 0, 1),
        (0.5, 0.2, 2, 0, 1),
        (0.1, 0.2, 14, 0, 1),
        (0.1, 0.2, 2, 9, 1),
    ],
    ids=["no report", "idle", "others half busy", "others busy", "busy", "many nodes", "amid an upgrade"],
)
def test_a_server_in_slow_start_that_reports_room_earns_more(
    load: float | None, others: float, nodes: int, elsewhere: int, times: int
) -> None:
    """A host put back stood at a fifth of what it could do while the others were past theirs.

    What it can do beyond the usual is what the others' reports leave, and no more.
    """
    driver = Driver(replace(MINIMAL_SETTINGS, node_count=nodes), servers=server_entries(4))
    driver.update_endpoints([server_entry(5, since=driver.now_us)])
    slow_start = driver.balancer.slow_start
    server = driver.balancer.registry.servers[5]
    slow_start.request_rate.rate = 1.0
    slow_start.request_rate.updated_at_us = driver.now_us
    driver.balancer.loads.mean_reported_load = others
    if elsewhere:
        driver.balancer.handle(PredecessorConnections(1, elsewhere), driver.now_us)
    if load is not None:
        server.load, server.load_at_us = load, driver.now_us
    server.slow_start_tokens, server.slow_start_tokens_at_us = 0.0, driver.now_us - SECOND
    driver.balancer.load_shedding.slow_start_allows(server)
    assert server.slow_start_tokens == pytest.approx(times * 2 * 0.25 / 4 + slow_start.min_tokens_per_second)


def test_a_fleet_in_slow_start_is_not_counted_as_one_server() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(9))
    driver.update_endpoints(server_entries(9, since=driver.now_us))
    assert driver.balancer.slow_start.serving_weight == 9


def test_overloaded_servers_get_no_more_and_all_full_rejects() -> None:
    driver = Driver(replace(BASE_SETTINGS, has_groups=False), servers=server_entries(3))
    for s in range(1, 4):
        driver.report_load(s, 1.2)
    number = driver.request()
    driver.run(SECOND)
    assert driver.requests[number].answered and not driver.actions_of_type(StartAttempt)
    assert driver.actions_of_type(LogMessage)


@pytest.mark.parametrize("load", [float("nan"), -2.0, 1e9])
def test_reports_out_of_range_are_ignored(load: float) -> None:
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    number = driver.request()
    for _ in range(6):
        for s in (1, 2):
            driver.report_load(s, load)
        driver.run(SECOND // 20)
    assert number in driver.attempts


def test_a_server_whose_reports_stop_is_not_excluded() -> None:
    driver = Driver(FREE_HEALTH_CHECKS, servers=server_entries(1))
    driver.report_load(1, 1.5)
    driver.run(60 * SECOND)
    driver.connect()


def test_a_server_gets_few_attempts_at_a_time_and_the_others_are_used_meanwhile() -> None:
    """Reload day, seed 3: a node just back sent 26 to the one server it knew, in half a second."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    numbers = [driver.request() for _ in range(12)]
    places = [driver.server_of(n) for n in numbers if n in driver.attempts]
    assert sorted(places) == [1] * 4 + [2] * 4
    for number in numbers[:8]:
        driver.establish(number)
    driver.run(SECOND // 5)
    assert sorted(driver.server_of(n) for n in numbers) == [1] * 6 + [2] * 6
    for ending in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OK):
        driver.end_attempt(numbers.pop(), ending)
    for number in numbers:
        driver.establish(number)
    driver.run(SECOND)
    assert all(s.pending_attempts == 0 for s in driver.balancer.registry.servers.values())


REPORTS = replace(FREE_HEALTH_CHECKS, report_fields=("inflight", "x0"), node_count=2)


def reported(settings: Settings, held: float, load: float) -> Driver:
    """A node that holds nothing, with swept reports of two servers."""
    driver = Driver(settings, servers=server_entries(2))
    for server in (1, 2):
        driver.deliver(HealthCheckResult(server, 1000, AttemptOutcome.OK, (held, load)))
    driver.deliver(TimerFired(0))
    return driver


@pytest.mark.parametrize(("held", "unit"), [(38.0, 0.03), (0.0, 0.15), (math.nan, 0.15)])
def test_marginal_load_is_computed_from_reported_connections(held: float, unit: float) -> None:
    """Reload day, seed 29110028191: a node just back took each connection for 0.15 of a server."""
    assert reported(REPORTS, held, 0.6).balancer.loads.load_per_connection == pytest.approx(unit)


@pytest.mark.parametrize(("flags", "load", "served"), [(0, 0.6, 16), (16, 0.6, 40), (16, 0.8, 2)])
def test_reconnecting_clients_are_not_counted_twice_while_the_fleet_has_room(
    flags: int, load: float, served: int
) -> None:
    """Reload day: a node stopped, and its clients were refused room they had just had."""
    driver = reported(REPORTS, 39.0, load)
    for _ in range(40):
        number = driver.request(flags=flags)
        if number in driver.attempts:
            driver.establish(number)
    assert len(driver.attempts) == served


def test_a_tenant_over_its_quota_gets_no_scarce_room() -> None:
    settings = replace(
        FREE_HEALTH_CHECKS, has_groups=False, tenant_quotas=(4.0, 1000.0), over_quota_weight=0.1
    )
    driver = Driver(settings, servers=server_entries(2))
    for s in (1, 2):
        for _ in range(40):
            driver.add_connection(s)
        driver.report_load(s, 0.75)
    driver.balancer.poller.on_demand = False
    assert not driver.attempts.keys() & {driver.request(tenant=0)}, "80 of tenant 0 here, 160 over both nodes"
    driver.connect(tenant=1)


def test_when_all_servers_are_slow_only_little_used_ones_get_more() -> None:
    """Incident i14f10e: all slow, each filled to 0.85, so what had piled up never drained."""
    driver = Driver(replace(FREE_HEALTH_CHECKS, has_groups=False), servers=server_entries(2))
    driver.balancer.poller.on_demand = False
    for s in (1, 2):
        for _ in range(40):
            number = driver.add_connection(s)
        driver.report_load(s, 0.75)
        driver.deliver(LatencySample(number, s, 500.0, 0))
    assert driver.request() not in driver.attempts
    driver.report_load(1, 0.5)
    assert driver.request() in driver.attempts


def test_a_node_that_holds_next_to_nothing_still_finds_room() -> None:
    """After a restart a node's few connections are no measure of what one more adds to a server."""
    driver = Driver(replace(BASE_SETTINGS, prices={"probe": 0.002}), servers=server_entries(2))
    driver.report_load(1, 0.65)
    driver.report_load(2, 0.65)
    driver.run(3 * SECOND)  # a sweep has reckoned what one connection adds
    for server in (1, 2):
        driver.report_load(server, 0.65)
    assert driver.server_of(driver.request()) in (1, 2)


def test_where_loads_swing_more_room_is_kept_free() -> None:
    """Reports that jump about leave no trust in the last one: a server at 0.7 may be past 1 soon."""

    def answered(steps: tuple[float, float]) -> bool:
        driver = Driver(replace(BASE_SETTINGS, prices={"probe": 0.002}), servers=server_entries(2))
        for server in (1, 2):
            for _ in range(8):
                driver.add_connection(server)
        for k in range(60):
            for server in (1, 2):
                driver.report_load(server, steps[k % 2])
            driver.run(SECOND // 10)
        for server in (1, 2):
            driver.report_load(server, 0.7)
        number = driver.request()
        driver.run(SECOND)
        return number in driver.attempts

    assert answered((0.7, 0.7))
    assert not answered((0.5, 1.0))


def test_one_low_report_does_not_draw_the_crowd() -> None:
    """A server long seen at 0.8 is taken for 0.6 after one report of 0.4, and for 0.4 only after several."""
    driver = Driver(replace(BASE_SETTINGS, prices={"probe": 0.002}), servers=server_entries(2))
    for _ in range(20):
        driver.report_load(1, 0.8)
        driver.report_load(2, 0.8)
        driver.run(SECOND // 10)
    driver.report_load(1, 0.4)
    first = driver.balancer.registry.servers[1]
    assert driver.balancer.loads.estimate(first, driver.now_us) == pytest.approx(0.6, abs=0.01)
    for _ in range(6):
        driver.report_load(1, 0.4)
    assert driver.balancer.loads.estimate(first, driver.now_us) == pytest.approx(0.4, abs=0.01)


def test_servers_without_slow_start_budget_do_not_exclude_all_others() -> None:
    """Growth while all are slow: the new servers look well and may take nothing, so nobody was served."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    driver.update_endpoints([server_entry(s, since=driver.now_us) for s in range(3, 9)])
    for s in range(3, 9):
        driver.balancer.registry.servers[s].slow_start_tokens = 0.0
    for s in (1, 2):
        driver.deliver(LatencySample(driver.add_connection(s), s, 900.0, 0))
    assert driver.server_of(driver.request()) in (1, 2)
