"""Tests of the selection of a server: the power of d choices, groups, zones and weights."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from limerudder.policy.actions import CheckHealth, StartAttempt
from limerudder.policy.events import AttemptOutcome, ServerState
from limerudder.policy.records import SECOND, Server
from limerudder.policy.selection import MAX_WEIGHED_SERVERS, ServerSelector
from limerudder.policy.server_registry import NEVER_US
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries, server_entry

WITHOUT_GROUPS = replace(BASE_SETTINGS, has_groups=False)
WITHOUT_REPORTS = replace(BASE_SETTINGS, allows_health_checks=False)
CHOICES = 2  # d of the power of d choices
LOAD_LEVELS = 2  # number of load levels at which servers are tried in succession
MAX_CANDIDATES = 16  # maximum number of servers examined per level


def test_the_candidate_with_fewer_own_connections_is_selected() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(2))
    for _ in range(40):
        driver.connect()
    assert {server.connection_count for server in driver.balancer.registry.servers.values()} == {20}


def test_candidates_are_drawn_at_random_among_more_than_d_servers() -> None:
    """With d = 2 of 10, the emptiest server is not always selected: servers are sampled, not scanned."""
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(10))
    for server_id in range(1, 10):
        driver.add_connection(server_id)
    selections_of_emptiest = 0
    for _ in range(200):
        request_id = driver.connect()
        if driver.server_of(request_id) == 10:
            selections_of_emptiest += 1
        driver.end_attempt(request_id, AttemptOutcome.OK)
    assert 20 < selections_of_emptiest < 80  # 2 in 10 samples contain it


def test_a_server_that_reports_a_higher_load_is_avoided() -> None:
    driver = Driver(WITHOUT_GROUPS, servers=server_entries(4))
    for server_id, load in ((1, 0.84), (2, 0.3), (3, 0.3), (4, 0.3)):
        for _ in range(8):
            driver.add_connection(server_id)
        driver.report_load(server_id, load)
    driver.balancer.poller.sweep()
    selected = {driver.server_of(driver.connect()) for _ in range(4)}
    assert 1 not in selected


def test_no_request_is_rejected_while_all_servers_are_at_the_mean_load() -> None:
    """Incident i4f7320: 32 healthy servers at load 0.74, none below the mean, and all requests rejected."""
    driver = Driver(WITHOUT_GROUPS, servers=server_entries(4))
    for server_id in range(1, 5):
        for _ in range(10):
            driver.add_connection(server_id)
        driver.report_load(server_id, 0.74)
    driver.balancer.poller.sweep()
    driver.connect()


def test_independent_nodes_select_the_same_servers_for_a_group() -> None:
    """In a large tier, few nodes have connections of a group; sampling would repeat its work everywhere."""
    selected = []
    for seed in range(40):
        driver = Driver(WITHOUT_REPORTS, seed, server_entries(50))
        selected.append(driver.server_of(driver.connect(group=99)))
    assert len(set(selected)) <= 2
    driver = Driver(WITHOUT_REPORTS, 1, server_entries(50))
    selected_by_groups = {driver.server_of(driver.connect(group=group)) for group in range(1, 60)}
    assert len(selected_by_groups) > 15


def test_a_request_costs_the_same_with_ten_and_with_two_hundred_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Incident if1c6f9: while all servers were full, each selection checked all of them: 431 us per event."""
    eligibility_checks: list[int] = []
    is_eligible = ServerSelector.is_eligible

    def counting_is_eligible(self: ServerSelector, *args: Any) -> bool:
        eligibility_checks.append(1)
        return is_eligible(self, *args)

    monkeypatch.setattr(ServerSelector, "is_eligible", counting_is_eligible)
    checks_with_capacity = {}
    checks_when_full = {}
    for server_count in (10, 200):
        driver = Driver(MINIMAL_SETTINGS, servers=server_entries(server_count))
        eligibility_checks.clear()
        driver.connect()
        checks_with_capacity[server_count] = len(eligibility_checks)
        fill_all_servers(driver)
        eligibility_checks.clear()
        driver.request()
        checks_when_full[server_count] = len(eligibility_checks)
    assert checks_with_capacity == {10: CHOICES, 200: CHOICES}
    assert checks_when_full[200] <= LOAD_LEVELS * MAX_CANDIDATES
    assert checks_when_full[10] == LOAD_LEVELS * 10


def fill_all_servers(driver: Driver) -> None:
    """Open two connections at each server, and set its limit to one."""
    for server_id, server in driver.balancer.registry.servers.items():
        for _ in range(2):
            driver.add_connection(server_id)
        server.connection_limit = 1
        server.connection_limit_set_at_us = driver.now_us


def test_a_group_stays_on_its_servers() -> None:
    driver = Driver(WITHOUT_REPORTS, servers=server_entries(8))
    servers_of_one_group = {driver.server_of(driver.connect(group=7)) for _ in range(20)}
    assert len(servers_of_one_group) == 1
    servers_of_many_groups = {driver.server_of(driver.connect(group=8 + index)) for index in range(40)}
    assert len(servers_of_many_groups) > 3


def test_the_local_zone_is_preferred_where_other_zones_have_a_price() -> None:
    settings = replace(MINIMAL_SETTINGS, prices={"crossZone": 0.1})
    entries = [server_entry(1, zone=0), server_entry(2, zone=1), server_entry(3, zone=1)]
    driver = Driver(settings, servers=entries)
    assert {driver.server_of(driver.connect()) for _ in range(10)} == {1}
    driver.update_endpoints([server_entry(1, ServerState.DRAINING)])
    assert driver.server_of(driver.connect()) in (2, 3)


def test_a_group_does_not_attract_connections_to_a_zone_that_has_a_price() -> None:
    settings = replace(WITHOUT_REPORTS, prices={"crossZone": 0.1})
    driver = Driver(settings, servers=[server_entry(1, zone=0), server_entry(2, zone=1)])
    driver.add_connection(2, group=5)
    assert driver.server_of(driver.connect(group=5)) == 1


def test_a_group_is_not_scattered_where_its_servers_are_full() -> None:
    """Each additional server repeats the group's shared work: 119 pairs of group and server became 680."""
    settings = replace(BASE_SETTINGS, prices={"probe": 0.002}, node_count=600)
    selected = set()
    for seed in range(20):  # one node each, without gossip
        driver = Driver(settings, seed, server_entries(60))
        driver.request(group=7)
        for _ in range(12):
            for health_check in driver.actions_of_type(CheckHealth):
                driver.report_load(health_check.server_id, 0.95)
            driver.run(SECOND // 20)
        selected |= {attempt.server_id for attempt in driver.actions_of_type(StartAttempt)}
    assert len(selected) <= 4


def test_servers_with_a_higher_weight_are_drawn_more_often() -> None:
    """With uniform sampling, servers of weight 1.5 had load 1.5, and those of weight 4 had load 0.05."""
    weights = dict.fromkeys(range(1, 11), 1.0)
    weights[1] = 4.0
    weights[2] = 4.0
    entries = [server_entry(server_id)._replace(weight=weight) for server_id, weight in weights.items()]
    selections_of_large_servers = 0
    for seed in range(40):
        driver = Driver(MINIMAL_SETTINGS, seed, entries)
        for _ in range(5):  # each node has only a few connections
            if driver.server_of(driver.connect()) <= 2:
                selections_of_large_servers += 1
    assert 70 < selections_of_large_servers < 150  # of 200; expected: half by weight, a fifth if uniform


def test_a_draw_among_thousands_weighs_no_more_servers_than_among_hundreds() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3000))
    loads = driver.balancer.loads
    effective_size = loads.effective_size
    weighed: list[int] = []

    def counting_effective_size(server: Server, now_us: int) -> float:
        weighed.append(server.id)
        return effective_size(server, now_us)

    loads.effective_size = counting_effective_size  # type: ignore[method-assign]
    ready = driver.balancer.registry.ready
    sampled_first = {driver.balancer.selector.sample(ready)[0].id for _ in range(100)}
    assert len(weighed) <= 100 * MAX_WEIGHED_SERVERS
    assert len(sampled_first) > 90, "each server can be sampled"


def test_whether_any_server_is_healthy_is_found_without_checking_each_in_slow_start() -> None:
    """Report 47952f: with 3,200 servers in slow start, each selection checked the turns of all of them."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(40))
    selector = driver.balancer.selector
    registry = driver.balancer.registry
    rng = Random(3)
    for step in range(200):
        server_id = rng.randrange(1, 41)
        started_us = rng.choice([0, driver.now_us])
        driver.update_endpoints([server_entry(server_id)._replace(ready_since_us=started_us)])
        for server in registry.ready:
            server.ejected_until_us = rng.choice([0, driver.now_us + SECOND]) if step % 2 else NEVER_US
        driver.run(rng.choice([SECOND // 10, BASE_SETTINGS.warm_up_us]))
        expected = any(
            selector.outliers.is_healthy(server) and selector.load_shedding.slow_start_allows(server)
            for server in registry.ready
        )
        assert selector._has_healthy_server() == expected
