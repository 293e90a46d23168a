"""Health checks of one upstream, sent over one connection that is kept for as long as it answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limerudder.core.line_framing import LineError, LineFramer
from limerudder.core.transport import OutboundMachineBase
from limerudder.core.upstream.load_report import parse_report
from limerudder.policy.events import AttemptOutcome

PING_REQUEST = b"PING\r\n"
STATS_REQUEST = b"STATS\r\n"  #: answered with a load report

#: Called with latency (us), outcome, load report and time (us) of each health check.
ResultCallback = Callable[[int, AttemptOutcome, tuple[float, ...], int], None]


class HealthCheckConnection(OutboundMachineBase):
    """The state machine of a connection that carries health checks, answered in the order they are sent."""

    def __init__(self, report_fields: Sequence[str], on_result: ResultCallback) -> None:
        self.done = False
        self.asked: list[int] = []  # when each unanswered check was sent, in us
        self._report_fields = report_fields
        self._on_result = on_result
        self._request = STATS_REQUEST if report_fields else PING_REQUEST
        self._framer = LineFramer()
        self._established = False

    def ask(self, now: int) -> None:
        """Send one more check; the first goes out once the connection is established."""
        self.asked.append(now)
        if self._established and self.link:
            self.link.write(self._request)

    def overdue(self, since: int, now: int) -> None:
        """If a check sent by `since` is unanswered, time out all checks and close the connection."""
        if self.asked and self.asked[0] <= since:
            self._fail(AttemptOutcome.TIMEOUT, now)

    def close(self) -> None:
        """Close the connection; nothing more is reported."""
        self.done = True
        self.asked = []
        if self.link:
            self.link.close()

    # called by the driver

    def opening(self, now: int) -> bytes:
        """All checks that were requested while the connection was being established."""
        # The time the connection took says nothing of the upstream's work.
        self.asked = [now] * len(self.asked)
        self._established = True
        return self._request * len(self.asked)

    def feed(self, data: bytes, now: int) -> None:
        """Answers have come."""
        try:
            lines = self._framer.feed(data)
        except LineError:
            return self._fail(AttemptOutcome.ERROR, now)
        for line in lines:
            if self.done:
                return
            self._read_answer(line, now)

    def eof(self, now: int) -> None:
        """The upstream has ended the connection."""
        self._fail(AttemptOutcome.RESET, now)

    def lost(self, now: int) -> None:
        """The connection broke, or could not be established."""
        self._fail(AttemptOutcome.RESET if self._established else AttemptOutcome.CONNECT_FAILED, now)

    def _read_answer(self, line: bytes, now: int) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"PONG" and self.asked:
            latency_us = now - self.asked.pop(0)
            self._on_result(latency_us, AttemptOutcome.OK, parse_report(rest, self._report_fields), now)
        else:
            self._fail(AttemptOutcome.FULL if word == b"BUSY" else AttemptOutcome.ERROR, now)

    def _fail(self, outcome: AttemptOutcome, now: int) -> None:
        """Close the connection, then report every unanswered check with this outcome."""
        pending = self.asked
        self.close()
        for sent_at in pending:
            self._on_result(now - sent_at, outcome, (), now)
