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
from tests.policy_driver import BASE, PLAIN, Driver, entry, fleet


def test_discovery_on_request_subscribes_renews_and_backs_off() -> None:
    driver = Driver(replace(PLAIN, discovery="on_request"), servers=fleet(2))
    assert driver.logged(WatchEndpoints) == [WatchEndpoints(True)]
    driver.members([entry(2)])
    driver.run(BASE.poll_interval_us)
    assert (
        len(driver.logged(WatchEndpoints)) == 2
    ), "renewed within the time after which a node counts as told"
    asked = len(driver.logged(WatchEndpoints))
    for _ in range(6):
        driver.give(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    driver.run(SECOND)
    assert len(driver.logged(WatchEndpoints)) <= asked + 1


def test_a_clock_that_jumps_breaks_nothing() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.connect()
    driver.now += 10**6 * SECOND
    driver.connect()
    driver.end(number, AttemptOutcome.OK)


@pytest.mark.parametrize("data", [b"", b"\xff" * 256, b"load=nan"])
def test_malformed_peer_messages_are_ignored(data: bytes) -> None:
    driver = Driver(replace(BASE, allows_peer_messages=True), servers=fleet(3))
    assert driver.give(PeerMessage(7, data)) == [] and driver.balancer.malformed_peer_messages() == 1
    assert driver.balancer.registry.ready and not driver.balancer.connections.by_id
