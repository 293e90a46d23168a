"""The client's session: first lines, what follows them, and how a connection ends."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND
from limerudder.core.operations.counters import CounterName
from tests.node_testbed import node_testbed

BAD = {
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
# a PING alone is none of them: only what follows it in the same read is bad
CUTS = [(data, n) for data in BAD for n in (1, 7, 5000) if n < 5000 or not data.startswith(b"PING")]


@pytest.mark.parametrize(("data", "pieces"), CUTS, ids=lambda value: str(value)[:20])
def test_a_bad_first_line_is_an_error_is_counted_and_leaves_nothing(
    tmp_path: Path, data: bytes, pieces: int
) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    step = max(len(data) // pieces, 1)
    for at in range(0, len(data), step):
        session.data_received(data[at : at + step], testbed.now)
        assert len(session.first_line.line) < 4096
    assert (
        transport.sent.replace(b"PONG\r\n", b"") == b"ERR\r\n"
        and transport.half_closed
        and not transport.closed
    )
    if pieces == 1:
        assert testbed.node.counters[BAD[data]] == 1
    assert not testbed.node.requests and not testbed.node.requests.open_ids and not testbed.attempts()
    testbed.run(SECOND + 5000)
    assert transport.closed and not testbed.node.admission.connections and not testbed.node.admission.idle


@pytest.mark.parametrize("sent", [b"", b"OPEN ", b"PING\r\nOPEN"])
def test_a_first_line_that_does_not_come_is_waited_for_two_and_a_half_seconds(
    tmp_path: Path, sent: bytes
) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    for at in range(len(sent)):  # a dribbler gains nothing
        session.data_received(sent[at : at + 1], testbed.now)
        testbed.run(100_000)
    testbed.run(2_500_000 - (len(sent) - 6 if sent[:1] == b"P" else len(sent)) * 100_000)
    testbed.run(5000)
    # a first line that crosses this end has its final answer: BUSY, where none has begun
    assert transport.sent.removeprefix(b"PONG\r\n") == (b"ERR\r\n" if sent else b"BUSY\r\n")
    assert transport.half_closed and not transport.closed
    if not sent:
        session.data_received(LINE.encode() + b"\r\n", testbed.now)
        assert not testbed.node.requests and not testbed.attempts(), "read after the end, and never sent on"
    testbed.run(SECOND + 5000)
    assert transport.closed and not testbed.node.admission.connections


def test_a_first_line_that_comes_slowly_is_served(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    text = LINE.encode() + b"\r\n"
    for at in range(len(text)):
        testbed.run(25_000)
        session.data_received(text[at : at + 1], testbed.now)
    (attempt,) = testbed.attempts()
    assert attempt.accept(testbed.now).startswith(LINE.partition("d=")[0]) and not transport.sent


def test_a_client_that_sends_on_after_its_final_answer_is_read_no_further(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.connect()
    for _ in range(6):
        assert not transport.reading_paused
        session.data_received(b"x" * 65_536, testbed.now)
    assert transport.sent == b"ERR\r\n" and transport.reading_paused
    testbed.run(SECOND + 5000)
    assert transport.closed


def test_a_client_that_pings_and_does_not_read_is_not_read_either(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    for on in (True, False):
        session.set_writing_paused(on)
        assert transport.reading_paused is on


def test_a_client_that_waits_is_read_on_and_seen_to_disconnect(tmp_path: Path) -> None:
    """Its PONGs were not read in time, and reading it had stopped; its first line came all the same."""
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    session.set_writing_paused(True)
    session.data_received(LINE.encode() + b"\r\n", testbed.now)
    session.set_writing_paused(True)
    assert not transport.reading_paused
    (attempt,) = testbed.attempts()
    transport.peer_disconnected = True  # its FIN is there, behind bytes that the loop has not come to
    assert attempt.accept(testbed.now) == "" and attempt.closed and transport.closed
    assert not testbed.node.requests and testbed.node.counters[CounterName.CLIENTS_DISCONNECTED_UNREAD] == 1
    testbed.run(SECOND)
    assert not testbed.attempts(), "and never sent on"


def test_a_connection_that_only_pings_is_kept_while_it_does(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport = testbed.send_request("PING")
    testbed.run(20 * SECOND)
    session.data_received(b"PI", testbed.now)
    session.data_received(b"NG\r\n", testbed.now)
    testbed.run(20 * SECOND)
    assert transport.sent == b"PONG\r\n" * 2 and not transport.closed
    testbed.run(11 * SECOND)
    assert transport.closed and not testbed.node.admission.connections
