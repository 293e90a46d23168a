"""A node's outgoing connections and datagrams."""

from __future__ import annotations

from limerudder.core.transport import Address, OutboundMachine
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.tcp import TcpConnection, TcpConnector


class NodeNetwork:
    """Implements a node's Network on real sockets."""

    def __init__(self, connector: TcpConnector) -> None:
        self._connector = connector
        self.peer_socket: PeerSocket | None = None  # datagrams are dropped until it is set

    def dial(self, address: Address, machine: OutboundMachine) -> TcpConnection:
        """Start connecting to an address."""
        return self._connector.dial(address, machine)

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer."""
        if self.peer_socket:
            self.peer_socket.send(peer, data)
