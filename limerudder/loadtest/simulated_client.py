"""A simulated client: a connection to a node, from the first line until it is closed."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Protocol

from limerudder.loadtest.arrivals import MICROSECONDS_PER_SECOND, Arrival

#: Time-out for an answer, from the start of connecting; the answer is then `none`.
ANSWER_TIMEOUT_US = 10 * MICROSECONDS_PER_SECOND
MAX_LINE_BYTES = 4096
RECEIVE_BYTES = 65536

NO_ANSWER = "none"
CLOSED = "closed without an answer"
CONNECTION_REFUSED = "refused connection"
CONNECTION_RESET = "reset"
OUT_OF_DESCRIPTORS = "generator out of descriptors"
GENERATOR_FAILED = "generator failed"
EMPTY_LINE = "empty"


class ClientObserver(Protocol):
    """Receives the events of a client; implemented by the load generator."""

    def client_answered(self, client: SimulatedClient, answer: str) -> None:
        """The client has received its final answer, or will not receive one."""

    def client_closed(self, client: SimulatedClient, was_established: bool) -> None:
        """The client's connection is closed."""


class SimulatedClient:
    """A client's connection: a non-blocking socket with reader and writer callbacks of the event loop.

    A task or a transport per client would be too slow to start thousands of clients per second on one core.
    """

    __slots__ = (
        "arrival",
        "_descriptor",
        "_line",
        "_loop",
        "_observer",
        "_received",
        "_established",
        "_socket",
        "_timer",
    )

    def __init__(
        self, arrival: Arrival, line: bytes, observer: ClientObserver, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.arrival = arrival
        self._line = line
        self._observer = observer
        self._loop = loop
        self._received = b""
        self._established = False
        self._timer: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None
        self._descriptor = -1

    def connect(self, address: tuple[str, int]) -> bool:
        """Start to connect; return False, with the reason as the answer, if no socket can be created."""
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as exc:
            self._end(OUT_OF_DESCRIPTORS if exc.errno == errno.EMFILE else GENERATOR_FAILED)
            return False
        self._socket = connection
        self._descriptor = connection.fileno()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.connect_ex(address)
        self._loop.add_writer(self._descriptor, self._connected)
        timeout_seconds = ANSWER_TIMEOUT_US / MICROSECONDS_PER_SECOND
        self._timer = self._loop.call_later(timeout_seconds, self._end, NO_ANSWER)
        return True

    def cancel(self) -> None:
        """Close the connection at the end of the run; a missing answer is reported as `none`."""
        if not self._established:
            self._observer.client_answered(self, NO_ANSWER)
        self._close()

    def _connected(self) -> None:
        assert self._socket
        self._loop.remove_writer(self._descriptor)
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._end(CONNECTION_REFUSED)
            return
        try:
            self._socket.send(self._line)  # the whole line fits into the send buffer of a new connection
        except OSError:
            self._end(CONNECTION_RESET)
            return
        self._loop.add_reader(self._descriptor, self._readable)

    def _readable(self) -> None:
        assert self._socket
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if self._established:
            self._receive_while_established(data)
        else:
            self._receive_answer(data)

    def _receive_while_established(self, data: bytes) -> None:
        """Ignore lines; close the connection after MOVE or when the node closes it."""
        if not data or b"MOVE" in data:
            self._close()

    def _receive_answer(self, data: bytes) -> None:
        self._received += data
        line, newline, _ = self._received.partition(b"\n")
        if not newline:
            if not data or len(self._received) > MAX_LINE_BYTES:
                self._end(CLOSED)
            return
        words = line.split()
        answer = words[0].decode("ascii", "replace") if words else EMPTY_LINE
        if answer == "UP":
            self._establish()
        else:
            self._end(answer)

    def _establish(self) -> None:
        self._established = True
        self._observer.client_answered(self, "UP")
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(self.arrival.lifetime_us / MICROSECONDS_PER_SECOND, self._close)

    def _end(self, answer: str) -> None:
        self._observer.client_answered(self, answer)
        self._close()

    def _close(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._socket:
            self._loop.remove_reader(self._descriptor)
            self._loop.remove_writer(self._descriptor)
            self._socket.close()
            self._socket = None
        was_established = self._established
        self._established = False
        self._observer.client_closed(self, was_established)
