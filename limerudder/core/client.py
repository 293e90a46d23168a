"""The line protocol's client session: the first line, the final answer, and the passing on of lines."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum, auto
from math import isfinite
from typing import Protocol

from .counters import Counters
from .fetch import LineFetch
from .lines import MOST, LineError, LineFramer
from .link import Link
from .req import Fetch, FetchOwner, Req
from .wheel import Alarm, Wheel

LINGER = 1_000_000  #: to let a client read its last line before its connection is closed
FIRST_LINE = 30_000_000  #: for a connection's first line
FAILED = b"FAILED\r\n"


class BadLine(ValueError):
    """A first line that does not follow the protocol."""


def read_open(line: bytes) -> Req:
    """`OPEN ID KEY c=..,t=..,...` as a Req."""
    try:
        text = line.decode("ascii")
        words = text.split(" ")
        # guards backends against what is no line of text: a lone CR or LF, or another control character
        if not text.isprintable() or len(words) != 4 or words[0] != "OPEN":
            raise BadLine(line)
        _number(words[1])
        told = dict(pair.split("=", 1) for pair in words[3].split(","))
        at = told.get("at")
        if at == "":
            raise BadLine(line)
        return Req(
            cls=told["c"],
            tenant=told.get("t", ""),
            key=_number(words[2]),
            time_left=_figure(told["d"], 1000) if "d" in told else None,
            hint=_figure(told["h"], 1) if "h" in told else None,
            group=_number(told["g"]) if "g" in told else 0,
            retry=told.get("r") == "1",
            came_back=told.get("again") == "1",
            at=at,
        )
    except (ValueError, KeyError):
        raise BadLine(line) from None


def _number(text: str) -> int:
    if not 0 < len(text) <= 16 or not set(text) <= set("0123456789abcdefABCDEF"):
        raise BadLine(text)
    return int(text, 16)


def _figure(text: str, unit: int) -> int:
    value = float(text) * unit
    if not isfinite(value) or not 0 <= value < 1 << 32:
        raise BadLine(text)
    return int(value)


def with_wait(line: bytes, wait: int | None) -> bytes:
    """The client's line, unchanged but for `d`: how long the node will wait, in whole milliseconds."""
    if wait is None:
        return line + b"\r\n"
    head, _, pairs = line.rpartition(b" ")
    told = [b"d=%d" % max(wait // 1000, 1) if p.startswith(b"d=") else p for p in pairs.split(b",")]
    return head + b" " + b",".join(told) + b"\r\n"


class Taker(Protocol):
    """Who takes the reqs of client sessions: the node."""

    wheel: Wheel
    counters: Counters
    report_fields: Sequence[str]

    def full(self) -> bool:
        """Whether there is room for no further client."""

    def take(self, session: LineSession, req: Req, now: int) -> ReqOwner | None:
        """Take a req; None where the settings do not know its class."""


class ReqOwner(Protocol):
    """Who is told that the client has left."""

    def client_left(self, now: int) -> None:
        """The client has gone; before its final answer, or after it."""


class Stage(Enum):
    """How far a session has come."""

    FIRST = auto()
    WAITING = auto()
    OPEN = auto()
    ENDED = auto()


class LineSession:
    """One client connection."""

    def __init__(self, taker: Taker, closed: Callable[[LineSession], None]) -> None:
        self.taker, self.closed = taker, closed
        self.stage, self.framer = Stage.FIRST, LineFramer()
        self.link: Link | None = None
        self.owner: ReqOwner | None = None
        self.line = self.early = b""  # early: what the client sent before its answer
        self.served: LineFetch | None = None
        self.timer = Alarm(taker.wheel)

    # from the driver

    def connected(self, link: Link, now: int) -> None:
        """A client has come."""
        self.link = link
        if self.taker.full():
            self._last(b"BUSY\r\n", now)
        else:
            self._after(FIRST_LINE, now)

    def feed(self, data: bytes, now: int) -> None:
        """Bytes from the client."""
        if self.stage is Stage.OPEN and self.served:
            self.served.send(data, now)
        elif self.stage is Stage.WAITING:
            self._keep(data)
        elif self.stage is Stage.FIRST:
            self._first(data, now)

    def _keep(self, data: bytes) -> None:
        # guards against a client that talks before its answer: two reads are kept at most, then none
        self.early += data
        if len(self.early) >= MOST and self.link:
            self.link.hold(True)

    def _first(self, data: bytes, now: int) -> None:
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._malformed("reqs_overlong", now)
        for number, line in enumerate(lines):
            if line == b"PING":
                self.taker.counters.count("pings")
                self.pass_on(b"PONG\r\n")
                self._after(FIRST_LINE, now)
                continue
            try:
                req = read_open(line)
            except BadLine:
                return self._malformed("reqs_malformed", now)
            self.line, self.stage = line, Stage.WAITING
            self.timer.stop()
            self._keep(b"".join(rest + b"\r\n" for rest in lines[number + 1 :]) + self.framer.rest)
            self.owner = self.taker.take(self, req, now)
            if self.owner is None:
                self._malformed("reqs_of_unknown_class", now)
            return

    def _malformed(self, what: str, now: int) -> None:
        self.taker.counters.count(what)
        self._last(FAILED, now)

    def eof(self, now: int) -> None:
        """The client has ended its sending: it leaves."""
        if self.stage is Stage.OPEN and self.served:
            self.served.finish(now)
        else:
            self._leave(now)

    def lost(self, now: int) -> None:
        """The connection broke."""
        if self.stage is Stage.OPEN and self.served:
            self.served.reset()
        self._leave(now)

    def crowded(self, on: bool) -> None:
        """The client reads slowly: its backend is read no faster."""
        if self.served and self.served.link:
            self.served.link.hold(on)

    def _leave(self, now: int) -> None:
        stage, self.stage = self.stage, Stage.ENDED
        self._close()
        if stage in (Stage.WAITING, Stage.OPEN) and self.owner:
            self.owner.client_left(now)

    # from the node

    def fetch(self, owner: FetchOwner, wait: int | None) -> LineFetch:
        """A new attempt: the client's own line, but for `d`."""
        return LineFetch(owner, with_wait(self.line, wait), self.taker.report_fields, self.taker.wheel)

    def serve(self, fetch: Fetch, now: int) -> None:
        """Join the two sides and give the client the backend's answer."""
        assert isinstance(fetch, LineFetch)
        if self.stage is not Stage.WAITING:
            return
        self.stage, self.served = Stage.OPEN, fetch
        fetch.join(self)
        early, self.early = self.early, b""
        if early:
            fetch.send(early, now)
        if self.link:
            self.link.hold(False)

    def refuse(self, wait: int, now: int) -> None:
        """BUSY, with the advice when to come again."""
        if self.stage is Stage.WAITING:
            self._last(b"BUSY %d\r\n" % (wait // 1000) if wait else b"BUSY\r\n", now)

    def fail(self, now: int) -> None:
        """Any other line means failed."""
        if self.stage is Stage.WAITING:
            self._last(FAILED, now)

    def move(self, now: int) -> None:
        """MOVE stands between two lines, since only whole lines are passed to a client."""
        if self.stage is Stage.OPEN:
            self._last(b"MOVE\r\n", now)

    # from the fetch that serves

    def pass_on(self, data: bytes) -> None:
        """Bytes from the backend for the client."""
        if self.link:
            self.link.write(data)

    def end(self, now: int) -> None:
        """The backend has ended: so does this side."""
        self._last(b"", now)

    def break_off(self) -> None:
        """The backend broke off: so does this side."""
        self.stage = Stage.ENDED
        if self.link:
            self.link.reset()
        self._forget()

    # endings

    def _last(self, line: bytes, now: int) -> None:
        # guards against a reset that overtakes the last line: a socket closed with unread bytes sends one,
        # so the client is given a moment to read and to close first
        self.stage, self.served, self.early = Stage.ENDED, None, b""
        if self.link:
            if line:
                self.link.write(line)
            self.link.finish()
            self.link.hold(False)
        self._after(LINGER, now)

    def _after(self, wait: int, now: int) -> None:
        self.timer.set(now + wait, lambda _: self._close())

    def _close(self) -> None:
        self.stage = Stage.ENDED
        if self.link:
            self.link.close()
        self._forget()

    def _forget(self) -> None:
        self.timer.stop()
        self.link = self.served = None
        self.closed(self)
