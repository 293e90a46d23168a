"""The client session of the line protocol, from the first line to the end of proxying."""

from __future__ import annotations

from limerudder.core.client import responses
from limerudder.core.client.connection import ClientConnection, ClientState
from limerudder.core.client.open_line import (
    EarlyDataError,
    FirstLineBuffer,
    OpenLineError,
    format_attempt_line,
    parse_open_line,
)
from limerudder.core.client.request_handler import RequestHandler, RequestObserver
from limerudder.core.operations.counters import CounterName
from limerudder.core.ports import Attempt, AttemptObserver, ConnectRequest
from limerudder.core.transport import Transport
from limerudder.core.upstream.attempt import LineAttempt

FIRST_LINE_TIMEOUT_US = 2_500_000  #: Timeout of a first line; clients expect an answer or a close within 3 s
PING_IDLE_TIMEOUT_US = 30_000_000  #: Maximum time from a PONG to the start of the next line
PING_LINE = b"PING"


class LineSession(ClientConnection):
    """The state machine of a client connection that uses the line protocol."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler.admission, handler.counters, handler.timer_wheel)
        self.first_line = FirstLineBuffer()
        self.attempt: LineAttempt | None = None  # the attempt that serves this client
        self._handler = handler
        self._observer: RequestObserver | None = None
        self._ping_idle = False  # a PING was answered, and no further line has started

    # called by the driver

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Handle a new client connection."""
        self.transport = transport
        if self._admission.admit(self, now_us):
            self._start_line_timeout(now_us)
        else:
            self._finish(responses.BUSY, now_us)

    def data_received(self, data: bytes, now_us: int) -> None:
        """Handle data from the client."""
        if self._state is ClientState.PROXYING and self.attempt:
            self.attempt.send(data, now_us)
        elif self._state is ClientState.READING_LINE:
            self._read_line(data, now_us)
        elif self._state is ClientState.AWAITING_ANSWER:
            self._reject_early_data(now_us)
        elif self.transport:
            self._discard(data)

    def eof_received(self, now_us: int) -> None:
        """Handle the end of the client's data."""
        if self._state is ClientState.PROXYING and self.attempt:
            self.attempt.client_ended(now_us)
        elif self._state is not ClientState.CLOSING or not self.has_undelivered_data():
            self._disconnect(now_us)

    def connection_lost(self, now_us: int) -> None:
        """Handle the loss of the connection."""
        if self._state is ClientState.PROXYING and self.attempt:
            self.attempt.client_reset()
        self._disconnect(now_us)

    def set_writing_paused(self, paused: bool) -> None:
        """Apply backpressure from a slow client to its upstream, or to its own data until it has one."""
        if self.attempt:
            self.attempt.set_reading_paused(paused)
        elif self.transport and self._state in (ClientState.READING_LINE, ClientState.AWAITING_ANSWER):
            # Disconnects are detected only while reading, so reading continues until the answer.
            self.transport.set_reading_paused(paused and self._state is ClientState.READING_LINE)

    # called by the node

    def new_attempt(self, observer: AttemptObserver, timeout_us: int | None) -> LineAttempt:
        """Return an attempt that sends the client's line, with the node's timeout for the answer."""
        line = format_attempt_line(self.first_line.line, timeout_us)
        return LineAttempt(observer, line, self._handler.report_fields, self._handler.timer_wheel)

    def start_proxying(self, attempt: Attempt, now_us: int) -> None:
        """Relay the upstream's final answer, and then data in both directions."""
        assert isinstance(attempt, LineAttempt)
        if self._state is not ClientState.AWAITING_ANSWER:
            return
        self._state = ClientState.PROXYING
        self.attempt = attempt
        attempt.serve(self)

    def reject(self, retry_after_us: int, now_us: int) -> None:
        """Send the final answer to a rejected request, with a retry delay if `retry_after_us` is not 0."""
        if self._state is ClientState.AWAITING_ANSWER:
            self._finish(responses.format_busy(retry_after_us), now_us)

    def fail(self, now_us: int) -> None:
        """Send the final answer to a failed request."""
        if self._state is ClientState.AWAITING_ANSWER:
            self._finish(responses.ERROR, now_us)

    def migrate(self, now_us: int) -> None:
        """Send MOVE to a proxied client. Only complete lines are relayed, so MOVE never splits one."""
        if self._state is ClientState.PROXYING:
            self._finish(responses.MOVE, now_us)

    def check_disconnected(self, now_us: int) -> None:
        """Detect a disconnect that is hidden behind unread data."""
        if self._state is not ClientState.AWAITING_ANSWER or not self.transport:
            return
        if self.transport.has_disconnected():
            self._counters.increment(CounterName.CLIENTS_DISCONNECTED_UNREAD)
            self._disconnect(now_us)

    # called by the attempt that serves this client

    def send(self, data: bytes) -> None:
        """Send the upstream's data to the client."""
        if self.transport:
            self.transport.write(data)

    def upstream_ended(self, now_us: int) -> None:
        """Close this connection after the upstream has ended its side."""
        self._finish(b"", now_us)

    def upstream_close_timed_out(self, now_us: int) -> None:
        """Close this connection, whose upstream did not end its side after this one had ended."""
        self._counters.increment(CounterName.UPSTREAM_CLOSES_TIMED_OUT)
        self._finish(b"", now_us)

    def upstream_reset(self) -> None:
        """Reset this connection after the upstream's connection was lost."""
        self._reset()

    # the first line

    def _read_line(self, data: bytes, now_us: int) -> None:
        if self._ping_idle and not self.first_line.line:
            self._start_line_timeout(now_us)
        try:
            if not self.first_line.feed(data):
                return
            line = self.first_line.line
            request = None if line == PING_LINE else parse_open_line(line)
        except OpenLineError as error:
            self._answer_error(error.counter, now_us)
            return
        if request is None:
            self._answer_ping(now_us)
        elif self.transport and self.transport.has_disconnected():
            # its data and its end have arrived together: nobody waits for an answer
            self._counters.increment(CounterName.CLIENTS_DISCONNECTED_UNREAD)
            self._close()
        else:
            self._submit(request, now_us)

    def _answer_ping(self, now_us: int) -> None:
        self._counters.increment(CounterName.PINGS)
        self.first_line.clear()
        self._ping_idle = True
        self.send(responses.PONG)
        self._admission.mark_idle(self)
        self._timer.set(now_us + PING_IDLE_TIMEOUT_US, self._time_out)

    def _submit(self, request: ConnectRequest, now_us: int) -> None:
        self._state = ClientState.AWAITING_ANSWER
        self._timer.cancel()
        self._admission.mark_active(self)
        self._observer = self._handler.accept_request(self, request, now_us)
        if self._observer is None:
            self._finish(responses.ERROR, now_us)

    def _start_line_timeout(self, now_us: int) -> None:
        # The timeout starts with the connection or with the first byte of the line, so that a client cannot
        # extend it by sending its line one byte at a time.
        self._ping_idle = False
        self._timer.set(now_us + FIRST_LINE_TIMEOUT_US, self._time_out)

    def _time_out(self, now_us: int) -> None:
        if self.first_line.line:
            self._answer_error(CounterName.REQUESTS_INCOMPLETE, now_us)
        else:
            self._end_without_request(CounterName.CLIENTS_TIMED_OUT, now_us)

    # closing

    def _answer_error(self, counter: CounterName, now_us: int) -> None:
        self._counters.increment(counter)
        self._finish(responses.ERROR, now_us)

    def _reject_early_data(self, now_us: int) -> None:
        # Data received between a first line and its answer is discarded, and ends the request.
        observer = self._observer
        self._observer = None
        self._answer_error(EarlyDataError.counter, now_us)
        if observer:
            observer.client_disconnected(now_us)

    def _disconnect(self, now_us: int) -> None:
        had_request = self._state in (ClientState.AWAITING_ANSWER, ClientState.PROXYING)
        self._close()
        if had_request and self._observer:
            self._observer.client_disconnected(now_us)

    def _enter_closing(self) -> None:
        super()._enter_closing()
        self.attempt = None
        self.first_line.clear()
