"""The discovery client: watches, polls, and another service's address."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from harness.configurations import SECOND, host, hosts
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.policy.events import EndpointUpdate, ServerState, UpdateKind
from tests.node_testbed import FakeTransport, node_testbed, policy_events


def test_a_silent_watch_times_out(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    watch = next(d for d in testbed.dials if b"watch=1" in d.machine.first_bytes(testbed.now))
    watch.machine.connection_made(watch, testbed.now)
    watch.machine.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", testbed.now)
    testbed.run(3 * SECOND + 300_000)
    assert watch.closed
    assert [e.kind for e in events if isinstance(e, EndpointUpdate)] == [UpdateKind.FAILED]
    testbed.run(SECOND)
    assert testbed.node.discovery.watch and testbed.node.discovery.watch is not watch.machine


ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _answer(call: FakeTransport, content: dict[str, Any], now: int) -> None:
    text = json.dumps(content).encode() + b"\n"
    call.machine.data_received(ANSWER + b"%x\r\n%b\r\n" % (len(text), text), now)


@pytest.mark.parametrize("whole", [True, False])
def test_discovery_at_a_new_address_is_asked_for_all_and_the_old_one_is_ignored(
    tmp_path: Path, whole: bool
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    transport = testbed.establish_client()[1]
    old = [d for d in testbed.dials if isinstance(d.machine, DiscoveryCall)]
    testbed.node.discovery.poll(testbed.now)
    old.append(testbed.dials[-1])
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    assert all(call.closed for call in old) and not transport.half_closed
    new = testbed.dials[-1]
    assert new.address == ("127.0.0.1", 99) and b"&after=0 " in new.machine.first_bytes(testbed.now)
    for call in old:
        _answer(call, hosts(), testbed.now)
    assert not [e for e in events if isinstance(e, EndpointUpdate)]
    assert [b.state for b in testbed.node.upstreams.by_number.values()] == [ServerState.READY] * 2
    _answer(new, hosts(host("s-3"), reset=whole) | {"generation": 3}, testbed.now)
    assert testbed.node.discovery.version == 3
    ready = [b.name for b in testbed.node.upstreams.by_number.values() if b.state == ServerState.READY]
    assert ready == (["s-3"] if whole else ["s-1", "s-2", "s-3"])
    question = testbed.dials[-1]
    assert (question is new) is whole, "changes alone say nothing of what else there is"
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    assert not new.closed, "discovery is where it was"


def test_a_watch_that_fails_before_its_first_list_asks_again_for_all(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    testbed.dials[-1].machine.connection_lost(testbed.now)
    testbed.run(SECOND)
    again = testbed.dials[-1].machine
    assert isinstance(again, DiscoveryCall) and again.after_version == 0


def test_a_poll_that_fails_is_repeated(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    _answer(testbed.dials[-1], hosts(reset=False) | {"generation": 3}, testbed.now)
    testbed.dials[-1].machine.connection_lost(testbed.now)
    testbed.run(SECOND)
    again = testbed.dials[-1]
    assert isinstance(again.machine, DiscoveryCall) and again.machine.after_version is None
    _answer(again, hosts(host("s-3")), testbed.now)
    again.machine.data_received(b"0\r\n\r\n", testbed.now)
    assert [b.name for b in testbed.node.upstreams.by_number.values() if b.state == ServerState.READY] == [
        "s-3"
    ]


def test_a_node_that_starts_asks_for_changes_only(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")) | {"generation": 0})
    _answer(testbed.dials[0], hosts(reset=False) | {"generation": 0}, testbed.now)
    assert (
        len(testbed.dials) == 1
    ), "many nodes start at once, and each whole list costs the service they share"
