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
        self.up = self.done = False
        self.asked: list[int] = []  # when each probe that is out was asked

    def ask(self, now: int) -> None:
        """Ask once more; the first question goes out as the connection comes up."""
        self.asked.append(now)
        if self.up and self.link:
            self.link.write(self.word)

    def opening(self, now: int) -> bytes:
        """All that was asked while the connection was set up."""
        self.asked = [now] * len(self.asked)  # what setting up took says nothing of the upstream's work
        self.up = True
        return self.word * len(self.asked)

    def feed(self, data: bytes, now: int) -> None:
        """Answers, in the order of the questions."""
        try:
            lines = self.framer.feed(data)
        except LineError:
            return self._end(AttemptOutcome.ERROR, now)
        for line in lines:
            if self.done:
                return
            word, _, rest = line.partition(b" ")
            if word == b"PONG" and self.asked:
                self.heard(now - self.asked.pop(0), AttemptOutcome.OK, parse_report(rest, self.fields), now)
            else:
                self._end(AttemptOutcome.FULL if word == b"BUSY" else AttemptOutcome.ERROR, now)

    def eof(self, now: int) -> None:
        """The upstream has ended the connection."""
        self._end(AttemptOutcome.RESET, now)

    def lost(self, now: int) -> None:
        """The connection broke or never came up."""
        self._end(AttemptOutcome.RESET if self.up else AttemptOutcome.CONNECT_FAILED, now)

    def overdue(self, since: int, now: int) -> None:
        """Give up what was asked before `since` and is not answered, and the connection with it."""
        if self.asked and self.asked[0] <= since:
            self._end(AttemptOutcome.TIMEOUT, now)

    def _end(self, ending: AttemptOutcome, now: int) -> None:
        asked = self.asked
        self.close()
        for at in asked:
            self.heard(now - at, ending, (), now)

    def close(self) -> None:
        """No longer wanted; nothing more is heard."""
        self.done, self.asked = True, []
        if self.link:
            self.link.close()
