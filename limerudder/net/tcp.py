"""TCP connections: an asyncio protocol that drives a state machine, and a connector for outgoing ones."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from limerudder.core.transport import Address, ConnectionMachine, OutboundMachine
from limerudder.net.clock import Clock
from limerudder.net.shortage import is_shortage

#: Maximum number of unsent bytes before the machine has to pause writing.
WRITE_BUFFER_LIMIT_BYTES = 64 * 1024
#: Receive buffer size, and so the maximum amount of data in one read event of a connection.
RECEIVE_BUFFER_BYTES = 64 * 1024
#: SO_LINGER value (on, 0 s) that makes a close send a reset instead of a FIN.
LINGER_RESET = struct.pack("ii", 1, 0)
SHORTAGE_RETRY_SECONDS = 0.01
_QUEUE_SIZE = struct.Struct("i")  # the result of the ioctl call for the size of a send queue


class TcpConnection(asyncio.Protocol):
    """Drives one state machine with one connection, and is the machine's Transport.

    It forwards events unchanged and makes no decisions.
    """

    def __init__(self, machine: ConnectionMachine, clock: Clock) -> None:
        self.machine: ConnectionMachine | None = machine  # None once it must not receive further events
        self.transport: asyncio.Transport | None = None
        self.dialled_socket: socket.socket | None = None  # socket of an outgoing connection
        self.connect_task: asyncio.Task[None] | None = None
        self._clock = clock
        self._early_data = b""  # bytes written before the transport existed
        self._half_closed = False
        self._reading_paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward that the connection is established, unless it has been closed in the meantime."""
        # cast instead of a check: uvloop's transports do not inherit from asyncio's classes
        self.transport = cast(asyncio.Transport, transport)
        if self.machine is None:
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT_BYTES)
        if self._early_data:
            self.transport.write(self._early_data)
        self.machine.connection_made(self, self._clock.now_us())

    def data_received(self, data: bytes) -> None:
        """Forward received bytes."""
        if self.machine:
            self.machine.data_received(data, self._clock.now_us())

    def eof_received(self) -> bool:
        """Forward the remote side's end of stream; returns True to keep the transport open."""
        if self.machine:
            self.machine.eof_received(self._clock.now_us())
        return self.machine is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Forward that the connection is closed."""
        machine = self.machine
        self.machine = None
        if machine:
            machine.connection_lost(self._clock.now_us())

    def pause_writing(self) -> None:
        """Forward that the write buffer is full: the remote side reads too slowly."""
        if self.machine:
            self.machine.set_writing_paused(True)

    def resume_writing(self) -> None:
        """Forward that the write buffer has drained."""
        if self.machine:
            self.machine.set_writing_paused(False)

    # Transport

    def write(self, data: bytes) -> None:
        """Send bytes in order."""
        if self.transport is None:
            self._early_data += data
        elif not self.transport.is_closing() and not self._half_closed:
            self.transport.write(data)

    def half_close(self) -> None:
        """Send a FIN once all data has been written."""
        if self.transport and not self._half_closed and not self.transport.is_closing():
            self.transport.write_eof()
        self._half_closed = True

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading; does nothing if the state is unchanged."""
        # resuming without a pause makes uvloop report a FIN of the remote side again, and a client that has
        # half-closed its connection would lose its final response
        if paused == self._reading_paused or self.transport is None or self.transport.is_closing():
            return
        self._reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def has_disconnected(self) -> bool:
        """Return whether a FIN or reset has arrived, including one behind unread bytes."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def unsent_bytes(self) -> int:
        """Return the bytes written but not acknowledged, in the buffers of this process and of the system."""
        if self.transport is None:
            return len(self._early_data)
        if self.transport.is_closing():
            return 0
        descriptor = self.transport.get_extra_info("socket").fileno()
        return self.transport.get_write_buffer_size() + _unacknowledged_bytes(descriptor)

    def close(self) -> None:
        """Close the connection immediately; the machine receives no further events."""
        self.machine = None
        if self.connect_task and self.transport is None:
            self.connect_task.cancel()
        if self.dialled_socket:
            # a transport closes its socket only in the next iteration of the event loop; the request's next
            # attempt could start before that, and two attempts of one request would be active
            with suppress(OSError):
                self.dialled_socket.shutdown(socket.SHUT_RDWR)
        if self.transport:
            self.transport.abort()

    def reset(self) -> None:
        """Reset the connection immediately; the machine receives no further events."""
        if self.transport and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.dialled_socket = None  # a shutdown would send a FIN first
        self.close()


def _unacknowledged_bytes(descriptor: int) -> int:
    """Return the size of a socket's send queue (SIOCOUTQ, see tcp(7)); 0 where the system cannot tell it."""
    try:
        answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size))
    except OSError:
        return 0
    return int(_QUEUE_SIZE.unpack(answer)[0])


class TcpConnector:
    """Opens outgoing connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop = loop
        self._clock = clock
        #: Called with the address and the error of a dial that failed because of a local resource shortage.
        self.on_local_failure: Callable[[Address, OSError], None] = lambda address, error: None

    def dial(self, address: Address, machine: OutboundMachine) -> TcpConnection:
        """Connect and write the machine's first bytes, in a task that the connection owns."""
        connection = TcpConnection(machine, self._clock)
        connection.connect_task = self.loop.create_task(self._connect(address, machine, connection))
        return connection

    async def _connect(self, address: Address, machine: OutboundMachine, connection: TcpConnection) -> None:
        """Set up the connection, or notify the machine that it is lost."""
        sock = None
        try:
            sock = await self._open_socket(address, connection)
            # written here because the transport does not report when the last byte has been sent
            first_bytes = machine.first_bytes(self._clock.now_us())
            if connection.machine is None:  # the machine has closed it: no longer needed
                raise ConnectionAbortedError
            await self.loop.sock_sendall(sock, first_bytes)
            machine.first_bytes_sent(self._clock.now_us())
            await self.loop.create_connection(lambda: connection, sock=sock)
        except (OSError, asyncio.CancelledError):  # refused, unreachable or closed
            connection.dialled_socket = None
            if sock:
                sock.close()
            if connection.machine:
                connection.machine = None
                machine.connection_lost(self._clock.now_us())

    async def _open_socket(self, address: Address, connection: TcpConnection) -> socket.socket:
        """Return a connected socket; raises OSError if the remote side or the network refuses the connection.

        A local shortage says nothing about the remote side: the dial is retried until the caller closes the
        connection.
        """
        while True:
            try:
                return await self._try_to_open_socket(address, connection)
            except OSError as exc:
                if not is_shortage(exc):
                    raise
                self.on_local_failure(address, exc)
            await asyncio.sleep(SHORTAGE_RETRY_SECONDS)

    async def _try_to_open_socket(self, address: Address, connection: TcpConnection) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        connection.dialled_socket = sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # bounds the time that an upstream sending at full speed can occupy the event loop in one read
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await self.loop.sock_connect(sock, address)
        except BaseException:
            connection.dialled_socket = None
            sock.close()
            raise
        return sock
