"""Datagrams exchanged with peers."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import settings
from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.net.peer_socket import PeerSocket
from limerudder.policy.actions import SendPeerMessage
from tests.node_testbed import node_testbed, policy_events


def test_messages_to_peers_are_sent_only_within_the_limits(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    for size in (256, 257):
        testbed.node.peering.send(SendPeerMessage(1, b"x" * size))
    assert [len(data) for _, data in testbed.datagrams] == [256]
    without_peers = node_testbed(tmp_path, settings=settings(peers=False))
    without_peers.node.peering.send(SendPeerMessage(1, b"x"))
    assert not without_peers.datagrams


def test_malformed_datagrams_are_counted_and_logged(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    logged = list[tuple[LogKind, str]]()
    testbed.node.peering.log = lambda kind, text, detail="": logged.append((kind, text))
    testbed.node.peering.datagram_received(None, b"hello", testbed.now)
    testbed.node.peering.datagram_received(1, b"\xa7" * 257, testbed.now)
    assert not events, "datagrams from other addresses or over the size limit do not reach the policy"
    testbed.node.peering.datagram_received(1, b"hello", testbed.now)
    testbed.node.peering.datagram_received(1, bytes((0xA7, 0, 0, 0, 0)), testbed.now)
    assert testbed.node.counters[CounterName.PEER_MESSAGES_MALFORMED] == 3
    assert testbed.node.counters[CounterName.PEER_MESSAGES_RECEIVED] == 2
    kinds = {kind for kind, _ in logged}
    assert kinds == {LogKind.PEER_DATAGRAM_DROPPED}, "a separate kind: a flood suppresses no other lines"
    assert [text.removeprefix("node: a datagram ") for _, text in logged] == [
        "of 5 bytes (at most 256 are taken) came from an address that is no peer's; dropped",
        "of 257 bytes (at most 256 are taken) came from node 1; dropped",
        "of no known form came from node 1; dropped",
    ]


def test_the_peer_socket_identifies_the_peer_that_sent_a_datagram() -> None:
    received: list[tuple[int | None, bytes]] = []
    peer_addresses = [("127.0.0.1", 9001), ("127.0.0.1", 9002)]
    peer_socket = PeerSocket(peer_addresses, None, lambda number, data: received.append((number, data)))
    peer_socket.datagram_received(b"a", ("127.0.0.1", 9002))
    peer_socket.datagram_received(b"b", ("127.0.0.1", 9003))
    assert received == [(1, b"a"), (None, b"b")]
