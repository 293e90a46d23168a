"""A TCP connection between two members: a handshake, followed by frames of messages.

The dialling member sends its handshake first. The other side validates it and answers with its own, or with
a text that states why it rejects the peer.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Any, Protocol, cast

import msgspec

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.store import rpc
from limerudder.store.framing import MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from limerudder.store.peer_authentication import Handshake

UNKNOWN_MEMBER = 0  #: Reserved identifier that no member has
MAX_HANDSHAKE_BYTES = 4096  #: Maximum payload size of a frame until the peer has been accepted
HANDSHAKE_TIMEOUT_SECONDS = 2.0
MAX_BUFFERED_BYTES = 8 << 20  #: Maximum unsent output for a slow peer; messages above it are dropped
MAX_LOGGED_REASON_CHARACTERS = 300  #: Maximum logged length of a text sent by a peer

_encode = msgspec.msgpack.Encoder().encode
_handshake_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Handshake | str)


class PeerHandler(Protocol):
    """The interface of a member to its connections."""

    def create_handshake(self, recipient_id: int) -> Handshake:
        """Return this member's handshake for a peer."""

    def handshake_rejection(self, handshake: Handshake) -> str | None:
        """Return why a peer with this handshake is rejected, or None if it is accepted."""

    def message_received(self, sender_id: int, message: rpc.StoreMessage) -> None:
        """Handle a message of an accepted peer."""


class ConnectionOwner(Protocol):
    """Tracks a member's connections."""

    def connection_opened(self, connection: PeerConnection) -> None:
        """The TCP connection is established; the handshake follows."""

    def connection_established(self, connection: PeerConnection) -> None:
        """The peer has been accepted; `member_id` is now set, also for accepted connections."""

    def connection_closed(self, connection: PeerConnection) -> None:
        """The connection has ended."""


class ConnectionState(Enum):
    """The stage of a connection."""

    CONNECTING = auto()
    HANDSHAKING = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


class PeerConnection(asyncio.Protocol):
    """A connection dialled to a known member or accepted from a peer that is not identified yet."""

    def __init__(
        self,
        owner: ConnectionOwner,
        handler: PeerHandler,
        log: LogSink,
        dialled_member_id: int = UNKNOWN_MEMBER,
    ) -> None:
        self.is_dialled = dialled_member_id != UNKNOWN_MEMBER
        self.member_id = dialled_member_id
        self.state = ConnectionState.CONNECTING
        self._owner = owner
        self._handler = handler
        self._log = log
        self._decoder = FrameDecoder(MAX_HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None
        self._handshake_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        self.state = ConnectionState.HANDSHAKING
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self.close)
        self._owner.connection_opened(self)
        if self.is_dialled:
            self._send_handshake()

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, which are untrusted until the peer has been accepted."""
        try:
            for payload in self._decoder.feed(data):
                self._payload_received(payload)
        except (FrameError, msgspec.DecodeError) as error:
            # Any program may send data to an open port; only the sender's connection is closed
            self._log_rejection(f"sends what is no message: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection has ended."""
        self.close()
        self._owner.connection_closed(self)

    def send(self, frame: bytes) -> None:
        """Send a frame, unless the connection is closing."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(frame)

    def is_congested(self) -> bool:
        """Whether the unsent output exceeds its limit, so that further messages are dropped."""
        if self._transport is None or self._transport.is_closing():
            return False
        return self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES

    def close(self) -> None:
        """Close the connection once all pending output has been sent."""
        self._end_handshake(ConnectionState.CLOSED)
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._end_handshake(ConnectionState.CLOSED)
        if self._transport:
            self._transport.abort()

    def _payload_received(self, payload: bytes) -> None:
        if self.state is ConnectionState.ESTABLISHED:
            self._handler.message_received(self.member_id, rpc.decode_message(payload))
        elif self.state is ConnectionState.HANDSHAKING:
            self._handshake_received(_handshake_decoder.decode(payload))

    def _handshake_received(self, handshake: Handshake | str) -> None:
        if isinstance(handshake, str):
            reason = handshake[:MAX_LOGGED_REASON_CHARACTERS]
            text = f"store: member {self.member_id:016x} rejected this one: {reason}"
            self._log(LogKind.STORE_PEER_REJECTED, text)
            self.close()
            return
        rejection = self._rejection_reason(handshake)
        if rejection is not None:
            self._reject(rejection)
            return
        self._establish(handshake.sender_id)

    def _rejection_reason(self, handshake: Handshake) -> str | None:
        reason = self._handler.handshake_rejection(handshake)
        if reason is None and self.is_dialled and handshake.sender_id != self.member_id:
            return f"is member {handshake.sender_id:016x} and not {self.member_id:016x}"
        return reason

    def _reject(self, reason: str) -> None:
        self._log_rejection(reason)
        if not self.is_dialled:  # The dialling side expects an answer to its handshake
            self._send_payload(reason)
        self.close()

    def _establish(self, member_id: int) -> None:
        self.member_id = member_id
        self._end_handshake(ConnectionState.ESTABLISHED)
        self._decoder.max_frame_bytes = MAX_FRAME_BYTES
        if not self.is_dialled:
            self._send_handshake()
        self._owner.connection_established(self)

    def _end_handshake(self, state: ConnectionState) -> None:
        self.state = state
        if self._handshake_timer:
            self._handshake_timer.cancel()

    def _send_handshake(self) -> None:
        self._send_payload(self._handler.create_handshake(self.member_id))

    def _send_payload(self, payload: Handshake | str) -> None:
        if self._transport:
            self._transport.write(encode_frame(_encode(payload)))

    def _log_rejection(self, reason: str) -> None:
        peer_address = self._transport.get_extra_info("peername") if self._transport else None
        peer = ":".join(map(str, peer_address or ("nobody",)))
        self._log(LogKind.STORE_PEER_REJECTED, f"store: rejected {peer}: {reason}")
