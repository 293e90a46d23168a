"""The node's own addresses: sockets bound to them, and taking connections there or not."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from limerudder.config import ConfigError
from limerudder.core.transport import Address
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.tcp import TcpConnection

BACKLOG = 4096
RECEIVED = 64 * 1024  #: bytes of a client that the system keeps, and so what one event's read can bring


def bind(address: Address, kind: socket.SocketKind, shared: bool = False) -> socket.socket:
    """A socket at one of the node's own addresses."""
    sock = socket.socket(socket.AF_INET, kind)
    try:
        if kind is socket.SOCK_STREAM:  # a node starts again while connections of its last run are ending
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # guards the loop against one sender at full speed; connections inherit it
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED)
            # guards last words: what the system holds back goes with a close over unread bytes. Inherited too
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if shared:  # guards a successor that the old process does not answer
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise cannot_listen(address, exc) from None
    return sock


def cannot_listen(address: Address, exc: OSError) -> ConfigError:
    """One of the node's own addresses is not to be had."""
    return ConfigError("cannot listen on {}:{}: {}".format(*address, exc.strerror))


async def listen(take: Callable[[], TcpConnection], sock: socket.socket) -> asyncio.Server:
    """Take connections at a socket that is bound."""
    address = sock.getsockname()
    try:
        return await asyncio.get_running_loop().create_server(take, sock=sock, backlog=BACKLOG)
    except OSError as exc:
        raise cannot_listen(address, exc) from None


class ClientListener:
    """Where clients and peers come in: their sockets are kept, open here or not."""

    def __init__(
        self, sockets: list[socket.socket], take: Callable[[], TcpConnection], peers: PeerSocket
    ) -> None:
        self.sockets, self.take, self.peers = sockets, take, peers
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Take what comes, on copies of the sockets."""
        clients, *datagrams = (sock.dup() for sock in self.sockets)
        self.server = await listen(self.take, clients)
        for sock in datagrams:
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: self.peers, sock=sock)

    def close(self) -> None:
        """Take no more. What waits in the queue waits for whoever shares the socket."""
        if self.server:
            self.server.close()
            self.server = None
        if self.peers.transport:
            self.peers.transport.close()
            self.peers.transport = None
