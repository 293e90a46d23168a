"""What joins a state machine to the driver of its connection."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Protocol

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 256  #: bytes to a peer; a longer one is against the rules


def read_address(text: object) -> Address:
    """An IPv4 address and a port, or ValueError: there is no DNS where a node runs."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not 0 <= int(port) <= 65535:
        raise ValueError(f"not an address: {text!r}")
    return str(IPv4Address(host)), int(port)


class Transport(Protocol):
    """A connection as a state machine sees it: what it may ask of the driver."""

    def write(self, data: bytes) -> None:
        """Send bytes, in order."""

    def finish(self) -> None:
        """End the sending side once all is written; what comes in is still read."""

    def close(self) -> None:
        """End the connection now, also while it is being set up. The machine hears no more of it."""

    def reset(self) -> None:
        """End the connection now with a reset. The machine hears no more of it."""

    def hold(self, on: bool) -> None:
        """Stop reading, or read on."""

    def left(self) -> bool:
        """Whether the other side has ended its sending or broken off, read or not yet."""


class ConnectionMachine(Protocol):
    """A state machine as a driver sees it. Times are the node's clock, in microseconds."""

    def connected(self, link: Transport, now: int) -> None:
        """The connection stands."""

    def feed(self, data: bytes, now: int) -> None:
        """Bytes have come."""

    def eof(self, now: int) -> None:
        """The other side has ended its sending."""

    def lost(self, now: int) -> None:
        """The connection is broken, or never came up."""

    def crowded(self, on: bool) -> None:
        """The other side reads too slowly, or reads again."""


class OutboundMachine(ConnectionMachine, Protocol):
    """A machine whose connection this node sets up: its first bytes are written as part of that."""

    def opening(self, now: int) -> bytes:
        """The connection is up; these bytes are to be written first. It may close its link instead."""

    def written(self) -> None:
        """The last of those bytes has been written."""


class OutboundMachineBase:
    """What machines whose connection this node sets up have in common."""

    link: Transport | None = None  # handed out when the dial begins

    def connected(self, link: Transport, now: int) -> None:
        """The connection stands; it is the one that was dialled."""

    def written(self) -> None:
        """Most have no need of it."""

    def crowded(self, on: bool) -> None:
        """Most send a few short lines only."""


class Network(Protocol):
    """Sets up connections to other parties and sends datagrams to peers."""

    def dial(self, address: Address, machine: OutboundMachine) -> Transport:
        """Connect; failure comes as the machine's `lost`, later and never inside this call."""

    def tell(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, by number, or to policy.actions.ALL_PEERS."""
