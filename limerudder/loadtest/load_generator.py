"""The load generator: an open loop on real sockets.

Every arrival starts at its intended time, or as soon afterwards as the generator can. Late arrivals are never
skipped: their latency is also measured from the intended time, and their lateness is recorded separately, so
that a slow generator is not mistaken for a slow node.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from typing import IO, Any

import uvloop

from limerudder.loadtest.arrivals import MICROSECONDS_PER_SECOND, Arrival
from limerudder.loadtest.latency_histogram import LatencyHistogram
from limerudder.loadtest.simulated_client import SimulatedClient

MAX_ARRIVALS_PER_STEP = 64  #: Limit of arrivals per loop iteration, so that a burst does not delay answers
START_DELAY_US = 50_000  #: Delay between the call of `run` and the start of the run
BUSY_WAIT_US = 2000  #: Waits up to this length are busy waits, because timers are too coarse
TIMER_LATENESS_US = 1500  #: Maximum expected lateness of a timer
DRAIN_POLL_SECONDS = 0.01
REPORT_INTERVAL_SECONDS = 1.0
THREAD_SWITCH_INTERVAL_SECONDS = 0.001


class LoadGenerator:
    """One run against one or more addresses, which the arrivals use in turn."""

    def __init__(
        self,
        arrivals: Sequence[Arrival],
        targets: Sequence[tuple[str, int]],
        deadline_ms: int = 2000,
        figures: IO[str] | None = None,
        first_request_id: int = 1,
    ) -> None:
        """Prepare a run; must be called in a running event loop.

        `deadline_ms` is the deadline that clients send. The results are written to `figures` as a JSON line
        every second. Request ids start at `first_request_id`.
        """
        self.histogram = LatencyHistogram()
        self.clients: set[SimulatedClient] = set()
        self.established_count = 0
        self.start_us = 0
        self._arrivals = arrivals
        self._targets = list(targets)
        self._deadline_ms = deadline_ms
        self._figures = figures
        self._first_request_id = first_request_id
        self._loop = asyncio.get_running_loop()
        self._next_index = 0
        self._halted = False

    def now_us(self) -> int:
        """Return the microseconds since the start of the run."""
        return time.monotonic_ns() // 1000 - self.start_us

    def halt(self) -> None:
        """Start no more arrivals and end the run; `run` still returns the results so far."""
        self._halted = True

    async def run(self, drain_seconds: float = 5.0) -> LatencyHistogram:
        """Run all arrivals, then wait up to `drain_seconds` for answers, and return the results."""
        self.start_us = time.monotonic_ns() // 1000 + START_DELAY_US
        report_task = self._loop.create_task(self._report_periodically())
        try:
            await self._start_arrivals()
            await self._drain(drain_seconds)
        finally:
            report_task.cancel()
            for client in list(self.clients):
                client.cancel()
            self._report()
        return self.histogram

    def client_answered(self, client: SimulatedClient, answer: str) -> None:
        """Count a client's final answer."""
        self.histogram.record_answer(answer, self.now_us() - client.arrival.at_us)
        if answer == "UP":
            self.established_count += 1

    def client_closed(self, client: SimulatedClient, was_established: bool) -> None:
        """Remove a client whose connection is closed."""
        if was_established:
            self.established_count -= 1
        self.clients.discard(client)

    async def _drain(self, drain_seconds: float) -> None:
        drain_end_us = self.now_us() + int(drain_seconds * MICROSECONDS_PER_SECOND)
        while self.histogram.waiting and self.now_us() < drain_end_us and not self._halted:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _start_arrivals(self) -> None:
        while self._has_next():
            self._start_due_arrivals()
            if self._has_next():
                await self._wait_for_next_arrival()

    def _has_next(self) -> bool:
        return self._next_index < len(self._arrivals) and not self._halted

    def _start_due_arrivals(self) -> None:
        """Start the arrivals that are due, up to a limit per step."""
        now_us = self.now_us()
        for _ in range(MAX_ARRIVALS_PER_STEP):
            if not self._has_next() or self._arrivals[self._next_index].at_us > now_us:
                return
            now_us = self.now_us()
            self._start_arrival(self._next_index, now_us)
            self._next_index += 1

    def _start_arrival(self, index: int, now_us: int) -> None:
        arrival = self._arrivals[index]
        self.histogram.record_arrival(now_us - arrival.at_us)
        client = SimulatedClient(arrival, self._first_line(index, arrival), self, self._loop)
        if client.connect(self._targets[index % len(self._targets)]):
            self.clients.add(client)

    async def _wait_for_next_arrival(self) -> None:
        """Sleep until shortly before the next arrival, then busy-wait in iterations of the loop."""
        wait_us = self._arrivals[self._next_index].at_us - self.now_us()
        sleep_us = wait_us - TIMER_LATENESS_US if wait_us > BUSY_WAIT_US else 0
        await asyncio.sleep(sleep_us / MICROSECONDS_PER_SECOND)

    def _first_line(self, index: int, arrival: Arrival) -> bytes:
        """Return the OPEN line of an arrival, with a unique id."""
        request_id = self._first_request_id + index
        pairs = [f"c={arrival.traffic_class}"]
        if arrival.tenant:
            pairs.append(f"t={arrival.tenant}")
        pairs.append(f"d={self._deadline_ms}")
        if arrival.group:
            pairs.append(f"g={arrival.group:016x}")
        return f"OPEN {request_id:016x} {request_id:016x} {','.join(pairs)}\r\n".encode()

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self._report()

    def _report(self) -> None:
        if self._figures is None:
            return
        record: dict[str, Any] = {
            "at_s": round(self.now_us() / MICROSECONDS_PER_SECOND, 1),
            "standing": self.established_count,
        }
        record.update(self.histogram.summary())
        print(json.dumps(record), file=self._figures, flush=True)


def raise_descriptor_limit() -> int:
    """Raise the descriptor limit of this process to its hard limit; return the new limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    with suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def run_load_test(
    arrivals: Sequence[Arrival],
    targets: Sequence[tuple[str, int]],
    deadline_ms: int,
    figures: IO[str] | None,
) -> LatencyHistogram:
    """Run arrivals in a new event loop; SIGINT ends the run, and the results so far are returned."""

    async def generate_load() -> LatencyHistogram:
        first_request_id = time.time_ns() & 0xFFFFFFFFFF
        generator = LoadGenerator(arrivals, targets, deadline_ms, figures, first_request_id)
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, generator.halt)
        return await generator.run()

    raise_descriptor_limit()
    gc.freeze()  # garbage collection of all arrivals would delay the next ones
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    return uvloop.run(generate_load())
