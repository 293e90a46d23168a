"""A real node on loopback sockets among scripted clients, upstreams and a scripted discovery service."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from harness.configurations import LINE, configuration, fresh, host, hosts, settings
from limerudder.config import load_config
from limerudder.core.transport import Address, parse_address
from limerudder.node_process import run_node

LONG_DIRECTORY_NAME = "t" * 120  # longer than a Unix socket's name may be


class Peer:
    """One scripted connection, as a client or as an upstream."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read_line(self) -> str:
        """Return the next line, an empty one at the end."""
        return (await self.reader.readline()).decode().removesuffix("\r\n")

    def send_lines(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def read_to_end(self) -> bytes:
        """Return all data until the connection ends, cleanly or not."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def send_watch_answer(self, endpoints: dict[str, Any]) -> None:
        """Answer a discovery watch with this endpoint list, and leave the watch open."""
        text = json.dumps(endpoints) + "\n"
        self.send_lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(text):x}", text)


class Listener:
    """A scripted server; `accept` returns its next connection."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[Peer] = asyncio.Queue()

    async def start(self) -> str:
        """Listen on an unused address, and return it."""
        server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.put_nowait(Peer(reader, writer))

    async def accept(self) -> Peer:
        return await self.connections.get()


class BalancerProcess:
    """A node in a process of its own, with its console and what it logs."""

    def __init__(self, subprocess: asyncio.subprocess.Process, console: Address) -> None:
        self.subprocess = subprocess
        self.console = console

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains this text."""
        assert self.subprocess.stderr
        line = ""
        while text not in line:
            line = (await self.subprocess.stderr.readline()).decode()
            assert line, f"it ended and never logged {text}"

    def send_signal(self, number: int) -> None:
        self.subprocess.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.subprocess.stderr
        await self.subprocess.stderr.read()
        return await self.subprocess.wait()


def unused_address() -> str:
    """Return an address on loopback that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class LoopbackTestbed:
    """A real node on loopback with scripted upstreams and a scripted discovery service."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = Listener()
        self.upstream = Listener()
        self.request_count = 0
        self.logged: asyncio.Queue[str] = asyncio.Queue()
        self.shared_config: dict[str, Any] = {}  # the configuration of all processes of the node
        self.has_started = False  # a process of the node has accepted clients
        self.environment: dict[str, str] = {}  # of the processes, beside what the configuration needs
        self.watches: list[Peer] = []  # that the discovery service has answered
        self._tasks: list[asyncio.Task[None]] = []  # of scripted upstreams, for as long as the loop runs

    def request_line(self) -> str:
        """Return a first line with an id of its own."""
        self.request_count += 1
        return fresh(LINE, self.request_count)

    async def connect(self) -> Peer:
        """A client connects to the node and sends nothing."""
        return Peer(*await asyncio.open_connection(*self.address))

    @asynccontextmanager
    async def running_node(self, **changes: Any) -> AsyncIterator[asyncio.Task[None]]:
        """Run the node in this process; its one upstream is `s-1`."""
        address = await self.upstream.start()
        config = {"discovery": await self.discovery.start(), "known": hosts(host("s-1", address)), **changes}
        environment = configuration(self.folder, **config) | {"PROXY_DISCOVERY": config["discovery"]}
        log = lambda kind, text, detail="": self.logged.put_nowait(text)  # noqa: E731
        task = asyncio.create_task(run_node(load_config(environment), log, environment))
        line = ""
        while "listening on" not in line:
            line = await self.logged.get()
        port = line.rpartition(":")[2]
        self.address = ("127.0.0.1", int(port))
        try:
            yield task
        finally:
            task.cancel()
            await asyncio.wait([task])

    @asynccontextmanager
    async def node_process(self, **changes: Any) -> AsyncIterator[BalancerProcess]:
        """Run a process of the node as operators do: each with its own console, all with one TMPDIR."""
        if not self.shared_config:
            await self._start_services()
        config = {**self.shared_config, "console": unused_address(), **changes}
        directories = {"TMPDIR": str(self.temporary_directory)}
        environment = os.environ | configuration(self.folder, **config) | directories | self.environment
        self.address = parse_address(config["listen"])
        args = [sys.executable, "-m", "limerudder"]
        subprocess = await asyncio.create_subprocess_exec(
            *args, env=environment, stderr=asyncio.subprocess.PIPE
        )
        process = BalancerProcess(subprocess, parse_address(config["console"]))
        if not self.has_started:
            self.has_started = True
            await process.wait_for_log("listening on")
        try:
            yield process
        finally:
            if subprocess.returncode is None:
                subprocess.kill()
            await process.wait_for_exit()

    async def _start_services(self) -> None:
        """Start two upstreams and the discovery service, and configure the processes with them."""
        addresses = [await self.upstream.start(), await self.upstream.start()]
        endpoints = hosts(host("s-1", addresses[0]), host("s-2", addresses[1]))
        self.discovery_task = asyncio.create_task(self._answer_watches(endpoints))
        quick = settings(peers=False)
        quick["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
        config = {
            "listen": unused_address(),
            "discovery": await self.discovery.start(),
            "known": endpoints,
            "settings": quick,
        }
        self.configure_processes(config, LONG_DIRECTORY_NAME)

    def configure_processes(self, config: dict[str, Any], temporary_directory_name: str) -> None:
        """Set what all processes of the node are configured with, and create their TMPDIR."""
        self.shared_config = config
        self.temporary_directory = self.folder / temporary_directory_name
        self.temporary_directory.mkdir()

    async def _answer_watches(self, endpoints: dict[str, Any]) -> None:
        """Be the discovery service: each watch is answered with the list."""
        while True:
            peer = await self.discovery.accept()
            self.watches.append(peer)
            peer.send_watch_answer(endpoints)

    async def establish_connection(self) -> tuple[Peer, Peer]:
        """Return a client whose connection is established, and its upstream's side."""
        client = await self.connect()
        client.send_lines("PING")
        assert await client.read_line() == "PONG"
        line = self.request_line()
        client.send_lines(line)
        upstream = await self.upstream.accept()
        assert (await upstream.read_line()).startswith(line.partition("d=")[0])
        upstream.send_lines("UP 77")
        assert await client.read_line() == "UP 77"
        return client, upstream

    async def establish_echo_client(self) -> Peer:
        """Return a client whose connection is established with an upstream that returns each line."""
        client = await self.connect()
        client.send_lines(self.request_line())
        upstream = await self._accept_request()
        upstream.send_lines("UP 77")
        self._tasks.append(asyncio.create_task(self._echo(upstream)))
        assert await client.read_line() == "UP 77"
        return client

    async def _accept_request(self) -> Peer:
        """Return the next upstream connection with a client's line; health checks before it are answered."""
        while True:
            upstream = await self.upstream.accept()
            line = await upstream.read_line()
            if line.startswith("OPEN"):
                return upstream
            # a health check, or a closed one
            self._tasks.append(asyncio.create_task(self._answer_health_checks(upstream, line)))

    async def _answer_health_checks(self, upstream: Peer, line: str) -> None:
        while line:
            upstream.send_lines("PONG inflight=1,x0=0.1")
            line = await upstream.read_line()

    async def _echo(self, upstream: Peer) -> None:
        line = await upstream.read_line()
        while line:
            upstream.send_lines(line)
            line = await upstream.read_line()

    async def read_console(self, process: BalancerProcess, call: str) -> str:
        """Return all that the console answers to a call."""
        peer = Peer(*await asyncio.open_connection(*process.console))
        peer.send_lines(call)
        return (await peer.reader.read()).decode()

    async def call_console(self, process: BalancerProcess, call: str) -> str:
        """Return the line that the console answers to a call."""
        return (await self.read_console(process, call)).rstrip("\n")
