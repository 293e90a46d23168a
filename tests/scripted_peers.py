"""Nodes among scripted clients, upstreams and discovery services: in memory, or on loopback sockets."""

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
from limerudder.core.transport import Address, OutboundMachine, parse_address
from limerudder.node_process import run_node
from limerudder.policy.actions import Action
from limerudder.policy.events import Event

__all__ = ["ID", "KEY", "LINE", "SECOND", "configuration", "fresh", "host", "hosts", "settings"]

TICK_US = 5000


class FakeTransport:
    """A transport that records what its state machine asks of it."""

    def __init__(self, machine: Any = None, address: Address = ("", 0)) -> None:
        self.machine = machine  # that dialled, for an outbound connection
        self.address = address
        self.sent = b""
        self.reading_paused = False
        self.half_closed = False
        self.closed = False
        self.was_reset = False
        self.peer_disconnected = False  # the other side has disconnected, behind bytes that are not read yet

    def write(self, data: bytes) -> None:
        assert not self.half_closed and not self.closed
        self.sent += data

    def half_close(self) -> None:
        self.half_closed = True

    def close(self) -> None:
        self.closed = True

    def reset(self) -> None:
        self.was_reset = True
        self.closed = True

    def set_reading_paused(self, paused: bool) -> None:
        self.reading_paused = paused

    def has_disconnected(self) -> bool:
        return self.peer_disconnected

    def accept(self, now: int) -> str:
        """Let the dial succeed; return what the machine wrote first, nothing if it gave the dial up."""
        first_bytes = self.machine.first_bytes(now)
        if self.closed:
            return ""
        self.sent += first_bytes
        self.machine.first_bytes_sent()
        self.machine.connection_made(self, now)
        return self.sent.decode()


class World:
    """A node in memory with its clock, its dials and its log.

    It checks that no request has two attempts in progress.
    """

    def __init__(self, config: ProcessConfig) -> None:
        self.now = 50 * SECOND
        self.dials: list[FakeTransport] = []
        self.logged: list[str] = []
        self.client_count = 0
        self.datagrams: list[tuple[int, bytes]] = []
        self.node = Node(config, self, lambda kind, text, detail="": self.logged.append(text), self.now)

    def dial(self, address: Address, machine: OutboundMachine) -> FakeTransport:
        transport = FakeTransport(machine, address)
        self.dials.append(transport)
        observers = [dial.machine.observer for dial in self.attempts()]
        assert len(observers) == len(set(observers)), "two attempts of a request are out"
        return transport

    def send_datagram(self, peer: int, data: bytes) -> None:
        self.datagrams.append((peer, data))

    def connect(self) -> tuple[LineSession, FakeTransport]:
        """A client connects and says nothing."""
        session, link = LineSession(self.node), FakeTransport()
        session.connection_made(link, self.now)
        return session, link

    def client(self, line: str = LINE) -> tuple[LineSession, FakeTransport]:
        """A client connects and sends its first line, with an id of its own."""
        line = fresh(line, self.client_count)
        self.client_count += 1
        session, link = self.connect()
        session.data_received(line.encode() + b"\r\n", self.now)
        return session, link

    def attempts(self) -> list[FakeTransport]:
        """The dials to upstreams with a client's line that are not closed."""
        return [dial for dial in self.dials if hasattr(dial.machine, "line") and not dial.closed]

    def served(self, line: str = LINE) -> tuple[LineSession, FakeTransport, FakeTransport]:
        """An established client: its session, its transport and its attempt's transport."""
        session, link = self.client(line)
        attempt = self.attempts()[-1]
        attempt.accept(self.now)
        attempt.machine.data_received(b"UP 77\r\n", self.now)
        assert link.sent == b"UP 77\r\n"
        return session, link, attempt

    def run(self, duration: int) -> None:
        """Let time pass, a tick at a time."""
        for _ in range(duration // TICK_US):
            self.now += TICK_US
            self.node.timer_wheel.advance(self.now)


def world(folder: Path, **changes: Any) -> World:
    """A node in memory with this configuration."""
    return World(load_config(configuration(folder, **changes)))


def policy_events(here: World) -> list[Event]:
    """The events that the policy of this node is given from here on."""
    events: list[Event] = []
    handle = here.node.balancer.handle

    def record(event: Event, now_us: int) -> list[Action]:
        events.append(event)
        return handle(event, now_us)

    here.node.balancer.handle = record  # type: ignore[method-assign]
    return events


class Peer:
    """One scripted connection, as a client or as an upstream."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def line(self) -> str:
        """Return the next line, an empty one at the end."""
        return (await self.reader.readline()).decode().removesuffix("\r\n")

    def say(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())


class Listener:
    """A scripted server; `take` returns its next connection."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[Peer] = asyncio.Queue()

    async def start(self) -> str:
        server = await asyncio.start_server(lambda r, w: self.came.put_nowait(Peer(r, w)), "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def take(self) -> Peer:
        return await self.came.get()


class Process:
    """A node in a process of its own, with its console and what it prints."""

    def __init__(self, ran: asyncio.subprocess.Process, console: Address) -> None:
        self.ran = ran
        self.console = console

    async def says(self, words: str) -> None:
        """Wait for a line with these words."""
        assert self.ran.stderr
        while words not in (line := (await self.ran.stderr.readline()).decode()):
            assert line, f"it ended and never said {words}"

    def signal(self, number: int) -> None:
        self.ran.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.ran.stderr
        await self.ran.stderr.read()
        return await self.ran.wait()


def free() -> str:
    """Return an address on loopback that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Loopback:
    """A real node on loopback with scripted upstreams and a scripted discovery service."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._tasks: list[asyncio.Task[None]] = []  # of scripted upstreams, for as long as the loop runs
        self.discovery = Listener()
        self.upstream = Listener()
        self.request_count = 0
        self.logged: asyncio.Queue[str] = asyncio.Queue()
        self.given: dict[str, Any] = {}  # the configuration of all processes of the node
        self.before = False  # one of them has served
        self.environment: dict[str, str] = {}  # of the processes, beside what the configuration needs
        self.watches: list[Peer] = []  # that the discovery service has answered

    def line(self) -> str:
        """Return a first line with an id of its own."""
        self.request_count += 1
        return fresh(LINE, self.request_count)

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
        """Run a process of the node as operators do: each with its own console, all with one TMPDIR."""
        if not self.given:
            await self._configure()
        given = {**self.given, "console": free(), **changes}
        directories = {"TMPDIR": str(self.shared)}
        environment = os.environ | configuration(self.folder, **given) | directories | self.environment
        self.address = parse_address(given["listen"])
        args = [sys.executable, "-m", "limerudder"]
        ran = await asyncio.create_subprocess_exec(*args, env=environment, stderr=asyncio.subprocess.PIPE)
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

    async def _configure(self) -> None:
        """Start two upstreams and the discovery service, and set what all processes are configured with."""
        addresses = [await self.upstream.start(), await self.upstream.start()]
        endpoints = hosts(*(host(name, at) for name, at in zip(("s-1", "s-2"), addresses, strict=True)))
        self.discovery_task = asyncio.create_task(self._answer_watches(endpoints))
        quick = settings(peers=False)
        quick["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
        self.given = {
            "listen": free(),
            "discovery": await self.discovery.start(),
            "known": endpoints,
            "settings": quick,
        }
        self.shared = self.folder / ("t" * 120)  # longer than a Unix socket's name may be
        self.shared.mkdir()

    async def _answer_watches(self, endpoints: dict[str, Any]) -> None:
        """Be the discovery service: each watch is answered with the list."""
        text = json.dumps(endpoints) + "\n"
        while True:
            peer = await self.discovery.take()
            self.watches.append(peer)
            peer.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(text):x}", text)

    async def up(self) -> Peer:
        """Return a client whose connection is established."""
        client = await self.client()
        client.say(self.line())
        upstream = await self.upstream.take()
        while not (line := await upstream.line()).startswith("OPEN"):  # a health check, or a closed one
            self._tasks.append(asyncio.create_task(self._answer_health_checks(upstream, line)))
            upstream = await self.upstream.take()
        upstream.say("UP 77")
        self._tasks.append(asyncio.create_task(self._echo(upstream)))
        assert await client.line() == "UP 77"
        return client

    async def _answer_health_checks(self, upstream: Peer, line: str) -> None:
        while line:
            upstream.say("PONG inflight=1,x0=0.1")
            line = await upstream.line()

    async def _echo(self, upstream: Peer) -> None:
        while line := await upstream.line():
            upstream.say(line)

    async def answer(self, process: Process, call: str) -> str:
        """Return all that the console answers to a call."""
        peer = Peer(*await asyncio.open_connection(*process.console))
        peer.say(call)
        return (await peer.reader.read()).decode()

    async def call(self, process: Process, call: str) -> str:
        """Return the line that the console answers to a call."""
        return (await self.answer(process, call)).rstrip("\n")
