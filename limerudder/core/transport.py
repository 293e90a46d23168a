"""The interface between protocol state machines and the drivers of their connections.

A state machine does no I/O itself: a driver reports the events of its connection, and the machine acts
through the `Transport` that the driver provides. Times are microseconds of the node's clock.
"""

from __future__ import annotations

from functools import lru_cache
from ipaddress import IPv4Address
from typing import Protocol

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 256  #: The platform's size limit for a datagram to a peer.
_MAX_PORT = 65535
#: Cache size for parsed addresses, which lists repeat; parsing one is most of the cost of a list's entry.
MAX_CACHED_ADDRESSES = 4096


@lru_cache(MAX_CACHED_ADDRESSES)
def parse_address(text: object) -> Address:
    """Parse `IPv4:port`; host names are not supported, since nodes run without DNS. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return str(IPv4Address(host)), int(port)


class Transport(Protocol):
    """A connection as seen by its state machine."""

    def write(self, data: bytes) -> None:
        """Send bytes, in order."""

    def half_close(self) -> None:
        """Close the sending side once all data is written; reading continues."""

    def close(self) -> None:
        """Close the connection now, even during connection setup. The machine receives no further events."""

    def reset(self) -> None:
        """Close the connection now with a TCP reset. The machine receives no further events."""

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading from the connection."""

    def has_disconnected(self) -> bool:
        """Return whether a FIN or reset has arrived from the other side, even behind unread bytes."""

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the other side has not acknowledged; 0 once closed."""


class ConnectionMachine(Protocol):
    """A protocol's state machine as seen by the driver of its connection."""

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """The connection is established."""

    def data_received(self, data: bytes, now_us: int) -> None:
        """Bytes have arrived."""

    def eof_received(self, now_us: int) -> None:
        """The other side has closed its sending side."""

    def connection_lost(self, now_us: int) -> None:
        """The connection was lost or could not be established."""

    def set_writing_paused(self, paused: bool) -> None:
        """The write buffer has become full because the other side reads slowly, or has drained."""


class OutboundMachine(ConnectionMachine, Protocol):
    """A machine whose connection this node dials; its first bytes are written during the dial."""

    def first_bytes(self, now_us: int) -> bytes:
        """Return the first bytes to write on the new connection; may close the transport instead."""

    def first_bytes_sent(self, now_us: int) -> None:
        """All of the first bytes are written."""


class OutboundMachineBase:
    """Defaults for outbound machines that send only a few short lines."""

    transport: Transport | None = None  # set as soon as the dial begins

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Ignored: the transport was set when the dial began."""

    def first_bytes_sent(self, now_us: int) -> None:
        """Ignored."""

    def set_writing_paused(self, paused: bool) -> None:
        """Ignored: there is no data source to pause."""


class Network(Protocol):
    """Dials connections and sends datagrams to peers."""

    def dial(self, address: Address, machine: OutboundMachine) -> Transport:
        """Start connecting. Failures are reported by `connection_lost`, never during this call."""

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, by its number, or to `policy.actions.ALL_PEERS`."""
