"""Client sessions: first lines, data after them, and the ends of connections."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND
from limerudder.core.operations.counters import CounterName
from tests.node_testbed import node_testbed

MALFORMED_DATA = {
    b"HELLO\r\n": CounterName.REQUESTS_MALFORMED,
    b"\x16\x03\x01": CounterName.REQUESTS_MALFORMED,
    b"OPEN a\nOPEN": CounterName.REQUESTS_MALFORMED,
    LINE.replace("d=2000", "d=-5").encode() + b"\r\n": CounterName.REQUESTS_MALFORMED,
    LINE.replace("c=chat", "c=odd").encode() + b"\r\n": CounterName.REQUESTS_UNKNOWN_NAME,
    LINE.replace("t=acme", "t=odd").encode() + b"\r\n": CounterName.REQUESTS_UNKNOWN_NAME,
    LINE.encode() + b"x" * 5000: CounterName.REQUESTS_OVERLONG,
    b"PING\r\n" * 300: CounterName.REQUESTS_PIPELINED_EARLY,
    b"PING\r\n" + LINE.encode() + b"\r\n": CounterName.REQUESTS_PIPELINED_EARLY,
    (LINE.encode() + b"\r\n") * 300: CounterName.REQUESTS_PIPELINED_EARLY,
}
# a PING alone is valid; only data after it in the same read is an error
CUTS = [
    (data, chunk_count)
    for data in MALFORMED_DATA
    for chunk_count in (1, 7, 5000)
    if chunk_count < 5000 or not data.startswith(b"PING")
]


@pytest.mark.parametrize(("data", "chunk_count"), CUTS, ids=lambda value: str(value)[:20])
def test_a_malformed_first_line_is_rejected_and_counted_and_leaves_no_state(
    tmp_path: Path, data: bytes, chunk_count: int
) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    chunk_bytes = max(len(data) // chunk_count, 1)
    for start in range(0, len(data), chunk_bytes):
        session.data_received(data[start : start + chunk_bytes], testbed.now)
        assert len(session.first_line.line) < 4096
    assert transport.sent.replace(b"PONG\r\n", b"") == b"ERR\r\n"
    assert transport.half_closed and not transport.closed
    if chunk_count == 1:
        assert testbed.node.counters[MALFORMED_DATA[data]] == 1
    assert not testbed.node.requests and not testbed.node.requests.open_ids and not testbed.attempts()
    testbed.run(SECOND + 5000)
    assert transport.closed and not testbed.node.admission.connections and not testbed.node.admission.idle


@pytest.mark.parametrize("sent", [b"", b"OPEN ", b"PING\r\nOPEN"])
def test_an_incomplete_first_line_times_out_after_two_and_a_half_seconds(tmp_path: Path, sent: bytes) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    for start in range(len(sent)):  # sending slowly does not extend the timeout
        session.data_received(sent[start : start + 1], testbed.now)
        testbed.run(100_000)
    first_line_bytes = len(sent.removeprefix(b"PING\r\n"))
    testbed.run(2_500_000 - first_line_bytes * 100_000)
    testbed.run(5000)
    # a client that has not started a line gets BUSY, also as the final answer to a line in transit
    assert transport.sent.removeprefix(b"PONG\r\n") == (b"ERR\r\n" if sent else b"BUSY\r\n")
    assert transport.half_closed and not transport.closed
    if not sent:
        session.data_received(LINE.encode() + b"\r\n", testbed.now)
        assert not testbed.node.requests and not testbed.attempts(), "nothing is forwarded after the end"
    testbed.run(SECOND + 5000)
    assert transport.closed and not testbed.node.admission.connections


def test_a_slowly_sent_first_line_is_served(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    text = LINE.encode() + b"\r\n"
    for start in range(len(text)):
        testbed.run(25_000)
        session.data_received(text[start : start + 1], testbed.now)
    (attempt,) = testbed.attempts()
    assert attempt.accept(testbed.now).startswith(LINE.partition("d=")[0]) and not transport.sent


def test_reading_stops_for_a_client_that_keeps_sending_after_its_final_answer(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    for _ in range(6):
        assert not transport.reading_paused
        session.data_received(b"x" * 65_536, testbed.now)
    assert transport.sent == b"ERR\r\n" and transport.reading_paused
    testbed.run(SECOND + 5000)
    assert transport.closed


def test_reading_pauses_for_a_pinging_client_that_does_not_read(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    for paused in (True, False):
        session.set_writing_paused(paused)
        assert transport.reading_paused is paused


def test_a_client_that_waits_is_read_on_and_seen_to_disconnect(tmp_path: Path) -> None:
    """Reading resumes once the first line has arrived, although the client has not read its PONGs."""
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    session.set_writing_paused(True)
    session.data_received(LINE.encode() + b"\r\n", testbed.now)
    session.set_writing_paused(True)
    assert not transport.reading_paused
    (attempt,) = testbed.attempts()
    transport.peer_disconnected = True  # its FIN has arrived after data that is still unread
    assert attempt.accept(testbed.now) == "" and attempt.closed and transport.closed
    assert not testbed.node.requests and testbed.node.counters[CounterName.CLIENTS_DISCONNECTED_UNREAD] == 1
    testbed.run(SECOND)
    assert not testbed.attempts(), "the request is not forwarded"


def test_a_connection_that_only_pings_stays_open_while_it_pings(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    testbed.run(20 * SECOND)
    session.data_received(b"PI", testbed.now)
    session.data_received(b"NG\r\n", testbed.now)
    testbed.run(20 * SECOND)
    assert transport.sent == b"PONG\r\n" * 2 and not transport.closed
    testbed.run(11 * SECOND)
    assert transport.closed and not testbed.node.admission.connections


def test_a_client_that_has_left_when_its_line_is_read_costs_no_dial(tmp_path: Path) -> None:
    """Guards against clients that leave at once and keep a node busy for others (picture b of issue 51)."""
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    transport.peer_disconnected = True
    session.data_received(LINE.encode() + b"\r\n", testbed.now)
    assert transport.closed and not testbed.attempts() and not testbed.node.requests
    assert testbed.node.counters[CounterName.CLIENTS_DISCONNECTED_UNREAD] == 1
    assert not testbed.node.admission.connections
