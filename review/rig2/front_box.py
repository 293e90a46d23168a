"""A stand-in for a front box: a sound server that holds long-lived connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import NamedTuple

from rig2.record import Record


class Send(NamedTuple):
    """A client's first line that has arrived at a front box."""

    at: float
    node: str  #: the node that the address was given to
    request_id: str


class FrontBox:
    """Takes connections, returns each line at once, answers probes; turns new work away while it drains."""

    def __init__(self, record: Record, name: str) -> None:
        self.name = name
        self.sends: list[Send] = []
        self.wants_new_work = True  # a draining box answers BUSY and keeps what it has
        self.open_connections = 0
        self._record = record
        self._servers: list[asyncio.Server] = []
        self._receipts = 0

    async def listen(self, node: str) -> str:
        """Listen on a free port for connections of one node; return the address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                with suppress(OSError, EOFError, ValueError):
                    await self.serve(node, reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while line := await reader.readline():
            if line == b"PING\r\n":
                writer.write(b"PONG\r\n")
            elif line == b"STATS\r\n":
                load = self.open_connections / 50
                writer.write(b"PONG eps=0,inflight=%d,x0=%.3f\r\n" % (self.open_connections, load))
            elif line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                await self.serve_request(node, line, reader, writer)
                return
            else:
                writer.write(b"SYNTAX\r\n")
                self._record.note(f"{self.name}: from {node}: a line in no known form: {line!r}")
                return

    async def serve_request(
        self, node: str, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a first line, and serve its connection to the end."""
        request_id = line.split()[1].decode()
        self.sends.append(Send(self._record.now(), node, request_id))
        if not self.wants_new_work:
            self._record.note(f"{self.name}: from {node}: OPEN {request_id}: answered BUSY")
            writer.write(b"BUSY\r\n")
            return
        self._receipts += 1
        self._record.note(f"{self.name}: from {node}: OPEN {request_id}: answered UP {self._receipts}")
        writer.write(b"UP %d\r\n" % self._receipts)
        self.open_connections += 1
        try:
            while message := await reader.readline():
                writer.write(message)
                await writer.drain()
            writer.write(b"BYE\r\n")
        finally:
            self.open_connections -= 1
