"""TCP connections: an asyncio Protocol that hands what happens to a state machine, and dials."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from typing import cast

from limerudder.core.transport import Address, ConnectionMachine, OutboundMachine
from limerudder.net.clock import Clock

BUFFER = 64 * 1024  #: bytes waiting to be sent, before the machine is told that it is crowded


class TcpConnection(asyncio.Protocol):
    """Drives one machine with one connection; to the machine it is the Link."""

    def __init__(self, machine: ConnectionMachine, clock: Clock) -> None:
        self.machine: ConnectionMachine | None = machine
        self.clock = clock
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # of a connection that this node dialled
        self.task: asyncio.Task[None] | None = None
        self.early = b""  # written while there was no transport yet
        self.finishing = self.held = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio's word that the connection stands."""
        # cast, not checked: uvloop's transports do not descend from asyncio's classes
        transport = self.transport = cast(asyncio.Transport, transport)
        if self.machine is None:
            transport.abort()
            return
        transport.set_write_buffer_limits(BUFFER)
        if self.early:
            transport.write(self.early)
        self.machine.connection_made(self, self.clock.now_us())

    def data_received(self, data: bytes) -> None:
        """Bytes."""
        if self.machine:
            self.machine.data_received(data, self.clock.now_us())

    def eof_received(self) -> bool:
        """FIN; what goes out may still be sent."""
        if self.machine:
            self.machine.eof_received(self.clock.now_us())
        return self.machine is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        machine, self.machine = self.machine, None
        if machine:
            machine.connection_lost(self.clock.now_us())

    def pause_writing(self) -> None:
        """The other side reads slowly."""
        if self.machine:
            self.machine.set_writing_paused(True)

    def resume_writing(self) -> None:
        """It reads again."""
        if self.machine:
            self.machine.set_writing_paused(False)

    # Link

    def write(self, data: bytes) -> None:
        """Send bytes, in order."""
        if self.transport is None:
            self.early += data
        elif not self.transport.is_closing() and not self.finishing:
            self.transport.write(data)

    def half_close(self) -> None:
        """FIN once all is written."""
        if self.transport and not self.finishing and not self.transport.is_closing():
            self.transport.write_eof()
        self.finishing = True

    def set_reading_paused(self, on: bool) -> None:
        """Stop reading, or read on."""
        # guards last words to a client that has ended its side: reading on after a FIN would bring it again
        if on != self.held and self.transport and not self.transport.is_closing():
            self.held = on
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def has_disconnected(self) -> bool:
        """Whether the other side's FIN or reset is here, also behind bytes that are not read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(look.poll(0))

    def close(self) -> None:
        """End the connection now."""
        self.machine = None
        if self.task and self.transport is None:
            self.task.cancel()
        if self.sock:
            # guards against two attempts of a request out: a transport closes in the loop's next round only,
            # and by then the next attempt would be on its way
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport:
            self.transport.abort()

    def reset(self) -> None:
        """End the connection now with a reset."""
        if self.transport and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock = None
        self.close()


class TcpConnector:
    """Sets up connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock

    def dial(self, address: Address, machine: OutboundMachine) -> TcpConnection:
        """Connect and write the machine's first bytes; the task ends when the connection stands."""
        stream = TcpConnection(machine, self.clock)
        stream.task = self.loop.create_task(self._connect(address, machine, stream))
        return stream

    async def _connect(self, address: Address, machine: OutboundMachine, stream: TcpConnection) -> None:
        sock = None
        try:
            sock = stream.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.sock_connect(sock, address)
            # written here and not by the transport, which would not say when the last byte was out
            first = machine.first_bytes(self.clock.now_us())
            if stream.machine is None:  # found out at the last moment that nobody wants it any more
                raise ConnectionAbortedError
            await self.loop.sock_sendall(sock, first)
            machine.first_bytes_sent()
            await self.loop.create_connection(lambda: stream, sock=sock)
        except (OSError, asyncio.CancelledError):  # refused, unreachable, no socket left; or given up
            stream.sock = None
            if sock:
                sock.close()
            if stream.machine:
                stream.machine = None
                machine.connection_lost(self.clock.now_us())
