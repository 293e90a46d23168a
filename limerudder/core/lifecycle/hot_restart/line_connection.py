"""The line-based connection between parent and successor, common to both sides."""

from __future__ import annotations

from collections import deque

from limerudder.core.lifecycle.hot_restart.messages import Message, format_message
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Transport

MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_LINES_PER_TICK = 256  #: Lines handled before other connections of the process get their turn
MAX_UNSENT_BYTES = 1024 * 1024  #: Unsent messages at which a process that does not read them is given up


class LineConnection:
    """State machine of a connection that carries ASCII lines terminated by LF.

    Lines of one read beyond MAX_LINES_PER_TICK wait for the next ticks, and reading pauses meanwhile.
    """

    max_line_bytes = MAX_LINE_BYTES

    def __init__(self, timers: TimerWheel) -> None:
        self._transport: Transport | None = None
        self._partial_line = b""
        self._lines: deque[bytes] = deque()  # complete lines that wait for their turn
        self._line_timers = timers
        self._is_reading_paused = False
        self._is_writing_paused = False

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes, now_us: int) -> None:
        """Split the received data into lines, and handle each complete line."""
        is_waiting = bool(self._lines)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > self.max_line_bytes:
            self.connection_lost(now_us)
            return
        self._lines.extend(lines)
        if not is_waiting:
            self._handle_lines(now_us)

    def _handle_lines(self, now_us: int) -> None:
        for _ in range(min(len(self._lines), MAX_LINES_PER_TICK)):
            self.line_received(self._lines.popleft().decode("ascii", "replace"), now_us)
        if self._lines:
            self._line_timers.schedule(now_us, self._handle_lines)
        if self._transport and bool(self._lines) != self._is_reading_paused:
            self._is_reading_paused = bool(self._lines)
            self._transport.set_reading_paused(self._is_reading_paused)

    def line_received(self, line: str, now_us: int) -> None:
        """Handle a line without its newline."""
        raise NotImplementedError

    def send(self, message: Message) -> None:
        """Send a message; drop it if the connection is closed."""
        if not self._transport:
            return
        self._transport.write(format_message(message).encode() + b"\n")
        if self._is_writing_paused and self._transport.unsent_bytes() > MAX_UNSENT_BYTES:
            self._is_writing_paused = False
            self._line_timers.schedule(0, self.connection_lost)

    def eof_received(self, now_us: int) -> None:
        """Close the connection, since the other process has closed its side."""
        self.connection_lost(now_us)

    def connection_lost(self, now_us: int) -> None:
        """Close the transport: the other process has ended or violated the protocol."""
        self._lines.clear()
        if self._transport:
            self._transport.close()
            self._transport = None

    def set_writing_paused(self, paused: bool) -> None:
        """The other process does not keep up with the messages, or has caught up."""
        self._is_writing_paused = paused
