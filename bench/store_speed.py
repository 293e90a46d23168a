"""Measures write throughput and latency with four processes, compared with PySyncObj and a lower bound.

`python -m bench.store_speed`; PySyncObj must be installed by hand: `pip install pysyncobj==0.3.17`. The lower
bound ("floor") is the median of an append with fdatasync plus the median round trip between two processes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import uvloop

from harness.member_cluster import MemberCluster
from limerudder.store.control_protocol import socket_path

VALUE = "v" * 100
KEYS = 1000
IN_FLIGHT = (1, 64)
FLOOR_BYTES = b"x" * 200
FLOOR_SYNCS = 500
FLOOR_ROUND_TRIPS = 2000
WARM_UP_IN_FLIGHT = 8
WARM_UP_SECONDS = 0.5
MICROSECONDS_PER_SECOND = 1e6


def percentile(sorted_values: Sequence[float], share: float) -> float:
    """Return the value below which the given share of the values lies."""
    return sorted_values[min(int(len(sorted_values) * share), len(sorted_values) - 1)]


@dataclass(frozen=True)
class Measurement:
    """Throughput and latency of the writes of one run."""

    name: str
    writes_per_second: int
    median_us: int
    p99_us: int

    @classmethod
    def of(cls, name: str, seconds: float, latencies_seconds: list[float]) -> Measurement:
        """Summarize and print a run."""
        latencies = sorted(latencies_seconds)
        measurement = cls(
            name,
            round(len(latencies) / seconds),
            round(percentile(latencies, 0.5) * MICROSECONDS_PER_SECOND),
            round(percentile(latencies, 0.99) * MICROSECONDS_PER_SECOND),
        )
        print(measurement.row(), flush=True)
        return measurement

    def row(self) -> dict[str, Any]:
        """Return the row to print."""
        return {
            "what": self.name,
            "writes_s": self.writes_per_second,
            "p50_us": self.median_us,
            "p99_us": self.p99_us,
        }


def measure_floor(folder: Path) -> float:
    """Return the sum of the median fdatasync and the median round trip, in seconds."""
    sync_seconds = percentile(sorted(_time_syncs(folder / "floor")), 0.5)
    trip_seconds = percentile(sorted(_time_round_trips()), 0.5)
    sync_us = sync_seconds * MICROSECONDS_PER_SECOND
    trip_us = trip_seconds * MICROSECONDS_PER_SECOND
    print(f"floor: fdatasync {sync_us:.0f} us + round trip {trip_us:.0f} us", flush=True)
    return sync_seconds + trip_seconds


def _time_syncs(path: Path) -> list[float]:
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    seconds = []
    for _ in range(FLOOR_SYNCS):
        started = time.perf_counter()
        os.write(descriptor, FLOOR_BYTES)
        os.fdatasync(descriptor)
        seconds.append(time.perf_counter() - started)
    os.close(descriptor)
    return seconds


def _time_round_trips() -> list[float]:
    near_end, far_end = multiprocessing.Pipe()
    echo = multiprocessing.Process(target=_echo, args=(far_end,))
    echo.start()
    seconds = []
    for _ in range(FLOOR_ROUND_TRIPS):
        started = time.perf_counter()
        near_end.send_bytes(FLOOR_BYTES)
        near_end.recv_bytes()
        seconds.append(time.perf_counter() - started)
    near_end.send_bytes(b"")
    echo.join()
    return seconds


def _echo(pipe: Connection) -> None:
    while data := pipe.recv_bytes():
        pipe.send_bytes(data)


@dataclass
class PipelinedWriter:
    """Writes through one member for a given time, with a constant number of writes in flight."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    end: float
    sent: dict[int, float] = field(default_factory=dict)  # send times by write number
    latencies: list[float] = field(default_factory=list)
    last_number: int = 0

    async def run(self, in_flight: int) -> None:
        """Write until the end time, and wait for all answers."""
        for _ in range(in_flight):
            self._send()
        while self.sent:
            answer = json.loads(await self.reader.readline())
            received = time.perf_counter()
            assert answer["ok"], answer
            self.latencies.append(received - self.sent.pop(answer["tag"]))
            if received < self.end:
                self._send()

    def _send(self) -> None:
        self.last_number += 1
        number = self.last_number
        call = {"call": "put", "key": f"kv/{number % KEYS}", "value": VALUE, "tag": number}
        self.sent[number] = time.perf_counter()
        self.writer.write(json.dumps(call).encode() + b"\n")


async def write_pipelined(directory: str, in_flight: int, seconds: float) -> list[float]:
    """Write through the member of a data directory; return the latency of each write in seconds."""
    with socket_path(directory) as path:
        reader, writer = await asyncio.open_unix_connection(path)
    pipelined = PipelinedWriter(reader, writer, time.perf_counter() + seconds)
    await pipelined.run(in_flight)
    writer.close()
    return pipelined.latencies


def measure_store(folder: Path, seconds: float) -> list[Measurement]:
    """Measure this store at each number of writes in flight."""
    cluster = MemberCluster.create(folder)
    try:
        directory = cluster.directories[cluster.leader()]
        uvloop.run(write_pipelined(directory, WARM_UP_IN_FLIGHT, WARM_UP_SECONDS))
        measurements = []
        for in_flight in IN_FLIGHT:
            latencies = uvloop.run(write_pipelined(directory, in_flight, seconds))
            measurements.append(Measurement.of(f"limerudder, {in_flight} in flight", seconds, latencies))
        return measurements
    finally:
        cluster.close()


def measure_pysyncobj(folder: Path, seconds: float) -> list[Measurement]:
    """Measure PySyncObj with its journal enabled."""
    from bench.pysyncobj_writes import time_writes

    measurements = []
    for in_flight in IN_FLIGHT:
        journals = folder / f"flight{in_flight}"
        journals.mkdir()
        latencies = time_writes(journals, in_flight, seconds, VALUE, KEYS)
        measurements.append(Measurement.of(f"PySyncObj, {in_flight} in flight", seconds, latencies))
    return measurements


def compare(folder: Path, seconds: float, with_pysyncobj: bool) -> None:
    """Measure the floor and the stores once, and print their ratios."""
    floor_seconds = measure_floor(folder)
    store = measure_store(folder / "ours", seconds)
    floor_us = floor_seconds * MICROSECONDS_PER_SECOND
    print(f"p50 at 1 in flight is {store[0].median_us / floor_us:.2f} times the floor")
    if not with_pysyncobj:
        return
    (folder / "theirs").mkdir()
    pysyncobj = measure_pysyncobj(folder / "theirs", seconds)
    for store_result, pysyncobj_result in zip(store, pysyncobj, strict=True):
        ratio = store_result.writes_per_second / max(pysyncobj_result.writes_per_second, 1)
        print(f"{store_result.name}: {ratio:.1f} times PySyncObj's throughput")


def main() -> int:
    """Run the whole comparison several times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--without-syncobj", action="store_true")
    arguments = parser.parse_args()
    for _ in range(arguments.turns):
        with tempfile.TemporaryDirectory(dir=os.getcwd()) as folder:
            compare(Path(folder), arguments.seconds, not arguments.without_syncobj)
    return 0


if __name__ == "__main__":
    sys.exit(main())
