"""Starts the project's own program as a separate process, as the platform does."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from random import SystemRandom
from typing import Any

from rig2.record import Record

ROOT = Path(__file__).resolve().parents[2]
YES = "done"
START_SECONDS = 30.0  #: How long the platform waits for a node
POLL_SECONDS = 0.02

randrange = SystemRandom().randrange


class CannotRunError(Exception):
    """The case could not be run; this says nothing about the rule."""


def free_addresses(count: int) -> list[str]:
    """Return free loopback addresses; each is its own, so that no other program's port gets in the way."""
    hosts = [f"127.{randrange(1, 255)}.{randrange(1, 255)}.1" for _ in range(count)]
    sockets = [socket.create_server((host, 0)) for host in hosts]
    addresses = ["{}:{}".format(*sock.getsockname()) for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def settings(balancers: int, me: int) -> dict[str, Any]:
    """Return the settings of a small deployment like quebec-signing."""
    return {
        "balancers": balancers,
        "me": me,
        "zone": 0,
        "areas": ["levis", "sainte-foy"],
        "kinds": ["fast", "standard", "slow"],
        "tiers": ["queue-front"],
        "layer": 0,
        "family": "conn",
        "countedBy": "request",
        "weights": "nominal",
        "discovery": "on_request",
        "tickUs": 5000,
        "overShareWorth": 0.1,
        "classes": [
            _traffic_class("status-watch", 300_000, 1_800_000, 1.0),
            _traffic_class("image-submit", 800_000, 3_200_000, 3.0),
        ],
        "clientHabits": {"marksRetry": True},
        "customers": [
            {"name": "abitibi-controls", "fraction": 0.5, "quotaPerS": 0.0},
            {"name": "fleuve-devices", "fraction": 0.3, "quotaPerS": 0.0},
            {"name": "laurentide-io", "fraction": 0.2, "quotaPerS": 0.0},
        ],
        "caps": {
            "cancel": True,
            "connIdleUs": 5_000_000,
            "dialTimeoutUs": 100_000,
            "parallelTries": False,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "tryLimit": 6,
        },
        "domain": {
            "groups": True,
            "messageAimUs": [60_000.0, 50_000.0],
            "mode": "proxy",
            "parkUs": 0,
            "tellsDelay": True,
            "tellsLoad": False,
            "tenantQuotaConnections": [500.0, 300.0, 200.0],
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
        "loadInfo": {"fields": ["eps", "inflight", "x0"], "via": "probe"},
        "prices": {"crossZone": 0.16, "probe": 0.002, "moves": 0.0087, "waste": 0.2},
        "resultMix": {"whole": 0.6, "worstWindow": 0.1, "worstClass": 0.2, "worstTenant": 0.1},
    }


def _traffic_class(name: str, aim_us: int, deadline_us: int, worth: float) -> dict[str, Any]:
    return {
        "name": name,
        "aimUs": aim_us,
        "deadlineUs": deadline_us,
        "effect": "safe",
        "keyScope": "all",
        "lateValue": 0.0,
        "repeatWindowUs": 5_000_000,
        "stream": True,
        "worth": worth,
    }


def _deploy_command(name: str) -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


class Node:
    """One node: its addresses, its configuration, and its processes, of which two may overlap."""

    def __init__(self, record: Record, folder: Path, name: str, number: int, tier_size: int) -> None:
        self.name = name
        self.number = number
        self.folder = folder / name
        self.folder.mkdir()
        self.listen, self.console = free_addresses(2)
        self.values: dict[str, Any] = {
            "name": name,
            "listen": self.listen,
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(tier_size, number),
        }
        self.operator_file: Path | None = None
        self.store_folder = ""
        self.processes: list[subprocess.Popen[bytes]] = []
        self._record = record
        self._temporary = self.folder / "tmp0"

    def configure(self, **values: Any) -> None:
        """Replace the file of the configuration, in one step."""
        self.values |= values
        written = self.folder / "config.json.new"
        written.write_text(json.dumps(self.values), encoding="utf-8")
        written.rename(self.folder / "config.json")

    def use_store(self, folder: Path, listen: str) -> None:
        """Name a store's data directory in the operator's file."""
        self.operator_file = self.folder / "limerudder.cue"
        self.store_folder = str(folder)
        text = f'store: {{folder: "{folder}", listen: "{listen}"}}\n'
        self.operator_file.write_text(text, encoding="utf-8")

    def launch(self, beside: bool = False) -> subprocess.Popen[bytes]:
        """Start a process by `run`; `beside` the old one: the same addresses and TMPDIR, another console."""
        if beside:
            (self.console,) = free_addresses(1)
        else:
            self._temporary = self.folder / f"tmp{len(self.processes)}"  # empty at each start
            self._temporary.mkdir()
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen,
            "PROXY_DISCOVERY": self.values["discovery"],
            "PROXY_CONSOLE": self.console,
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self._temporary),
        }
        if self.operator_file:
            environment["LIMERUDDER_FILE"] = str(self.operator_file)
        with (self.folder / f"log{len(self.processes)}.txt").open("wb") as log:
            command = ["/bin/sh", "-c", _deploy_command("run")]
            process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.processes.append(process)
        self._record.note(f"{self.name}: process {len(self.processes)} started")
        return process

    async def start(self, beside: bool = False) -> None:
        """Start a process, and wait until its console says yes."""
        self.launch(beside)
        await self.wait_for_yes()

    async def wait_for_yes(self) -> None:
        """Wait until the newest process says yes."""
        deadline = time.monotonic() + START_SECONDS
        while await self.call("status") != YES:
            if time.monotonic() > deadline or self.processes[-1].poll() is not None:
                raise CannotRunError(f"{self.name} does not start: {self.log_text()}")
            await asyncio.sleep(POLL_SECONDS)
        self._record.note(f"{self.name}: process {len(self.processes)} says yes")

    async def call(self, line: str) -> str:
        """Call the console of the newest process; return its answer, or an empty text if there is none."""
        try:
            reader, writer = await asyncio.open_connection(*self.console.split(":"))
        except OSError:
            return ""
        try:
            writer.write(line.encode() + b"\r\n")
            answer = await asyncio.wait_for(reader.read(), 6)
        except (OSError, TimeoutError):
            return ""
        finally:
            writer.close()
        if not line.startswith("sta"):
            self._record.note(f"{self.name}: console call {line}: {answer.decode().strip()}")
        return answer.decode().strip()

    async def state(self, *arguments: str) -> dict[str, Any]:
        """Run `limerudder state` at this node, and return its answer; empty if the call failed."""
        try:
            options = ("--folder", self.store_folder, "--json")
            text = await run_command(self._record, "state", *options, *arguments)
        except CannotRunError:
            return {}
        answer: dict[str, Any] = json.loads(text)
        return answer

    async def wait_for_leader(self) -> str:
        """Wait until this node's store knows a leader; return its name."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            leader = (await self.state("status")).get("leader")
            if leader:
                return str(leader)
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name}: the store has no leader")

    async def figure(self, name: str) -> int:
        """Return one of the console's figures; -1 if it is not there."""
        for line in (await self.call("stats")).splitlines():
            if line.startswith(f"app.{name}:"):
                return int(line.split(":")[1].split("|")[0])
        return -1

    async def wait_for_figure(self, name: str, wanted: int) -> None:
        """Wait until one of the console's figures has this value."""
        deadline = time.monotonic() + START_SECONDS
        while await self.figure(name) != wanted:
            if time.monotonic() > deadline:
                raise CannotRunError(f"{self.name}: {name} does not become {wanted}")
            await asyncio.sleep(POLL_SECONDS)
        self._record.note(f"{self.name}: {name} is {wanted}")

    def signal(self, number: signal.Signals, process: subprocess.Popen[bytes] | None = None) -> None:
        """Send a signal to a process that still runs, by default the newest."""
        process = process or self.processes[-1]
        if process.poll() is None:
            process.send_signal(number)
            turn = self.processes.index(process) + 1
            self._record.note(f"{self.name}: {number.name} sent to process {turn}")

    async def kill(self) -> None:
        """Kill the newest process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait_for_end(self.processes[-1])

    async def wait_for_end(self, process: subprocess.Popen[bytes]) -> None:
        """Wait until a process has ended."""
        while process.poll() is None:
            await asyncio.sleep(POLL_SECONDS)
        turn = self.processes.index(process) + 1
        self._record.note(f"{self.name}: process {turn} has ended with {process.returncode}")

    def end_all(self) -> None:
        """Kill all processes that still run."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def log_text(self) -> str:
        """Return the log of all processes."""
        logs = sorted(self.folder.glob("log*.txt"))
        return "".join(f"{log.stem}:\n{log.read_text(errors='replace')}" for log in logs)


async def run_command(record: Record, *arguments: str) -> str:
    """Run `limerudder` with these arguments; return what it printed. Raises CannotRunError."""
    program = str(ROOT / ".venv" / "bin" / "limerudder")
    process = await asyncio.create_subprocess_exec(
        program, *arguments, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    output, _ = await process.communicate()
    text = output.decode(errors="replace").strip()
    record.note(f"limerudder {' '.join(arguments[-3:])}: exit {process.returncode}: {text}")
    if process.returncode:
        raise CannotRunError(text)
    return text
