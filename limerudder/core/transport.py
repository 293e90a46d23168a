"""The interface between protocol state machines and the drivers of their connections.

A state machine does no I/O of its own: a driver reports what happens to its connection, and the machine acts
through the `Transport` that the driver gives it. Times are microseconds of the node's clock.
"""

from __future__ import annotations

from functools import lru_cache
from ipaddress import IPv4Address
from typing import Protocol

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 256  #: the platform's limit for one datagram to a peer
_MAX_PORT = 65535
MAX_CACHED_ADDRESSES = 4096  #: lists of hosts repeat theirs, and checking one is most of the work on an entry


@lru_cache(MAX_CACHED_ADDRESSES)
def parse_address(text: object) -> Address:
    """Parse `IPv4:port`; there is no DNS where a node runs. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return str(IPv4Address(host)), int(port)


class Transport(Protocol):
    """One connection, as its state machine uses it."""

    def write(self, data: bytes) -> None:
        """Send bytes, in order."""

    def half_close(self) -> None:
        """End the sending side once all is written; what comes in is still read."""

    def close(self) -> None:
        """End the connection now, even while it is being set up. Nothing more is reported to the machine."""

    def reset(self) -> None:
        """End the connection now with a TCP reset. Nothing more is reported to the machine."""

    def set_reading_paused(self, paused: bool) -> None:
        """Stop reading from the connection, or resume."""

    def has_disconnected(self) -> bool:
        """Return whether the other side's FIN or reset has arrived, even behind unread bytes."""


class ConnectionMachine(Protocol):
    """A protocol's state machine, as the driver of its connection uses it."""

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """The connection is established."""

    def data_received(self, data: bytes, now_us: int) -> None:
        """Bytes have arrived."""

    def eof_received(self, now_us: int) -> None:
        """The other side has ended its sending side."""

    def connection_lost(self, now_us: int) -> None:
        """The connection is broken, or could not be established."""

    def set_writing_paused(self, paused: bool) -> None:
        """The write buffer is full because the other side reads slowly, or has drained again."""


class OutboundMachine(ConnectionMachine, Protocol):
    """A machine whose connection this node dials: its first bytes are written while dialling."""

    def first_bytes(self, now_us: int) -> bytes:
        """Return what to write first on the connection just dialled; it may close the transport instead."""

    def first_bytes_sent(self, now_us: int) -> None:
        """The last of the first bytes is written."""


class OutboundMachineBase:
    """Defaults for outbound machines that send a few short lines only."""

    transport: Transport | None = None  # set as soon as the dial begins

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Ignore it: the transport is that of the dial."""

    def first_bytes_sent(self, now_us: int) -> None:
        """Ignore it."""

    def set_writing_paused(self, paused: bool) -> None:
        """Ignore it: there is nothing to hold back."""


class Network(Protocol):
    """Dials connections and sends datagrams to peers."""

    def dial(self, address: Address, machine: OutboundMachine) -> Transport:
        """Start to connect. A failure is reported by `connection_lost`, never from within this call."""

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, by its number, or to `policy.actions.ALL_PEERS`."""
