"""Measures writes to PySyncObj in four processes, for the comparison in `bench.store_speed`."""

from __future__ import annotations

import multiprocessing
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from harness.node_process import free_ports

MEMBERS = 4
POLL_SECONDS = 0.01
DRAIN_SECONDS = 5  #: Maximum wait for writes in flight at the end of a run


@dataclass(frozen=True)
class Plan:
    """The writes of the leader's process."""

    in_flight: int
    seconds: float
    value: str
    keys: int


def time_writes(journals: Path, in_flight: int, seconds: float, value: str, keys: int) -> list[float]:
    """Write through the leader of a new cluster; return the latency of each write in seconds."""
    plan = Plan(in_flight, seconds, value, keys)
    ports = free_ports(MEMBERS)
    pipes: list[Connection] = []
    processes: list[multiprocessing.Process] = []
    for number in range(MEMBERS):
        near_end, far_end = multiprocessing.Pipe()
        arguments = (number, ports, str(journals), plan, far_end)
        process = multiprocessing.Process(target=_run_member, args=arguments, daemon=True)
        process.start()
        pipes.append(near_end)
        processes.append(process)
    are_leaders = [pipe.recv() for pipe in pipes]
    leader = are_leaders.index(True)
    for number, pipe in enumerate(pipes):
        pipe.send(number == leader)
    latencies: list[float] = pipes[leader].recv()
    for pipe, process in zip(pipes, processes, strict=True):
        pipe.send(None)
        process.terminate()
        process.join()
    return latencies


def _run_member(number: int, ports: list[int], journals: str, plan: Plan, pipe: Connection) -> None:
    """Run one member: report whether it leads, receive whether to write, and send the write latencies."""
    keys = _create_member(number, ports, journals)
    while not keys.isReady():
        time.sleep(POLL_SECONDS)
    pipe.send(keys._isLeader())
    is_writer = pipe.recv()
    if is_writer:
        writer = PySyncObjWriter(keys, plan)
        writer.run()
        pipe.send(writer.latencies)
    pipe.recv()


def _create_member(number: int, ports: list[int], journals: str) -> Any:
    # type checks also run where PySyncObj is not installed
    from pysyncobj import (  # type: ignore[import-not-found,import-untyped,unused-ignore]
        SyncObj,
        SyncObjConf,
        replicated,
    )

    class ReplicatedKeys(SyncObj):  # type: ignore[misc,unused-ignore]
        def __init__(self) -> None:
            addresses = [f"127.0.0.1:{port}" for port in ports]
            others = addresses[:number] + addresses[number + 1 :]
            conf = SyncObjConf(journalFile=f"{journals}/journal{number}", dynamicMembershipChange=False)
            super().__init__(addresses[number], others, conf)
            self.values: dict[str, str] = {}

        @replicated  # type: ignore[misc,unused-ignore]
        def put(self, key: str, value: str) -> None:
            self.values[key] = value

    return ReplicatedKeys()


class PySyncObjWriter:
    """Keeps a constant number of writes in flight for a given time."""

    def __init__(self, keys: Any, plan: Plan) -> None:
        self.latencies: list[float] = []
        self._keys = keys
        self._plan = plan
        self._in_flight = 0
        self._last_number = 0
        self._end = time.perf_counter() + plan.seconds

    def run(self) -> None:
        """Write until the end time, then wait for the writes in flight."""
        for _ in range(self._plan.in_flight):
            self._write()
        while self._in_flight and time.perf_counter() < self._end + DRAIN_SECONDS:
            time.sleep(POLL_SECONDS)

    def _write(self) -> None:
        self._last_number += 1
        self._in_flight += 1
        started = time.perf_counter()

        def on_written(result: Any, error: Any) -> None:
            finished = time.perf_counter()
            self._in_flight -= 1
            self.latencies.append(finished - started)
            if finished < self._end:
                self._write()

        key = f"kv/{self._last_number % self._plan.keys}"
        self._keys.put(key, self._plan.value, callback=on_written)
