"""Writes a second and their latency on four processes, beside PySyncObj and beside the floor.

`python -m bench.store_speed`; PySyncObj, pinned here, must be installed by hand: `pip install
pysyncobj==0.3.17`. The floor is one append with fdatasync, and a round trip between two processes, at their
medians.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from harness.multi_process import free_ports
from limerudder.store.client import ControlClient, ControlUnavailable
from limerudder.store.data_directory import init_cluster

VALUE = "v" * 100


def percentile(sorted_values: list[float], share: float) -> float:
    """Of values in order."""
    return sorted_values[min(int(len(sorted_values) * share), len(sorted_values) - 1)]


def told(name: str, seconds: float, took: list[float]) -> dict[str, Any]:
    """A row."""
    took.sort()
    row = {
        "what": name,
        "writes_s": round(len(took) / seconds),
        "p50_us": round(percentile(took, 0.5) * 1e6),
        "p99_us": round(percentile(took, 0.99) * 1e6),
    }
    print(row, flush=True)
    return row


def floor(folder: Path) -> float:
    """Seconds of an fdatasync and a round trip, medians."""
    handle = os.open(folder / "floor", os.O_CREAT | os.O_WRONLY)
    synced = []
    for _ in range(500):
        began = time.perf_counter()
        os.write(handle, b"x" * 200)
        os.fdatasync(handle)
        synced.append(time.perf_counter() - began)
    os.close(handle)
    ours, theirs = multiprocessing.Pipe()
    echo = multiprocessing.Process(target=_echo, args=(theirs,))
    echo.start()
    tripped = []
    for _ in range(2000):
        began = time.perf_counter()
        ours.send_bytes(b"x" * 200)
        ours.recv_bytes()
        tripped.append(time.perf_counter() - began)
    ours.send_bytes(b"")
    echo.join()
    sync, trip = percentile(sorted(synced), 0.5), percentile(sorted(tripped), 0.5)
    print(f"floor: fdatasync {sync * 1e6:.0f} us + round trip {trip * 1e6:.0f} us", flush=True)
    return sync + trip


def _echo(pipe: Any) -> None:
    while data := pipe.recv_bytes():
        pipe.send_bytes(data)


class Cluster:
    """Four members without nodes."""

    def __init__(self, folder: Path) -> None:
        self.addresses = {f"n{n}": f"127.0.0.1:{port}" for n, port in enumerate(free_ports(4))}
        self.folders = dict(
            zip(self.addresses, init_cluster(str(folder), list(self.addresses.items())), strict=True)
        )
        self.ran: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.addresses:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one, and wait until it answers."""
        args = [sys.executable, "-m", "harness.single_member", self.folders[name], self.addresses[name]]
        self.ran[name] = subprocess.Popen(args, stdout=subprocess.DEVNULL)
        while not self.status(name):
            time.sleep(0.02)

    def status(self, name: str) -> dict[str, Any]:
        """Its status; empty where it does not answer."""
        try:
            with ControlClient(self.folders[name], 1) as client:
                found = client.call("status")
                return found if found.pop("ok") else {}
        except ControlUnavailable:
            return {}

    def leader(self) -> str:
        """Who leads, once somebody does and all others know."""
        while True:
            states = [self.status(name) for name in self.addresses]
            names = {one.get("leader", "") for one in states}
            if len(names) == 1 and "" not in names and len({one["applied"] for one in states}) == 1:
                return str(names.pop())
            time.sleep(0.02)

    def kill(self, name: str) -> None:
        """End one now."""
        self.ran[name].send_signal(signal.SIGKILL)
        self.ran[name].wait()

    def close(self) -> None:
        """End all."""
        for name in self.ran:
            self.kill(name)


async def pipelined(folder: str, flight: int, seconds: float) -> list[float]:
    """Writes through one member, so many under way at a time; seconds each took."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    reader, writer = await asyncio.open_unix_connection(f"/proc/self/fd/{handle}/control")
    os.close(handle)
    took: list[float] = []
    sent: dict[int, float] = {}
    number, end = 0, time.perf_counter() + seconds

    def say() -> None:
        nonlocal number
        number += 1
        call = {"call": "put", "key": f"kv/{number % 1000}", "value": VALUE, "tag": number}
        sent[number] = time.perf_counter()
        writer.write(json.dumps(call).encode() + b"\n")

    for _ in range(flight):
        say()
    while sent:
        answer = json.loads(await reader.readline())
        now = time.perf_counter()
        assert answer["ok"], answer
        took.append(now - sent.pop(answer["tag"]))
        if now < end:
            say()
    writer.close()
    return took


def ours(folder: Path, seconds: float) -> list[dict[str, Any]]:
    """Our own store."""
    cluster = Cluster(folder)
    try:
        leads = cluster.leader()
        uvloop.run(pipelined(cluster.folders[leads], 8, 0.5))
        rows = []
        for flight in (1, 64):
            took = uvloop.run(pipelined(cluster.folders[leads], flight, seconds))
            rows.append(told(f"limerudder, {flight} in flight", seconds, took))
        return rows
    finally:
        cluster.close()


def _syncobj(number: int, ports: list[int], folder: str, flight: int, seconds: float, pipe: Any) -> None:
    # mypy is run where it is not installed, too
    from pysyncobj import (  # type: ignore[import-not-found,import-untyped,unused-ignore]
        SyncObj,
        SyncObjConf,
        replicated,
    )

    class Keys(SyncObj):  # type: ignore[misc,unused-ignore]
        def __init__(self) -> None:
            addresses = [f"127.0.0.1:{port}" for port in ports]
            conf = SyncObjConf(journalFile=f"{folder}/journal{number}", dynamicMembershipChange=False)
            super().__init__(addresses[number], addresses[:number] + addresses[number + 1 :], conf)
            self.values: dict[str, str] = {}

        @replicated  # type: ignore[misc,unused-ignore]
        def put(self, key: str, value: str) -> None:
            self.values[key] = value

    keys = Keys()
    while not keys.isReady():
        time.sleep(0.01)
    pipe.send(keys._isLeader())
    if not pipe.recv():
        pipe.recv()
        return
    took: list[float] = []
    out, state = [0], {"n": 0}
    end = time.perf_counter() + seconds

    def say() -> None:
        state["n"] += 1
        out[0] += 1
        began = time.perf_counter()

        def done(result: Any, error: Any) -> None:
            out[0] -= 1
            took.append(time.perf_counter() - began)
            if time.perf_counter() < end:
                say()

        keys.put(f"kv/{state['n'] % 1000}", VALUE, callback=done)

    for _ in range(flight):
        say()
    while out[0] and time.perf_counter() < end + 5:
        time.sleep(0.01)
    pipe.send(took)
    pipe.recv()


def syncobj(folder: Path, seconds: float) -> list[dict[str, Any]]:
    """PySyncObj, with its journal."""
    rows = []
    for flight in (1, 64):
        ports, pipes, processes = free_ports(4), [], []
        place = folder / f"flight{flight}"
        place.mkdir()
        for number in range(4):
            mine, its = multiprocessing.Pipe()
            args = (number, ports, str(place), flight, seconds, its)
            processes.append(multiprocessing.Process(target=_syncobj, args=args, daemon=True))
            processes[-1].start()
            pipes.append(mine)
        leads = [pipe.recv() for pipe in pipes]
        chosen = leads.index(True)
        for number, pipe in enumerate(pipes):
            pipe.send(number == chosen)
        rows.append(told(f"PySyncObj, {flight} in flight", seconds, pipes[chosen].recv()))
        for pipe, process in zip(pipes, processes, strict=True):
            pipe.send(None)
            process.terminate()
            process.join()
    return rows


def main() -> int:
    """All of it, one after the other, in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--without-syncobj", action="store_true")
    given = parser.parse_args()
    for _ in range(given.turns):
        with tempfile.TemporaryDirectory(dir=os.getcwd()) as name:
            folder = Path(name)
            least = floor(folder)
            mine = ours(folder / "ours", given.seconds)
            print(f"p50 at 1 in flight is {mine[0]['p50_us'] / least / 1e6:.2f} times the floor")
            if not given.without_syncobj:
                (folder / "theirs").mkdir()
                others = syncobj(folder / "theirs", given.seconds)
                for a, b in zip(mine, others, strict=True):
                    print(
                        f"{a['what']}: {a['writes_s'] / max(b['writes_s'], 1):.1f} times PySyncObj's writes"
                    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
