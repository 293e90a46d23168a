"""A node's way out to other parties: connections and datagrams."""

from __future__ import annotations

from limerudder.core.transport import Address, OutboundMachine
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.tcp import TcpConnection, TcpConnector


class NodeNetwork:
    """The Network of a node, on real sockets."""

    def __init__(self, connector: TcpConnector) -> None:
        self._connector = connector
        self.peer_socket: PeerSocket | None = None  # set once there is one; datagrams are dropped until then

    def dial(self, address: Address, machine: OutboundMachine) -> TcpConnection:
        """Start to connect."""
        return self._connector.dial(address, machine)

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer."""
        if self.peer_socket:
            self.peer_socket.send(peer, data)
