"""Accepts connections on a listening socket, and retries when the system runs out of resources.

libuv responds to a descriptor shortage (EMFILE, ENFILE) by closing pending connections, so that a transient
error would disconnect their clients without a response. Here they stay in the listen queue until a retry.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

RETRY_SECONDS = 0.02  #: Delay after an error of the system rather than of one connection
MAX_ACCEPTS_PER_EVENT = 64  #: Limit that keeps a burst of clients from blocking the event loop


class AcceptLoop:
    """Accepts connections while it is open, and creates a protocol for each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
    ) -> None:
        """Take ownership of the listening socket and make it non-blocking."""
        self._loop = loop
        self._socket = sock
        sock.setblocking(False)
        self._protocol_factory = protocol_factory
        self._retry: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start accepting."""
        self._retry = None
        try:
            self._loop.add_reader(self._socket.fileno(), self._accept_pending)
        except OSError:  # the poller cannot register another descriptor
            self._retry = self._loop.call_later(RETRY_SECONDS, self.open)

    def close(self) -> None:
        """Stop accepting and close the socket; pending connections are left to processes that share it."""
        if self._retry:
            self._retry.cancel()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:  # the client has already disconnected
                continue
            except OSError:  # EMFILE, ENFILE, ENOBUFS, ENOMEM, or a network error
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
