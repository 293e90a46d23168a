"""Admission control: who keeps its file descriptor when they run short."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import LINE, host, hosts, settings
from limerudder.core.operations.counters import CounterName
from tests.node_testbed import node_testbed


def test_where_descriptors_are_short_clients_without_a_request_are_evicted_the_longest_idle_first(
    tmp_path: Path,
) -> None:
    testbed = node_testbed(
        tmp_path, limits={"sockets": 24}
    )  # room for 12; of the 12 spared, 3 are for last words
    standing = [testbed.establish_client() for _ in range(3)]
    silent = [testbed.connect() for _ in range(6)]
    silent[0][0].data_received(b"PING\r\n", testbed.now)
    session, transport = testbed.connect()
    ended = [guest.half_closed for _, guest in silent]
    assert ended == [False, True] + [False] * 4 and silent[1][1].sent == b"BUSY\r\n"
    session.data_received(LINE.replace("9b", "77").encode() + b"\r\n", testbed.now)
    ended = [guest.half_closed for _, guest in silent]
    assert ended == [False, True, True] + [False] * 3, "its attempt needs one"
    assert not any(guest.closed for _, guest in silent), "a moment to read it"
    for _ in range(100):
        testbed.connect()
    assert all(guest.closed for _, guest in silent), "and no more than that"
    admission, counters = testbed.node.admission, testbed.node.counters
    assert len(admission.connections) + len(testbed.node.requests) == 12 + 3
    assert (
        len(admission.closing)
        == 3
        == counters[CounterName.CLIENTS_EVICTED] - counters[CounterName.CLIENTS_FORCE_CLOSED]
    )
    assert not transport.closed and not any(attempt.closed for _, _, attempt in standing)
    assert counters[CounterName.CLIENTS_EVICTED] == 102


def test_health_checks_of_many_hosts_have_descriptors_of_their_own(tmp_path: Path) -> None:
    listed = hosts(*(host(f"s-{n}") for n in range(300)))
    testbed = node_testbed(tmp_path, known=listed, settings=settings(probes=True), limits={"sockets": 384})
    assert testbed.node.admission.capacity == 192, "half of all at most"
    testbed = node_testbed(
        tmp_path, known=hosts(host("s-1")), settings=settings(probes=True), limits={"sockets": 384}
    )
    assert testbed.node.admission.capacity == 384 - 96 - 1


def test_where_descriptors_are_short_a_request_is_rejected_at_once(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, limits={"sockets": 6})
    transports = [testbed.establish_client()[1], testbed.send_request()[1], testbed.send_request("PING")[1]]
    assert [transport.sent for transport in transports] == [b"UP 77\r\n", b"BUSY\r\n", b"PONG\r\n"]
    assert [transport.closed for transport in transports] == [
        False,
        True,
        False,
    ], "the second has had its answer"
    assert len(testbed.attempts()) == 1
