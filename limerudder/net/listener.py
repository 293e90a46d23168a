"""The node's own addresses: sockets bound to them, and servers that accept connections there."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from limerudder.core.node_config import ConfigError
from limerudder.core.transport import Address
from limerudder.net.accept_loop import AcceptLoop
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.tcp import TcpConnection

LISTEN_BACKLOG = 4096
#: What the system buffers of a client's data, and so the most that one read event can bring.
RECEIVE_BUFFER_BYTES = 64 * 1024

ConnectionFactory = Callable[[], TcpConnection]


def bind_socket(address: Address, kind: socket.SocketKind, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket bound to one of the node's own addresses; raises ConfigError if that fails."""
    try:
        sock = socket.socket(socket.AF_INET, kind)
    except OSError as exc:
        raise _cannot_listen(address, exc) from exc
    try:
        if kind is socket.SOCK_STREAM:
            _set_listening_options(sock)
        if reuse_port:
            # a successor whose predecessor does not answer must be able to bind the same address
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise _cannot_listen(address, exc) from exc
    return sock


def _set_listening_options(sock: socket.socket) -> None:
    """Set the options that accepted connections inherit, except for SO_REUSEADDR."""
    # a restarted node binds while connections of its last run are still closing
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # bounds what one client that sends at full speed can occupy the event loop with in one read
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # without it the system may hold back a final response, which is lost if the connection is then closed
    # while received data is still unread
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _cannot_listen(address: Address, exc: OSError) -> ConfigError:
    return ConfigError("cannot listen on {}:{}: {}".format(*address, exc.strerror))


def start_accepting(connection_factory: ConnectionFactory, sock: socket.socket) -> AcceptLoop:
    """Accept connections at a bound socket, which the loop owns; raises ConfigError if that fails."""
    address = sock.getsockname()
    try:
        sock.listen(LISTEN_BACKLOG)
    except OSError as exc:
        raise _cannot_listen(address, exc) from exc
    accept_loop = AcceptLoop(asyncio.get_running_loop(), sock, connection_factory)
    accept_loop.open()
    return accept_loop


def duplicate_sockets(sockets: Sequence[socket.socket]) -> list[socket.socket]:
    """Return duplicates of all sockets; raises OSError, and leaves none open, if one cannot be had."""
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

    It opens on duplicates of the bound sockets, so that the sockets themselves stay with the process: it can
    open again after it was closed, and pass the sockets on to a successor.
    """

    def __init__(
        self, sockets: Sequence[socket.socket], connection_factory: ConnectionFactory, peer_socket: PeerSocket
    ) -> None:
        """Take the clients' socket, and after it the peers' if there is one."""
        self._sockets = sockets
        self._connection_factory = connection_factory
        self._peer_socket = peer_socket
        self._accept_loop: AcceptLoop | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_open(self) -> bool:
        """Whether clients are accepted here."""
        return self._accept_loop is not None

    def open(self) -> None:
        """Accept clients and datagrams from now on; raises OSError or ConfigError if that fails.

        Nothing else runs between the first descriptor that this takes and the last one.
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
        except OSError:  # datagrams are lost, as they may be at any time
            sock.close()

    def close(self) -> None:
        """Accept nothing more; what waits in a socket's queue is left to a process that shares the socket."""
        if self._accept_loop:
            self._accept_loop.close()
            self._accept_loop = None
        self._peer_socket.close()
