"""Health checks of one upstream, over one connection that stays open while the upstream answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limerudder.core.line_framing import LineError, LineFramer
from limerudder.core.transport import OutboundMachineBase
from limerudder.core.upstream.load_report import parse_report
from limerudder.policy.events import AttemptOutcome

PING_REQUEST = b"PING\r\n"
STATS_REQUEST = b"STATS\r\n"  #: Health check that is answered with a load report

#: Callback with the latency (us), outcome, load report and time (us) of each health check.
ResultCallback = Callable[[int, AttemptOutcome, tuple[float, ...], int], None]


class HealthCheckConnection(OutboundMachineBase):
    """State machine of a connection for health checks, which are answered in the order they are sent."""

    def __init__(
        self,
        report_fields: Sequence[str],
        on_result: ResultCallback,
        on_end: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_end` is called once, when the connection is closed or lost."""
        self.ended = False
        self.pending_since_us: list[int] = []  # Send time of each unanswered check, in us
        self._report_fields = report_fields
        self._on_result = on_result
        self._on_end = on_end
        self._request = STATS_REQUEST if report_fields else PING_REQUEST
        self._framer = LineFramer()
        self._established = False

    def send_check(self, now_us: int) -> None:
        """Send a check, or queue it until the connection is established."""
        self.pending_since_us.append(now_us)
        if self._established and self.transport:
            self.transport.write(self._request)

    def expire_pending(self, since_us: int, now_us: int) -> None:
        """Close the connection and time out all checks if one sent at or before `since_us` is unanswered."""
        if self.pending_since_us and self.pending_since_us[0] <= since_us:
            self._fail(AttemptOutcome.TIMEOUT, now_us)

    def close(self) -> None:
        """Close the connection; no further results are reported."""
        has_ended = self.ended
        self.ended = True
        self.pending_since_us = []
        if self.transport:
            self.transport.close()
        if not has_ended:
            self._on_end()

    # Called by the driver

    def first_bytes(self, now_us: int) -> bytes:
        """Return all checks that were queued while the connection was being established."""
        # Latency excludes the time to connect, which is no measure of the upstream's load.
        self.pending_since_us = [now_us] * len(self.pending_since_us)
        self._established = True
        return self._request * len(self.pending_since_us)

    def data_received(self, data: bytes, now_us: int) -> None:
        """The upstream has sent answers."""
        try:
            lines = self._framer.feed(data)
        except LineError:
            self._fail(AttemptOutcome.ERROR, now_us)
            return
        for line in lines:
            if self.ended:
                return
            self._read_answer(line, now_us)

    def eof_received(self, now_us: int) -> None:
        """The upstream has ended the connection."""
        self._fail(AttemptOutcome.RESET, now_us)

    def connection_lost(self, now_us: int) -> None:
        """The connection broke, or could not be established."""
        self._fail(AttemptOutcome.RESET if self._established else AttemptOutcome.CONNECT_FAILED, now_us)

    def _read_answer(self, line: bytes, now_us: int) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"PONG" and self.pending_since_us:
            latency_us = now_us - self.pending_since_us.pop(0)
            self._on_result(latency_us, AttemptOutcome.OK, parse_report(rest, self._report_fields), now_us)
        else:
            self._fail(AttemptOutcome.FULL if word == b"BUSY" else AttemptOutcome.ERROR, now_us)

    def _fail(self, outcome: AttemptOutcome, now_us: int) -> None:
        """Close the connection, then report every unanswered check with this outcome."""
        pending = self.pending_since_us
        self.close()
        for sent_at in pending:
            self._on_result(now_us - sent_at, outcome, (), now_us)
