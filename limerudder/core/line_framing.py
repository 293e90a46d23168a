"""Splits a byte stream into lines that end in CRLF."""

from __future__ import annotations

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
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        if len(self.partial_line) >= MAX_LINE_BYTES or any(len(line) + 2 > MAX_LINE_BYTES for line in lines):
            self.partial_line = b""
            raise LineError("a line is too long")
        return lines
