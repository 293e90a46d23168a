"""Tests of fleets too large for one node to poll every server."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.actions import CheckHealth
from limerudder.policy.gossip import MIN_ROUND_INTERVAL_US, TAKEOVER_STEP_US, ConnectionRates, LoadGossip
from limerudder.policy.records import SECOND, Server
from limerudder.policy.sweep_segments import MAX_SWEPT_SERVERS, own_segment, segment_count
from tests.policy_driver import BASE_SETTINGS, Driver, server_entries
from tests.policy_tier import TIER_SETTINGS

BUSY = ConnectionRates(1000.0, 1000.0)


@pytest.mark.parametrize("server_count", [1, 128, 129, 3200, 20_000])
def test_the_segments_of_all_nodes_cover_the_whole_fleet(server_count: int) -> None:
    ready = [Server(server_id * 7919) for server_id in range(server_count)]
    segments = [own_segment(ready, index) for index in range(segment_count(server_count))]
    assert sorted(server.id for segment in segments for server in segment) == [s.id for s in ready]
    assert max(map(len, segments)) <= 1.2 * MAX_SWEPT_SERVERS
    assert own_segment(ready, len(segments)) == segments[0]


@pytest.mark.parametrize(
    ("node_count", "turn_interval_us"),
    [(8, MIN_ROUND_INTERVAL_US // 8), (200, TAKEOVER_STEP_US)],
)
def test_nodes_poll_a_large_fleet_in_turn_at_the_shortest_allowed_interval(
    node_count: int, turn_interval_us: int
) -> None:
    """Regression, report 47952f: the node whose turn it was dialled all 3,200 servers at once."""
    ready = [Server(server_id) for server_id in range(3200)]
    gossip = LoadGossip(replace(TIER_SETTINGS, node_count=node_count, node_index=1, prices={}))
    gossip.record_round(0, BUSY, SECOND)
    step = gossip.run_round(ready, BUSY, True, SECOND)
    assert not step.actions
    assert step.next_check_us == SECOND + turn_interval_us
    step = gossip.run_round(ready, BUSY, True, step.next_check_us)
    checked = [action.server_id for action in step.actions if isinstance(action, CheckHealth)]
    assert checked == [server_id for server_id in range(3200) if server_id % 25 == 1]


def test_a_large_fleet_is_polled_on_demand_even_if_health_checks_are_free() -> None:
    driver = Driver(replace(BASE_SETTINGS, prices={}), servers=server_entries(3200))
    driver.run(2 * SECOND)
    assert not driver.actions_of_type(CheckHealth)
    driver.request()
    assert 0 < len(driver.actions_of_type(CheckHealth)) <= 8
