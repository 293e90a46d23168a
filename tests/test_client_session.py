"""The client's session: first lines, what follows them, and how a connection ends."""

from __future__ import annotations

from pathlib import Path

import pytest

from limerudder.core.operations.counters import CounterName
from tests.scripted_peers import LINE, SECOND, world

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
    here = world(tmp_path)
    session, link = here.connect()
    step = max(len(data) // pieces, 1)
    for at in range(0, len(data), step):
        session.data_received(data[at : at + step], here.now)
        assert len(session.first_line.line) < 4096
    assert link.sent.replace(b"PONG\r\n", b"") == b"ERR\r\n" and link.half_closed and not link.closed
    if pieces == 1:
        assert here.node.counters[BAD[data]] == 1
    assert not here.node.requests and not here.node.requests.open_ids and not here.attempts()
    here.run(SECOND + 5000)
    assert link.closed and not here.node.admission.connections and not here.node.admission.idle


@pytest.mark.parametrize("sent", [b"", b"OPEN ", b"PING\r\nOPEN"])
def test_a_first_line_that_does_not_come_is_waited_for_two_and_a_half_seconds(
    tmp_path: Path, sent: bytes
) -> None:
    here = world(tmp_path)
    session, link = here.connect()
    for at in range(len(sent)):  # a dribbler gains nothing
        session.data_received(sent[at : at + 1], here.now)
        here.run(100_000)
    here.run(2_500_000 - (len(sent) - 6 if sent[:1] == b"P" else len(sent)) * 100_000)
    here.run(5000)
    # a first line that crosses this end has its final answer: BUSY, where none has begun
    assert link.sent.removeprefix(b"PONG\r\n") == (b"ERR\r\n" if sent else b"BUSY\r\n")
    assert link.half_closed and not link.closed
    if not sent:
        session.data_received(LINE.encode() + b"\r\n", here.now)
        assert not here.node.requests and not here.attempts(), "read after the end, and never sent on"
    here.run(SECOND + 5000)
    assert link.closed and not here.node.admission.connections


def test_a_first_line_that_comes_slowly_is_served(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link = here.connect()
    text = LINE.encode() + b"\r\n"
    for at in range(len(text)):
        here.run(25_000)
        session.data_received(text[at : at + 1], here.now)
    (attempt,) = here.attempts()
    assert attempt.accept(here.now).startswith(LINE.partition("d=")[0]) and not link.sent


def test_a_client_that_sends_on_after_its_final_answer_is_read_no_further(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link = here.connect()
    for _ in range(6):
        assert not link.reading_paused
        session.data_received(b"x" * 65_536, here.now)
    assert link.sent == b"ERR\r\n" and link.reading_paused
    here.run(SECOND + 5000)
    assert link.closed


def test_a_client_that_pings_and_does_not_read_is_not_read_either(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link = here.client("PING")
    for on in (True, False):
        session.set_writing_paused(on)
        assert link.reading_paused is on


def test_a_client_that_waits_is_read_on_and_seen_to_disconnect(tmp_path: Path) -> None:
    """Its PONGs were not read in time, and reading it had stopped; its first line came all the same."""
    here = world(tmp_path)
    session, link = here.client("PING")
    session.set_writing_paused(True)
    session.data_received(LINE.encode() + b"\r\n", here.now)
    session.set_writing_paused(True)
    assert not link.reading_paused
    (attempt,) = here.attempts()
    link.peer_disconnected = True  # its FIN is there, behind bytes that the loop has not come to
    assert attempt.accept(here.now) == "" and attempt.closed and link.closed
    assert not here.node.requests and here.node.counters[CounterName.CLIENTS_DISCONNECTED_UNREAD] == 1
    here.run(SECOND)
    assert not here.attempts(), "and never sent on"


def test_a_connection_that_only_pings_is_kept_while_it_does(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link = here.client("PING")
    here.run(20 * SECOND)
    session.data_received(b"PI", here.now)
    session.data_received(b"NG\r\n", here.now)
    here.run(20 * SECOND)
    assert link.sent == b"PONG\r\n" * 2 and not link.closed
    here.run(11 * SECOND)
    assert link.closed and not here.node.admission.connections
