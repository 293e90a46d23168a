"""Clients and hosts that burden a node, each kind run in a process of its own by `bench.hostile_clients`.

`python -m harness.hostile_peers KIND ADDRESS COUNT SECONDS` runs COUNT clients of this kind against ADDRESS.
`python -m harness.hostile_peers host-KIND` runs a host and prints its address; it ends with its input.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from typing import cast

import uvloop

from harness.configurations import KEY

Address = tuple[str, int]

SHORT_LINES = b"M 1\r\n" * 13_000
LOAD_LINES = b"LOAD 1\r\n" * 8_000
LONG_LINE = b"x" * 4000 + b"\r\n"
STREAMS = {"host-stream": LONG_LINE * 16, "host-loads": LOAD_LINES, "host-short": SHORT_LINES}
FIRST_LINE = "OPEN {:016x} {} c=chat,t={},d=2000,g={:016x}\r\n"
MANY_FIELDS = ",".join(f"a{number}=1" for number in range(600))
READ_BYTES = 1 << 16
SHORT_CALLS = b"{}\n" * 20_000
HALF_LINE_BYTES = 1_900_000
SLOW_WRITE_SECONDS = 0.05


class Host(asyncio.Protocol):
    """Answers the first line with UP and then behaves as its kind says."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._transport: asyncio.Transport | None = None
        self._established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the first line or a probe, or behave as the kind says."""
        assert self._transport
        if self._established:
            if self._kind == "host-echo":
                self._transport.write(data)
            return
        if data.startswith((b"STATS", b"PING")):
            self._transport.write(b"PONG inflight=1,x0=0.1\r\n")
            return
        if self._kind == "host-record":
            print(data.split()[1].decode(), time.monotonic(), flush=True)
        self._established = True
        self._transport.write(b"UP 77\r\n")
        if self._kind == "host-deaf":
            self._transport.pause_reading()
        self.resume_writing()

    def resume_writing(self) -> None:
        """Stream on, if the kind is a streaming one."""
        data = STREAMS.get(self._kind)
        if data and self._established and self._transport and not self._transport.is_closing():
            self._transport.write(data)
            if self._transport.get_write_buffer_size() < len(data):
                asyncio.get_running_loop().call_soon(self.resume_writing)

    def pause_writing(self) -> None:
        """Nothing: `resume_writing` follows."""


async def run_host(kind: str) -> None:
    """Serve until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Host(kind), "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


class Identifiers:
    """Random ids of requests, unique within a process."""

    def __init__(self) -> None:
        self._random = Random()
        self._first = self._random.getrandbits(60)
        self._numbers = itertools.count()

    def first_line(self, tenant: str = "acme") -> bytes:
        """Return a first line with a new id, a new key's group and this tenant."""
        number = self._first + next(self._numbers)
        return FIRST_LINE.format(number, KEY, tenant, number).encode()


IDENTIFIERS = Identifiers()


async def _open(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*address, limit=1 << 20)


async def _established(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await _open(address)
    writer.write(IDENTIFIERS.first_line())
    await reader.readline()
    return reader, writer


async def _drain_replies(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


async def relay_short_lines(address: Address, until: float) -> None:
    """Send 5-byte lines at full speed on an established connection, and read what comes back."""
    reader, writer = await _established(address)
    replies = asyncio.create_task(_drain_replies(reader))
    while time.monotonic() < until:
        writer.write(SHORT_LINES)
        await writer.drain()
    replies.cancel()
    writer.transport.abort()


async def read_stream(address: Address, until: float) -> None:
    """Read what the host streams at full speed."""
    reader, writer = await _established(address)
    while time.monotonic() < until and await reader.read(READ_BYTES):
        pass
    writer.transport.abort()


async def never_read(address: Address, until: float) -> None:
    """Be established, and read nothing more."""
    _, writer = await _established(address)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(until - time.monotonic())
    writer.transport.abort()


async def upload(address: Address, until: float) -> None:
    """Send long lines for as long as they are taken."""
    _, writer = await _established(address)
    while time.monotonic() < until:
        writer.write(LONG_LINE)
        await writer.drain()
    writer.transport.abort()


async def write_slowly(address: Address, until: float) -> None:
    """Send first lines byte by byte."""
    while time.monotonic() < until:
        _, writer = await _open(address)
        for byte in IDENTIFIERS.first_line():
            writer.write(bytes([byte]))
            await asyncio.sleep(SLOW_WRITE_SECONDS)
        writer.transport.abort()


async def stop_half_way(address: Address, until: float) -> None:
    """Send half of a long first line, and stop."""
    while time.monotonic() < until:
        reader, writer = await _open(address)
        writer.write(b"OPEN " + b"x" * 4000)
        await reader.read()
        writer.transport.abort()


async def many_fields(address: Address, until: float) -> None:
    """Send first lines of very many short fields."""
    while time.monotonic() < until:
        reader, writer = await _open(address)
        writer.write(IDENTIFIERS.first_line().replace(b"\r\n", b"," + MANY_FIELDS.encode() + b"\r\n"))
        await reader.read()
        writer.transport.abort()


async def unsound(address: Address, until: float) -> None:
    """Send unsound lines at full speed, on one connection after another."""
    while time.monotonic() < until:
        _, writer = await _open(address)
        with suppress(OSError):
            while time.monotonic() < until and not writer.transport.is_closing():
                writer.write(b"OPEN 1 2 3\r\n" * 1000)
                await writer.drain()
        writer.transport.abort()


async def new_names(address: Address, until: float) -> None:
    """Send requests under ever new ids, groups and keys as fast as they are answered."""
    while time.monotonic() < until:
        _, writer = await _established(address)
        writer.transport.abort()


async def new_tenants(address: Address, until: float) -> None:
    """Send requests of ever new tenants, which the settings do not have."""
    for number in itertools.count():
        if time.monotonic() >= until:
            return
        reader, writer = await _open(address)
        writer.write(IDENTIFIERS.first_line(f"tenant{number}"))
        await reader.readline()
        writer.transport.abort()


async def pings(address: Address, until: float) -> None:
    """Send PING at full speed on one connection."""
    reader, writer = await _open(address)
    while time.monotonic() < until:
        writer.write(b"PING\r\n")
        await reader.readline()
    writer.transport.abort()


async def lines(address: Address, until: float) -> None:
    """Send empty and short lines at full speed without reading, on one connection after another."""
    while time.monotonic() < until:
        _, writer = await _open(address)
        with suppress(OSError):
            while time.monotonic() < until and not writer.transport.is_closing():
                writer.write(b"stats\n" * 10_000)
                await writer.drain()
        writer.transport.abort()


async def console_calls(address: Address, until: float) -> None:
    """Call `stats` at the console again and again."""
    while time.monotonic() < until:
        reader, writer = await _open(address)
        writer.write(b"stats\n")
        await reader.read()
        writer.transport.abort()


async def socket_calls(path: str, until: float) -> None:
    """Send short calls to a Unix socket at full speed, and read what comes back."""
    reader, writer = await asyncio.open_unix_connection(path, limit=1 << 24)
    replies = asyncio.create_task(_drain_replies(reader))
    with suppress(OSError):
        while time.monotonic() < until and not writer.transport.is_closing():
            writer.write(SHORT_CALLS)
            await writer.drain()
    replies.cancel()
    writer.transport.abort()


async def socket_half_lines(path: str, until: float) -> None:
    """Send most of a line that is as long as a Unix socket takes, and stop."""
    _, writer = await asyncio.open_unix_connection(path, limit=1 << 24)
    with suppress(OSError):
        writer.write(b"x" * HALF_LINE_BYTES)
        await writer.drain()
        await asyncio.sleep(until - time.monotonic())
    writer.transport.abort()


async def leave_at_once(address: Address, until: float) -> None:
    """Send a first line and close at once."""
    while time.monotonic() < until:
        _, writer = await _open(address)
        writer.write(IDENTIFIERS.first_line())
        await writer.drain()
        writer.transport.abort()


async def leave_and_note(address: Address, until: float) -> None:
    """Send a first line, close at once, and print the id and the time of the close."""
    while time.monotonic() < until:
        _, writer = await _open(address)
        line = IDENTIFIERS.first_line()
        writer.write(line)
        writer.close()
        print(line.split()[1].decode(), time.monotonic(), flush=True)
        await asyncio.sleep(SLOW_WRITE_SECONDS)


SOCKET_KINDS = {client.__name__: client for client in (socket_calls, socket_half_lines)}
KINDS: dict[str, Callable[[Address, float], Awaitable[None]]] = {
    client.__name__: client
    for client in (
        relay_short_lines,
        read_stream,
        never_read,
        upload,
        write_slowly,
        stop_half_way,
        many_fields,
        unsound,
        new_names,
        new_tenants,
        pings,
        lines,
        console_calls,
        leave_at_once,
        leave_and_note,
    )
}


async def run_clients(kind: str, address: str, count: int, seconds: float) -> None:
    """Run clients of one kind; errors of the network end a client and no other."""
    until = time.monotonic() + seconds
    if kind in SOCKET_KINDS:
        clients = [SOCKET_KINDS[kind](address, until) for _ in range(count)]
    else:
        name, _, port = address.rpartition(":")
        clients = [KINDS[kind]((name, int(port)), until) for _ in range(count)]  # type: ignore[misc]
    await asyncio.gather(*clients, return_exceptions=True)


def main() -> None:
    """Run what the arguments name."""
    kind, *arguments = sys.argv[1:]
    if kind.startswith("host-"):
        uvloop.run(run_host(kind))
        return
    address, count, seconds = arguments
    uvloop.run(run_clients(kind, address, int(count), float(seconds)))


if __name__ == "__main__":
    main()
