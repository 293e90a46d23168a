"""Protocol-independent client connections: admission, final response and lingering close."""

from __future__ import annotations

from enum import Enum, auto

from limerudder.core.client import responses
from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.progress_timeout import ProgressLimits, ProgressTimeout
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport

LINGER_US = 1_000_000  #: Time for a client to close first once its final response has been delivered
MAX_DISCARDED_BYTES = 1 << 18  #: Maximum data read and discarded while closing; then reading stops


class ClientState(Enum):
    """The state of a client connection."""

    READING_LINE = auto()  # waiting for the client's first line
    AWAITING_ANSWER = auto()  # waiting for the final answer to the request
    PROXYING = auto()  # relaying data in both directions
    CLOSING = auto()  # waiting for the client to close after the final response, or closed


class ClientConnection:
    """The part of a client session that does not depend on the protocol."""

    def __init__(self, admission: AdmissionControl, counters: Counters, timer_wheel: TimerWheel) -> None:
        self.transport: Transport | None = None
        self._state = ClientState.READING_LINE
        self._admission = admission
        self._counters = counters
        self._timer = ResettableTimer(timer_wheel)
        self._linger_timeout = ProgressTimeout(timer_wheel)
        self._discarded_bytes = 0

    # called by admission control

    def evict(self, now_us: int) -> None:
        """Answer BUSY and close; the client has no request."""
        self._end_without_request(CounterName.CLIENTS_EVICTED, now_us)

    def has_undelivered_data(self) -> bool:
        """Return whether the client has not yet received everything that was sent to it."""
        return self.transport is not None and self.transport.unsent_bytes() > 0

    def force_close(self) -> None:
        """Close immediately to free the descriptor; the final response has been sent."""
        self._counters.increment(CounterName.CLIENTS_FORCE_CLOSED)
        self._close()

    # closing

    def _end_without_request(self, counter: CounterName, now_us: int) -> None:
        # A first line may be in transit. It will not be read, so BUSY is its final answer.
        self._counters.increment(counter)
        self._finish(responses.BUSY, now_us)

    def _finish(self, response: bytes, now_us: int) -> None:
        """Send the final response, if any, and start a lingering close."""
        # Closing a socket that has unread data sends a reset, which may overtake the final response.
        # The client therefore gets time to read the response, and all that is unsent before it, and to close
        # first. A client on a slow line needs as long as it makes progress.
        self._enter_closing()
        self._timer.cancel()
        if not self.transport:
            return
        self._admission.mark_closing(self)
        if response:
            self.transport.write(response)
        self.transport.half_close()
        self.transport.set_reading_paused(False)
        limits = ProgressLimits(LINGER_US)
        self._linger_timeout.start([self.transport], limits, now_us, self._linger_timed_out)

    def _linger_timed_out(self, now_us: int) -> None:
        """Close a connection whose client has neither closed nor received anything for too long."""
        if self.has_undelivered_data():
            self._counters.increment(CounterName.CLIENTS_CLOSED_UNSENT)
        self._close()

    def _discard(self, data: bytes) -> None:
        """Drop data received after the final response."""
        # A client that keeps sending at full speed must not occupy the event loop.
        self._counters.increment(CounterName.BYTES_DISCARDED, len(data))
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.transport:
            self.transport.set_reading_paused(True)

    def _close(self) -> None:
        self._enter_closing()
        if self.transport:
            self.transport.close()
        self._release()

    def _reset(self) -> None:
        self._enter_closing()
        if self.transport:
            self.transport.reset()
        self._release()

    def _enter_closing(self) -> None:
        self._state = ClientState.CLOSING

    def _release(self) -> None:
        self._timer.cancel()
        self._linger_timeout.cancel()
        self.transport = None
        self._admission.remove(self)
