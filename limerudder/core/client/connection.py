"""A client's connection whatever it speaks: admission, the final response and the lingering close."""

from __future__ import annotations

from enum import Enum, auto

from limerudder.core.client import responses
from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport

LINGER_US = 1_000_000  #: for a client to read its final response and to close first
MAX_DISCARDED_BYTES = 1 << 18  #: read and thrown away meanwhile; from there on nothing is read


class ClientState(Enum):
    """What a client's connection waits for."""

    READING_LINE = auto()  # the client's first line
    AWAITING_ANSWER = auto()  # the final answer to its request
    PROXYING = auto()  # data from either side
    CLOSING = auto()  # the client's close; the final response has been sent, or the connection is closed


class ClientConnection:
    """The part of a client session that does not depend on what the client requests."""

    def __init__(self, admission: AdmissionControl, counters: Counters, timer_wheel: TimerWheel) -> None:
        self.transport: Transport | None = None
        self._state = ClientState.READING_LINE
        self._admission = admission
        self._counters = counters
        self._timer = ResettableTimer(timer_wheel)
        self._discarded_bytes = 0

    # called by admission control

    def evict(self, now_us: int) -> None:
        """End the connection of a client without a request."""
        self._end_without_request(CounterName.CLIENTS_EVICTED, now_us)

    def force_close(self) -> None:
        """Close at once: the final response has been sent, and the descriptor is needed."""
        self._counters.increment(CounterName.CLIENTS_FORCE_CLOSED)
        self._close()

    # endings

    def _end_without_request(self, counter: CounterName, now_us: int) -> None:
        # A first line may be on its way: nobody will read it, and BUSY is its final answer.
        self._counters.increment(counter)
        self._finish(responses.BUSY, now_us)

    def _finish(self, response: bytes, now_us: int) -> None:
        """Send the final response, if any, and begin a lingering close."""
        # A socket that is closed with unread data sends a reset, which may overtake the final response.
        # So the client is given a moment to read it and to close first.
        self._enter_closing()
        if self.transport:
            self._admission.mark_closing(self)
            if response:
                self.transport.write(response)
            self.transport.half_close()
            self.transport.set_reading_paused(False)
        self._timer.set(now_us + LINGER_US, lambda _: self._close())

    def _discard(self, data: bytes) -> None:
        """Drop data that came after the final response."""
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
        self.transport = None
        self._admission.remove(self)
