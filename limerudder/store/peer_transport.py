"""Connections of a member to all other members.

Each pair of members has up to two connections, one dialled by each side; messages are sent on the one that
this member dialled, or on the other one if that is not established.
Messages may be lost: Raft and the requests to the leader retry what is not answered.
"""

from __future__ import annotations

import asyncio
import socket

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address, parse_address
from limerudder.store import rpc
from limerudder.store.framing import FrameTooLongError, encode_frame
from limerudder.store.peer_connection import UNKNOWN_MEMBER, PeerConnection, PeerHandler
from limerudder.store.raft.messages import ClusterConfig

REDIAL_SECONDS = 0.1  #: Delay before dialling again after a failed or closed connection
MAX_UNAUTHENTICATED = 64  #: Maximum accepted connections without a handshake; above it the oldest is closed


class PeerTransport:
    """Dials the other members, accepts connections from them, and sends messages to them."""

    def __init__(self, handler: PeerHandler, member_id: int, log: LogSink) -> None:
        self.dropped_messages = 0
        self._handler = handler
        self._member_id = member_id
        self._log = log
        self._addresses: dict[int, Address] = {}  # Addresses of the other members, by member
        self._connections: set[PeerConnection] = set()  # Connections in any state
        self._unauthenticated: dict[PeerConnection, None] = {}  # Accepted connections, oldest first
        self._dialled: dict[int, PeerConnection] = {}  # Established connections to members, by member
        self._accepted: dict[int, PeerConnection] = {}  # Established connections from members, by member
        self._dial_tasks: dict[int, asyncio.Task[None]] = {}  # Running dial tasks, by member
        self._redial_timers: dict[int, asyncio.TimerHandle] = {}  # Pending redials, by member
        self._server: asyncio.Server | None = None
        self._closed = False

    async def listen(self, bound_socket: socket.socket) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._create_connection, sock=bound_socket)

    def set_members(self, config: ClusterConfig) -> None:
        """Stay connected to the members of this configuration, and dial no others."""
        self._addresses = self._peer_addresses(config)
        for member_id in self._addresses:
            self._dial(member_id)
        for member_id, connection in list(self._dialled.items()):
            if member_id not in self._addresses:
                connection.close()

    def is_connected_to(self, member_id: int) -> bool:
        """Whether a connection dialled by this member to another one is established."""
        return member_id in self._dialled

    def send(self, recipient_id: int, message: rpc.StoreMessage) -> None:
        """Send a message.

        Drop it if there is no connection, the connection's unsent output exceeds the limit, or the message
        does not fit into a frame; the latter is a defect of the sender.
        """
        connection = self._dialled.get(recipient_id) or self._accepted.get(recipient_id)
        if connection is None or connection.is_congested():
            self.dropped_messages += 1
            return
        try:
            frame = encode_frame(rpc.encode_message(message))
        except FrameTooLongError as error:
            self.dropped_messages += 1
            kind = type(message).__name__
            text = f"store: cannot send {kind} to member {recipient_id:016x}: {error}; dropped"
            self._log(LogKind.STORE_MESSAGE_TOO_LONG, text, kind)
            return
        connection.send(frame)

    def close(self) -> None:
        """Abort all connections and end all tasks and timers."""
        self._closed = True
        if self._server:
            self._server.close()
        for timer in self._redial_timers.values():
            timer.cancel()
        for task in self._dial_tasks.values():
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: PeerConnection) -> None:
        """Track a connection, and limit the number of unauthenticated ones."""
        self._connections.add(connection)
        if connection.is_dialled:
            return
        self._unauthenticated[connection] = None
        while len(self._unauthenticated) > MAX_UNAUTHENTICATED:
            oldest = next(iter(self._unauthenticated))
            del self._unauthenticated[oldest]
            oldest.close()

    def connection_established(self, connection: PeerConnection) -> None:
        """Use the connection for messages to its member."""
        self._unauthenticated.pop(connection, None)
        self._established_connections(connection)[connection.member_id] = connection

    def connection_closed(self, connection: PeerConnection) -> None:
        """Remove a connection, and dial its member again if this member had dialled it."""
        self._connections.discard(connection)
        self._unauthenticated.pop(connection, None)
        established = self._established_connections(connection)
        if established.get(connection.member_id) is connection:
            del established[connection.member_id]
        if connection.is_dialled and not self._closed:
            self._schedule_redial(connection.member_id)

    def _create_connection(self, member_id: int = UNKNOWN_MEMBER) -> PeerConnection:
        return PeerConnection(self, self._handler, self._log, member_id)

    def _established_connections(self, connection: PeerConnection) -> dict[int, PeerConnection]:
        return self._dialled if connection.is_dialled else self._accepted

    def _peer_addresses(self, config: ClusterConfig) -> dict[int, Address]:
        addresses: dict[int, Address] = {}
        for member in config.members:
            if member.id == self._member_id:
                continue
            try:
                addresses[member.id] = parse_address(member.address)
            except ValueError:
                text = f"store: {member.name} has no valid address: {member.address!r}"
                self._log(LogKind.STORE_PEER_REJECTED, text)
        return addresses

    def _dial(self, member_id: int) -> None:
        if self._closed or member_id in self._dial_tasks or member_id in self._dialled:
            return
        task = asyncio.get_running_loop().create_task(self._dial_until_connected(member_id))
        self._dial_tasks[member_id] = task

    async def _dial_until_connected(self, member_id: int) -> None:
        try:
            while member_id in self._addresses and not self._closed:
                if await self._try_connect(member_id):
                    return
                await asyncio.sleep(REDIAL_SECONDS)
        finally:
            self._dial_tasks.pop(member_id, None)

    async def _try_connect(self, member_id: int) -> bool:
        """Dial once; return whether TCP has connected. `connection_established` follows the handshake."""
        loop = asyncio.get_running_loop()
        host, port = self._addresses[member_id]
        try:
            await loop.create_connection(lambda: self._create_connection(member_id), host, port)
        except OSError:
            return False
        return True

    def _schedule_redial(self, member_id: int) -> None:
        if member_id in self._redial_timers:
            return
        loop = asyncio.get_running_loop()
        self._redial_timers[member_id] = loop.call_later(REDIAL_SECONDS, self._redial, member_id)

    def _redial(self, member_id: int) -> None:
        del self._redial_timers[member_id]
        if member_id in self._addresses:
            self._dial(member_id)
