"""What the cases share: discovery, hosts, clients, node processes, the record and the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
LIMERUDDER = ROOT / ".venv" / "bin" / "limerudder"
KEPT, BROKEN, NOT_RUN = 0, 11, 2  # `common/run` makes 1 of 11: an interpreter that fails also ends with 1
SECOND = 1_000_000
LIMIT_SECONDS = 105
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """Writes the case's `record.txt`: seconds since the start, and what happened."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return distinct free ports of 127.0.0.1 that the system gives to no outgoing connection."""
    first_outgoing = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    candidates = list(range(max(first_outgoing // 2, 1024), first_outgoing))
    random.shuffle(candidates)
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.suppress(OSError), socket.socket() as sock:
            port = candidates.pop()
            sock.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked HTTP answer."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Discovery:
    """A discovery service: whole lists, and watches that get each change and an empty line every 2 s."""

    def __init__(self, name: str, record: Record, generation: int = 41) -> None:
        self.name = name
        self.record = record
        self.generation = generation
        self.entries: dict[str, dict[str, Any]] = {}
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server:
            self._server.close()

    def close(self) -> None:
        """End the service with all its connections."""
        self.stop_accepting()
        for watch in list(self._watches):
            watch.close()

    def change(self, name: str, **fields: Any) -> int:
        """Change an entry, and tell all watches at once; return how many there are."""
        entry = self.entries[name]
        entry.update(fields)
        self.generation += 1
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [entry]})
        for watch in self._watches:
            watch.write(chunk(line.encode() + b"\n"))
        self.record(f"discovery {self.name} tells {len(self._watches)} watches: {line}")
        if entry["lifecycle"] == "left":
            del self.entries[name]
        return len(self._watches)

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def first_of_watch(self, after: int) -> dict[str, Any]:
        """Return the first list of a watch after a version: here always the whole list."""
        return self.whole_list()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            request = await reader.readuntil(b"\r\n\r\n")
            self.record(f"discovery {self.name} is asked: {request.split(b' HTTP')[0].decode()}")
            body = json.dumps(self.whole_list()).encode() + b"\n"
            if b"watch=1" not in request:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            after = int(request.split(b"after=")[1].split()[0])
            first = json.dumps(self.first_of_watch(after)).encode() + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first))
            self._watches.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(1.9)
                    writer.write(chunk(b"\n"))
            finally:
                self._watches.discard(writer)
        writer.close()


class Host:
    """A host that serves every request, returns each line, and answers probes."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.address = ""
        self.report = "eps=0,inflight=1,x0=0.1"
        self.arrivals: list[tuple[float, str]] = []  # time on the monotonic clock, first line
        self._served = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    def entry(self) -> dict[str, Any]:
        """Return the host's entry of discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "levis",
            "machineType": "standard",
            "cell": 0,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def arrivals_after(self, moment: float) -> list[tuple[float, str]]:
        """Return the requests that arrived after this time."""
        return [arrival for arrival in self.arrivals if arrival[0] > moment]

    def arrived(self) -> bool:
        """Take a request; return False if the host is down."""
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.CancelledError):
            while line := await reader.readline():
                text = line.decode("ascii", "replace").strip()
                if text.startswith("OPEN "):
                    self._served += 1
                    self.arrivals.append((time.monotonic(), text))
                    self.record(f"host {self.name} gets: {text}")
                    if not self.arrived():
                        writer.transport.abort()
                        return
                    writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self._served))
                elif text == "STATS":
                    writer.write(f"PONG {self.report}\r\n".encode())
                elif text == "PING":
                    writer.write(b"PONG\r\n")
                else:
                    writer.write(line)
        writer.close()


def settings(node_count: int, node_number: int) -> dict[str, Any]:
    """Return settings like those that the operators' site gives its nodes."""

    def traffic_class(name: str, aim_us: int, deadline_us: int, worth: float) -> dict[str, Any]:
        fixed = {"effect": "safe", "keyScope": "all", "lateValue": 0.0, "repeatWindowUs": 5 * SECOND}
        return {
            "name": name,
            "aimUs": aim_us,
            "deadlineUs": deadline_us,
            "worth": worth,
            "stream": True,
            **fixed,
        }

    return {
        "areas": ["levis", "sainte-foy"],
        "balancers": node_count,
        "me": node_number,
        "zone": 0,
        "kinds": ["fast", "standard", "slow"],
        "caps": {
            "cancel": True,
            "dialTimeoutUs": 100_000,
            "maxRetryAfterUs": 1_500_000,
            "parallelTries": False,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "tryLimit": 6,
        },
        "classes": [
            traffic_class("status-watch", 300_000, 1_800_000, 1.0),
            traffic_class("image-submit", 800_000, 3_200_000, 3.0),
        ],
        "customers": [
            {"name": "abitibi-controls", "fraction": 0.6, "quotaPerS": 0.0},
            {"name": "fleuve-devices", "fraction": 0.4, "quotaPerS": 0.0},
        ],
        "discovery": "on_request",
        "domain": {
            "groups": True,
            "messageAimUs": [60_000.0, 50_000.0],
            "mode": "proxy",
            "tellsDelay": True,
            "tellsLoad": True,
        },
        "invariants": {
            "askEveryUs": 10 * SECOND,
            "drainGraceUs": 500_000,
            "graceToAnswerUs": 20_000,
            "overloadFactor": 3.0,
            "overloadForUs": 2 * SECOND,
            "startCapacity": 0.13,
            "warmUpUs": 24 * SECOND,
        },
        "loadInfo": {"fields": ["eps", "inflight", "x0"], "via": "probe"},
        "prices": {"crossZone": 0.16, "lateFail": 0.035, "moves": 0.0087, "probe": 0.002, "waste": 0.2},
        "overShareWorth": 0.1,
        "tickUs": 5000,
    }


class Process:
    """A process that the case has started with the deploy file's `run`; its log goes into the record."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, record: Record) -> None:
        self.name = name
        self.process = process
        self.record = record
        self.lines: list[str] = []
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            text = line.decode("utf-8", "replace").rstrip()
            self.lines.append(text)
            self.record(f"log of {self.name}: {text}")
        self.record(f"{self.name} has ended with code {await self.process.wait()}")

    def has_logged(self, text: str) -> bool:
        """Return whether a line of the log contains this text."""
        return any(text in line for line in self.lines)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process.returncode is None:
            self.record(f"{number.name} to {self.name}")
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal and wait for the end."""
        self.send(number)
        await self.process.wait()
        await self.reading


class Node:
    """A node: its files, and the processes that run it."""

    def __init__(self, number: int, case: Case) -> None:
        self.number = number
        self.name = f"n{number}"
        self.case = case
        self.folder = case.folder / self.name
        self.folder.mkdir()
        listen, console, store = free_ports(3)
        self.listen = f"127.0.0.1:{listen}"
        self.console = f"127.0.0.1:{console}"
        self.store_listen = f"127.0.0.1:{store}"
        self.store_folder = self.folder / "store"
        self.operator_file: Path | None = None
        self.process: Process | None = None
        self._starts = 0

    def write_files(self, discovery: str, known: dict[str, Any], node_count: int) -> None:
        """Write the configuration."""
        configuration = {
            "name": self.name,
            "listen": self.listen,
            "discovery": discovery,
            "seed": f"{0x8C1F30D27A5BE964 + self.number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024},
            "known": known,
            "settings": settings(node_count, self.number),
        }
        (self.folder / "config.json").write_text(json.dumps(configuration))

    def write_operator_file(self, extra: str = "") -> None:
        """Write the operator's file, which asks for a store."""
        self.operator_file = self.folder / "limerudder.cue"
        text = f'store: {{\n    folder: "{self.store_folder}"\n    listen: "{self.store_listen}"\n{extra}}}\n'
        self.operator_file.write_text(text)

    async def launch(self, fresh_directory: bool = True) -> Process:
        """Start a process with `run` of the deploy file; `$TMPDIR` is empty unless two processes overlap."""
        temporary = self.folder / "tmp"
        if fresh_directory:
            shutil.rmtree(temporary, ignore_errors=True)
            temporary.mkdir()
        self._starts += 1
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(temporary),
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_CONSOLE": self.console,
        }
        if self.operator_file:
            environment["LIMERUDDER_FILE"] = str(self.operator_file)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self.process = Process(f"{self.name}.{self._starts}", process, self.case.record)
        self.case.processes.append(self.process)
        return self.process

    async def start(self, fresh_directory: bool = True) -> Process:
        """Start a process and wait until its console says that it serves."""
        process = await self.launch(fresh_directory)
        await self.case.wait_until(self.serves, f"{self.name} serves", 20)
        return process

    async def serves(self) -> bool:
        """Return whether the console answers `status` with `done`."""
        with contextlib.suppress(OSError):
            return await self.call_console("status", quiet=True) == "done"
        return False

    async def call_console(self, line: str, quiet: bool = False) -> str:
        """Make a call at the console and return its answer."""
        host, port = self.console.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 10)).decode().strip()
        writer.close()
        if not quiet:
            self.case.record(f"console of {self.name}: {line} -> {answer}")
        return answer

    async def state(self, *arguments: str, text: str = "", quiet: bool = False) -> tuple[int, str]:
        """Run `limerudder state …` at this node; return the exit code and what it printed."""
        command = [str(LIMERUDDER), "state", "--json", "--folder", str(self.store_folder), *arguments]
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            out, err = await asyncio.wait_for(process.communicate(text.encode()), 30)
        except BaseException:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            raise
        code = process.returncode or 0
        if not quiet:
            printed = (out + err).decode().strip()[:300]
            words = " ".join(arguments)
            self.case.record(f"limerudder state at {self.name}: {words} -> code {code}: {printed}")
        return code, out.decode()

    async def status(self) -> dict[str, Any]:
        """Return `state status` of this node, empty if it does not answer."""
        code, out = await self.state("status", quiet=True)
        return json.loads(out) if code == 0 and out else {}


class Tool:
    """A tool's connection to a node's control socket, with one call at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, node: Node) -> Tool:
        """Connect; raises OSError if the node is not there."""
        descriptor = os.open(node.store_folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            path = f"/proc/self/fd/{descriptor}/control"  # a socket's path may not be long
            return cls(*await asyncio.open_unix_connection(path, limit=1 << 23))
        finally:
            os.close(descriptor)

    async def call(self, name: str, **arguments: Any) -> dict[str, Any]:
        """Make a call and return its answer; raises OSError if the node has gone."""
        self._writer.write(json.dumps({"call": name, **arguments}).encode() + b"\n")
        line = await asyncio.wait_for(self._reader.readline(), 15)
        if not line:
            raise ConnectionResetError("the node has gone")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def close(self) -> None:
        """Disconnect."""
        self._writer.close()


class Clients:
    """Clients that open one connection after another, each at the next of the given nodes."""

    def __init__(self, nodes: list[Node], record: Record, rate: float = 25.0) -> None:
        self.answers: dict[str, int] = {}
        self._nodes = nodes
        self._record = record
        self._interval = 1 / rate
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._running: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._running = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            self._number += 1
            node = self._nodes[self._number % len(self._nodes)]
            task = asyncio.create_task(self._request(node, self._number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval)

    async def _request(self, node: Node, number: int) -> None:
        fields = "c=status-watch,t=abitibi-controls,d=1800"
        line = f"OPEN {number + (node.number << 32):016x} {number * 2654435761 % 2**64:016x} {fields}"
        answer = "refused connection"
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*node.listen.split(":"))
            answer = "no answer"
            writer.write(line.encode() + b"\r\n")
            received = await asyncio.wait_for(reader.readline(), 3)
            answer = received.decode("ascii", "replace").strip() or "closed"
            if answer.startswith("UP "):
                await asyncio.sleep(0.5)
            writer.close()
        word = answer.split(" ")[0]
        self.answers[word] = self.answers.get(word, 0) + 1
        self._record(f"client at {node.name}: {line} -> {answer}")

    async def close(self) -> None:
        """End all clients."""
        tasks = [*self._tasks, *([self._running] if self._running else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Case:
    """One run of a case, with its folder, record and processes."""

    def __init__(self, record_path: Path) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="limerudder-review-"))
        self.processes: list[Process] = []

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], description: str, seconds: float
    ) -> None:
        """Wait until a condition holds; the case cannot run without it."""
        deadline = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > deadline:
                raise CaseError(f"not seen in {seconds:g} s: {description}")
            await asyncio.sleep(0.05)
        self.record(f"seen: {description}")

    async def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes:
            await process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def init_stores(case: Case, nodes: list[Node]) -> None:
    """Make the members' data directories with `limerudder state init`, and move each to its node."""
    new = case.folder / "new"
    members = [f"{node.name}={node.store_listen}" for node in nodes]
    subprocess.run(
        [str(LIMERUDDER), "state", "init", str(new), *members],
        check=True,
        timeout=30,
        stdout=subprocess.DEVNULL,
    )
    for node in nodes:
        (new / node.name).rename(node.store_folder)


class Tier:
    """A small deployment with a store: discovery, hosts and four nodes."""

    def __init__(self, case: Case, node_count: int = 4, host_count: int = 4) -> None:
        self.case = case
        self.discovery = Discovery("d", case.record)
        self.hosts = [Host(f"h{number}", case.record) for number in range(host_count)]
        self.nodes = [Node(number, case) for number in range(node_count)]

    async def start(self) -> None:
        """Start everything; return once all nodes serve and the store has a leader that all follow."""
        for host in self.hosts:
            await host.start()
            self.discovery.entries[host.name] = host.entry()
        await self.discovery.start()
        init_stores(self.case, self.nodes)
        for node in self.nodes:
            node.write_files(self.discovery.address, self.discovery.whole_list(), len(self.nodes))
            node.write_operator_file()
            await node.start()
        await self.case.wait_until(self._has_leader, "all members follow one leader", 20)

    async def _has_leader(self) -> bool:
        statuses = [await node.status() for node in self.nodes]
        return bool(statuses[0].get("leader")) and len({status.get("leader") for status in statuses}) == 1

    async def leader(self) -> Node:
        """Return the node whose member is the leader."""
        for node in self.nodes:
            if (await node.status()).get("standing") == "leader":
                return node
        raise CaseError("no member is the leader")

    async def record_status(self) -> None:
        """Write what the members say of themselves to the record."""
        names = ("standing", "leader", "term", "revision", "applied", "log_from", "log_to", "age_ms")
        for node in self.nodes:
            status = await node.status()
            fields = {name: status[name] for name in names if name in status}
            self.case.record(f"status of {node.name}: {fields or 'no answer'}")


async def in_parallel(node: Node, calls: list[tuple[list[str], str]]) -> None:
    """Make calls of `limerudder state`, six at a time; every one has to succeed."""
    limit = asyncio.Semaphore(6)

    async def make(arguments: list[str], text: str) -> None:
        async with limit:
            code, _ = await node.state(*arguments, text=text)
            if code:
                raise CaseError(f"{arguments} at {node.name} ended with code {code}")

    await asyncio.gather(*(make(arguments, text) for arguments, text in calls))


async def serves_within(node: Node, seconds: float) -> bool:
    """Return whether the process just started serves in time; false as soon as it has ended by itself."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await node.serves():
            node.case.record(f"{node.name} serves")
            return True
        if node.process and node.process.process.returncode is not None:
            node.case.record(f"{node.name} has ended by itself with {node.process.process.returncode}")
            return False
        await asyncio.sleep(0.05)
    node.case.record(f"{node.name} does not serve after {seconds:g} s")
    return False


def run_case(record_path: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: `play` returns whether the rule held. All processes are ended in any case."""

    async def run() -> int:
        case = Case(record_path)

        def note(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            case.record(f"in the rig: {context.get('message')} {context.get('exception') or ''}")

        loop = asyncio.get_running_loop()
        loop.set_exception_handler(note)
        playing = asyncio.ensure_future(asyncio.wait_for(play(case), LIMIT_SECONDS))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, playing.cancel)
        try:
            held = await playing
        except (
            CaseError,
            TimeoutError,
            OSError,
            subprocess.SubprocessError,
            asyncio.CancelledError,
        ) as error:
            case.record(f"NOT RUN: {type(error).__name__} {error}")
            print(f"not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            others = asyncio.all_tasks() - {asyncio.current_task()} - {p.reading for p in case.processes}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            await case.close()
        verdict = "the rule held" if held else "THE RULE IS BROKEN"
        case.record(verdict)
        print(verdict)
        return KEPT if held else BROKEN

    sys.exit(asyncio.run(run()))
