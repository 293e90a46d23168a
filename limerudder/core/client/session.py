"""The line protocol's client session: the first line, the final answer, and the passing on of lines."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import Enum, auto
from typing import Protocol

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.line_framing import MAX_LINE_BYTES
from limerudder.core.operations.counters import Counters
from limerudder.core.ports import Attempt, AttemptObserver, ConnectRequest
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport
from limerudder.core.upstream.attempt import LineAttempt

LINGER = 1_000_000  #: to let a client read its last line before its connection is closed
DISCARDED = 1 << 18  #: bytes read and thrown away meanwhile; from there on nothing is read
FIRST_LINE = 2_500_000  #: for a first line to come whole: a client is owed a word or a close within 3 s
BETWEEN_PINGS = 30_000_000  #: for one that has been answered PONG to begin another line
ERROR = b"ERR\r\n"
ID = re.compile("[0-9a-f]{16}")
NAME = re.compile("[A-Za-z][A-Za-z0-9_]*")
WAIT = re.compile("0|[1-9][0-9]{0,9}")
FIGURE = re.compile(r"[0-9]{1,10}(\.[0-9]{1,10})?")


class MalformedLine(ValueError):
    """A first line that does not follow the protocol."""


def parse_open(line: bytes) -> ConnectRequest:
    """`OPEN ID KEY c=..,t=..,...` as a request."""
    # guards upstreams against a line in a form that no client sends, and against one read in two ways: what
    # Python would read as a number or a name is wider than what clients write
    words = line.decode("ascii", "replace").split(" ")
    if not _printable(line) or len(words) != 4 or words[0] != "OPEN":
        raise MalformedLine(line)
    told: dict[str, str] = {}
    for pair in words[3].split(","):
        name, _, value = pair.partition("=")
        if not NAME.fullmatch(name) or name in told or not value or "=" in value:
            raise MalformedLine(line)
        told[name] = value
    if "c" not in told or {told.get("r", "1"), told.get("again", "1")} != {"1"}:
        raise MalformedLine(line)
    return ConnectRequest(
        id=_number(words[1]),
        class_name=told["c"],
        tenant=told.get("t", ""),
        key=_number(words[2]),
        time_left_us=_figure(told["d"], WAIT, 1000) if "d" in told else None,
        hint=_figure(told["h"], FIGURE, 1) if "h" in told else None,
        group=_number(told["g"]) if "g" in told else 0,
        is_retry="r" in told,
        is_reconnect="again" in told,
        pinned_upstream=told.get("at"),
    )


def _printable(text: bytes) -> bool:
    return text.isascii() and text.decode().isprintable()


def _number(text: str) -> int:
    if not ID.fullmatch(text):
        raise MalformedLine(text)
    return int(text, 16)


def _figure(text: str, form: re.Pattern[str], unit: int) -> int:
    if not form.fullmatch(text) or float(text) * unit >= 1 << 32:
        raise MalformedLine(text)
    return int(float(text) * unit)


def with_wait(line: bytes, wait: int | None) -> bytes:
    """The client's line, unchanged but for `d`: how long the node will wait, in whole milliseconds."""
    if wait is None:
        return line + b"\r\n"
    head, _, pairs = line.rpartition(b" ")
    told = [b"d=%d" % max(wait // 1000, 1) if p.startswith(b"d=") else p for p in pairs.split(b",")]
    return head + b" " + b",".join(told) + b"\r\n"


class RequestHandler(Protocol):
    """Who takes the requests of client sessions: the node."""

    timer_wheel: TimerWheel
    counters: Counters
    admission: AdmissionControl
    report_fields: Sequence[str]

    def accept_request(
        self, session: LineSession, request: ConnectRequest, now: int
    ) -> RequestObserver | None:
        """Take a request; None, and counted, where it is none that this node can take."""


class RequestObserver(Protocol):
    """Who is told that the client has left."""

    def client_disconnected(self, now: int) -> None:
        """The client has gone; before its final answer, or after it."""


class SessionState(Enum):
    """How far a session has come."""

    FIRST = auto()
    WAITING = auto()
    OPEN = auto()
    ENDED = auto()


class LineSession:
    """One client connection."""

    def __init__(self, taker: RequestHandler) -> None:
        self.taker = taker
        self.stage = SessionState.FIRST
        self.transport: Transport | None = None
        self.owner: RequestObserver | None = None
        self.line = b""  # the first line, as far as it has come: never longer than a line may be
        self.served: LineAttempt | None = None
        self.timer = ResettableTimer(taker.timer_wheel)
        self.pinged = False  # its last line was a PING, and no further one has begun
        self.discarded = 0

    # from the driver

    def connection_made(self, link: Transport, now: int) -> None:
        """A client has come."""
        self.transport = link
        if self.taker.admission.enter(self, now):
            self._line_due(now)
        else:
            self._last(b"BUSY\r\n", now)

    def data_received(self, data: bytes, now: int) -> None:
        """Bytes from the client."""
        if self.stage is SessionState.OPEN and self.served:
            self.served.send(data, now)
        elif self.stage is SessionState.FIRST:
            self._first(data, now)
        elif self.stage is SessionState.WAITING:
            self._impatient(now)
        elif self.transport:
            # guards the loop against a client that has its last line and sends on at full speed
            self.taker.counters["bytes_discarded"] += len(data)
            self.discarded += len(data)
            if self.discarded > DISCARDED:
                self.transport.set_reading_paused(True)

    def _first(self, data: bytes, now: int) -> None:
        if not self.line and self.pinged:
            self._line_due(now)
        # guards against values and lines without end: what is kept and looked at is one line at most
        text = self.line + data[:MAX_LINE_BYTES]
        line, end, more = text.partition(b"\r\n")
        if len(line) + 2 > MAX_LINE_BYTES:
            return self._malformed("requests_overlong", now)
        self.line = line
        if not end:
            if not _printable(line.removesuffix(b"\r")):
                self._malformed("requests_malformed", now)
        elif more or len(data) > MAX_LINE_BYTES:
            # guards against commands sent in one go: a client waits for the answer to its line
            self._malformed("requests_impatient", now)
        elif line == b"PING":
            self.taker.counters.count("pings")
            self.line, self.pinged = b"", True
            self.pass_on(b"PONG\r\n")
            self.taker.admission.rest(self)
            self.timer.set(now + BETWEEN_PINGS, self._silent)
        else:
            self._open(line, now)

    def _open(self, line: bytes, now: int) -> None:
        try:
            request = parse_open(line)
        except MalformedLine:
            return self._malformed("requests_malformed", now)
        self.stage = SessionState.WAITING
        self.timer.cancel()
        self.taker.admission.seat(self)
        self.owner = self.taker.accept_request(self, request, now)
        if self.owner is None:
            self._last(ERROR, now)

    def _line_due(self, now: int) -> None:
        # guards against dribblers: the time runs from the line's first byte or the connection's first moment
        self.pinged = False
        self.timer.set(now + FIRST_LINE, self._silent)

    def _silent(self, now: int) -> None:
        """The first line has not come in time."""
        if self.line:
            self._malformed("requests_unfinished", now)
        else:
            self.evict(now, "clients_silent")

    def evict(self, now: int, counted: str = "clients_put_out") -> None:
        """End the connection of a client without a request."""
        # guards a first line that crosses this end: it is read by nobody, and BUSY is its final answer
        self.taker.counters.count(counted)
        self._last(b"BUSY\r\n", now)

    def force_close(self) -> None:
        """Close at once: the client has had its last word, and its descriptor is needed."""
        self.taker.counters.count("clients_put_away")
        self._close()

    def _impatient(self, now: int) -> None:
        # guards against what follows a first line before its answer: nothing of it is kept or passed on
        owner, self.owner = self.owner, None
        self._malformed("requests_impatient", now)
        if owner:
            owner.client_disconnected(now)

    def _malformed(self, what: str, now: int) -> None:
        self.taker.counters.count(what)
        self._last(ERROR, now)

    def eof_received(self, now: int) -> None:
        """The client has ended its sending: it leaves."""
        if self.stage is SessionState.OPEN and self.served:
            self.served.finish(now)
        else:
            self._leave(now)

    def connection_lost(self, now: int) -> None:
        """The connection broke."""
        if self.stage is SessionState.OPEN and self.served:
            self.served.reset()
        self._leave(now)

    def set_writing_paused(self, on: bool) -> None:
        """The client reads slowly: its upstream, or what it asks before it has one, is read no faster."""
        if self.served and self.served.transport:
            self.served.transport.set_reading_paused(on)
        elif self.transport and self.stage in (SessionState.FIRST, SessionState.WAITING):
            # guards the sight of a client that leaves while it waits: one that is not read is not seen to
            self.transport.set_reading_paused(on and self.stage is SessionState.FIRST)

    def _leave(self, now: int) -> None:
        stage, self.stage = self.stage, SessionState.ENDED
        self._close()
        if stage in (SessionState.WAITING, SessionState.OPEN) and self.owner:
            self.owner.client_disconnected(now)

    # from the node

    def new_attempt(self, owner: AttemptObserver, wait: int | None) -> LineAttempt:
        """A new attempt: the client's own line, but for `d`."""
        return LineAttempt(
            owner, with_wait(self.line, wait), self.taker.report_fields, self.taker.timer_wheel
        )

    def start_proxying(self, attempt: Attempt, now: int) -> None:
        """Join the two sides and give the client the upstream's answer."""
        assert isinstance(attempt, LineAttempt)
        if self.stage is not SessionState.WAITING:
            return
        self.stage, self.served = SessionState.OPEN, attempt
        attempt.join(self)

    def reject(self, wait: int, now: int) -> None:
        """BUSY, with the advice when to come again."""
        if self.stage is SessionState.WAITING:
            self._last(b"BUSY %d\r\n" % (wait // 1000) if wait else b"BUSY\r\n", now)

    def fail(self, now: int) -> None:
        """Any other line means failed."""
        if self.stage is SessionState.WAITING:
            self._last(ERROR, now)

    def migrate(self, now: int) -> None:
        """MOVE stands between two lines, since only whole lines are passed to a client."""
        if self.stage is SessionState.OPEN:
            self._last(b"MOVE\r\n", now)

    def check_disconnected(self, now: int) -> None:
        """A client that has gone, behind bytes that are not read yet too, is one that leaves."""
        if self.stage is SessionState.WAITING and self.transport and self.transport.has_disconnected():
            self.taker.counters.count("clients_left_unread")
            self._leave(now)

    # from the attempt that serves

    def pass_on(self, data: bytes) -> None:
        """Bytes from the upstream for the client."""
        if self.transport:
            self.transport.write(data)

    def end(self, now: int) -> None:
        """The upstream has ended: so does this side."""
        self._last(b"", now)

    def break_off(self) -> None:
        """The upstream broke off: so does this side."""
        self.stage = SessionState.ENDED
        if self.transport:
            self.transport.reset()
        self._forget()

    # endings

    def _last(self, line: bytes, now: int) -> None:
        # guards against a reset that overtakes the last line: a socket closed with unread bytes sends one,
        # so the client is given a moment to read and to close first
        self.stage, self.served, self.line = SessionState.ENDED, None, b""
        if self.transport:
            self.taker.admission.ending(self)
            if line:
                self.transport.write(line)
            self.transport.half_close()
            self.transport.set_reading_paused(False)
        self.timer.set(now + LINGER, lambda _: self._close())

    def _close(self) -> None:
        self.stage = SessionState.ENDED
        if self.transport:
            self.transport.close()
        self._forget()

    def _forget(self) -> None:
        self.timer.cancel()
        self.transport = self.served = None
        self.taker.admission.gone(self)
