"""What all nodes together send cold servers, on one clock: never more than they bear, and not nothing."""

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
from limerudder.policy.slow_start import FLOOR
from tests.policy_driver import BASE, SAFE, Driver, entry

TOLD = replace(
    BASE,
    classes=(replace(SAFE, latency_objective_us=300_000, deadline_us=1_800_000),),
    initial_capacity=0.13,
    warm_up_us=24 * SECOND,
    overload_factor=3.0,
    overload_window_us=2 * SECOND,
    allows_health_checks=False,
    has_groups=False,
    report_via="none",
    report_fields=(),
)
#: nodes: servers, and new connections a second of all
FLEETS = {1: (12, 15.0), 3: (12, 15.0), 20: (15, 20.0), 30: (15, 20.0), 200: (60, 80.0)}
LIFE = 60.0  #: seconds that a connection stands: what comes again at once is a minute's worth


def fleet(nodes: int, seed: int, load: float, **changes: float) -> SlowStartFleet:
    """A fleet that has served for a while; some nodes see several times the mean."""
    rng, (servers, total) = Random(seed), FLEETS[nodes]
    parts = [rng.lognormvariate(0, 0.8) for _ in range(nodes)]
    rates = [total * part / sum(parts) for part in parts]
    here = SlowStartFleet(replace(TOLD, node_count=nodes, **changes), rates, servers, load, LIFE, seed)  # type: ignore[arg-type]
    here.run(20 if nodes > 30 else 40)
    return here


def some_start(here: SlowStartFleet) -> None:
    here.cool([1, 2, 3])
    here.run(20)


def half_start(here: SlowStartFleet) -> None:
    here.cool(list(here.since)[::2])
    here.run(20)


def some_start_as_a_third_of_the_nodes_begin_without_memory(here: SlowStartFleet) -> None:
    here.cool([1, 2, 3])
    here.run(2)
    here.restart(list(range(0, len(here.nodes), 3)))
    here.run(15)


def some_start_as_all_nodes_begin_without_memory(here: SlowStartFleet) -> None:
    here.restart(list(range(len(here.nodes))))
    here.cool([1, 2, 3])
    here.run(15)


def some_start_as_traffic_doubles(here: SlowStartFleet) -> None:
    here.cool([1, 2, 3])
    here.grown = 2.0
    here.run(20)


TROUBLES = [
    some_start,
    half_start,
    some_start_as_a_third_of_the_nodes_begin_without_memory,
    some_start_as_all_nodes_begin_without_memory,
    some_start_as_traffic_doubles,
]


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda trouble: trouble.__name__)
@pytest.mark.parametrize("nodes", list(FLEETS))
def test_no_cold_server_falls_under_the_sum_of_all_nodes(nodes: int, trouble: object) -> None:
    """Beyond N calls in a window two roots of N and two more are chance, and more is not."""
    for seed in range(1 if nodes > 30 else 2):
        here = fleet(nodes, seed, 0.5 if trouble is some_start_as_traffic_doubles else 0.8)
        trouble(here)  # type: ignore[operator]
        assert here.worst() <= 1, f"seed {seed}"
        assert any(here.sends[server] for server, since in here.since.items() if since), "none was ever used"


@pytest.mark.parametrize(("factor", "window"), [(2.0, 1_500_000), (4.0, SECOND)])
def test_other_settings_hold_as_well(factor: float, window: int) -> None:
    for trouble in (half_start, some_start_as_all_nodes_begin_without_memory):
        here = fleet(3, 5, 0.8, overload_factor=factor, overload_window_us=window)
        trouble(here)
        assert here.worst() <= 1


@pytest.mark.parametrize("nodes", [1, 3, 30])
@pytest.mark.parametrize("memory", [True, False])
def test_a_fleet_that_is_cold_as_a_whole_still_serves_and_none_falls(nodes: int, memory: bool) -> None:
    """All hosts at once, as after a zone's return: nothing warm tells what is usual."""
    here = fleet(nodes, 1, 0.5)
    if not memory:
        here.restart(list(range(nodes)))
    here.cool(list(here.since))
    here.run(4)
    assert here.worst() <= 1
    first = sum(map(len, here.sends.values()))
    assert first >= len(here.since) // 2, "within four seconds, though nobody knows what is usual"
    here.run(20)
    assert here.worst() <= 1
    asked, refused = here.asked, here.refused
    here.run(2)
    assert here.refused - refused <= 0.05 * (here.asked - asked), (here.refused - refused, here.asked - asked)


def test_a_process_begun_without_memory_knows_no_rate_and_one_with_connections_its_own() -> None:
    for opened, rate in ((False, 20 / 16), (True, 20 / 2)):
        driver = Driver(TOLD, servers=[entry(1), entry(2)])
        if opened:
            driver.open(1)
        driver.run(SECOND)
        for _ in range(20):
            driver.establish(driver.request())
        warming = driver.balancer.warming
        assert warming.usual.read(driver.now, warming.since(driver.now)) == pytest.approx(rate, rel=0.05)


@pytest.mark.parametrize(("flags", "rate"), [(FLAG_RECONNECT, 20 / 16), (0, 20 / 2)])
def test_a_young_process_is_believed_in_what_stood_nowhere_before(flags: int, rate: float) -> None:
    """Twenty in its first second: a wave, or its usual traffic. Clients that come again say so."""
    driver = Driver(TOLD, servers=[entry(1), entry(2)])
    driver.members([entry(3, since=driver.now)])
    driver.run(SECOND)
    for _ in range(20):
        driver.establish(driver.request(flags=flags))
    server = driver.balancer.servers[3]
    server.tokens, server.tokens_at = 0.0, driver.now - SECOND // 10
    driver.balancer._may_warm(server)
    share = driver.balancer.loads.size(server, driver.now)
    earned = TOLD.overload_factor * share * rate / 2 + driver.balancer.warming.floor
    assert server.tokens == pytest.approx(earned / 10, rel=0.05)


def test_attempts_after_the_first_are_no_demand() -> None:
    driver = Driver(TOLD, servers=[entry(n) for n in range(1, 6)])
    number = driver.request()
    first = driver.balancer.warming.usual.value
    for _ in range(2):
        driver.end(number, AttemptOutcome.CONNECT_FAILED)
    assert driver.balancer.warming.usual.value == first


def test_servers_are_asked_by_their_size() -> None:
    """Of two cold ones the one four times as large gets four times as much; what is warm sets the scale."""
    big, small = (entry(n, since=50 * SECOND)._replace(weight=w) for n, w in ((3, 2.0), (4, 0.5)))
    driver = Driver(TOLD, servers=[entry(1), entry(2)])
    driver.members([big, small])
    warming, servers = driver.balancer.warming, driver.balancer.servers
    warming.usual.value, warming.usual.at, warming.floor = 10.0, driver.now, 0.0
    assert warming.weight == 2.0
    for number, weight in ((3, 2.0), (4, 0.5)):
        server = servers[number]
        server.tokens, server.tokens_at = 0.0, driver.now - SECOND // 10
        warming.may(server, 0.13, 1, 0.0, driver.now)
        assert server.tokens == pytest.approx(3 * 0.13 * 10 * weight / 2 / 10)


@pytest.mark.parametrize("nodes", [1, 7, 200])
def test_the_floor_is_shared_by_all_nodes(nodes: int) -> None:
    driver = Driver(replace(TOLD, node_count=nodes), servers=[entry(1)])
    whole = driver.balancer.warming.floor * nodes * TOLD.overload_window_us / SECOND
    assert whole == pytest.approx(FLOOR)
