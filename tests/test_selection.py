"""Tests of the choice of a server: the power of d choices, groups, zones and sizes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from limerudder.policy.actions import (
    CheckHealth,
    StartAttempt,
)
from limerudder.policy.events import (
    AttemptOutcome,
    ServerState,
)
from limerudder.policy.records import SECOND, Server
from limerudder.policy.selection import MAX_WEIGHED_SERVERS, ServerSelector
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries, server_entry


def test_the_draw_joins_the_fewer_own_connections() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    for _ in range(40):
        driver.connect()
    assert {s.connection_count for s in driver.balancer.registry.servers.values()} == {20}


def test_the_draw_is_random_among_more_servers_than_d() -> None:
    """With d = 2 of 10 the emptiest server is not always drawn: it is a sample, not a scan."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(10))
    for s in range(1, 10):
        driver.add_connection(s)
    hits = 0
    for _ in range(200):
        number = driver.connect()
        hits += driver.server_of(number) == 10
        driver.end_attempt(number, AttemptOutcome.OK)
    assert 20 < hits < 80  # 2 in 10 draws contain it


def test_reports_spare_the_busier_server() -> None:
    driver = Driver(replace(BASE_SETTINGS, has_groups=False), servers=server_entries(4))
    for s, load in ((1, 0.84), (2, 0.3), (3, 0.3), (4, 0.3)):
        for _ in range(8):
            driver.add_connection(s)
        driver.report_load(s, load)
    driver.balancer.poller.sweep()
    assert 1 not in {driver.server_of(driver.connect()) for _ in range(4)}


def test_servers_that_are_all_at_the_mean_reject_nobody() -> None:
    """Incident i4f7320: 32 servers healthy at 0.74, none under the mean, everyone refused."""
    driver = Driver(replace(BASE_SETTINGS, has_groups=False), servers=server_entries(4))
    for s in range(1, 5):
        for _ in range(10):
            driver.add_connection(s)
        driver.report_load(s, 0.74)
    driver.balancer.poller.sweep()
    driver.connect()


def test_independent_nodes_choose_the_same_servers_for_a_group() -> None:
    """At full size no node holds any of a group; drawn afresh at each, its shared work is done everywhere."""
    places = []
    for seed in range(40):
        driver = Driver(replace(BASE_SETTINGS, allows_health_checks=False), seed, server_entries(50))
        places.append(driver.server_of(driver.connect(group=99)))
    assert len(set(places)) <= 2
    driver = Driver(replace(BASE_SETTINGS, allows_health_checks=False), 1, server_entries(50))
    assert len({driver.server_of(driver.connect(group=g)) for g in range(1, 60)}) > 15


def test_a_request_costs_the_same_with_ten_and_with_two_hundred_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Incident if1c6f9: while all were full, each look at a request touched every server, 431 us an event."""
    looked: list[int] = []
    plain = ServerSelector.is_eligible

    def counted(self: ServerSelector, *args: Any) -> bool:
        looked.append(1)
        return plain(self, *args)

    monkeypatch.setattr(ServerSelector, "is_eligible", counted)
    cost = {}
    for n in (10, 200):
        driver = Driver(MINIMAL_SETTINGS, servers=server_entries(n))
        looked.clear()
        driver.connect()
        cost[n, "room"] = len(looked)
        for s in range(1, n + 1):
            for _ in range(2):
                driver.add_connection(s)
            (
                driver.balancer.registry.servers[s].connection_limit,
                driver.balancer.registry.servers[s].connection_limit_set_at_us,
            ) = 1, driver.now_us
        looked.clear()
        driver.request()
        cost[n, "full"] = len(looked)
    assert cost[10, "room"] == cost[200, "room"] == 2
    assert cost[200, "full"] <= 2 * 16 and cost[10, "full"] == 2 * 10


def test_a_group_stays_on_the_servers_that_hold_it() -> None:
    driver = Driver(replace(BASE_SETTINGS, allows_health_checks=False), servers=server_entries(8))
    places = {driver.server_of(driver.connect(group=7)) for _ in range(20)}
    assert len(places) == 1
    assert len({driver.server_of(driver.connect(group=8 + i)) for i in range(40)}) > 3


def test_own_zone_first_where_crossing_is_priced() -> None:
    settings = replace(MINIMAL_SETTINGS, prices={"crossZone": 0.1})
    driver = Driver(
        settings, servers=[server_entry(1, zone=0), server_entry(2, zone=1), server_entry(3, zone=1)]
    )
    assert {driver.server_of(driver.connect()) for _ in range(10)} == {1}
    driver.update_endpoints([server_entry(1, ServerState.DRAINING)])
    assert driver.server_of(driver.connect()) in (2, 3)


def test_a_group_does_not_pull_its_members_over_a_priced_zone() -> None:
    settings = replace(BASE_SETTINGS, allows_health_checks=False, prices={"crossZone": 0.1})
    driver = Driver(settings, servers=[server_entry(1, zone=0), server_entry(2, zone=1)])
    driver.add_connection(2, group=5)
    assert driver.server_of(driver.connect(group=5)) == 1


def test_a_group_is_not_scattered_where_its_servers_are_full() -> None:
    """Each further server does the group's work again: at full size 119 group-server pairs became 680."""
    places = set()
    for seed in range(20):  # as many nodes that know nothing of each other
        driver = Driver(
            replace(BASE_SETTINGS, prices={"probe": 0.002}, node_count=600), seed, server_entries(60)
        )
        driver.request(group=7)
        for _ in range(12):
            for probe in driver.actions_of_type(CheckHealth):
                driver.report_load(getattr(probe, "server_id"), 0.95)  # noqa: B009
            driver.run(SECOND // 20)
        places |= {getattr(a, "server_id") for a in driver.actions_of_type(StartAttempt)}  # noqa: B009
    assert len(places) <= 4


def test_larger_servers_are_drawn_more_often() -> None:
    """Drawn alike, hosts of 1.5 stood at 1.5 times what they can do while those of 4 stood at 0.05."""
    sizes = {1: 4.0, 2: 4.0, **{s: 1.0 for s in range(3, 11)}}
    large = 0
    for seed in range(40):
        driver = Driver(
            MINIMAL_SETTINGS, seed, [server_entry(s)._replace(weight=w) for s, w in sizes.items()]
        )
        for _ in range(5):  # as many nodes that hold a few each
            large += driver.server_of(driver.connect()) <= 2
    assert 70 < large < 150  # of 200: half by size, a fifth by number


def test_a_draw_among_thousands_weighs_no_more_of_them_than_among_hundreds() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3000))
    loads, size = driver.balancer.loads, driver.balancer.loads.effective_size
    weighed: list[int] = []

    def count(server: Server, now_us: int) -> float:
        weighed.append(server.id)
        return size(server, now_us)

    loads.effective_size = count  # type: ignore[method-assign]
    met = {driver.balancer.selector.sample(driver.balancer.registry.ready)[0].id for _ in range(100)}
    assert len(weighed) <= 100 * MAX_WEIGHED_SERVERS
    assert len(met) > 90, "any of them may be drawn"
