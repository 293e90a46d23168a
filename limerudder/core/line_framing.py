"""Lines of text closed by CRLF, cut out of a stream of bytes."""

from __future__ import annotations

MAX_LINE_BYTES = 4096  #: bytes of a line, its CRLF included


class LineError(Exception):
    """A line too long."""


class LineFramer:
    """Takes bytes in any pieces and gives whole lines, without their CRLF."""

    def __init__(self) -> None:
        self.rest = b""  # of a line whose end has not come yet: never longer than a line may be

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the lines that are complete now."""
        # guards against a peer that never ends its line: what is kept stays bounded
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) >= MAX_LINE_BYTES or any(len(line) + 2 > MAX_LINE_BYTES for line in lines):
            self.rest = b""
            raise LineError("a line is too long")
        return lines
