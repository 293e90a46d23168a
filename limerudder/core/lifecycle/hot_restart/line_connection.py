"""The connection between parent and successor, as either side drives it: lines in, lines out."""

from __future__ import annotations

from limerudder.core.lifecycle.hot_restart.messages import Message, format_message
from limerudder.core.transport import Transport

MAX_LINE_BYTES = 4 * 1024 * 1024


class LineConnection:
    """State machine of a connection that carries ASCII lines closed by LF."""

    def __init__(self) -> None:
        self._transport: Transport | None = None
        self._partial_line = b""

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes, now_us: int) -> None:
        """Split what has come into lines, and pass each complete one on."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.connection_lost(now_us)
            return
        for line in lines:
            self.line_received(line.decode("ascii", "replace"), now_us)

    def line_received(self, line: str, now_us: int) -> None:
        """Handle a line, without its line end."""
        raise NotImplementedError

    def send(self, message: Message) -> None:
        """Send a message; it is dropped if the connection is gone."""
        if self._transport:
            self._transport.write(format_message(message).encode() + b"\n")

    def eof_received(self, now_us: int) -> None:
        """End the connection: the other process ends it."""
        self.connection_lost(now_us)

    def connection_lost(self, now_us: int) -> None:
        """Close the transport: the other process is gone, or breaks the rules."""
        if self._transport:
            self._transport.close()
            self._transport = None

    def set_writing_paused(self, paused: bool) -> None:
        """Ignore it: the lines are few and short."""
