"""Tests of whole tiers of policies, without a network: what is harmless in one node and harmful in all."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import (
    CheckHealth,
    StartAttempt,
)
from limerudder.policy.events import (
    AttemptOutcome,
    EndpointUpdate,
    HealthCheckResult,
    ServerState,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import Driver, server_entry
from tests.scripted_peers import world
from tests.test_gossip import NODES, SERVERS, TIER, Tier


def restart(tier: Tier, nodes: range) -> None:
    """Restart these nodes with an old endpoint list and nothing else."""
    for i in nodes:
        old = tier.nodes[i]
        new = tier.nodes[i] = Driver(old.settings, 1000 + i, ())
        new.now_us = old.now_us
        tier.actions_read[i] = 0
        new.update_endpoints(SERVERS, UpdateKind.CACHED)


def wave(tier: Tier, nodes: range, clients_each: int) -> list[tuple[Driver, int]]:
    """So many clients come to each of these nodes over a second."""
    requests = []
    for _ in range(clients_each):
        for i in nodes:
            requests.append((tier.nodes[i], tier.nodes[i].request()))
        tier.run(SECOND // clients_each)
        for node, number in requests:
            if number in node.attempts and not node.attempts[number].live:
                node.establish(number)
    return requests


def test_nodes_that_restart_together_with_an_old_list_serve_from_it_and_spread_out() -> None:
    """Seven in ten nodes begin together; discovery answers nobody."""
    tier = Tier(replace(TIER, discovery="on_request"))
    tier.run(5 * SECOND)
    restart(tier, range(14))
    for node in tier.nodes[:14]:
        node.deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    requests = wave(tier, range(14), 4)
    tier.run(SECOND)
    placed = Counter(node.server_of(number) for node, number in requests if number in node.attempts)
    assert placed.total() == len(requests), "turned away while there was room"
    assert max(placed.values()) <= 2.5 * placed.total() / len(SERVERS)


def test_first_requests_of_nodes_that_start_together_do_not_meet() -> None:
    """Ids begin at 1 at every node: without a group, all walked the ring from the same place."""
    met = set[tuple[int, ...]]()
    for i in range(NODES):
        node = Driver(replace(TIER, node_index=i, allows_health_checks=False), i, SERVERS)
        first = node.balancer.connections.by_id[node.request()]
        met.add(tuple(s.id for s in node.balancer.selector.ring_candidates(first, None)))
    assert len(met) >= 3


def test_a_zone_that_returns_in_slow_start_is_not_overrun_by_all_nodes() -> None:
    """Every node wants it at once: what all send in 2 s stays within three times what it can do meanwhile."""
    tier = Tier(load=0.1)
    for _ in range(10):  # the tier's usual rate: four a second, for six servers
        wave(tier, range(4), 1)
    cold = server_entry(1, since=tier.nodes[0].now_us)
    for node in tier.nodes:
        node.update_endpoints([server_entry(1, ServerState.GONE)])
        node.update_endpoints([cold])
    marks = [len(node.actions) for node in tier.nodes]
    for _ in range(2):
        wave(tier, range(NODES), 4)
    got = sum(
        isinstance(a, StartAttempt) and a.server_id == 1
        for node, mark in zip(tier.nodes, marks, strict=True)
        for a in node.actions[mark:]
    )
    # 160 clients in 2 s, 27 to a server; three times a quarter of that is 20. With no budget it got 51
    assert got <= 20


def test_the_load_of_a_leaving_server_is_expected_at_the_others() -> None:
    """Six in ten hosts replaced within 7 s: 40 nodes filled what reports of before showed as empty."""
    driver = Driver(TIER, servers=SERVERS)
    for s in range(1, 7):
        driver.report_load(s, 0.6) if s == 1 else driver.deliver(
            HealthCheckResult(s, 1000, AttemptOutcome.OK, (0.0, 10.0, 0.6 if s < 4 else 0.2))
        )
    before = {s: driver.balancer.registry.servers[s].load or 0 for s in range(1, 7)}
    driver.update_endpoints([server_entry(2, ServerState.DRAINING)])
    after = {s: driver.balancer.registry.servers[s].load or 0 for s in range(1, 7)}
    for s in (3, 4, 5, 6):
        assert after[s] > before[s]
    assert sum(after[s] - before[s] for s in (1, 3, 4, 5, 6) if before[s]) == pytest.approx(0.6, abs=0.13)


def test_a_fleet_of_new_servers_rejects_nobody_while_few_warm_ones_have_room() -> None:
    tier = Tier(load=0.3)
    tier.run(3 * SECOND)
    new = [server_entry(s, since=tier.nodes[0].now_us) for s in range(11, 15)]
    for node in tier.nodes:
        node.update_endpoints([*new, *(server_entry(s, ServerState.GONE) for s in range(1, 5))])
    requests = wave(tier, range(NODES), 2)
    tier.run(SECOND)
    assert all(number in node.attempts for node, number in requests)


def test_an_outlier_among_few_servers_costs_each_node_one_attempt_at_a_time() -> None:
    tier = Tier()
    tier.run(3 * SECOND)
    for node in tier.nodes:
        tries = 0
        for _ in range(20):
            number = node.request()
            node.run(SECOND // 10)
            while number in node.attempts and node.server_of(number) == 1:
                tries += 1
                node.end_attempt(number, AttemptOutcome.CONNECT_FAILED)
            if number in node.attempts:
                node.establish(number)
                node.end_attempt(number, AttemptOutcome.OK)
        assert tries <= 2  # one, and a trial after a second


def test_full_servers_leave_no_request_without_its_answer() -> None:
    driver = Driver(replace(TIER, allows_peer_messages=False), servers=SERVERS)
    served = 0
    for _ in range(30):
        number = driver.request()
        driver.run(SECOND // 10)
        while number in driver.attempts:
            if driver.server_of(number) == 6:
                driver.establish(number)
                served += 1
                break
            driver.end_attempt(number, AttemptOutcome.FULL)
            driver.run(SECOND // 10)
        driver.run(SECOND)
        assert driver.requests[number].answered
    assert served >= 15  # the one with room is found, by those that tries are left for


def test_a_node_that_sees_one_request_a_second_knows_as_much_as_the_tier_does() -> None:
    tier = Tier()
    for _ in range(6):
        wave(tier, range(3, 4), 1)
    alone = tier.nodes[3].balancer
    assert all(alone.loads.estimate(s, tier.nodes[3].now_us) is not None for s in alone.registry.ready)
    assert len(tier.nodes[3].actions_of_type(CheckHealth)) <= 2 * len(SERVERS)


def test_a_silent_discovery_is_asked_again_and_the_list_of_before_serves(tmp_path: Path) -> None:
    """Seven in ten nodes begin together and overbook discovery: it takes the call, and no answer comes."""
    here = world(tmp_path)
    asked = 0
    for _ in range(60):
        for dial in here.dials[asked:]:
            if dial.address == here.node.config.discovery and not dial.closed:
                dial.accept(here.now)
        asked = len(here.dials)
        here.run(SECOND // 2)
    calls = here.node.counters[CounterName.DISCOVERY_CALLS]
    failures = here.node.counters[CounterName.DISCOVERY_FAILURES]
    assert 3 <= failures <= calls <= 30, "asked again, and less often than it could bear"
    assert any(line.startswith("discovery: a call failed") for line in here.logged)
    here.served()
