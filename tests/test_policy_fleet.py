"""Tests of tiers of policies without a network, for faults that only harm when all nodes act alike."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import CheckHealth, StartAttempt
from limerudder.policy.events import (
    AttemptOutcome,
    EndpointUpdate,
    HealthCheckResult,
    ServerState,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from tests.node_testbed import node_testbed
from tests.policy_driver import Driver, server_entry
from tests.policy_tier import NODE_COUNT, SERVERS, TIER_SETTINGS, Tier, has_all_loads


def test_nodes_that_restart_together_with_a_cached_list_serve_from_it_and_spread_requests() -> None:
    """Seven in ten nodes start at the same time, and discovery answers none of them."""
    tier = Tier(replace(TIER_SETTINGS, discovery="on_request"))
    tier.run(5 * SECOND)
    restarted = range(14)
    for index in restarted:
        tier.restart_node(index, seed=1000 + index)
    for index in restarted:
        tier.nodes[index].deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    requests = tier.connect_clients(restarted, 4)
    tier.run(SECOND)
    connections_by_server = Counter(
        node.server_of(request_id) for node, request_id in requests if request_id in node.attempts
    )
    total = connections_by_server.total()
    assert total == len(requests), "rejected while there was capacity"
    assert max(connections_by_server.values()) <= 2.5 * total / len(SERVERS)


def test_first_requests_of_nodes_that_start_together_have_different_candidates() -> None:
    """Regression: request ids, which begin at 1 at each node, were ring keys and led to equal candidates."""
    candidates = set[tuple[int, ...]]()
    for index in range(NODE_COUNT):
        settings = replace(TIER_SETTINGS, node_index=index, allows_health_checks=False)
        node = Driver(settings, index, SERVERS)
        first_request = node.balancer.connections.by_id[node.request()]
        servers = node.balancer.selector.ring_candidates(first_request, None)
        candidates.add(tuple(server.id for server in servers))
    assert len(candidates) >= 3


def test_a_zone_that_returns_in_slow_start_is_not_overloaded_by_all_nodes() -> None:
    """All nodes prefer the zone at once; their requests in 2 s stay within three times its capacity."""
    tier = Tier(load=0.1)
    for _ in range(10):  # usual rate of the tier: four requests per second at six servers
        tier.connect_clients(range(4), 1)
    cold_server = server_entry(1, ready_since_us=tier.nodes[0].now_us)
    for node in tier.nodes:
        node.update_endpoints([server_entry(1, ServerState.GONE)])
        node.update_endpoints([cold_server])
    attempts_before = count_attempts(tier, server_id=1)
    for _ in range(2):
        tier.connect_clients(range(NODE_COUNT), 4)
    # 160 requests in 2 s are 27 per server. The limit is three times a quarter of that, 20 attempts; without
    # a slow-start budget, the server got 51.
    assert count_attempts(tier, server_id=1) - attempts_before <= 20


def count_attempts(tier: Tier, server_id: int) -> int:
    """Return the number of attempts that all nodes have started at a server."""
    return sum(
        attempt.server_id == server_id
        for node in tier.nodes
        for attempt in node.actions_of_type(StartAttempt)
    )


def test_the_load_of_a_draining_server_is_expected_at_the_others() -> None:
    """Regression: 40 nodes filled servers that old reports showed as idle.

    Six in ten servers had been replaced in 7 s.
    """
    driver = Driver(TIER_SETTINGS, servers=SERVERS)
    driver.report_load(1, 0.6)  # has no load: fewer fields than these settings list
    for server_id in range(2, 7):
        load_report = (0.0, 10.0, 0.6 if server_id < 4 else 0.2)
        driver.deliver(HealthCheckResult(server_id, 1000, AttemptOutcome.OK, load_report))
    loads_before = loads_by_server(driver)
    driver.update_endpoints([server_entry(2, ServerState.DRAINING)])
    loads_after = loads_by_server(driver)
    for server_id in (3, 4, 5, 6):
        assert loads_after[server_id] > loads_before[server_id]
    increase = sum(
        loads_after[server_id] - loads_before[server_id]
        for server_id in (1, 3, 4, 5, 6)
        if loads_before[server_id]
    )
    assert increase == pytest.approx(0.6, abs=0.13)


def loads_by_server(driver: Driver) -> dict[int, float]:
    """Return the load that the policy assumes for each server, 0 if unknown."""
    servers = driver.balancer.registry.servers
    return {server_id: servers[server_id].load or 0 for server_id in range(1, 7)}


def test_a_fleet_of_new_servers_rejects_nobody_while_few_warm_ones_have_capacity() -> None:
    tier = Tier(load=0.3)
    tier.run(3 * SECOND)
    new_servers = [
        server_entry(server_id, ready_since_us=tier.nodes[0].now_us) for server_id in range(11, 15)
    ]
    removed_servers = [server_entry(server_id, ServerState.GONE) for server_id in range(1, 5)]
    for node in tier.nodes:
        node.update_endpoints([*new_servers, *removed_servers])
    requests = tier.connect_clients(range(NODE_COUNT), 2)
    tier.run(SECOND)
    assert all(request_id in node.attempts for node, request_id in requests)


def test_an_outlier_among_few_servers_costs_each_node_one_attempt_at_a_time() -> None:
    tier = Tier()
    tier.run(3 * SECOND)
    for node in tier.nodes:
        attempts_at_outlier = 0
        for _ in range(20):
            request_id = node.request()
            node.run(SECOND // 10)
            while request_id in node.attempts and node.server_of(request_id) == 1:
                attempts_at_outlier += 1
                node.end_attempt(request_id, AttemptOutcome.CONNECT_FAILED)
            if request_id in node.attempts:
                node.establish(request_id)
                node.end_attempt(request_id, AttemptOutcome.OK)
        assert attempts_at_outlier <= 2  # the first attempt, and a trial after an ejection of one second


def test_every_request_is_answered_while_all_servers_but_one_are_full() -> None:
    driver = Driver(replace(TIER_SETTINGS, allows_peer_messages=False), servers=SERVERS)
    established = 0
    for _ in range(30):
        request_id = driver.request()
        driver.run(SECOND // 10)
        while request_id in driver.attempts:
            if driver.server_of(request_id) == 6:
                driver.establish(request_id)
                established += 1
                break
            driver.end_attempt(request_id, AttemptOutcome.FULL)
            driver.run(SECOND // 10)
        driver.run(SECOND)
        assert driver.requests[request_id].answered
    assert established >= 15  # the others use up their attempts at full servers


def test_a_node_with_one_request_a_second_has_the_loads_of_all_servers() -> None:
    tier = Tier()
    for _ in range(6):
        tier.connect_clients(range(3, 4), 1)
    node = tier.nodes[3]
    assert has_all_loads(node)
    assert len(node.actions_of_type(CheckHealth)) <= 2 * len(SERVERS)


def test_an_unresponsive_discovery_is_polled_again_and_the_previous_list_is_used(tmp_path: Path) -> None:
    """Seven in ten nodes start at once and overload discovery, which accepts calls but does not answer."""
    testbed = node_testbed(tmp_path)
    dials_seen = 0
    for _ in range(60):
        for dial in testbed.dials[dials_seen:]:
            if dial.address == testbed.node.config.discovery and not dial.closed:
                dial.accept(testbed.now)
        dials_seen = len(testbed.dials)
        testbed.run(SECOND // 2)
    calls = testbed.node.counters[CounterName.DISCOVERY_CALLS]
    failures = testbed.node.counters[CounterName.DISCOVERY_FAILURES]
    assert 3 <= failures <= calls <= 30, "polled again, at a rate that discovery can sustain"
    assert any(line.startswith("discovery: a call failed") for line in testbed.logged)
    testbed.establish_client()
