"""A tier of real node processes on loopback, with a director, hosts, and clients that note what they see."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from harness.configurations import configuration, host, hosts, settings
from limerudder.store.client import ControlClient, ControlUnavailable
from limerudder.store.data_directory import init_cluster

ANSWERS = (b"UP", b"BUSY", b"FAIL", b"ERR")


def free_ports(many: int) -> list[int]:
    """Ports that nobody has."""
    socks = [socket.socket() for _ in range(many)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class StandInDiscovery:
    """Discovery: a list, told to whoever watches; which list a node hears may differ."""

    def __init__(self) -> None:
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: dict[asyncio.StreamWriter, int] = {}  # with the number of the node's address
        self.only: set[int] | None = None  # changes reach these nodes' watches alone
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def text(self) -> bytes:
        """The list."""
        given = hosts(*self.entries.values()) | {"generation": self.generation}
        return json.dumps(given).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            body = self.text()
            if b"watch=1" not in request:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body))
            self.watches[writer] = 0
            while True:
                await asyncio.sleep(1)
                writer.write(_chunk(b"\n"))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError, asyncio.IncompleteReadError):
            return
        finally:
            self.watches.pop(writer, None)

    def publish(self, only: int | None = None) -> None:
        """Tell a new list to all who watch, or to so many of them."""
        self.generation += 1
        for writer in list(self.watches)[:only]:
            writer.write(_chunk(self.text()))

    def close(self) -> None:
        """End."""
        if self.server:
            self.server.close()
        for writer in list(self.watches):
            writer.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class StandInHost:
    """A host: takes what comes, answers probes, and notes when each request came."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.request_times: list[float] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if line.startswith(b"OPEN"):
                    self.request_times.append(time.monotonic())
                    writer.write(b"UP 77\r\n")
                elif line.startswith((b"STATS", b"PING")):
                    writer.write(b"PONG inflight=1,x0=0.1\r\n")
        except OSError:
            return
        finally:
            writer.close()

    def close(self) -> None:
        """End."""
        if self.server:
            self.server.close()


class NodeProcess:
    """One node's process, again and again."""

    def __init__(self, number: int, tier: MultiProcessTier) -> None:
        self.number, self.tier = number, tier
        self.name = f"n{number}"
        self.folder = tier.folder / self.name
        self.folder.mkdir()
        self.store = tier.folder / "store" / self.name
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[str] = []
        self.reading: asyncio.Task[None] | None = None
        self.serving = asyncio.Event()
        self.command_prefix: list[str] = []  # a program that runs the node's process, such as a tracer

    def write(self, listen: str, console: str, store: str, given: dict[str, Any], extra: str) -> None:
        """Write its files."""
        self.listen, self.console = listen, console
        told = configuration(self.folder, name=self.name, listen=listen, console=console, **given)
        (self.folder / "tmp").mkdir(exist_ok=True)
        self.environment = os.environ | told | {"TMPDIR": str(self.folder / "tmp")}
        if self.tier.with_store:
            file = self.folder / "limerudder.cue"
            file.write_text(f'store: {{folder: "{self.store}", listen: "{store}"\n{extra}}}\n')
            self.environment["LIMERUDDER_FILE"] = str(file)

    async def start(self) -> None:
        """Run it, until it serves."""
        self.serving = asyncio.Event()
        self.process = await asyncio.create_subprocess_exec(
            *self.command_prefix,
            sys.executable,
            "-m",
            "limerudder",
            env=self.environment,
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.create_task(self._read(self.process))
        await self.serving.wait()

    async def _read(self, ran: asyncio.subprocess.Process) -> None:
        assert ran.stderr
        while line := (await ran.stderr.readline()).decode():
            self.lines.append(line.rstrip())
            if "listening on" in line:
                self.serving.set()
        self.serving.set()

    async def kill(self, number: int = signal.SIGKILL) -> None:
        """End it now."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
        if self.process:
            await self.process.wait()
        if self.reading:
            await self.reading

    def call_store_blocking(self, name: str, wait: float = 2.0, **given: Any) -> dict[str, Any]:
        """A call to its store; not `ok` where nobody answers."""
        try:
            with ControlClient(str(self.store), wait) as client:
                return client.call(name, **given)
        except ControlUnavailable as exc:
            return {"ok": False, "kind": "not_now", "error": str(exc)}

    async def call_store(self, name: str, wait: float = 2.0, **given: Any) -> dict[str, Any]:
        """The same, without holding up the loop."""
        return await asyncio.to_thread(self.call_store_blocking, name, wait, **given)

    async def call_console(self, line: str) -> str:
        """A call to its console."""
        reader, writer = await asyncio.open_connection(*self.console.split(":"))
        writer.write(line.encode() + b"\n")
        writer.write_eof()  # as `echo … | nc` does
        answer = (await reader.read()).decode().strip()
        writer.close()
        return answer


class MultiProcessTier:
    """Nodes, director, hosts, clients."""

    def __init__(self, folder: Path, nodes: int = 4, host_count: int = 5, with_store: bool = True) -> None:
        self.folder, self.with_store = folder, with_store
        self.discovery = StandInDiscovery()
        self.hosts = {name: StandInHost(name) for name in (f"h{n}" for n in range(host_count))}
        self.nodes = [NodeProcess(n, self) for n in range(nodes)]
        self.answer_counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.stopping = False
        self.next_id = 1
        self.clients: list[asyncio.Task[None]] = []

    async def start(self, extra: str = "", **caps: Any) -> None:
        """All of it."""
        await self.discovery.start()
        for one in self.hosts.values():
            await one.start()
        self.discovery.entries = {one.name: host(one.name, one.address) for one in self.hosts.values()}
        ports = free_ports(3 * len(self.nodes))
        addresses = [f"127.0.0.1:{port}" for port in ports]
        members = [(node.name, addresses[3 * node.number + 2]) for node in self.nodes]
        if self.with_store:
            init_cluster(str(self.folder / "store"), members)
        listed = hosts(*self.discovery.entries.values())
        told = settings(probes=True, peers=False, **caps)
        told["balancers"] = len(self.nodes)
        given = {"discovery": self.discovery.address, "known": listed, "settings": told}
        for node in self.nodes:
            listen, console, store = addresses[3 * node.number : 3 * node.number + 3]
            node.write(listen, console, store, given, extra)
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def wait_until_settled(self, wait: float = 30.0) -> float:
        """Until all nodes are at one revision and see a leader; seconds that took."""
        began = time.monotonic()
        while time.monotonic() - began < wait:
            told = await asyncio.gather(*(node.call_store("status") for node in self.nodes))
            if all(one["ok"] for one in told):
                same = {(one["leader"], one["revision"], one["applied"]) for one in told}
                if len(same) == 1 and told[0]["leader"] and not any(one["facts_waiting"] for one in told):
                    return time.monotonic() - began
            await asyncio.sleep(0.02)
        raise AssertionError(f"not settled after {wait} s: {told}")

    async def leader(self) -> NodeProcess:
        """The node that leads."""
        while True:
            for node in self.nodes:
                told = await node.call_store("status")
                if told["ok"] and told["standing"] == "leader":
                    return node
            await asyncio.sleep(0.02)

    def start_clients(self, many: int) -> None:
        """Clients that come again and again, through any node."""
        self.clients += [asyncio.create_task(self._client(number)) for number in range(many)]

    async def _client(self, number: int) -> None:
        at = number
        while not self.stopping:
            self.next_id += 1
            line = f"OPEN {self.next_id:016x} {number:016x} c=chat,t=acme,d=2000\r\n".encode()
            while (
                not self.stopping
            ):  # until it is answered: a node that is killed owes its clients nothing more
                at += 1
                if await self._once(self.nodes[at % len(self.nodes)], line):
                    break
                await asyncio.sleep(0.02)
                self.next_id += 1
                line = f"OPEN {self.next_id:016x} {number:016x} c=chat,t=acme,d=2000\r\n".encode()

    async def _once(self, node: NodeProcess, line: bytes) -> bool:
        life = node.process
        try:
            reader, writer = await asyncio.open_connection(*node.listen.split(":"))
        except OSError:
            self.answer_counts["refused connections"] += 1
            return False
        answers = []
        try:
            writer.write(line)
            answer = await asyncio.wait_for(reader.readline(), 4)
            if answer:
                answers.append(answer)
                self.answer_counts[answer.split()[0].decode()] += 1
            if answer.startswith(b"UP"):
                try:
                    more = await asyncio.wait_for(reader.readline(), 0.3)
                    if more.startswith(ANSWERS):
                        answers.append(more)
                except TimeoutError:
                    pass
        except TimeoutError:
            self.violations.append(f"{node.name}: no answer within 4 s")
        except OSError:
            pass
        finally:
            writer.close()
        if len(answers) > 1:
            self.violations.append(f"{node.name}: two answers: {answers}")
        if not answers and life is node.process and life is not None and life.returncode is None:
            await asyncio.sleep(0.2)
            if life.returncode is None and life is node.process:
                self.violations.append(f"{node.name}: closed without an answer, and it lives")
        return bool(answers)

    def count_requests_since(self, name: str, since: float) -> int:
        """How many requests a host got after a moment."""
        return sum(at > since for at in self.hosts[name].request_times)

    async def close(self) -> None:
        """End all of it."""
        self.stopping = True
        for task in self.clients:
            task.cancel()
        await asyncio.gather(*self.clients, return_exceptions=True)
        for node in self.nodes:
            await node.kill()
        self.discovery.close()
        for one in self.hosts.values():
            one.close()


async def wait_until(wanted: Callable[[], Any], what: str, wait: float = 20.0) -> None:
    """Until it is so; fails loudly where that never comes."""
    end = time.monotonic() + wait
    while not wanted():
        assert time.monotonic() < end, f"never came: {what}"
        await asyncio.sleep(0.01)


async def overlapping_kills(tier: MultiProcessTier, order: Sequence[int], gap: float, down: float) -> float:
    """Kill nodes one after the other while the ones before are still down; when the last was back."""

    async def one(node: NodeProcess, wait: float) -> None:
        await asyncio.sleep(wait)
        await node.kill()
        await asyncio.sleep(down)
        await node.start()

    await asyncio.gather(*(one(tier.nodes[n], gap * turn) for turn, n in enumerate(order)))
    return time.monotonic()
