"""Tests for writing the log to a standard error that accepts nothing: no call blocks or raises."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest

from limerudder.net.log_writer import LineStream, LogWriter

LONG_LINE = "x" * 3000


def test_lines_for_a_full_pipe_are_dropped_and_counted_once_it_is_read_again() -> None:
    read_end, write_end = os.pipe()
    writer = LogWriter(write_end)
    for number in range(100):
        writer.write(f"{number} {LONG_LINE}")
    received = os.read(read_end, 1 << 20)
    assert received.startswith(b"0 x")
    assert writer.lines_dropped
    writer.write("read again")
    lines = os.read(read_end, 1 << 20).decode().splitlines()
    assert lines == [
        f"limerudder: {100 - received.count(b' x')} log lines could not be written",
        "read again",
    ]
    assert not writer.lines_dropped
    assert os.get_blocking(write_end), "other processes may share the pipe"


def test_lines_for_a_pipe_without_a_reader_are_dropped() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LogWriter(write_end)
    for _ in range(3):
        writer.write("nobody reads it")
    assert writer.lines_dropped == 3


@pytest.mark.parametrize("flags", [os.O_WRONLY, os.O_RDONLY])
def test_lines_that_cannot_be_written_are_dropped(flags: int) -> None:
    descriptor = os.open("/dev/full", flags)
    writer = LogWriter(descriptor)
    writer.write("no room")
    os.close(descriptor)
    writer.write("closed")
    assert writer.lines_dropped == 2


def test_lines_for_an_unread_socket_are_dropped_completely_or_not_at_all() -> None:
    near_end, far_end = socket.socketpair()
    writer = LogWriter(near_end.fileno())
    for number in range(200):
        writer.write(f"{number} {LONG_LINE}")
    far_end.setblocking(False)
    received = b""
    for _ in range(200):
        writer.write(f"200 {LONG_LINE}")
        try:
            received += far_end.recv(1 << 20)
        except BlockingIOError:
            break
    lines = received.decode().splitlines()[:-1]
    assert all(line.endswith(LONG_LINE) or line.endswith("could not be written") for line in lines)
    assert len(lines) > 10


def test_a_stream_writes_a_line_when_it_ends(capfd: pytest.CaptureFixture[str]) -> None:
    stream = LineStream(LogWriter())
    print("one", "two", file=stream, end="")
    assert capfd.readouterr().err == ""
    print(" three\nfour", file=stream)
    assert capfd.readouterr().err == "one two three\nfour\n"


def test_a_connection_that_reuses_the_number_of_a_closed_standard_error_receives_no_log_lines() -> None:
    """Guards against log lines that are sent to hosts or clients."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    os.close(descriptor)
    writer = LogWriter(descriptor)
    near_end, far_end = socket.socketpair()
    assert near_end.fileno() == descriptor
    writer.write("for the log")
    far_end.setblocking(False)
    with pytest.raises(BlockingIOError):
        far_end.recv(100)


def test_a_process_started_without_standard_descriptors_does_not_reuse_them_for_connections() -> None:
    code = (
        "import socket, sys, limerudder.__main__ as program; program.open_standard_descriptors();"
        "sys.exit(40 + socket.socket().fileno())"
    )
    command = ["/bin/sh", "-c", 'exec "$@" 0<&- 1>&- 2>&-', "sh", sys.executable, "-c", code]
    assert subprocess.run(command, check=False).returncode == 43
