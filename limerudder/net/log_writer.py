"""Writes lines to standard error without blocking and without raising.

A node must keep serving while nobody reads its log: a line that cannot be written immediately, or whose write
fails in any other way, is dropped and counted.

A pipe is reopened in non-blocking mode for this process alone: standard error may be shared with processes
that expect it to block.
"""

from __future__ import annotations

import errno
import io
import os
import select
import socket
import stat
from contextlib import suppress

STANDARD_ERROR = 2
#: Number of bytes that a pipe or terminal that polls as writable accepts at once (PIPE_BUF on Linux).
MAX_WRITE_BYTES = 4096
LINE_END = b"\n"


class LogWriter:
    """Writes complete lines to one descriptor, or drops them."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.lines_dropped = 0  #: Number of lines dropped since the last line written
        self._descriptor = descriptor
        self._mode = 0  # file mode of the descriptor; 0 if it is closed
        self._reopened_pipe: int | None = None  # None until a pipe is opened, and for other files
        self._line_remainder = b""  # the unwritten rest of a partly written line
        with suppress(OSError):
            self._mode = os.fstat(descriptor).st_mode

    def write(self, text: str) -> None:
        """Write one line; the line end is added."""
        line = text.encode("utf-8", "backslashreplace") + LINE_END
        if self._line_remainder and not self._write_remainder():
            self.lines_dropped += 1
            return
        if self.lines_dropped:
            line = b"limerudder: %d log lines could not be written\n" % self.lines_dropped + line
        written_bytes = self._write_some(line)
        if not written_bytes:
            self.lines_dropped += 1
            return
        self.lines_dropped = 0
        self._line_remainder = line[written_bytes:]

    def _write_remainder(self) -> bool:
        """Write the rest of a line before the next one starts; return whether all of it was written."""
        written_bytes = self._write_some(self._line_remainder)
        self._line_remainder = self._line_remainder[written_bytes:]
        return not self._line_remainder

    def _write_some(self, data: bytes) -> int:
        """Write without blocking; return the number of bytes written, 0 after an error."""
        if not self._mode:  # the descriptor was closed at start-up; its number may have been reused
            return 0
        try:
            if stat.S_ISSOCK(self._mode):
                return self._send(data)
            if stat.S_ISREG(self._mode):
                return os.write(self._descriptor, data)
            if stat.S_ISFIFO(self._mode):
                return self._write_to_pipe(data)
            return self._write_if_writable(data)
        except BlockingIOError:
            return 0
        except (OSError, ValueError):  # device full, broken pipe or closed descriptor
            self._close_pipe()
            return 0

    def _write_to_pipe(self, data: bytes) -> int:
        try:
            pipe = self._open_pipe()
        except OSError as exc:
            if exc.errno == errno.ENXIO:  # the pipe has no reader
                return 0
            return self._write_if_writable(data)  # descriptor limit reached, or no /proc
        return os.write(pipe, data[:MAX_WRITE_BYTES])

    def _write_if_writable(self, data: bytes) -> int:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        is_writable = any(events & select.POLLOUT for _, events in poll.poll(0))
        return os.write(self._descriptor, data[:MAX_WRITE_BYTES]) if is_writable else 0

    def _send(self, data: bytes) -> int:
        sock = socket.socket(fileno=self._descriptor)
        try:
            return sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        finally:
            sock.detach()

    def _open_pipe(self) -> int:
        if self._reopened_pipe is None:
            path = f"/proc/self/fd/{self._descriptor}"
            self._reopened_pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        return self._reopened_pipe

    def _close_pipe(self) -> None:
        """Close the reopened pipe; the next line opens it again."""
        if self._reopened_pipe is not None:
            with suppress(OSError):
                os.close(self._reopened_pipe)
            self._reopened_pipe = None


class LineStream(io.TextIOBase):
    """A text stream on a LogWriter that replaces `sys.stderr`.

    The interpreter and libraries print to `sys.stderr`, and could block or raise on the original stream.
    """

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._partial_line = ""

    def writable(self) -> bool:
        """Return True: the stream accepts text."""
        return True

    def write(self, text: str) -> int:
        """Write the lines completed by this text; a partial line is buffered."""
        *lines, self._partial_line = (self._partial_line + text).split("\n")
        for line in lines:
            self._writer.write(line)
        return len(text)
