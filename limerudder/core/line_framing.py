"""Splits a byte stream into lines that end in CRLF."""

from __future__ import annotations

LINE_END = b"\r\n"
MAX_LINE_BYTES = 4096  #: Maximum length of a line, including its CRLF.


class LineError(Exception):
    """A line is longer than MAX_LINE_BYTES."""


class LineFramer:
    """Accepts bytes in pieces of any size and returns complete lines without their CRLF."""

    def __init__(self) -> None:
        self.partial_line = b""  # received part of the current, incomplete line

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines that they complete. Raises LineError.

        At most MAX_LINE_BYTES are buffered between calls, even if the sender never ends its line.
        """
        *lines, self.partial_line = (self.partial_line + data).split(LINE_END)
        if len(self.partial_line) >= MAX_LINE_BYTES or any(len(line) + 2 > MAX_LINE_BYTES for line in lines):
            self.partial_line = b""
            raise LineError("a line is too long")
        return lines

    def feed_block(self, data: bytes) -> bytes:
        """Add bytes and return the lines that they complete as one block, with their CRLF. Raises LineError.

        The cost grows with the number of bytes and not with that of the lines, however short they are.
        """
        received = self.partial_line + data
        last_line_end = received.rfind(LINE_END)
        block_size = last_line_end + len(LINE_END) if last_line_end >= 0 else 0
        self.partial_line = received[block_size:]
        if len(self.partial_line) >= MAX_LINE_BYTES or _has_overlong_line(received, block_size):
            self.partial_line = b""
            raise LineError("a line is too long")
        return received[:block_size]


def _has_overlong_line(lines: bytes, size: int) -> bool:
    """Return whether one of the complete lines in the first `size` bytes is longer than MAX_LINE_BYTES."""
    start = 0
    while size - start > MAX_LINE_BYTES:
        line_end = lines.rfind(LINE_END, start, start + MAX_LINE_BYTES)
        if line_end < 0:
            return True
        start = line_end + len(LINE_END)
    return False
