"""Tests hot restarts from one release to another and back, under load.

Run `python -m bench.hot_restart_compatibility --old DIR`.

A process of the release in DIR, a checkout with its own `.venv`, serves clients over loopback. A process of
this checkout starts as its successor, and the old one receives SIGTERM; then the roles are reversed. The exit
code is 1 if a connection was refused at the listener, lost or cut off, or if a process exited with an error.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from pathlib import Path

import uvloop

from harness.configurations import configuration, host, hosts, settings
from harness.node_process import free_ports
from harness.stand_ins import StandInDiscovery, StandInHost

UPSTREAM_COUNT = 5
ANSWER_TIMEOUT_SECONDS = 4.0
START_TIMEOUT_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 6.0
MAX_RUN_SECONDS = 55.0
MESSAGE_INTERVAL_SECONDS = 0.25
SHORT_LIFETIMES_SECONDS = (0.2, 1.0)
PAUSE_AFTER_REFUSAL_SECONDS = 0.05
#: Time before the first restart: the node sheds load while many clients arrive at once and it has no
#: estimate of the upstreams' capacity yet.
WARM_UP_SECONDS = 4.0
PAUSE_AFTER_REJECTION_SECONDS = 0.25
CLIENT_LINE = "OPEN {request_id:016x} {key:016x} c=chat,t=acme,d=2000\r\n"


class Outcome(StrEnum):
    """Outcome of a connection; a connection may have several."""

    ACCEPTED = "accepted"
    ANSWERED = "answered"  # UP: an upstream has accepted the request
    REJECTED = "rejected"  # BUSY
    FAILED = "failed"  # FAIL or ERR
    MIGRATED = "migrated"  # MOVE
    REFUSED = "refused at the listener"
    LOST = "lost without an answer"
    CUT_OFF = "cut off without MOVE"  # ended after UP, or a message was not answered in time


FAULTS = (Outcome.REFUSED, Outcome.LOST, Outcome.CUT_OFF)
OUTCOMES_BY_ANSWER = {
    b"UP": Outcome.ANSWERED,
    b"BUSY": Outcome.REJECTED,
    b"FAIL": Outcome.FAILED,
    b"ERR": Outcome.FAILED,
}


@dataclass(frozen=True)
class Release:
    """A checkout of the node, and its Python interpreter."""

    name: str
    directory: Path
    python: Path


class NodeProcess:
    """A node process and its log lines."""

    def __init__(self, release: Release, process: asyncio.subprocess.Process) -> None:
        self.release = release
        self.process = process
        self.lines: list[str] = []
        self._is_listening = asyncio.Event()
        self._reader = asyncio.create_task(self._read_lines())

    @classmethod
    async def start(cls, release: Release, environment: dict[str, str]) -> NodeProcess:
        """Start a process, and wait until it accepts clients."""
        process = await asyncio.create_subprocess_exec(
            str(release.python),
            "-m",
            "limerudder",
            cwd=release.directory,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
        )
        node = cls(release, process)
        try:
            await asyncio.wait_for(node._is_listening.wait(), START_TIMEOUT_SECONDS)
        except TimeoutError:
            await node.kill()
            raise RuntimeError(f"{release.name} did not start to listen: {node.lines}") from None
        return node

    async def stop(self) -> int:
        """Send SIGTERM, and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_SECONDS)
        await self._reader
        return self.process.returncode or 0

    async def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reader

    async def _read_lines(self) -> None:
        assert self.process.stderr
        while line := (await self.process.stderr.readline()).decode():
            self.lines.append(line.rstrip())
            if "listening on" in line:
                self._is_listening.set()


class Load:
    """Clients that reconnect repeatedly, some with short connections and some until migrated."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.outcomes: Counter[Outcome] = Counter()
        self._address = address
        self._request_ids = count(1)
        self._random = random.Random(1)
        self._clients: list[asyncio.Task[None]] = []

    def start(self, long_lived: int, short_lived: int) -> None:
        """Start the given numbers of long-lived and short-lived clients."""
        for number in range(long_lived + short_lived):
            is_long_lived = number < long_lived
            self._clients.append(asyncio.create_task(self._run_client(is_long_lived)))

    async def stop(self) -> None:
        """Stop all clients; their open connections are not counted."""
        for client in self._clients:
            client.cancel()
        results = await asyncio.gather(*self._clients, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _run_client(self, is_long_lived: bool) -> None:
        while True:
            lifetime = float("inf") if is_long_lived else self._random.uniform(*SHORT_LIFETIMES_SECONDS)
            await self._connect_once(lifetime)

    async def _connect_once(self, lifetime_seconds: float) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            self.outcomes[Outcome.REFUSED] += 1
            await asyncio.sleep(PAUSE_AFTER_REFUSAL_SECONDS)
            return
        self.outcomes[Outcome.ACCEPTED] += 1
        try:
            if await self._open_request(reader, writer):
                await self._exchange_messages(reader, writer, lifetime_seconds)
        finally:
            writer.close()

    async def _open_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request; return whether an upstream has accepted it."""
        request_id = next(self._request_ids)
        writer.write(CLIENT_LINE.format(request_id=request_id, key=request_id).encode())
        answer = await _read_line(reader)
        outcome = OUTCOMES_BY_ANSWER.get(answer.partition(b" ")[0], Outcome.LOST)
        self.outcomes[outcome] += 1
        if outcome is Outcome.REJECTED:
            await asyncio.sleep(PAUSE_AFTER_REJECTION_SECONDS)
        return outcome is Outcome.ANSWERED

    async def _exchange_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lifetime_seconds: float
    ) -> None:
        """Exchange messages with the upstream until the lifetime is over or the connection ends."""
        sent_seconds = 0.0
        while sent_seconds < lifetime_seconds:
            writer.write(b"PING\r\n")
            line = await _read_line(reader)
            if line == b"MOVE":
                self.outcomes[Outcome.MIGRATED] += 1
                return
            if not line.startswith(b"PONG"):
                self.outcomes[Outcome.CUT_OFF] += 1
                return
            await asyncio.sleep(MESSAGE_INTERVAL_SECONDS)
            sent_seconds += MESSAGE_INTERVAL_SECONDS


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its terminator; empty if the connection ended or on timeout."""
    try:
        line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_SECONDS)
    except (OSError, TimeoutError):
        return b""
    return line.rstrip(b"\r\n") if line.endswith(b"\n") else b""


class Measurement:
    """One run: the old release, then this one, then the old one again."""

    def __init__(self, folder: Path, old: Release, new: Release, serve_seconds: float) -> None:
        self._folder = folder
        self._old = old
        self._new = new
        self._serve_seconds = serve_seconds
        self._discovery = StandInDiscovery()
        self._upstreams = [StandInHost(f"h{number}") for number in range(UPSTREAM_COUNT)]
        self._processes: list[NodeProcess] = []
        self._environment: dict[str, str] = {}
        self._listen_port, *self._console_ports = free_ports(4)
        self.load = Load(("127.0.0.1", self._listen_port))
        self.process_faults: list[str] = []

    async def run(self, long_lived: int, short_lived: int) -> None:
        """Run all restarts and print the outcomes."""
        try:
            await self._prepare()
            serving = await self._start_process(self._old)
            self.load.start(long_lived, short_lived)
            await asyncio.sleep(WARM_UP_SECONDS)
            print(f"{serving.release.name} alone: {describe(self.load.outcomes)}", flush=True)
            for release in (self._new, self._old):
                serving = await self._replace(serving, release)
            await self.load.stop()
            await self._stop_process(serving)
        finally:
            await self._clean_up()

    async def _prepare(self) -> None:
        await self._discovery.start()
        for upstream in self._upstreams:
            await upstream.start()
        listed = {upstream.name: host(upstream.name, upstream.address) for upstream in self._upstreams}
        self._discovery.entries = listed
        node_settings = settings(probes=True, peers=False)
        # The stand-in upstreams report constant values only; a constant load would make the node
        # conclude that they are full, and shed load.
        node_settings["loadInfo"]["fields"] = ["inflight"]
        node_environment = configuration(
            self._folder,
            listen=f"127.0.0.1:{self._listen_port}",
            discovery=self._discovery.address,
            known=hosts(*listed.values()),
            settings=node_settings,
        )
        self._environment = os.environ | node_environment | {"TMPDIR": str(self._folder)}

    async def _start_process(self, release: Release) -> NodeProcess:
        console = {"PROXY_CONSOLE": f"127.0.0.1:{self._console_ports.pop()}"}
        node = await NodeProcess.start(release, self._environment | console)
        self._processes.append(node)
        return node

    async def _replace(self, serving: NodeProcess, release: Release) -> NodeProcess:
        """Start a successor of this release, and stop the serving process."""
        before = self.load.outcomes.copy()
        successor = await self._start_process(release)
        await self._stop_process(serving)
        await asyncio.sleep(self._serve_seconds)
        new_outcomes = self.load.outcomes - before
        print(f"{serving.release.name} to {release.name}: {describe(new_outcomes)}", flush=True)
        return successor

    async def _stop_process(self, node: NodeProcess) -> None:
        code = await node.stop()
        if code != 0:
            self.process_faults.append(f"{node.release.name} exited with code {code}: {node.lines}")

    async def _clean_up(self) -> None:
        for node in self._processes:
            await node.kill()
        self._discovery.close()
        for upstream in self._upstreams:
            upstream.close()


def describe(outcomes: Counter[Outcome]) -> str:
    """Return all counts in one line."""
    return ", ".join(f"{outcomes[outcome]} {outcome}" for outcome in Outcome)


def main() -> int:
    """Run the restarts and evaluate the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, required=True, help="a checkout of the other release")
    parser.add_argument("--long-lived", type=int, default=100, help="clients that stay until migrated")
    parser.add_argument("--short-lived", type=int, default=60, help="clients with short connections")
    parser.add_argument("--seconds", type=float, default=2.0, help="seconds of service between restarts")
    arguments = parser.parse_args()
    old = Release("old", arguments.old, arguments.old / ".venv/bin/python")
    new = Release("new", Path(__file__).parent.parent, Path(sys.executable))
    with tempfile.TemporaryDirectory() as folder:
        measurement = Measurement(Path(folder), old, new, arguments.seconds)
        run = measurement.run(arguments.long_lived, arguments.short_lived)
        uvloop.run(asyncio.wait_for(run, MAX_RUN_SECONDS))
    outcomes = measurement.load.outcomes
    print(f"total: {describe(outcomes)}")
    for fault in measurement.process_faults:
        print(fault)
    is_faulty = measurement.process_faults or any(outcomes[fault] for fault in FAULTS)
    return 1 if is_faulty else 0


if __name__ == "__main__":
    sys.exit(main())
