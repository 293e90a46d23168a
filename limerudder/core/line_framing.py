"""Splitting a stream of bytes into lines that end in CRLF."""

from __future__ import annotations

MAX_LINE_BYTES = 4096  #: of one line, its CRLF included


class LineError(Exception):
    """A line is longer than MAX_LINE_BYTES."""


class LineFramer:
    """Takes bytes in pieces of any size and returns complete lines, without their CRLF."""

    def __init__(self) -> None:
        self.partial_line = b""  # what has arrived of the line that has not ended yet

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines that they complete. Raises LineError.

        What is kept between calls is bounded by MAX_LINE_BYTES, also for a peer that never ends its line.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        if len(self.partial_line) >= MAX_LINE_BYTES or any(len(line) + 2 > MAX_LINE_BYTES for line in lines):
            self.partial_line = b""
            raise LineError("a line is too long")
        return lines
