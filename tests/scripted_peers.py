"""The one helper of the node's tests: a node among scripted peers, in memory or on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from harness.configurations import ID, KEY, LINE, SECOND, configuration, fresh, host, hosts, settings
from limerudder.config import ProcessConfig, load_config
from limerudder.core.client.session import LineSession
from limerudder.core.node import Node
from limerudder.core.transport import OutboundMachine, parse_address
from limerudder.node_process import run_node

__all__ = ["ID", "KEY", "LINE", "SECOND", "configuration", "fresh", "host", "hosts", "settings"]


class FakeTransport:
    """A link that remembers what was asked of it; for a dial, with the machine that dialled."""

    def __init__(self, machine: Any = None, address: tuple[str, int] = ("", 0)) -> None:
        self.machine, self.address = machine, address
        self.sent = b""
        self.reading_paused = self.half_closed = self.closed = self.was_reset = False
        self.peer_disconnected = False  # the other side has left, and what it sent before is not read yet

    def write(self, data: bytes) -> None:
        assert not self.half_closed and not self.closed
        self.sent += data

    def half_close(self) -> None:
        self.half_closed = True

    def close(self) -> None:
        self.closed = True

    def reset(self) -> None:
        self.closed = self.was_reset = True

    def set_reading_paused(self, on: bool) -> None:
        self.reading_paused = on

    def has_disconnected(self) -> bool:
        return self.peer_disconnected

    def accept(self, now: int) -> str:
        """The dial succeeds and its first bytes are written; they are returned."""
        first = self.machine.first_bytes(now)
        if self.closed:
            return ""  # given up in the last moment
        self.sent += first
        self.machine.first_bytes_sent()
        self.machine.connection_made(self, now)
        return self.sent.decode()


class World:
    """A node in memory: its clock, its dials, its log; checks that no request has two attempts out."""

    def __init__(self, config: ProcessConfig) -> None:
        self.now, self.dials, self.logged = 50 * SECOND, list[FakeTransport](), list[str]()
        self.came = 0
        self.datagrams: list[tuple[int, bytes]] = []
        self.node = Node(config, self, lambda kind, text, detail="": self.logged.append(text), self.now)

    def dial(self, address: tuple[str, int], machine: OutboundMachine) -> FakeTransport:
        self.dials.append(FakeTransport(machine, address))
        owners = [d.machine.observer for d in self.attempts()]
        assert len(owners) == len(set(owners)), "two attempts of a request are out"
        return self.dials[-1]

    def send_datagram(self, peer: int, data: bytes) -> None:
        self.datagrams.append((peer, data))

    def connect(self) -> tuple[LineSession, FakeTransport]:
        """A client connects and says nothing."""
        session, link = LineSession(self.node), FakeTransport()
        session.connection_made(link, self.now)
        return session, link

    def client(self, line: str = LINE) -> tuple[LineSession, FakeTransport]:
        """A client connects and sends its first line, with an id of its own."""
        line, self.came = fresh(line, self.came), self.came + 1
        session, link = self.connect()
        session.data_received(line.encode() + b"\r\n", self.now)
        return session, link

    def attempts(self) -> list[FakeTransport]:
        """The dials to upstreams with a client's line that are not closed."""
        return [d for d in self.dials if hasattr(d.machine, "line") and not d.closed]

    def served(self, line: str = LINE) -> tuple[LineSession, FakeTransport, FakeTransport]:
        """A client that is up: its session, its link and its attempt's."""
        session, link = self.client(line)
        attempt = self.attempts()[-1]
        attempt.accept(self.now)
        attempt.machine.data_received(b"UP 77\r\n", self.now)
        assert link.sent == b"UP 77\r\n"
        return session, link, attempt

    def run(self, duration: int) -> None:
        """Let time pass, a tick at a time."""
        for _ in range(duration // 5000):
            self.now += 5000
            self.node.timer_wheel.advance(self.now)


def world(folder: Path, **changes: Any) -> World:
    """A node in memory with this configuration."""
    return World(load_config(configuration(folder, **changes)))


class Peer:
    """One scripted connection, as a client or as an upstream."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def line(self) -> str:
        """The next line; nothing at the end."""
        return (await self.reader.readline()).decode().removesuffix("\r\n")

    def say(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())


class Listener:
    """A scripted server; `take` gives its next connection."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[Peer] = asyncio.Queue()

    async def start(self) -> str:
        server = await asyncio.start_server(lambda r, w: self.came.put_nowait(Peer(r, w)), "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def take(self) -> Peer:
        return await self.came.get()


class Process:
    """A node in a process of its own, its console, and what it prints."""

    def __init__(self, ran: asyncio.subprocess.Process, console: tuple[str, int]) -> None:
        self.ran, self.console = ran, console

    async def says(self, words: str) -> None:
        """Wait for a line with these words."""
        assert self.ran.stderr
        while words not in (line := (await self.ran.stderr.readline()).decode()):
            assert line, f"it ended and never said {words}"

    def signal(self, number: int) -> None:
        self.ran.send_signal(number)

    async def ended(self) -> int:
        """Its exit code."""
        assert self.ran.stderr
        await self.ran.stderr.read()
        return await self.ran.wait()


def free() -> str:
    """An address that nobody has."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Loopback:
    """A real node on loopback with scripted upstreams and director."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.discovery, self.upstream = folder, Listener(), Listener()
        self.came = 0
        self.logged: asyncio.Queue[str] = asyncio.Queue()
        self.given: dict[str, Any] = {}  # what all processes of the node are told
        self.before = False  # one of them has served
        self.environment: dict[str, str] = {}  # what they are told beside the file
        self.watches: list[Peer] = []  # that the director has answered

    def line(self) -> str:
        """A first line with an id of its own."""
        self.came += 1
        return fresh(LINE, self.came)

    async def client(self) -> Peer:
        return Peer(*await asyncio.open_connection(*self.address))

    @asynccontextmanager
    async def running(self, **changes: Any) -> AsyncIterator[asyncio.Task[None]]:
        """Run the node; its one upstream is `s-1`."""
        where = await self.upstream.start()
        given = {"discovery": await self.discovery.start(), "known": hosts(host("s-1", where)), **changes}
        environment = configuration(self.folder, **given) | {"PROXY_DISCOVERY": given["discovery"]}
        log = lambda kind, text, detail="": self.logged.put_nowait(text)  # noqa: E731
        task = asyncio.create_task(run_node(load_config(environment), log, environment))
        port = (await self.logged.get()).rpartition(":")[2]
        self.address = ("127.0.0.1", int(port))
        try:
            yield task
        finally:
            task.cancel()
            await asyncio.wait([task])

    @asynccontextmanager
    async def process(self, **changes: Any) -> AsyncIterator[Process]:
        """Run the node as the operators do: each with a console of its own, all with one TMPDIR."""
        if not self.given:
            where = [await listener.start() for listener in (self.upstream, self.upstream)]
            listed = hosts(*(host(name, at) for name, at in zip(("s-1", "s-2"), where, strict=True)))
            self.telling = asyncio.create_task(self._tell(listed))
            fixed = {"listen": free(), "discovery": await self.discovery.start(), "known": listed}
            quick = settings(peers=False)
            quick["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
            self.given = {**fixed, "settings": quick}
            # longer than a Unix socket's name may be
            self.shared = self.folder / ("t" * 120)
            self.shared.mkdir()
        given = {**self.given, "console": free(), **changes}
        told = (
            os.environ | configuration(self.folder, **given) | {"TMPDIR": str(self.shared)} | self.environment
        )
        self.address = parse_address(given["listen"])
        args = [sys.executable, "-m", "limerudder"]
        ran = await asyncio.create_subprocess_exec(*args, env=told, stderr=asyncio.subprocess.PIPE)
        process = Process(ran, parse_address(given["console"]))
        if not self.before:
            self.before = True
            await process.says("listening on")
        try:
            yield process
        finally:
            if ran.returncode is None:
                ran.kill()
            await process.ended()

    async def _tell(self, listed: dict[str, Any]) -> None:
        """The director: each watch hears the list."""
        text = json.dumps(listed) + "\n"
        while True:
            self.watches.append(peer := await self.discovery.take())
            peer.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(text):x}", text)

    async def up(self) -> Peer:
        """A client that is up."""
        client = await self.client()
        client.say(self.line())
        upstream = await self.upstream.take()
        while not (line := await upstream.line()).startswith("OPEN"):  # a probe, or one that has ended
            asyncio.create_task(self._probed(upstream, line))
            upstream = await self.upstream.take()
        upstream.say("UP 77")
        asyncio.create_task(self._echo(upstream))
        assert await client.line() == "UP 77"
        return client

    async def _probed(self, upstream: Peer, line: str) -> None:
        while line:
            upstream.say("PONG inflight=1,x0=0.1")
            line = await upstream.line()

    async def _echo(self, upstream: Peer) -> None:
        while line := await upstream.line():
            upstream.say(line)

    async def answer(self, process: Process, call: str) -> str:
        """All that the console answers to a call."""
        peer = Peer(*await asyncio.open_connection(*process.console))
        peer.say(call)
        return (await peer.reader.read()).decode()

    async def call(self, process: Process, call: str) -> str:
        """The line that it answers."""
        return (await self.answer(process, call)).rstrip("\n")
