"""Tests of the complete Balancer: discovery, peers and the clock."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.actions import WatchEndpoints
from limerudder.policy.events import AttemptOutcome, EndpointUpdate, PeerMessage, UpdateKind
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries, server_entry


def test_discovery_on_request_subscribes_renews_and_backs_off() -> None:
    driver = Driver(replace(MINIMAL_SETTINGS, discovery="on_request"), servers=server_entries(2))
    assert driver.actions_of_type(WatchEndpoints) == [WatchEndpoints(True)]
    driver.update_endpoints([server_entry(2)])
    driver.run(BASE_SETTINGS.poll_interval_us)
    subscriptions = len(driver.actions_of_type(WatchEndpoints))
    assert subscriptions == 2, "renewed before discovery would count the node as not notified"
    for _ in range(6):
        driver.deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    driver.run(SECOND)
    assert len(driver.actions_of_type(WatchEndpoints)) <= subscriptions + 1


def test_a_clock_that_jumps_breaks_nothing() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    request_id = driver.connect()
    driver.now_us += 10**6 * SECOND
    driver.connect()
    driver.end_attempt(request_id, AttemptOutcome.OK)


@pytest.mark.parametrize("data", [b"", b"\xff" * 256, b"load=nan"])
def test_malformed_peer_messages_are_ignored(data: bytes) -> None:
    driver = Driver(replace(BASE_SETTINGS, allows_peer_messages=True), servers=server_entries(3))
    assert driver.deliver(PeerMessage(7, data)) == []
    assert driver.balancer.malformed_peer_messages() == 1
    assert driver.balancer.registry.ready
    assert not driver.balancer.connections.by_id
