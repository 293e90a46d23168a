"""The line-based connection between parent and successor, common to both sides."""

from __future__ import annotations

from limerudder.core.lifecycle.hot_restart.messages import Message, format_message
from limerudder.core.transport import Transport

MAX_LINE_BYTES = 4 * 1024 * 1024


class LineConnection:
    """State machine of a connection that carries ASCII lines terminated by LF."""

    def __init__(self) -> None:
        self._transport: Transport | None = None
        self._partial_line = b""

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes, now_us: int) -> None:
        """Split the received data into lines, and handle each complete line."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.connection_lost(now_us)
            return
        for line in lines:
            self.line_received(line.decode("ascii", "replace"), now_us)

    def line_received(self, line: str, now_us: int) -> None:
        """Handle a line without its newline."""
        raise NotImplementedError

    def send(self, message: Message) -> None:
        """Send a message; drop it if the connection is closed."""
        if self._transport:
            self._transport.write(format_message(message).encode() + b"\n")

    def eof_received(self, now_us: int) -> None:
        """Close the connection, since the other process has closed its side."""
        self.connection_lost(now_us)

    def connection_lost(self, now_us: int) -> None:
        """Close the transport: the other process has ended or violated the protocol."""
        if self._transport:
            self._transport.close()
            self._transport = None

    def set_writing_paused(self, paused: bool) -> None:
        """Ignored: the lines are few and short."""
