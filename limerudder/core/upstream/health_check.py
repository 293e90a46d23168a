"""Probes of one upstream, asked over one connection that is kept for as long as it answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limerudder.core.line_framing import LineError, LineFramer
from limerudder.core.transport import OutboundMachineBase
from limerudder.core.upstream.load_report import parse_report
from limerudder.policy.events import AttemptOutcome

Heard = Callable[[int, AttemptOutcome, tuple[float, ...], int], None]


class HealthCheckConnection(OutboundMachineBase):
    """A connection that carries probes; `heard` gets latency, ending, report and the time of each."""

    def __init__(self, fields: Sequence[str], heard: Heard) -> None:
        self.fields, self.heard = fields, heard
        self.word = b"STATS\r\n" if fields else b"PING\r\n"
        self.framer = LineFramer()
        self.up = self.ended = False
        self.pending_since_us: list[int] = []  # when each probe that is out was asked

    def send_check(self, now: int) -> None:
        """Ask once more; the first question goes out as the connection comes up."""
        self.pending_since_us.append(now)
        if self.up and self.transport:
            self.transport.write(self.word)

    def first_bytes(self, now: int) -> bytes:
        """All that was asked while the connection was set up."""
        self.pending_since_us = [now] * len(
            self.pending_since_us
        )  # what setting up took says nothing of the upstream's work
        self.up = True
        return self.word * len(self.pending_since_us)

    def data_received(self, data: bytes, now: int) -> None:
        """Answers, in the order of the questions."""
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._end(AttemptOutcome.ERROR, now)
        for line in lines:
            if self.ended:
                return
            word, _, rest = line.partition(b" ")
            if word == b"PONG" and self.pending_since_us:
                self.heard(
                    now - self.pending_since_us.pop(0),
                    AttemptOutcome.OK,
                    parse_report(rest, self.fields),
                    now,
                )
            else:
                self._end(AttemptOutcome.FULL if word == b"BUSY" else AttemptOutcome.ERROR, now)

    def eof_received(self, now: int) -> None:
        """The upstream has ended the connection."""
        self._end(AttemptOutcome.RESET, now)

    def connection_lost(self, now: int) -> None:
        """The connection broke or never came up."""
        self._end(AttemptOutcome.RESET if self.up else AttemptOutcome.CONNECT_FAILED, now)

    def expire_pending(self, since: int, now: int) -> None:
        """Give up what was asked before `since` and is not answered, and the connection with it."""
        if self.pending_since_us and self.pending_since_us[0] <= since:
            self._end(AttemptOutcome.TIMEOUT, now)

    def _end(self, ending: AttemptOutcome, now: int) -> None:
        asked = self.pending_since_us
        self.close()
        for at in asked:
            self.heard(now - at, ending, (), now)

    def close(self) -> None:
        """No longer wanted; nothing more is heard."""
        self.ended, self.pending_since_us = True, []
        if self.transport:
            self.transport.close()
