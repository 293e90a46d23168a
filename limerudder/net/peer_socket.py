"""Datagrams between nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from limerudder.core.transport import MAX_DATAGRAM_BYTES, Address
from limerudder.policy.actions import ALL_PEERS


class PeerSocket(asyncio.DatagramProtocol):
    """Sends to a peer by number; `heard` gets each datagram with its sender's number, if a peer's."""

    def __init__(
        self, peers: Sequence[Address], everyone: Address | None, heard: Callable[[int | None, bytes], None]
    ) -> None:
        self.peers, self.everyone, self.heard = peers, everyone, heard
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """A datagram, whoever sent it."""
        self.heard(self.numbers.get((addr[0], addr[1])), data)

    def error_received(self, exc: Exception) -> None:
        """Datagrams may be lost."""

    def send(self, peer: int, data: bytes) -> None:
        """To one peer, or to all of them."""
        address = self.everyone if peer == ALL_PEERS else self.peers[peer] if peer < len(self.peers) else None
        if self.transport and address and len(data) <= MAX_DATAGRAM_BYTES:
            self.transport.sendto(data, address)
