"""Stand-ins on loopback for the cases of this folder: discovery, hosts, and nodes started by the deploy file.

They follow the operators' protocol page. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD = 0  #: Exit code: the rule was kept
BROKEN = 11  #: Exit code: the rule was broken; not 1, with which an error of the script would end it
NOT_RUN = 2  #: Exit code: the case could not run
FIRST_GENERATION = 41
HEARTBEAT_SECONDS = 2.0
READY_SECONDS = 20.0
POLL_SECONDS = 0.03

Json = dict[str, Any]
#: Serves an accepted connection after its `UP` has been written.
Service = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def is_troubled() -> bool:
    """Return whether the disruption is to happen; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` beside a case: what was sent, answered and run."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Discovery:
    """The discovery service: the whole list, and watches on its changes."""

    def __init__(self, record: Record) -> None:
        self.generation = FIRST_GENERATION
        self.address = ""
        self.entries: dict[str, Json] = {}
        self.calls = 0  # since the start
        self._server: asyncio.Server | None = None
        self._changes: list[tuple[int, str]] = []
        self._watches: list[asyncio.StreamWriter] = []
        self._record = record

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Take no new connection, and end the open watches."""
        if self._server:
            self._server.close()
        for watch in list(self._watches):
            watch.close()

    def change(self, name: str, **values: Any) -> None:
        """Change an entry and write the change to every open watch."""
        self.generation += 1
        self.entries[name] = {**self.entries[name], **values}
        self._changes.append((self.generation, name))
        watches = [watch for watch in self._watches if not watch.is_closing()]
        for watch in watches:
            watch.write(_chunk(self._list([name], reset=False)))
        self._record.write(f"discovery {self.address}: {name}: {values}; written to {len(watches)} watches")

    def _list(self, names: list[str], *, reset: bool) -> bytes:
        instances = [self.entries[name] for name in names]
        document = {"generation": self.generation, "reset": reset, "instances": instances}
        return json.dumps(document).encode() + b"\n"

    def _whole_list(self) -> bytes:
        listed = [name for name, entry in self.entries.items() if entry["lifecycle"] != "left"]
        return self._list(listed, reset=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            request = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            if b"watch=1" in request:
                await self._serve_watch(int(request.split(b"after=")[1].split()[0]), writer)
                return
            body = self._whole_list()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
            writer.close()

    async def _serve_watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if FIRST_GENERATION <= after <= self.generation:
            changed = [name for generation, name in self._changes if generation > after]
            writer.write(_chunk(self._list(list(dict.fromkeys(changed)), reset=False)))
        else:
            writer.write(_chunk(self._whole_list()))
        self._watches.append(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_SECONDS)
                writer.write(_chunk(b"\n"))
                await writer.drain()
        finally:
            self._watches.remove(writer)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Host:
    """A host that accepts every connection and returns each line at once, or serves it as a case asks."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.address = ""
        self.opened: list[str] = []  # ids of the requests, in the order of arrival
        self.service: Service = self._echo
        self._record = record

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while line := await reader.readline():
                if line.startswith(b"OPEN "):
                    request = line.split()[1].decode()
                    self.opened.append(request)
                    self._record.write(f"host {self.name}: OPEN {request}")
                    writer.write(f"UP {self.name}-{len(self.opened)}\r\n".encode())
                    await self.service(reader, writer)
                    break
                writer.write(b"PONG eps=0,inflight=1,x0=0.1\r\n" if line == b"STATS\r\n" else b"PONG\r\n")
                await writer.drain()
        writer.close()

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()


def host_entry(name: str, address: str) -> Json:
    """Return a host's entry of the list."""
    fixed = {"zone": "levis", "machineType": "fast", "cell": 0, "weight": 1.0, "startedAtMs": 0}
    return {"instanceId": name, "hostPort": address, "lifecycle": "active", **fixed}


def quebec_settings() -> Json:
    """Return settings like those of the site quebec-signing, with one zone and one kind of host."""
    classes = [_traffic_class("status-watch", 300, 1800, 1.0), _traffic_class("image-submit", 800, 3200, 3.0)]
    shares = {"abitibi-controls": 0.6, "fleuve-devices": 0.4}
    return {
        "areas": ["levis"],
        "balancers": 1,
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
        "classes": classes,
        "customers": [{"name": name, "fraction": share} for name, share in shares.items()],
        "discovery": "on_request",
        "domain": {
            "groups": True,
            "messageAimUs": [60_000.0, 50_000.0],
            "mode": "proxy",
            "tellsDelay": True,
            "tellsLoad": True,
            "tenantQuotaConnections": [100.0, 100.0],
        },
        "invariants": {
            "askEveryUs": 10_000_000,
            "drainGraceUs": 500_000,
            "graceToAnswerUs": 20_000,
            "overloadFactor": 3.0,
            "overloadForUs": 2_000_000,
            "startCapacity": 0.13,
            "warmUpUs": 24_000_000,
        },
        "kinds": ["fast"],
        "loadInfo": {"fields": ["eps", "inflight", "x0"], "via": "probe"},
        "me": 0,
        "overShareWorth": 0.1,
        "prices": {"crossZone": 0.16, "probe": 0.002},
        "tickUs": 5000,
        "weights": "nominal",
        "zone": 0,
    }


def _traffic_class(name: str, aim_ms: int, deadline_ms: int, worth: float) -> Json:
    times = {"aimUs": aim_ms * 1000, "deadlineUs": deadline_ms * 1000, "repeatWindowUs": 5_000_000}
    return {"name": name, "effect": "safe", "keyScope": "all", "stream": True, "worth": worth, **times}


class Node:
    """One node of a tier, started by the `run` command of the deploy file."""

    def __init__(
        self, folder: Path, discovery: Discovery, record: Record, number: int = 0, node_count: int = 1
    ) -> None:
        listen, console = free_ports(2)
        self.name = f"n{number}"
        self.listen = ("127.0.0.1", listen)
        self.operator_file: Path | None = None
        self._console = ("127.0.0.1", console)
        self._folder = folder / self.name
        self._folder.mkdir()
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self._config = {
            "name": self.name,
            "listen": f"127.0.0.1:{listen}",
            "console": f"127.0.0.1:{console}",
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "generation": discovery.generation,
                "reset": True,
                "instances": list(discovery.entries.values()),
            },
            "settings": {**quebec_settings(), "me": number, "balancers": node_count},
        }

    async def start(self) -> None:
        """Start the node and wait until its console says that it serves."""
        config = self._folder / "config.json"
        config.write_text(json.dumps(self._config), encoding="utf-8")
        shared = self._folder / "tmp"
        shutil.rmtree(shared, ignore_errors=True)
        shared.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "PROXY_CONFIG": str(config),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TMPDIR": str(shared),
        }
        if self.operator_file:
            environment["LIMERUDDER_FILE"] = str(self.operator_file)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        self._record.write(f"node {self.name}: started as process {self._process.pid}")
        async with asyncio.timeout(READY_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(POLL_SECONDS)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._console)
            writer.write(b"status\n")
            answer = await reader.read()
            writer.close()
        except OSError:
            return False
        return answer.startswith(b"done")

    def kill(self) -> None:
        """Kill the node's process."""
        if self._process:
            self._process.kill()
            self._process.wait()
            self._record.write(f"node {self.name}: killed")

    def stop(self) -> None:
        """End the node's process and copy its log to the record."""
        if self._process is None:
            return
        self._process.terminate()
        try:
            self._process.wait(5)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._record.write(
            f"node {self.name}: process {self._process.pid} ended with {self._process.returncode}"
        )
        for line in (self._folder / "log").read_text(encoding="utf-8", errors="replace").splitlines():
            self._record.write(f"log of {self.name}: {line}")


def open_line(class_name: str, deadline_ms: int) -> tuple[str, bytes]:
    """Return a new request's id and its first line."""
    request, key, group = (os.urandom(8).hex() for _ in range(3))
    pairs = f"c={class_name},t=abitibi-controls,d={deadline_ms},g={group}"
    return request, f"OPEN {request} {key} {pairs}\r\n".encode()


def run_case(case: Callable[[Path, Record], Awaitable[int]], limit_seconds: float) -> None:
    """Run a case in a temporary folder of its own, with the record that the command line names; then exit."""
    record = Record(sys.argv[1])
    record.write(f"disruption: {'yes' if is_troubled() else 'no'}")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        code = asyncio.run(_run_limited(case, folder, record, limit_seconds))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {type(error).__name__} {error}")
        code = NOT_RUN
    shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule was kept", BROKEN: "the rule was broken"}.get(code, "the case could not run")
    record.write(f"result: {verdict}")
    print(verdict, flush=True)
    os._exit(code)  # without the event loop's complaints about connections that are still open


async def _run_limited(
    case: Callable[[Path, Record], Awaitable[int]], folder: Path, record: Record, limit_seconds: float
) -> int:
    """Run a case until it ends, its time is up or SIGTERM comes; it ends its processes in each case."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(limit_seconds):
        return await case(folder, record)
