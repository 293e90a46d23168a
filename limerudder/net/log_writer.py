"""Writes lines to standard error without ever waiting for it, and without ever failing.

A log is for reading, and a node must serve while nobody reads it: a line for which there is no room now, or
whose write fails in any other way, is dropped and counted.

A pipe is opened anew, so that this process alone does not block on it: standard error may be shared with
processes that expect it to block.
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
#: What a pipe or terminal that polls as writable takes at once (PIPE_BUF of Linux).
MAX_WRITE_BYTES = 4096
LINE_END = b"\n"


class LogWriter:
    """Writes whole lines to one descriptor, or drops them."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.lines_dropped = 0  #: since the last line that was written
        self._descriptor = descriptor
        self._mode = 0  # of the descriptor's file; 0 where there is none
        self._own_pipe: int | None = None  # the pipe, opened anew; None for other files
        self._unfinished = b""  # the rest of a line of which a part was written
        with suppress(OSError):
            self._mode = os.fstat(descriptor).st_mode

    def write(self, text: str) -> None:
        """Write one line; its end is added."""
        line = text.encode("utf-8", "backslashreplace") + LINE_END
        if self._unfinished and not self._write_unfinished():
            self.lines_dropped += 1
            return
        if self.lines_dropped:
            line = b"limerudder: %d log lines could not be written\n" % self.lines_dropped + line
        written_bytes = self._write_some(line)
        if not written_bytes:
            self.lines_dropped += 1
            return
        self.lines_dropped = 0
        self._unfinished = line[written_bytes:]

    def _write_unfinished(self) -> bool:
        """Write the rest of a line, so that the next one begins on its own; return whether it is through."""
        written_bytes = self._write_some(self._unfinished)
        self._unfinished = self._unfinished[written_bytes:]
        return not self._unfinished

    def _write_some(self, data: bytes) -> int:
        """Return how many bytes could be written without waiting; 0 after an error."""
        if not self._mode:  # was closed at the start; the number may be another file's by now
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
        except (OSError, ValueError):  # full, broken or closed
            self._close_pipe()
            return 0

    def _write_to_pipe(self, data: bytes) -> int:
        try:
            pipe = self._open_pipe()
        except OSError as exc:
            if exc.errno == errno.ENXIO:  # nobody has the pipe open to read
                return 0
            return self._write_if_writable(data)  # no descriptor left, or no /proc
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
        if self._own_pipe is None:
            path = f"/proc/self/fd/{self._descriptor}"
            self._own_pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        return self._own_pipe

    def _close_pipe(self) -> None:
        """Close the pipe that was opened anew: the next line tries it again."""
        if self._own_pipe is not None:
            with suppress(OSError):
                os.close(self._own_pipe)
            self._own_pipe = None


class LineStream(io.TextIOBase):
    """A text stream over a LogWriter, to stand in for `sys.stderr`.

    The interpreter and libraries print there by themselves, and would wait for standard error or raise.
    """

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._partial_line = ""

    def writable(self) -> bool:
        """Return that text can be written."""
        return True

    def write(self, text: str) -> int:
        """Write the lines that end in this text; the rest waits for its end."""
        *lines, self._partial_line = (self._partial_line + text).split("\n")
        for line in lines:
            self._writer.write(line)
        return len(text)
