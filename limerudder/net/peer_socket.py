"""UDP socket for datagrams between the nodes of a tier."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from limerudder.core.transport import MAX_DATAGRAM_BYTES, Address
from limerudder.policy.actions import ALL_PEERS


class PeerSocket(asyncio.DatagramProtocol):
    """Sends datagrams to peers by number, and delivers received ones with the sender's number.

    `on_datagram` is called with None as the number if the sender is not a peer of this node.
    """

    def __init__(
        self,
        peer_addresses: Sequence[Address],
        broadcast_address: Address | None,
        on_datagram: Callable[[int | None, bytes], None],
    ) -> None:
        self._peer_addresses = peer_addresses
        self._broadcast_address = broadcast_address
        self._on_datagram = on_datagram
        self._number_by_address = {address: number for number, address in enumerate(peer_addresses)}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that asyncio has created for the socket."""
        # cast instead of a check: uvloop's transports do not inherit from asyncio's classes
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Deliver a datagram, whether or not its sender is a peer."""
        self._on_datagram(self._number_by_address.get((addr[0], addr[1])), data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: datagrams may be lost."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, or to all if `peer` is ALL_PEERS; oversized ones are dropped."""
        address = self._address_of(peer)
        if self._transport and address and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket if it is open; datagrams sent after that are dropped."""
        if self._transport:
            self._transport.close()
            self._transport = None

    def _address_of(self, peer: int) -> Address | None:
        if peer == ALL_PEERS:
            return self._broadcast_address
        if peer < len(self._peer_addresses):
            return self._peer_addresses[peer]
        return None
