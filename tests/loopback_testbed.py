"""A real node on loopback sockets with scripted clients, upstreams and a scripted discovery service."""

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

from harness.configurations import LINE, configuration, host, hosts, settings, with_request_id
from limerudder.config import load_config
from limerudder.core.transport import Address, parse_address
from limerudder.node_process import run_node

LONG_DIRECTORY_NAME = "t" * 120  # exceeds the length limit of a Unix socket's path


class ScriptedConnection:
    """One scripted connection of a client, an upstream or the discovery service."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read_line(self) -> str:
        """Return the next line, empty at the end of the stream."""
        return (await self.reader.readline()).decode().removesuffix("\r\n")

    def send_lines(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def read_to_end(self) -> bytes:
        """Return the data up to the end of the connection; empty if it is reset."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def send_watch_answer(self, endpoints: dict[str, Any]) -> None:
        """Answer a discovery watch with this endpoint list and keep the watch open."""
        text = json.dumps(endpoints) + "\n"
        self.send_lines("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(text):x}", text)


class Listener:
    """A scripted server; `accept` returns its next connection."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[ScriptedConnection] = asyncio.Queue()

    async def start(self) -> str:
        """Listen on an unused address and return it."""
        server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.put_nowait(ScriptedConnection(reader, writer))

    async def accept(self) -> ScriptedConnection:
        return await self.connections.get()


class BalancerProcess:
    """A node in a separate process, with access to its console and log."""

    def __init__(self, subprocess: asyncio.subprocess.Process, console: Address) -> None:
        self.subprocess = subprocess
        self.console = console

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains this text."""
        assert self.subprocess.stderr
        line = ""
        while text not in line:
            line = (await self.subprocess.stderr.readline()).decode()
            assert line, f"process ended without logging {text}"

    def send_signal(self, number: int) -> None:
        self.subprocess.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait until the process ends; return its exit code."""
        assert self.subprocess.stderr
        await self.subprocess.stderr.read()
        return await self.subprocess.wait()


def unused_address() -> str:
    """Return an unused loopback address."""
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
        self.shared_config: dict[str, Any] = {}  # configuration common to all processes of the node
        self.has_started = False  # True once a process of the node has accepted clients
        self.environment: dict[str, str] = {}  # additional environment variables of the processes
        self.watches: list[ScriptedConnection] = []  # watches that the discovery service has answered
        self._tasks: list[asyncio.Task[None]] = []  # keeps the scripted upstreams' tasks referenced

    def request_line(self) -> str:
        """Return a first line with a unique request id."""
        self.request_count += 1
        return with_request_id(LINE, self.request_count)

    async def connect(self) -> ScriptedConnection:
        """Connect a client that sends nothing."""
        return ScriptedConnection(*await asyncio.open_connection(*self.address))

    @asynccontextmanager
    async def running_node(self, **changes: Any) -> AsyncIterator[asyncio.Task[None]]:
        """Run the node in this process with the single upstream `s-1`."""
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
        """Run a process of the node as in production: separate consoles, a common TMPDIR."""
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
        config_settings = settings(peers=False)
        config_settings["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
        config = {
            "listen": unused_address(),
            "discovery": await self.discovery.start(),
            "known": endpoints,
            "settings": config_settings,
        }
        self.configure_processes(config, LONG_DIRECTORY_NAME)

    def configure_processes(self, config: dict[str, Any], temporary_directory_name: str) -> None:
        """Set the common configuration of the node's processes and create their TMPDIR."""
        self.shared_config = config
        self.temporary_directory = self.folder / temporary_directory_name
        self.temporary_directory.mkdir()

    async def _answer_watches(self, endpoints: dict[str, Any]) -> None:
        """Run the discovery service: answer each watch with the endpoint list."""
        while True:
            connection = await self.discovery.accept()
            self.watches.append(connection)
            connection.send_watch_answer(endpoints)

    async def establish_connection(self) -> tuple[ScriptedConnection, ScriptedConnection]:
        """Return the client's and the upstream's side of an established connection."""
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

    async def establish_echo_client(self) -> ScriptedConnection:
        """Return a client that is connected to an upstream which echoes each line."""
        client = await self.connect()
        client.send_lines(self.request_line())
        upstream = await self._accept_request()
        upstream.send_lines("UP 77")
        self._tasks.append(asyncio.create_task(self._echo(upstream)))
        assert await client.read_line() == "UP 77"
        return client

    async def _accept_request(self) -> ScriptedConnection:
        """Answer health checks until a client's line arrives; return its upstream connection."""
        while True:
            upstream = await self.upstream.accept()
            line = await upstream.read_line()
            if line.startswith("OPEN"):
                return upstream
            # a health check or a closed connection
            self._tasks.append(asyncio.create_task(self._answer_health_checks(upstream, line)))

    async def _answer_health_checks(self, upstream: ScriptedConnection, line: str) -> None:
        while line:
            upstream.send_lines("PONG inflight=1,x0=0.1")
            line = await upstream.read_line()

    async def _echo(self, upstream: ScriptedConnection) -> None:
        line = await upstream.read_line()
        while line:
            upstream.send_lines(line)
            line = await upstream.read_line()

    async def read_console(self, process: BalancerProcess, call: str) -> str:
        """Return the console's complete answer to a call."""
        connection = ScriptedConnection(*await asyncio.open_connection(*process.console))
        connection.send_lines(call)
        return (await connection.reader.read()).decode()

    async def call_console(self, process: BalancerProcess, call: str) -> str:
        """Return the console's one-line answer to a call."""
        return (await self.read_console(process, call)).rstrip("\n")
