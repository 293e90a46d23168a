"""Admission control: which connections are closed when file descriptors run short."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import LINE, host, hosts, settings
from limerudder.core.operations.counters import CounterName
from tests.node_testbed import node_testbed


def test_idle_clients_are_evicted_longest_idle_first_when_descriptors_are_short(tmp_path: Path) -> None:
    # 12 of the 24 descriptors are reserved, 3 of those for closing connections; the capacity is the other 12
    testbed = node_testbed(tmp_path, limits={"sockets": 24})
    established = [testbed.establish_client() for _ in range(3)]
    idle = [testbed.connect() for _ in range(6)]
    idle_transports = [transport for _, transport in idle]
    first_session, _ = idle[0]
    first_session.data_received(b"PING\r\n", testbed.now)
    session, transport = testbed.connect()
    assert [each.half_closed for each in idle_transports] == [False, True] + [False] * 4
    assert idle_transports[1].sent == b"BUSY\r\n"
    session.data_received(LINE.replace("9b", "77").encode() + b"\r\n", testbed.now)
    half_closed = [each.half_closed for each in idle_transports]
    assert half_closed == [False, True, True] + [False] * 3, "the attempt needs a descriptor"
    assert not any(each.closed for each in idle_transports), "clients get time to read the answer"
    for _ in range(100):
        testbed.connect()
    assert all(each.closed for each in idle_transports), "closed early, since descriptors are short"
    admission = testbed.node.admission
    counters = testbed.node.counters
    assert len(admission.connections) + len(testbed.node.requests) == 12 + 3
    evicted = counters[CounterName.CLIENTS_EVICTED]
    assert len(admission.closing) == 3 == evicted - counters[CounterName.CLIENTS_FORCE_CLOSED]
    assert not transport.closed
    assert not any(attempt.closed for _, _, attempt in established)
    assert evicted == 102


def test_health_checks_of_many_hosts_have_reserved_descriptors(tmp_path: Path) -> None:
    listed = hosts(*(host(f"s-{n}") for n in range(300)))
    testbed = node_testbed(tmp_path, known=listed, settings=settings(probes=True), limits={"sockets": 384})
    assert testbed.node.admission.capacity == 192, "at most half of all descriptors are reserved"
    testbed = node_testbed(
        tmp_path, known=hosts(host("s-1")), settings=settings(probes=True), limits={"sockets": 384}
    )
    assert testbed.node.admission.capacity == 384 - 96 - 1


def test_a_request_is_rejected_immediately_when_descriptors_are_short(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, limits={"sockets": 6})
    _, established, _ = testbed.establish_client()
    _, rejected = testbed.send_request()
    _, idle = testbed.send_request("PING")
    transports = [established, rejected, idle]
    assert [transport.sent for transport in transports] == [b"UP 77\r\n", b"BUSY\r\n", b"PONG\r\n"]
    assert [transport.closed for transport in transports] == [False, True, False], "the others stay open"
    assert len(testbed.attempts()) == 1
