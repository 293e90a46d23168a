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

MESSAGE_TIMEOUT_US = 2_500_000  #: a message unanswered for so long: its stream has stopped without an error
UPSTREAM_CLOSE_TIMEOUT_US = 700_000  #: for an upstream to end its side after the client has ended its own
LINE_END = b"\r\n"

#: How a proxied connection has ended, by the last word its upstream sent.
_OUTCOME_BY_LAST_WORD = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}


class ServedClient(Protocol):
    """The client's side, as the attempt that serves it uses it."""

    link: Transport | None

    def pass_on(self, data: bytes) -> None:
        """Send data to the client."""

    def move(self, now: int) -> None:
        """Ask the client to connect again, and end its connection."""

    def end(self, now: int) -> None:
        """The upstream has ended its side."""

    def break_off(self) -> None:
        """The upstream's connection broke."""


class LineAttempt(OutboundMachineBase):
    """The state machine of one upstream connection. It tells its owner of its end exactly once."""

    def __init__(self, owner: AttemptObserver, line: bytes, fields: Sequence[str], wheel: TimerWheel) -> None:
        self.owner = owner
        self.line = line  # the request, with its line end
        self.out = False  # the request is written: from here on the upstream may have it
        self.done = False
        self.asked: int | None = None  # when the client's oldest unanswered message was sent
        self.heard = 0  # when the upstream last sent anything
        self._report_fields = fields
        self._client: ServedClient | None = None
        self._framer = LineFramer()
        self._established = False
        self._client_ended = False  # the client has ended its side
        self._last_word = b""
        self._report: tuple[float, ...] = ()
        self._timer = ResettableTimer(wheel)

    # called by the driver

    def opening(self, now: int) -> bytes:
        """The request, if it may still be sent; otherwise the owner has closed this attempt."""
        return self.line if self.owner.attempt_ready(now) else b""

    def written(self) -> None:
        """From here on the upstream may have the request."""
        self.out = True
        self.owner.attempt_sent()

    def feed(self, data: bytes, now: int) -> None:
        """The upstream has sent data: its answer first, then what it has for the client."""
        if self.done:
            return
        self.heard = now
        try:
            lines = self._framer.feed(data)
        except LineError:
            return self._fail(AttemptOutcome.ERROR, now)
        if not lines:
            return
        if not self._established:
            self._read_answer(lines[0], now)
            if self.done:
                return
        if self._client:
            # Complete lines only, unchanged, LOAD and BYE among them: so a MOVE never cuts a line.
            self._client.pass_on(b"".join(line + LINE_END for line in lines))
        for line in lines:
            self._read_line(line, now)

    def eof(self, now: int) -> None:
        """The upstream has ended its side."""
        if self.done:
            return
        client = self._client
        if client and self._framer.rest:
            client.pass_on(self._framer.rest)
        self._end(self._outcome(), now)
        if client:
            client.end(now)

    def lost(self, now: int) -> None:
        """The connection broke, or could not be established."""
        if not self.done:
            self._fail(self._outcome(), now)

    def crowded(self, on: bool) -> None:
        """The upstream reads slowly: its client is read no faster."""
        if self._client and self._client.link:
            self._client.link.hold(on)

    # called by the client's session

    def join(self, client: ServedClient) -> None:
        """Serve the client: from now on, what the upstream sends goes there."""
        self._client = client

    def send(self, data: bytes, now: int) -> None:
        """Pass the client's data on to the upstream."""
        if not self.link or self.done:
            return
        self.link.write(data)
        if self.asked is None and b"\n" in data:
            self.asked = now
            self._timer.set(now + MESSAGE_TIMEOUT_US, self.vanish)

    def finish(self, now: int) -> None:
        """The client has ended its side: end this one. The upstream may still send its last lines."""
        if self.link and not self._client_ended and not self.done:
            self._client_ended = True
            self.link.finish()
            self.asked = None  # so that an answer still to come does not cancel the timer set here
            self._timer.set(now + UPSTREAM_CLOSE_TIMEOUT_US, self.vanish)

    def reset(self) -> None:
        """The client's connection broke: reset this one."""
        if self.link and not self.done:
            self.link.reset()
        self.close()

    # called by the node

    def vanish(self, now: int) -> None:
        """The upstream is silent: migrate its client. The outcome is not held against its capacity."""
        client = self._client
        self._end(AttemptOutcome.CANCELLED, now)
        if client and self._client_ended:
            client.end(now)
        elif client:
            client.move(now)

    def close(self) -> None:
        """Close the connection at once; the owner is not told."""
        self.done = True
        self._timer.stop()
        self._client = None
        if self.link:
            self.link.close()

    # what the upstream says

    def _read_answer(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"UP" and rest:
            self._established = True
            self.owner.attempt_established(now)
        elif word in (b"ERR", b"BUSY"):
            self._report = parse_report(rest, self._report_fields)
            self._end(AttemptOutcome.ERROR if word == b"ERR" else AttemptOutcome.FULL, now)
        else:
            self._end(AttemptOutcome.ERROR, now)

    def _read_line(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        self._last_word = word
        if word == b"LOAD":
            self._read_load(rest, now)
            return
        if word == b"BYE":
            self._report = parse_report(rest, self._report_fields)
        if self.asked is not None:
            latency_us = now - self.asked
            self.asked = None
            self._timer.stop()
            self.owner.attempt_latency_measured(latency_us, now)

    def _read_load(self, text: bytes, now: int) -> None:
        try:
            load = float(text)
        except ValueError:
            return
        if isfinite(load):
            self.owner.attempt_load_reported(load, now)

    # endings

    def _outcome(self) -> AttemptOutcome:
        """How a connection that has ended without an answer of ERR or BUSY has ended."""
        if not self._established:
            return AttemptOutcome.RESET if self.out else AttemptOutcome.CONNECT_FAILED
        otherwise = AttemptOutcome.CANCELLED if self._client_ended else AttemptOutcome.RESET
        return _OUTCOME_BY_LAST_WORD.get(self._last_word, otherwise)

    def _fail(self, outcome: AttemptOutcome, now: int) -> None:
        client = self._client
        self._end(outcome, now)
        if client and outcome in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            client.end(now)
        elif client:
            client.break_off()

    def _end(self, outcome: AttemptOutcome, now: int) -> None:
        self.close()
        self.owner.attempt_ended(outcome, self._report, now)
