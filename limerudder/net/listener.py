"""Sockets bound to the node's own addresses, and listeners that accept connections on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from limerudder.core.node_config import ConfigError
from limerudder.core.transport import Address
from limerudder.net.accept_loop import AcceptLoop
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.tcp import RECEIVE_BUFFER_BYTES, TcpConnection

LISTEN_BACKLOG = 4096

ConnectionFactory = Callable[[], TcpConnection]


def bind_socket(address: Address, kind: socket.SocketKind, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket bound to one of the node's own addresses; raises ConfigError on failure."""
    try:
        sock = socket.socket(socket.AF_INET, kind)
    except OSError as exc:
        raise _cannot_listen(address, exc) from exc
    try:
        if kind is socket.SOCK_STREAM:
            _set_listening_options(sock)
        if reuse_port:
            # a successor must be able to bind the same address if its predecessor does not respond
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise _cannot_listen(address, exc) from exc
    return sock


def _set_listening_options(sock: socket.socket) -> None:
    """Set the options that accepted connections inherit, except for SO_REUSEADDR."""
    # a restarted node binds while connections of the previous process are still closing
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # bounds the time that a client sending at full speed can occupy the event loop in one read
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # Nagle's algorithm may delay a final response, which is lost if the connection is then closed while
    # received data is still unread
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _cannot_listen(address: Address, exc: OSError) -> ConfigError:
    return ConfigError("cannot listen on {}:{}: {}".format(*address, exc.strerror))


def start_accepting(connection_factory: ConnectionFactory, sock: socket.socket) -> AcceptLoop:
    """Accept connections on a bound socket, owned by the returned loop; raises ConfigError on failure."""
    address = sock.getsockname()
    try:
        sock.listen(LISTEN_BACKLOG)
    except OSError as exc:
        raise _cannot_listen(address, exc) from exc
    accept_loop = AcceptLoop(asyncio.get_running_loop(), sock, connection_factory)
    accept_loop.open()
    return accept_loop


def duplicate_sockets(sockets: Sequence[socket.socket]) -> list[socket.socket]:
    """Return duplicates of all sockets; if one cannot be duplicated, closes the others and raises OSError."""
    duplicates: list[socket.socket] = []
    try:
        for sock in sockets:
            duplicates.append(sock.dup())
    except OSError:
        for duplicate in duplicates:
            duplicate.close()
        raise
    return duplicates


class ClientListener:
    """Accepts clients, and datagrams from peers, while it is open.

    It listens on duplicates of the bound sockets; the process keeps the originals, so it can reopen the
    listener after closing it, and pass the sockets to a successor.
    """

    def __init__(
        self, sockets: Sequence[socket.socket], connection_factory: ConnectionFactory, peer_socket: PeerSocket
    ) -> None:
        """`sockets` contains the client socket, followed by the peer socket if there is one."""
        self._sockets = sockets
        self._connection_factory = connection_factory
        self._peer_socket = peer_socket
        self._accept_loop: AcceptLoop | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_open(self) -> bool:
        """Whether this process is accepting clients."""
        return self._accept_loop is not None

    def open(self) -> None:
        """Start accepting clients and datagrams; raises OSError or ConfigError on failure.

        All descriptors are opened without yielding to the event loop in between.
        """
        client_socket, *datagram_sockets = duplicate_sockets(self._sockets)
        try:
            self._accept_loop = start_accepting(self._connection_factory, client_socket)
        except ConfigError:
            for sock in (client_socket, *datagram_sockets):
                sock.close()
            raise
        for sock in datagram_sockets:
            task = asyncio.get_running_loop().create_task(self._receive_datagrams(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _receive_datagrams(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self._peer_socket, sock=sock)
        except OSError:  # datagrams are lost, which is allowed at any time
            sock.close()

    def close(self) -> None:
        """Stop accepting; pending connections are left to a process that shares the socket."""
        if self._accept_loop:
            self._accept_loop.close()
            self._accept_loop = None
        self._peer_socket.close()
