"""State machine of a line-protocol attempt at an upstream, from the request to the end of the connection."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite
from typing import Protocol

from limerudder.core.line_framing import LINE_END, LineError, LineFramer
from limerudder.core.ports import AttemptObserver
from limerudder.core.progress_timeout import DELIVERY_TIMEOUT_US, ProgressLimits, ProgressTimeout
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import OutboundMachineBase, Transport
from limerudder.core.upstream.load_report import parse_report
from limerudder.policy.events import AttemptOutcome

MESSAGE_TIMEOUT_US = 2_500_000  #: Answer timeout of a message; detects a stream that stopped without an error
MAX_MESSAGE_WAIT_US = 6_000_000  #: Limit of the wait for an answer while the upstream still takes in bytes
#: Time without progress, after the client has ended its side, for an upstream that has answered all messages
UPSTREAM_CLOSE_TIMEOUT_US = 700_000
LOAD_PREFIX = b"LOAD "

#: Outcome of a proxied connection by the first word of the last line from its upstream.
_OUTCOME_BY_LAST_WORD = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}


class ServedClient(Protocol):
    """The client side of a proxied connection, as its attempt uses it."""

    transport: Transport | None

    def send(self, data: bytes) -> None:
        """Send data to the client."""

    def migrate(self, now_us: int) -> None:
        """Request that the client reconnect, and end its connection."""

    def upstream_ended(self, now_us: int) -> None:
        """The upstream has ended its side."""

    def upstream_close_timed_out(self, now_us: int) -> None:
        """The upstream has not ended its side in time after the client had ended its own."""

    def upstream_reset(self) -> None:
        """The upstream's connection broke."""


class LineAttempt(OutboundMachineBase):
    """State machine of one upstream connection. Reports its end to its observer exactly once."""

    def __init__(
        self, observer: AttemptObserver, line: bytes, report_fields: Sequence[str], timer_wheel: TimerWheel
    ) -> None:
        self.observer = observer
        self.line = line  # The request, including its line end
        self.sent = False  # Whether the request was sent: from then on the upstream may have received it
        self.ended = False
        self.oldest_unanswered_us: int | None = None  # Send time of the client's oldest unanswered message
        self.last_received_us = 0  # Time of the last data from the upstream
        self._report_fields = report_fields
        self._client: ServedClient | None = None
        self._framer = LineFramer()
        self._established = False
        self._client_has_ended = False  # Whether the client has ended its side
        self._last_word = b""
        self._report: tuple[float, ...] = ()
        self._unanswered_lines = 0  # the client's messages, less the lines that came back since
        self._progress_timeout = ProgressTimeout(timer_wheel)
        self._reading_paused = False  # whether the client reads too slowly for more of the upstream's data
        self._answer_outstanding = False  # whether a message is unanswered while reading is paused
        self._pause_timer = ResettableTimer(timer_wheel)

    # Called by the driver

    def first_bytes(self, now_us: int) -> bytes:
        """Return the request if it may still be sent; otherwise the observer has closed this attempt."""
        return self.line if self.observer.attempt_ready(now_us) else b""

    def first_bytes_sent(self, now_us: int) -> None:
        """The request is sent: from now on the upstream may have received it."""
        self.sent = True
        self.observer.attempt_sent(now_us)

    def data_received(self, data: bytes, now_us: int) -> None:
        """The upstream has sent data: first its answer to the request, then data for the client."""
        if self.ended:
            return
        self.last_received_us = now_us
        if self._client_has_ended:
            self._progress_timeout.record_progress(now_us)
        try:
            block = self._framer.feed_block(data)
        except LineError:
            self._fail(AttemptOutcome.ERROR, now_us)
            return
        if not block:
            return
        if not self._established:
            self._read_answer(block.partition(LINE_END)[0], now_us)
            if self.ended:
                return
        if self._client:
            # Only complete lines are forwarded, unchanged, including LOAD and BYE: MOVE never splits a line.
            self._client.send(block)
        self._read_block(block, now_us)
        if self._client_has_ended:
            self._limit_close(now_us)

    def eof_received(self, now_us: int) -> None:
        """The upstream has ended its side."""
        if self.ended:
            return
        client = self._client
        if client and self._framer.partial_line:
            client.send(self._framer.partial_line)
        self._end(self._outcome(), now_us)
        if client:
            client.upstream_ended(now_us)

    def connection_lost(self, now_us: int) -> None:
        """The connection broke, or could not be established."""
        if not self.ended:
            self._fail(self._outcome(), now_us)

    def set_writing_paused(self, paused: bool) -> None:
        """Pause reading from the client while the upstream reads slowly; resume afterwards."""
        if self._client and self._client.transport:
            self._client.transport.set_reading_paused(paused)

    # Called by the client's session

    def serve(self, client: ServedClient) -> None:
        """Serve this client: data from the upstream is forwarded to it from now on."""
        self._client = client

    def send(self, data: bytes, now_us: int) -> None:
        """Forward the client's data to the upstream."""
        if not self.transport or self.ended:
            return
        line_count = data.count(b"\n")
        self._unanswered_lines += line_count
        if line_count and self._reading_paused:
            self._answer_outstanding = True
        elif line_count and self.oldest_unanswered_us is None:
            self._await_answer(now_us)
        self.transport.write(data)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading from the upstream, whose time to answer does not run meanwhile."""
        if not self.transport or self.ended or paused == self._reading_paused:
            return
        self.transport.set_reading_paused(paused)
        self._reading_paused = paused
        if self._client_has_ended:
            return  # the limit on the upstream's close watches the client's progress too
        if paused:
            self._answer_outstanding = self.oldest_unanswered_us is not None
            self.oldest_unanswered_us = None
            self._progress_timeout.cancel()
        self._pause_timer.set(0, self._limit_paused_wait)

    def client_ended(self, now_us: int) -> None:
        """The client has ended its side: end this side too. The upstream may still send its last lines."""
        if self.transport and not self._client_has_ended and not self.ended:
            self._client_has_ended = True
            self.transport.half_close()
            # An answer that is still outstanding must not cancel the timer set here.
            self.oldest_unanswered_us = None
            self._progress_timeout.cancel()
            self._pause_timer.cancel()
            self._limit_close(now_us)

    def client_reset(self) -> None:
        """The client's connection broke: reset the upstream's."""
        if self.transport and not self.ended:
            self.transport.reset()
        self.close()

    # Called by the node

    def end_unresponsive(self, now_us: int) -> None:
        """The upstream is silent: migrate its client. The outcome does not count as a lack of capacity."""
        client = self._client
        self._end(AttemptOutcome.CANCELLED, now_us)
        if client and self._client_has_ended:
            client.upstream_close_timed_out(now_us)
        elif client:
            client.migrate(now_us)

    def close(self) -> None:
        """Close the connection at once; the observer is not notified."""
        self.ended = True
        self._progress_timeout.cancel()
        self._pause_timer.cancel()
        self._client = None
        if self.transport:
            self.transport.close()

    # Parsing of lines from the upstream

    def _read_answer(self, line: bytes, now_us: int) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"UP" and rest:
            self._established = True
            self.observer.attempt_established(now_us)
        elif word in (b"ERR", b"BUSY"):
            self._report = parse_report(rest, self._report_fields)
            self._end(AttemptOutcome.ERROR if word == b"ERR" else AttemptOutcome.FULL, now_us)
        else:
            self._end(AttemptOutcome.ERROR, now_us)

    def _read_block(self, block: bytes, now_us: int) -> None:
        """Read complete lines. One read may hold thousands, so no step is taken for each of them."""
        last_line = block.removesuffix(LINE_END).rpartition(LINE_END)[2]
        self._last_word, _, rest = last_line.partition(b" ")
        if self._last_word == b"BYE":
            self._report = parse_report(rest, self._report_fields)
        last_load_start = _last_load_start(block)
        load_count = 0 if last_load_start < 0 else _count_load_lines(block)
        if self._unanswered_lines or self.oldest_unanswered_us is not None:
            self._read_answers(block.count(b"\n") - load_count, now_us)
        if last_load_start >= 0:
            self._read_load(block[last_load_start : block.index(LINE_END, last_load_start)], now_us)

    def _read_answers(self, line_count: int, now_us: int) -> None:
        """Read this number of lines, each of which may answer a message of the client."""
        if not line_count:
            return
        self._unanswered_lines = max(self._unanswered_lines - line_count, 0)
        self._answer_outstanding = False
        if self.oldest_unanswered_us is not None:
            latency_us = now_us - self.oldest_unanswered_us
            self.oldest_unanswered_us = None
            self._progress_timeout.cancel()
            self.observer.attempt_latency_measured(latency_us, now_us)

    def _read_load(self, line: bytes, now_us: int) -> None:
        """Report the load in the last LOAD line of a block; those before it are outdated already."""
        try:
            load = float(line.removeprefix(LOAD_PREFIX))
        except ValueError:
            return
        if isfinite(load):
            self.observer.attempt_load_reported(load, now_us)

    # Limits on the upstream's silence

    def _await_answer(self, now_us: int) -> None:
        """Limit the time to the answer of a message that is about to be written."""
        if self.transport:
            self.oldest_unanswered_us = now_us
            limits = ProgressLimits(MESSAGE_TIMEOUT_US, MESSAGE_TIMEOUT_US, MAX_MESSAGE_WAIT_US)
            self._progress_timeout.start([self.transport], limits, now_us, self.end_unresponsive)

    def _limit_paused_wait(self, now_us: int) -> None:
        """Limit the client's time without progress while reading is paused, or the upstream's afterwards."""
        if not self._answer_outstanding or not self._client or not self._client.transport:
            return
        if self._reading_paused:
            limits = ProgressLimits(DELIVERY_TIMEOUT_US)
            self._progress_timeout.start([self._client.transport], limits, now_us, self.end_unresponsive)
        else:
            self._answer_outstanding = False
            self._await_answer(now_us)

    def _limit_close(self, now_us: int) -> None:
        """Limit the time without progress in either direction until the upstream ends its side."""
        limits = ProgressLimits(MESSAGE_TIMEOUT_US if self._unanswered_lines else UPSTREAM_CLOSE_TIMEOUT_US)
        if self.ended or limits == self._progress_timeout.limits:
            return
        client_transport = self._client.transport if self._client else None
        transports = [transport for transport in (self.transport, client_transport) if transport]
        self._progress_timeout.start(transports, limits, now_us, self.end_unresponsive)

    # Outcomes and the end of the connection

    def _outcome(self) -> AttemptOutcome:
        """Return the outcome of a connection that ended without an ERR or BUSY answer."""
        if not self._established:
            return AttemptOutcome.RESET if self.sent else AttemptOutcome.CONNECT_FAILED
        default = AttemptOutcome.CANCELLED if self._client_has_ended else AttemptOutcome.RESET
        return _OUTCOME_BY_LAST_WORD.get(self._last_word, default)

    def _fail(self, outcome: AttemptOutcome, now_us: int) -> None:
        client = self._client
        self._end(outcome, now_us)
        if client and outcome in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            client.upstream_ended(now_us)
        elif client:
            client.upstream_reset()

    def _end(self, outcome: AttemptOutcome, now_us: int) -> None:
        self.close()
        self.observer.attempt_ended(outcome, self._report, now_us)


def _last_load_start(block: bytes) -> int:
    """Return where the last LOAD line of a block of lines begins, or -1 if there is none."""
    line_end = block.rfind(LINE_END + LOAD_PREFIX)
    if line_end >= 0:
        return line_end + len(LINE_END)
    return 0 if block.startswith(LOAD_PREFIX) else -1


def _count_load_lines(block: bytes) -> int:
    return block.count(LINE_END + LOAD_PREFIX) + block.startswith(LOAD_PREFIX)
