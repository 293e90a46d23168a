"""Passes listening sockets from the serving process to its successor over a Unix socket."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart import MAX_LINE_BYTES
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import ConnectionMachine
from limerudder.net.clock import Clock
from limerudder.net.tcp import TcpConnection

SOCKET_FILE_NAME = "handover"
#: Timeout for the next part of the serving process's answer; limits the delay if that process hangs.
ANSWER_TIMEOUT_SECONDS = 1.0
STATE_LINE_TIMEOUT_SECONDS = 3.0  #: Timeout for the complete answer
PUBLISH_RETRY_SECONDS = 1.0  #: Delay after a failure to create the socket file
ACCEPT_RETRY_SECONDS = 0.02  #: Delay after a failed accept, which would fail again immediately
MAX_PASSED_SOCKETS = 4
MAX_HANDOVERS_IN_PROGRESS = 8  #: Limit of the processes to which the state is being sent
RECEIVE_BYTES = 64 * 1024


class StateDirectory:
    """Directory that persists across processes of the node; kept open while the process runs."""

    def __init__(self, path: str) -> None:
        """Create the directory if it does not exist; raises OSError if it cannot be used."""
        os.makedirs(path, mode=0o700, exist_ok=True)
        self.path = path
        self.descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)

    def socket_path(self, file_name: str) -> str:
        """Return a short path to a Unix socket in this directory; the system limits it to 108 bytes."""
        return f"/proc/self/fd/{self.descriptor}/{file_name}"

    def close(self) -> None:
        """Close the directory's descriptor."""
        os.close(self.descriptor)


class InheritedSockets(NamedTuple):
    """Sockets and state received from the serving process."""

    sockets: list[socket.socket]  #: Sockets bound to the node's addresses
    state_line: bytes  #: First line from the parent, including the line end
    connection: socket.socket  #: Connection to the parent process

    def close(self) -> None:
        """Close all sockets and the connection."""
        for sock in [self.connection, *self.sockets]:
            sock.close()


def request_handover(directory: StateDirectory) -> InheritedSockets | None:
    """Request the sockets of the serving process; returns None if there is no such process.

    Raises OSError if it does not answer correctly and in time, or on a resource shortage here.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(ANSWER_TIMEOUT_SECONDS)
    sockets: list[socket.socket] = []
    try:
        connection.connect(directory.socket_path(SOCKET_FILE_NAME))
        state_line = _receive_state_line(connection, sockets)
        if not sockets:
            raise OSError("the state was received without sockets")
    except (FileNotFoundError, ConnectionRefusedError):  # no socket file, or a stale one
        connection.close()
        return None
    except BlockingIOError:  # the other process is not accepting: no shortage here
        connection.close()
        raise TimeoutError("its listen queue is full") from None
    except OSError:
        for sock in [connection, *sockets]:
            sock.close()
        raise
    connection.setblocking(False)
    return InheritedSockets(sockets, state_line, connection)


def _receive_state_line(connection: socket.socket, sockets: list[socket.socket]) -> bytes:
    """Return the parent's first line, and append the sockets sent with it to `sockets`."""
    deadline = time.monotonic() + STATE_LINE_TIMEOUT_SECONDS
    line = bytearray()
    while not line.endswith(b"\n"):
        seconds_left = deadline - time.monotonic()
        if seconds_left <= 0:
            raise TimeoutError("timed out waiting for the state line")
        connection.settimeout(min(seconds_left, ANSWER_TIMEOUT_SECONDS))
        data, descriptors, _, _ = socket.recv_fds(connection, RECEIVE_BYTES, MAX_PASSED_SOCKETS)
        sockets += [socket.socket(fileno=descriptor) for descriptor in descriptors]
        line += data
        if not data or len(line) > MAX_LINE_BYTES:
            raise OSError("the state line is incomplete or too long")
    return bytes(line)


class HandoverListener:
    """Sends this process's sockets to processes that connect to the state directory's socket file."""

    def __init__(
        self,
        directory: StateDirectory,
        sockets: Sequence[socket.socket],
        state_line: Callable[[], bytes],
        machine_factory: Callable[[], ConnectionMachine],
        clock: Clock,
        log: LogSink,
    ) -> None:
        """Connections start with `state_line()` and the sockets; a machine of the factory drives the rest."""
        self._directory = directory
        self._sockets = sockets
        self._state_line = state_line
        self._machine_factory = machine_factory
        self._clock = clock
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening_socket: socket.socket | None = None
        self._publish_retry: asyncio.TimerHandle | None = None
        self._accept_retry: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Start listening on the directory's socket file, replacing the previous process there."""
        self.close()
        try:
            self._listening_socket = self._publish()
        except OSError as exc:
            # the node serves without the socket file, and a successor binds the addresses itself
            self._log(LogKind.STATE_DIRECTORY, f"state: cannot offer a handover: {exc.strerror}")
            self._publish_retry = self._loop.call_later(PUBLISH_RETRY_SECONDS, self.open)
            return
        self._listen()

    def close(self) -> None:
        """Stop listening; established connections are kept."""
        self.stop_publishing()
        if self._accept_retry:
            self._accept_retry.cancel()
            self._accept_retry = None
        if self._listening_socket:
            self._loop.remove_reader(self._listening_socket)
            self._listening_socket.close()
            self._listening_socket = None

    def stop_publishing(self) -> None:
        """Cancel retries of creating the socket file: by now it belongs to another process."""
        if self._publish_retry:
            self._publish_retry.cancel()
            self._publish_retry = None

    def _publish(self) -> socket.socket:
        """Return a listening socket; its file atomically replaces that of another process."""
        temporary_file_name = f"{SOCKET_FILE_NAME}.{os.getpid()}"
        descriptor = self._directory.descriptor
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with suppress(OSError):
                os.unlink(temporary_file_name, dir_fd=descriptor)
            sock.bind(self._directory.socket_path(temporary_file_name))
            sock.listen()
            os.rename(temporary_file_name, SOCKET_FILE_NAME, src_dir_fd=descriptor, dst_dir_fd=descriptor)
        except OSError:
            sock.close()
            raise
        return sock

    def _listen(self) -> None:
        self._accept_retry = None
        if self._listening_socket is None:
            return
        try:
            self._loop.add_reader(self._listening_socket, self._accept)
        except OSError:  # the poller cannot register another descriptor
            self._accept_retry = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._listen)

    def _accept(self) -> None:
        if self._listening_socket is None:
            return
        try:
            connection, _ = self._listening_socket.accept()
        except (BlockingIOError, InterruptedError):
            return
        except OSError:  # a shortage: new connections stay in the listen queue
            self._loop.remove_reader(self._listening_socket)
            self._accept_retry = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._listen)
            return
        if len(self._tasks) >= MAX_HANDOVERS_IN_PROGRESS:
            connection.close()
            return
        connection.setblocking(False)
        task = self._loop.create_task(self._hand_over(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hand_over(self, connection: socket.socket) -> None:
        try:
            state_line = self._state_line()
            descriptors = [sock.fileno() for sock in self._sockets]
            sent_bytes = socket.send_fds(connection, [state_line], descriptors)
            await self._loop.sock_sendall(connection, state_line[sent_bytes:])
            await drive_connection(connection, self._machine_factory(), self._clock)
        except OSError:  # the other process has already exited
            connection.close()


async def drive_connection(sock: socket.socket, machine: ConnectionMachine, clock: Clock) -> None:
    """Drive a state machine over the connection between two processes of a node."""
    loop = asyncio.get_running_loop()
    await loop.create_unix_connection(lambda: TcpConnection(machine, clock), sock=sock)
