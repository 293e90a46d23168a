"""The discovery client: watches, polls, and a change of the service's address."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from harness.configurations import SECOND, host, hosts
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.operations.counters import CounterName
from limerudder.policy.events import EndpointUpdate, ServerState, UpdateKind
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed, policy_events

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_a_silent_watch_times_out(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    watch = next(dial for dial in testbed.dials if b"watch=1" in dial.machine.first_bytes(testbed.now))
    watch.machine.connection_made(watch, testbed.now)
    watch.machine.data_received(ANSWER_HEAD, testbed.now)
    testbed.run(3 * SECOND + 300_000)
    assert watch.closed
    assert [event.kind for event in events if isinstance(event, EndpointUpdate)] == [UpdateKind.FAILED]
    testbed.run(SECOND)
    assert testbed.node.discovery.watch and testbed.node.discovery.watch is not watch.machine


def ready_names(testbed: NodeTestbed) -> list[str]:
    """Return the names of the ready upstreams."""
    upstreams = testbed.node.upstreams.by_number.values()
    return [upstream.name for upstream in upstreams if upstream.state == ServerState.READY]


def _answer(call: FakeTransport, content: dict[str, Any], now_us: int) -> None:
    call.machine.data_received(ANSWER_HEAD, now_us)
    _send_list(call, content, now_us)


def _send_list(call: FakeTransport, content: dict[str, Any], now_us: int) -> None:
    text = json.dumps(content).encode() + b"\n"
    call.machine.data_received(b"%x\r\n%b\r\n" % (len(text), text), now_us)


@pytest.mark.parametrize("complete", [True, False])
def test_a_new_discovery_address_is_polled_for_the_complete_list_and_the_old_one_is_ignored(
    tmp_path: Path, complete: bool
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    transport = testbed.establish_client()[1]
    old_calls = [dial for dial in testbed.dials if isinstance(dial.machine, DiscoveryCall)]
    testbed.node.discovery.poll(testbed.now)
    old_calls.append(testbed.dials[-1])
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    assert all(call.closed for call in old_calls)
    assert not transport.half_closed
    new_call = testbed.dials[-1]
    assert new_call.address == ("127.0.0.1", 99)
    assert b"&after=0 " in new_call.machine.first_bytes(testbed.now)
    for call in old_calls:
        _answer(call, hosts(), testbed.now)
    assert not [event for event in events if isinstance(event, EndpointUpdate)]
    upstreams = testbed.node.upstreams.by_number
    assert [upstream.state for upstream in upstreams.values()] == [ServerState.READY] * 2
    _answer(new_call, hosts(host("s-3"), reset=complete) | {"generation": 3}, testbed.now)
    assert testbed.node.discovery.version == 3
    assert ready_names(testbed) == (["s-3"] if complete else ["s-1", "s-2", "s-3"])
    last_call = testbed.dials[-1]
    assert (last_call is new_call) is complete, "the complete list is polled if only changes were received"
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    assert not new_call.closed, "the address has not changed"


def test_a_watch_that_fails_before_its_first_list_is_reopened_for_the_complete_list(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    testbed.dials[-1].machine.connection_lost(testbed.now)
    testbed.run(SECOND)
    repeated = testbed.dials[-1].machine
    assert isinstance(repeated, DiscoveryCall) and repeated.after_version == 0


def test_a_poll_that_fails_is_repeated(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    _answer(testbed.dials[-1], hosts(reset=False) | {"generation": 3}, testbed.now)
    testbed.dials[-1].machine.connection_lost(testbed.now)
    testbed.run(SECOND)
    repeated = testbed.dials[-1]
    assert isinstance(repeated.machine, DiscoveryCall) and repeated.machine.after_version is None
    _answer(repeated, hosts(host("s-3")), testbed.now)
    repeated.machine.data_received(b"0\r\n\r\n", testbed.now)
    assert ready_names(testbed) == ["s-3"]


def test_a_list_that_arrives_after_a_newer_version_is_counted_and_logged(tmp_path: Path) -> None:
    """Guards against an outdated answer that leaves no trace (review case 1)."""
    testbed = node_testbed(tmp_path)
    testbed.node.discovery.change_address(("127.0.0.1", 99), testbed.now)
    watch = testbed.dials[-1]
    _answer(watch, hosts(host("s-1"), reset=False) | {"generation": 7}, testbed.now)
    poll = testbed.dials[-1]
    _send_list(watch, hosts(host("s-1"), reset=False) | {"generation": 8}, testbed.now)
    _answer(poll, hosts(host("s-1")) | {"generation": 7}, testbed.now)
    assert testbed.node.counters[CounterName.ENDPOINT_LISTS_OUTDATED] == 1
    assert any("version 7 arrived after version 8" in line for line in testbed.logged)


def test_a_node_that_starts_polls_for_changes_only(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")) | {"generation": 0})
    _answer(testbed.dials[0], hosts(reset=False) | {"generation": 0}, testbed.now)
    # Many nodes may start at once, and each complete list adds load on the shared service.
    assert len(testbed.dials) == 1


@pytest.mark.parametrize("listed_hosts", [3200, 5])
def test_a_large_list_arrives_even_if_it_exceeds_the_initial_timeout(
    tmp_path: Path, listed_hosts: int
) -> None:
    """Guards against deadlines that cut off each call to a slow service with thousands of upstreams."""
    testbed = node_testbed(tmp_path)
    text = json.dumps(hosts(*(host(f"s-{n}") for n in range(listed_hosts)))).encode() + b"\n"
    step_us = SECOND // 2
    sent_bytes: dict[FakeTransport, int] = {}
    for _ in range(80):
        for dial in testbed.dials:
            if dial.closed or not isinstance(dial.machine, DiscoveryCall):
                continue
            if dial not in sent_bytes:
                dial.machine.first_bytes(testbed.now)
                dial.machine.data_received(ANSWER_HEAD + b"%x\r\n" % len(text), testbed.now)
            start = sent_bytes.get(dial, 0)
            sent_bytes[dial] = start + len(text) // 16  # The list is complete after 8 s
            dial.machine.data_received(text[start : sent_bytes[dial]], testbed.now)
        testbed.run(step_us)
    assert testbed.node.upstreams.listed_count == (listed_hosts if listed_hosts > 5 else 2)
