"""Accepting connections at a listening socket, also while the system is short of what that takes.

libuv answers a descriptor shortage (EMFILE, ENFILE) by closing the connections that wait: their clients would
be closed unanswered for a failure of a moment. Here they stay in the socket's queue until a later try.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

RETRY_SECONDS = 0.02  #: after a failure that concerns the system and not one connection
MAX_ACCEPTS_PER_EVENT = 64  #: so that a burst of clients does not keep the event loop from the others


class AcceptLoop:
    """Accepts connections while it is open, and gives each a protocol of its own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
    ) -> None:
        """Take over the listening socket, which must not block."""
        self._loop = loop
        self._socket = sock
        sock.setblocking(False)
        self._protocol_factory = protocol_factory
        self._retry: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Accept from now on."""
        self._retry = None
        try:
            self._loop.add_reader(self._socket.fileno(), self._accept_waiting)
        except OSError:  # no room for one more watched descriptor
            self._retry = self._loop.call_later(RETRY_SECONDS, self.open)

    def close(self) -> None:
        """Stop, and close the socket; what waits in its queue is left to processes that share it."""
        if self._retry:
            self._retry.cancel()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:  # this one client has left again
                continue
            except OSError:  # EMFILE, ENFILE, ENOBUFS, ENOMEM, or an error of the network
                self._pause()
                return
            self._start(connection)

    def _pause(self) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._retry = self._loop.call_later(RETRY_SECONDS, self.open)

    def _start(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        connecting = self._loop.connect_accepted_socket(self._protocol_factory, connection)
        task: asyncio.Task[object] = self._loop.create_task(self._finish_start(connecting, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish_start(self, connecting: object, connection: socket.socket) -> None:
        try:
            await connecting  # type: ignore[misc]
        except OSError:
            connection.close()
