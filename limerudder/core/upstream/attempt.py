"""The line protocol's attempt at an upstream, from its first line to the end of its connection."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite
from typing import Protocol

from limerudder.core.line_framing import LineError, LineFramer
from limerudder.core.ports import AttemptObserver
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import OutboundMachineBase, Transport
from limerudder.core.upstream.load_report import parse_report
from limerudder.policy.events import AttemptOutcome

SILENT = 2_500_000  #: a message unanswered for so long: its stream has stopped, though nothing said so
LAST_WORDS = 700_000  #: for an upstream to end its side once the client has ended its own


class ServedClient(Protocol):
    """The client's side, as an attempt that serves it uses it."""

    link: Transport | None

    def pass_on(self, data: bytes) -> None:
        """Bytes for the client."""

    def move(self, now: int) -> None:
        """Send the client away politely."""

    def end(self, now: int) -> None:
        """The upstream has ended its side."""

    def break_off(self) -> None:
        """The upstream's side is broken."""


class LineAttempt(OutboundMachineBase):
    """A state machine fed what its upstream sends. It tells its owner of its end once."""

    def __init__(self, owner: AttemptObserver, line: bytes, fields: Sequence[str], wheel: TimerWheel) -> None:
        self.owner, self.line, self.fields = owner, line, fields
        self.client: ServedClient | None = None
        self.framer = LineFramer()
        self.out = self.up = self.done = False  # out: the last byte of its line is written
        self.leaving = False  # the client has ended its side
        self.last = b""
        self.report: tuple[float, ...] = ()
        self.asked: int | None = None  # when the client's oldest unanswered message was passed on
        self.heard = 0  # when the upstream's last word came
        self.timer = ResettableTimer(wheel)

    # from the driver

    def opening(self, now: int) -> bytes:
        """The client's line, if it may still be sent."""
        return self.line if self.owner.attempt_ready(now) else b""

    def written(self) -> None:
        """From here on the upstream may have it."""
        self.out = True
        self.owner.attempt_sent()

    def feed(self, data: bytes, now: int) -> None:
        """Lines from the upstream: its answer first, then what it has for the client."""
        if self.done:
            return
        self.heard = now
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._broken(now, AttemptOutcome.ERROR)
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
            self.owner.attempt_established(now)
        elif word in (b"ERR", b"BUSY"):
            self.report = parse_report(rest, self.fields)
            self._end(AttemptOutcome.ERROR if word == b"ERR" else AttemptOutcome.FULL, now)
        else:
            self._end(AttemptOutcome.ERROR, now)  # a malformed line is an error of this attempt

    def _read(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        self.last = word
        if word == b"LOAD":
            try:
                load = float(rest)
            except ValueError:
                return
            if isfinite(load):
                self.owner.attempt_load_reported(load, now)
            return
        if word == b"BYE":
            self.report = parse_report(rest, self.fields)
        if self.asked is not None:
            took, self.asked = now - self.asked, None
            self.timer.stop()
            self.owner.attempt_latency_measured(took, now)

    def eof(self, now: int) -> None:
        """The upstream has ended its side."""
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

    def _how(self) -> AttemptOutcome:
        if not self.up:
            return AttemptOutcome.RESET if self.out else AttemptOutcome.CONNECT_FAILED
        said = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}
        return said.get(self.last, AttemptOutcome.CANCELLED if self.leaving else AttemptOutcome.RESET)

    def _broken(self, now: int, ending: AttemptOutcome) -> None:
        client = self.client
        self._end(ending, now)
        if client and ending in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            client.end(now)
        elif client:
            client.break_off()

    def crowded(self, on: bool) -> None:
        """The upstream reads slowly: its client is read no faster."""
        if self.client and self.client.link:
            self.client.link.hold(on)

    # from the client session

    def join(self, client: ServedClient) -> None:
        """The attempt serves: what comes from the upstream goes to the client."""
        self.client = client

    def send(self, data: bytes, now: int) -> None:
        """Bytes from the client for the upstream, passed on as they come."""
        if not self.link or self.done:
            return
        self.link.write(data)
        if self.asked is None and b"\n" in data:
            self.asked = now
            self.timer.set(now + SILENT, self.vanish)

    def finish(self, now: int) -> None:
        """The client has ended its side: so does this one, and the upstream may have its last words."""
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
        """The upstream is silent: its client is moved. That tells nothing of what the upstream can hold."""
        client = self.client
        self._end(AttemptOutcome.CANCELLED, now)
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

    def _end(self, ending: AttemptOutcome, now: int) -> None:
        self.close()
        self.owner.attempt_ended(ending, self.report, now)
