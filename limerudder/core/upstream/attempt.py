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

    transport: Transport | None

    def pass_on(self, data: bytes) -> None:
        """Bytes for the client."""

    def migrate(self, now: int) -> None:
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
        self.sent = self.up = self.ended = False  # sent: the last byte of its line is written
        self.leaving = False  # the client has ended its side
        self.last = b""
        self.report: tuple[float, ...] = ()
        self.oldest_unanswered_us: int | None = (
            None  # when the client's oldest unanswered message was passed on
        )
        self.last_received_us = 0  # when the upstream's last word came
        self.timer = ResettableTimer(wheel)

    # from the driver

    def first_bytes(self, now: int) -> bytes:
        """The client's line, if it may still be sent."""
        return self.line if self.owner.attempt_ready(now) else b""

    def first_bytes_sent(self) -> None:
        """From here on the upstream may have it."""
        self.sent = True
        self.owner.attempt_sent()

    def data_received(self, data: bytes, now: int) -> None:
        """Lines from the upstream: its answer first, then what it has for the client."""
        if self.ended:
            return
        self.last_received_us = now
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._broken(now, AttemptOutcome.ERROR)
        if lines and not self.up:
            self._answer(lines[0], now)
            if self.ended:
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
        if self.oldest_unanswered_us is not None:
            took, self.oldest_unanswered_us = now - self.oldest_unanswered_us, None
            self.timer.cancel()
            self.owner.attempt_latency_measured(took, now)

    def eof_received(self, now: int) -> None:
        """The upstream has ended its side."""
        if self.ended:
            return
        if self.client and self.framer.partial_line:
            self.client.pass_on(self.framer.partial_line)
        client = self.client
        self._end(self._how(), now)
        if client:
            client.end(now)

    def connection_lost(self, now: int) -> None:
        """The connection broke, or never came up."""
        if not self.ended:
            self._broken(now, self._how())

    def _how(self) -> AttemptOutcome:
        if not self.up:
            return AttemptOutcome.RESET if self.sent else AttemptOutcome.CONNECT_FAILED
        said = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}
        return said.get(self.last, AttemptOutcome.CANCELLED if self.leaving else AttemptOutcome.RESET)

    def _broken(self, now: int, ending: AttemptOutcome) -> None:
        client = self.client
        self._end(ending, now)
        if client and ending in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            client.end(now)
        elif client:
            client.break_off()

    def set_writing_paused(self, on: bool) -> None:
        """The upstream reads slowly: its client is read no faster."""
        if self.client and self.client.transport:
            self.client.transport.set_reading_paused(on)

    # from the client session

    def join(self, client: ServedClient) -> None:
        """The attempt serves: what comes from the upstream goes to the client."""
        self.client = client

    def send(self, data: bytes, now: int) -> None:
        """Bytes from the client for the upstream, passed on as they come."""
        if not self.transport or self.ended:
            return
        self.transport.write(data)
        if self.oldest_unanswered_us is None and b"\n" in data:
            self.oldest_unanswered_us = now
            self.timer.set(now + SILENT, self.upstream_silent)

    def finish(self, now: int) -> None:
        """The client has ended its side: so does this one, and the upstream may have its last words."""
        if self.transport and not self.leaving and not self.ended:
            self.leaving = True
            self.transport.half_close()
            self.oldest_unanswered_us = (
                None  # guards this wait: an answer still to come would take the timer back
            )
            self.timer.set(now + LAST_WORDS, self.upstream_silent)

    def reset(self) -> None:
        """The client's side broke: so does this one."""
        if self.transport and not self.ended:
            self.transport.reset()
        self.close()

    def upstream_silent(self, now: int) -> None:
        """The upstream is silent: its client is moved. That tells nothing of what the upstream can hold."""
        client = self.client
        self._end(AttemptOutcome.CANCELLED, now)
        if client and self.leaving:
            client.end(now)
        elif client:
            client.migrate(now)

    # endings

    def close(self) -> None:
        """Give up: the connection is closed before anything else can be sent."""
        self.ended = True
        self.timer.cancel()
        self.client = None
        if self.transport:
            self.transport.close()

    def _end(self, ending: AttemptOutcome, now: int) -> None:
        self.close()
        self.owner.attempt_ended(ending, self.report, now)
