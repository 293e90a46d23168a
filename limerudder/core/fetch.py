"""The line protocol's fetch: one attempt at a backend, from its first line to the end of its connection."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite
from typing import Protocol

from firgrade.interface import Ending

from .lines import LineError, LineFramer
from .link import Dialled, Link
from .reports import read_report
from .req import FetchOwner
from .wheel import Alarm, Wheel

SILENT = 2_500_000  #: a message unanswered for so long: its stream has stopped, though nothing said so
LAST_WORDS = 700_000  #: for a backend to end its side once the client has ended its own


class Client(Protocol):
    """The client's side, as a fetch that serves it uses it."""

    link: Link | None

    def pass_on(self, data: bytes) -> None:
        """Bytes for the client."""

    def move(self, now: int) -> None:
        """Send the client away politely."""

    def end(self, now: int) -> None:
        """The backend has ended its side."""

    def break_off(self) -> None:
        """The backend's side is broken."""


class LineFetch(Dialled):
    """A state machine fed what its backend sends. It tells its owner of its end once."""

    def __init__(self, owner: FetchOwner, line: bytes, fields: Sequence[str], wheel: Wheel) -> None:
        self.owner, self.line, self.fields = owner, line, fields
        self.client: Client | None = None
        self.framer = LineFramer()
        self.out = self.up = self.done = False  # out: the last byte of its line is written
        self.leaving = False  # the client has ended its side
        self.last = b""
        self.report: tuple[float, ...] = ()
        self.asked: int | None = None  # when the client's oldest unanswered message was passed on
        self.heard = 0  # when the backend's last word came
        self.timer = Alarm(wheel)

    # from the driver

    def opening(self, now: int) -> bytes:
        """The client's line, if it may still be sent."""
        return self.line if self.owner.fetch_due(now) else b""

    def written(self) -> None:
        """From here on the backend may have it."""
        self.out = True
        self.owner.fetch_out()

    def feed(self, data: bytes, now: int) -> None:
        """Lines from the backend: its answer first, then what it has for the client."""
        if self.done:
            return
        self.heard = now
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._broken(now, Ending.ERROR)
        if lines and not self.up:
            self._answer(lines[0], now)
            if self.done:
                return
        if lines and self.client:
            # whole lines only, unchanged, LOAD and BYE among them: a MOVE can then never cut one
            self.client.pass_on(b"".join(line + b"\r\n" for line in lines))
        for line in lines:
            self._read(line, now)

    def _answer(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"UP" and rest:
            self.up = True
            self.owner.fetch_up(now)
        elif word in (b"ERR", b"BUSY"):
            self.report = read_report(rest, self.fields)
            self._end(Ending.ERROR if word == b"ERR" else Ending.FULL, now)
        else:
            self._end(Ending.ERROR, now)  # a malformed line is an error of this fetch

    def _read(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        self.last = word
        if word == b"LOAD":
            try:
                load = float(rest)
            except ValueError:
                return
            if isfinite(load):
                self.owner.fetch_load(load, now)
            return
        if word == b"BYE":
            self.report = read_report(rest, self.fields)
        if self.asked is not None:
            took, self.asked = now - self.asked, None
            self.timer.stop()
            self.owner.fetch_answered(took, now)

    def eof(self, now: int) -> None:
        """The backend has ended its side."""
        if self.done:
            return
        if self.client and self.framer.rest:
            self.client.pass_on(self.framer.rest)
        client = self.client
        self._end(self._how(), now)
        if client:
            client.end(now)

    def lost(self, now: int) -> None:
        """The connection broke, or never came up."""
        if not self.done:
            self._broken(now, self._how())

    def _how(self) -> Ending:
        if not self.up:
            return Ending.RESET if self.out else Ending.CONNECT_FAILED
        said = {b"BYE": Ending.OK, b"MOVE": Ending.CANCELLED}
        return said.get(self.last, Ending.CANCELLED if self.leaving else Ending.RESET)

    def _broken(self, now: int, ending: Ending) -> None:
        client = self.client
        self._end(ending, now)
        if client and ending in (Ending.OK, Ending.CANCELLED):
            client.end(now)
        elif client:
            client.break_off()

    def crowded(self, on: bool) -> None:
        """The backend reads slowly: its client is read no faster."""
        if self.client and self.client.link:
            self.client.link.hold(on)

    # from the client session

    def join(self, client: Client) -> None:
        """The fetch serves: what comes from the backend goes to the client."""
        self.client = client

    def send(self, data: bytes, now: int) -> None:
        """Bytes from the client for the backend, passed on as they come."""
        if not self.link or self.done:
            return
        self.link.write(data)
        if self.asked is None and b"\n" in data:
            self.asked = now
            self.timer.set(now + SILENT, self.vanish)

    def finish(self, now: int) -> None:
        """The client has ended its side: so does this one, and the backend may have its last words."""
        if self.link and not self.leaving and not self.done:
            self.leaving = True
            self.link.finish()
            self.asked = None  # guards this wait: an answer still to come would take the timer back
            self.timer.set(now + LAST_WORDS, self.vanish)

    def reset(self) -> None:
        """The client's side broke: so does this one."""
        if self.link and not self.done:
            self.link.reset()
        self.close()

    def vanish(self, now: int) -> None:
        """The backend is silent: its client is moved. That tells nothing of what the backend can hold."""
        client = self.client
        self._end(Ending.CANCELLED, now)
        if client and self.leaving:
            client.end(now)
        elif client:
            client.move(now)

    # endings

    def close(self) -> None:
        """Give up: the connection is closed before anything else can be sent."""
        self.done = True
        self.timer.stop()
        self.client = None
        if self.link:
            self.link.close()

    def _end(self, ending: Ending, now: int) -> None:
        self.close()
        self.owner.fetch_done(ending, self.report, now)
