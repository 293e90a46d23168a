"""Hot restart: parent and successor connected in memory."""

from __future__ import annotations

import json
from itertools import pairwise
from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND, host, hosts
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.lifecycle.hot_restart import (
    HandoverFormatError,
    HotRestartSuccessor,
    ProcessUsage,
    SuccessorConnection,
    parse_handover_state,
)
from limerudder.core.lifecycle.hot_restart.messages import ParentStopping
from limerudder.core.lifecycle.hot_restart.node_binding import create_parent, create_successor
from limerudder.policy.events import PredecessorConnections, UpdateKind
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed, policy_events


class ConnectedTransport(FakeTransport):
    """One end of the connection between two processes; written data arrives at the other end in pieces."""

    def __init__(self, testbed: NodeTestbed, piece_bytes: int) -> None:
        super().__init__()
        self.testbed = testbed
        self.piece_bytes = piece_bytes
        self.other_end: ConnectedTransport | None = None
        self.connection: SuccessorConnection | HotRestartSuccessor | None = None

    def write(self, data: bytes) -> None:
        receiver = self.other_end
        if receiver and receiver.connection and not self.closed:
            for start in range(0, len(data), self.piece_bytes):
                piece = data[start : start + self.piece_bytes]
                receiver.connection.data_received(piece, receiver.testbed.now)


class ProcessPair:
    """A parent process, and processes that request a handover; the latter share one node."""

    def __init__(self, folder: Path, piece_bytes: int = 5000) -> None:
        self.old = node_testbed(folder, known=hosts(host("s-1"), host("s-2")))
        self.new = node_testbed(folder, known=hosts())
        self.piece_bytes = piece_bytes
        self.calls: list[str] = []  # calls that open and close listeners
        self.parent = create_parent(
            self.old.node,
            stop_accepting=lambda: self.calls.append("stop accepting"),
            resume_accepting=lambda: self.calls.append("resume accepting"),
        )

    def connect_successor(self) -> HotRestartSuccessor:
        parent_end = ConnectedTransport(self.old, self.piece_bytes)
        successor_end = ConnectedTransport(self.new, self.piece_bytes)
        parent_end.other_end = successor_end
        successor_end.other_end = parent_end
        state = parse_handover_state(self.parent.state_line())
        self.new.node.endpoint_updater.apply(state.endpoints, UpdateKind.CACHED, self.new.now)
        successor = create_successor(
            self.new.node,
            state,
            self.new.now,
            start_serving=lambda: self.calls.append("start serving"),
            parent_ended=lambda: None,
            reload_config=lambda: self.calls.append("reload"),
        )
        successor_end.connection = successor
        successor.connection_made(successor_end, self.new.now)
        connection = SuccessorConnection(self.parent)
        parent_end.connection = connection
        connection.connection_made(parent_end, self.old.now)
        return successor

    def run(self, duration_us: int) -> None:
        for _ in range(duration_us // 5000):
            self.old.run(5000)
            self.new.run(5000)


def send_endpoints(testbed: NodeTestbed) -> None:
    """Send discovery's list on the watch."""
    body = json.dumps(hosts(host("s-1"), host("s-2"))).encode() + b"\n"
    watch = next(dial.machine for dial in testbed.dials if getattr(dial.machine, "is_watch", False))
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    watch.data_received(head + f"{len(body):x}".encode() + b"\r\n" + body + b"\r\n", testbed.now)


@pytest.mark.parametrize("piece_bytes", [1, 7, 5000])
def test_a_successor_serves_once_it_is_ready_and_its_parent_stops_accepting(
    tmp_path: Path, piece_bytes: int
) -> None:
    pair = ProcessPair(tmp_path, piece_bytes)
    successor = pair.connect_successor()
    pair.run(SECOND // 10)
    assert pair.calls == [], "discovery has not answered yet"
    send_endpoints(pair.new)
    pair.run(SECOND // 10)
    assert pair.calls == ["start serving"] and not pair.old.node.has_successor
    successor.announce_serving()
    assert pair.calls == ["start serving", "stop accepting"] and pair.old.node.has_successor
    pair.run(3 * SECOND)
    assert pair.calls == ["start serving", "stop accepting"]


@pytest.mark.parametrize(
    ("reason", "delay_us"), [("discovery is down", 2 * SECOND), ("stopping", 0), ("gone", 0)]
)
def test_a_successor_does_not_wait_indefinitely(tmp_path: Path, reason: str, delay_us: int) -> None:
    pair = ProcessPair(tmp_path)
    successor = pair.connect_successor()
    if reason == "stopping":
        pair.parent.announce(ParentStopping())
    elif reason == "gone":
        successor.connection_lost(pair.new.now)
    pair.run(delay_us - 100_000 if delay_us else 0)
    assert pair.calls == ([] if delay_us else ["start serving"])
    pair.run(200_000)
    assert pair.calls == ["start serving"]


def test_a_successor_of_a_stopping_parent_serves_at_once(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    pair.old.node.start_graceful_shutdown(pair.old.now)
    pair.connect_successor()
    assert pair.calls == ["start serving"]


def test_the_parent_accepts_clients_again_if_its_successor_dies(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    successor = pair.connect_successor()
    successor.announce_serving()
    (connection,) = pair.parent.connections
    connection.connection_lost(pair.old.now)
    assert pair.calls == ["stop accepting", "resume accepting"]
    assert not pair.old.node.has_successor
    assert not pair.parent.connections
    pair.connect_successor().announce_serving()
    assert pair.calls == ["stop accepting", "resume accepting", "stop accepting"]


def test_a_process_that_only_requested_a_handover_and_disconnected_changes_nothing(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    first = pair.connect_successor()
    second = pair.connect_successor()
    second.announce_serving()
    first.announce_serving()
    assert pair.calls == ["stop accepting"], "one successor at a time"
    pair.parent.connections[0].connection_lost(pair.old.now)
    assert pair.calls == ["stop accepting"] and pair.old.node.has_successor


def test_the_state_has_endpoints_request_ids_and_usage(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    entries = [host("s-1") | {"startedAtMs": 7}, host("s-2", lifecycle="leaving")]
    pair.old.node.endpoints_received(parse_endpoint_list(hosts(*entries)), pair.old.now)
    pair.old.establish_client()
    state = parse_handover_state(pair.parent.state_line())
    assert state.endpoints == parse_endpoint_list(hosts(*entries))
    assert state.usage == ProcessUsage(2, {"s-1": 1}) and len(state.request_ids) == 1


@pytest.mark.parametrize("line", [b"", b"{}", b"[]", b'{"hosts": 1}', b"\xff", b"[" * 100_000])
def test_a_malformed_state_line_raises_a_handover_format_error(line: bytes) -> None:
    with pytest.raises(HandoverFormatError):
        parse_handover_state(line)


@pytest.mark.parametrize("line", [b"holds x\n", b"holds {}\n", b"taken zz\n", b"what\n", b"\xff\n\n"])
def test_malformed_messages_are_ignored(tmp_path: Path, line: bytes) -> None:
    pair = ProcessPair(tmp_path)
    successor = pair.connect_successor()
    successor.data_received(line, pair.new.now)
    (connection,) = pair.parent.connections
    connection.data_received(line, pair.old.now)
    assert pair.calls == []


def test_a_request_id_in_use_at_the_parent_is_rejected_by_the_successor(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    pair.old.establish_client()
    pair.connect_successor()
    pair.old.establish_client()
    for _ in range(2):
        _, transport = pair.new.send_request()
        assert transport.sent == b"ERR\r\n"
    _, transport = pair.new.send_request()
    assert not transport.sent


def test_both_processes_share_one_capacity_and_one_connection_count(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    events = policy_events(pair.new)
    established = [pair.old.establish_client() for _ in range(5)]
    capacity = pair.new.node.admission.capacity
    successor = pair.connect_successor()
    assert pair.new.node.admission.capacity == capacity - 10
    successor.announce_serving()
    for session, _, _ in established:
        session.connection_lost(pair.old.now)
    pair.run(SECOND // 5)
    assert pair.new.node.admission.capacity == capacity
    reported = [event for event in events if isinstance(event, PredecessorConnections)]
    last_counts = {event.server_id: event.connections for event in reported}
    assert last_counts and set(last_counts.values()) == {0}
    assert max(event.connections for event in reported) >= 2


def test_the_parents_connections_count_in_upstream_selection(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    pair.connect_successor()
    server = pair.new.node.upstreams.by_name["s-1"].number
    pair.new.node.dispatch(PredecessorConnections(server, 5), pair.new.now)
    for _ in range(4):
        pair.new.establish_client()
    assert {dial.machine.observer.upstream.name for dial in pair.new.attempts()} == {"s-2"}


def test_a_shutdown_with_a_successor_rejects_no_request_and_spreads_migrations_over_its_duration(
    tmp_path: Path,
) -> None:
    pair = ProcessPair(tmp_path)
    testbed = pair.old
    established = [testbed.establish_client()[1] for _ in range(30)]
    _, waiting = testbed.send_request()
    (attempt,) = (dial for dial in testbed.attempts() if not dial.machine.sent)
    idle_session, idle = testbed.connect()
    pair.connect_successor().announce_serving()
    testbed.node.start_graceful_shutdown(testbed.now)
    attempt.accept(testbed.now)
    attempt.machine.data_received(b"UP 7\r\n", testbed.now)
    idle_session.data_received(LINE.replace("9b", "77").encode() + b"\r\n", testbed.now)
    assert (
        not idle.sent and not testbed.attempts()[-1].machine.sent
    ), "the request is attempted like any other"
    migrated = [0]
    # the earliest SIGKILL is 2.7 s after the signal, and migrations end 0.7 s before it
    for _ in range(12):
        testbed.run(SECOND // 6)
        migrated.append(sum(transport.sent.endswith(b"MOVE\r\n") for transport in established))
    assert waiting.sent == b"UP 7\r\nMOVE\r\n"
    assert migrated[-1] == 30, migrated
    assert max(after - before for before, after in pairwise(migrated)) <= 5, migrated


def test_a_parent_rejects_a_request_that_its_successor_has_accepted(tmp_path: Path) -> None:
    """Regression (picture c of issue 51): only the parent told its successor of ids, so one ran twice."""
    pair = ProcessPair(tmp_path)
    idle_session, idle_transport = pair.old.connect()
    successor = pair.connect_successor()
    send_endpoints(pair.new)
    pair.run(SECOND // 10)
    successor.announce_serving()
    session, _, attempt = pair.new.establish_client()
    line = attempt.sent.partition(b"d=")[0] + b"d=2000\r\n"
    idle_session.data_received(line, pair.old.now)
    assert idle_transport.sent == b"ERR\r\n" and not pair.old.attempts()


@pytest.mark.parametrize("line", [b"taken zz\n", b"taken\n", b"what\n", b"\xff\n\n"])
def test_a_parent_ignores_malformed_lines_of_a_successor(tmp_path: Path, line: bytes) -> None:
    pair = ProcessPair(tmp_path)
    connection = SuccessorConnection(pair.parent)
    connection.connection_made(FakeTransport(), pair.old.now)
    connection.data_received(line, pair.old.now)
    assert not pair.old.node.requests.recent_ids and connection in pair.parent.connections


@pytest.mark.parametrize("connects_first", [True, False])
def test_a_process_that_prepares_to_take_over_reloads_its_configuration_with_its_parent(
    tmp_path: Path, connects_first: bool
) -> None:
    """Regression (review/8): it asked the old discovery for good; the signal reaches its parent alone."""
    pair = ProcessPair(tmp_path)
    if not connects_first:
        pair.parent.announce_reload()
    successor = pair.connect_successor()
    if connects_first:
        pair.parent.announce_reload()
    assert pair.calls == ["reload"]
    successor.data_received(b"reloaded\n", pair.new.now)
    assert pair.calls == ["reload"] * 2
