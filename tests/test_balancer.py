"""Tests of the Balancer as a whole: discovery, peers and the clock."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.actions import (
    WatchEndpoints,
)
from limerudder.policy.events import (
    AttemptOutcome,
    EndpointUpdate,
    PeerMessage,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from tests.policy_driver import BASE_SETTINGS, MINIMAL_SETTINGS, Driver, server_entries, server_entry


def test_discovery_on_request_subscribes_renews_and_backs_off() -> None:
    driver = Driver(replace(MINIMAL_SETTINGS, discovery="on_request"), servers=server_entries(2))
    assert driver.actions_of_type(WatchEndpoints) == [WatchEndpoints(True)]
    driver.update_endpoints([server_entry(2)])
    driver.run(BASE_SETTINGS.poll_interval_us)
    assert (
        len(driver.actions_of_type(WatchEndpoints)) == 2
    ), "renewed within the time after which a node counts as told"
    asked = len(driver.actions_of_type(WatchEndpoints))
    for _ in range(6):
        driver.deliver(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    driver.run(SECOND)
    assert len(driver.actions_of_type(WatchEndpoints)) <= asked + 1


def test_a_clock_that_jumps_breaks_nothing() -> None:
    driver = Driver(MINIMAL_SETTINGS, servers=server_entries(3))
    number = driver.connect()
    driver.now_us += 10**6 * SECOND
    driver.connect()
    driver.end_attempt(number, AttemptOutcome.OK)


@pytest.mark.parametrize("data", [b"", b"\xff" * 256, b"load=nan"])
def test_malformed_peer_messages_are_ignored(data: bytes) -> None:
    driver = Driver(replace(BASE_SETTINGS, allows_peer_messages=True), servers=server_entries(3))
    assert driver.deliver(PeerMessage(7, data)) == [] and driver.balancer.malformed_peer_messages() == 1
    assert driver.balancer.registry.ready and not driver.balancer.connections.by_id
