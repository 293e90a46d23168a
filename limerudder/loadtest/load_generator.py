"""The load generator: an open loop on real sockets.

Every arrival begins at its intended moment, or as soon after it as the generator can. A late arrival is never
skipped: its latency counts from its intended moment all the same, and its lateness is counted beside it, so
that a slow generator is not taken for a slow node.
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

MAX_ARRIVALS_PER_STEP = 64  #: begun before answers are looked at again, so that a burst does not delay them
START_DELAY_US = 50_000  #: from the call to the beginning of the run
BUSY_WAIT_US = 2000  #: this close to the next arrival, timers are too coarse
TIMER_LATENESS_US = 1500  #: how much later than asked a timer may fire
DRAIN_POLL_SECONDS = 0.01
REPORT_INTERVAL_SECONDS = 1.0
THREAD_SWITCH_INTERVAL_SECONDS = 0.001


class LoadGenerator:
    """One run against one or more addresses, which arrivals take in turn."""

    def __init__(
        self,
        arrivals: Sequence[Arrival],
        targets: Sequence[tuple[str, int]],
        deadline_ms: int = 2000,
        figures: IO[str] | None = None,
        first_id: int = 1,
    ) -> None:
        """Prepare a run; must be called within a running loop.

        `deadline_ms` is how long clients say they will wait. `figures` gets a JSON line every second.
        Requests have ids from `first_id` on.
        """
        self.histogram = LatencyHistogram()
        self.clients: set[SimulatedClient] = set()
        self.served_count = 0
        self.start_us = 0
        self._arrivals = arrivals
        self._targets = list(targets)
        self._deadline_ms = deadline_ms
        self._figures = figures
        self._first_id = first_id
        self._loop = asyncio.get_running_loop()
        self._next_index = 0
        self._halted = False

    def now_us(self) -> int:
        """Return microseconds from the beginning of the run."""
        return time.monotonic_ns() // 1000 - self.start_us

    def halt(self) -> None:
        """Begin no more arrivals and end what is there; what has been measured is still returned."""
        self._halted = True

    async def run(self, drain_seconds: float = 5.0) -> LatencyHistogram:
        """Play all arrivals, then wait up to `drain_seconds` for answers, and return what was measured."""
        self.start_us = time.monotonic_ns() // 1000 + START_DELAY_US
        reporting = self._loop.create_task(self._report_periodically())
        try:
            await self._begin_arrivals()
            await self._drain(drain_seconds)
        finally:
            reporting.cancel()
            for client in list(self.clients):
                client.give_up()
            self._report()
        return self.histogram

    def client_answered(self, client: SimulatedClient, answer: str) -> None:
        """Count a client's final answer."""
        self.histogram.record_answer(answer, self.now_us() - client.arrival.at_us)
        if answer == "UP":
            self.served_count += 1

    def client_closed(self, client: SimulatedClient, was_served: bool) -> None:
        """Forget a client whose connection is closed."""
        if was_served:
            self.served_count -= 1
        self.clients.discard(client)

    async def _drain(self, drain_seconds: float) -> None:
        until_us = self.now_us() + int(drain_seconds * MICROSECONDS_PER_SECOND)
        while self.histogram.waiting and self.now_us() < until_us and not self._halted:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _begin_arrivals(self) -> None:
        while self._has_next():
            self._begin_due_arrivals()
            if self._has_next():
                await self._wait_for_next_arrival()

    def _has_next(self) -> bool:
        return self._next_index < len(self._arrivals) and not self._halted

    def _begin_due_arrivals(self) -> None:
        """Begin the arrivals whose moment has come, up to a bound a step."""
        now_us = self.now_us()
        for _ in range(MAX_ARRIVALS_PER_STEP):
            if not self._has_next() or self._arrivals[self._next_index].at_us > now_us:
                return
            now_us = self.now_us()
            self._begin_arrival(self._next_index, now_us)
            self._next_index += 1

    def _begin_arrival(self, index: int, now_us: int) -> None:
        arrival = self._arrivals[index]
        self.histogram.record_arrival(now_us - arrival.at_us)
        client = SimulatedClient(arrival, self._first_line(index, arrival), self, self._loop)
        if client.connect(self._targets[index % len(self._targets)]):
            self.clients.add(client)

    async def _wait_for_next_arrival(self) -> None:
        """Sleep until shortly before the next arrival; the rest is waited out in rounds of the loop."""
        wait_us = self._arrivals[self._next_index].at_us - self.now_us()
        sleep_us = wait_us - TIMER_LATENESS_US if wait_us > BUSY_WAIT_US else 0
        await asyncio.sleep(sleep_us / MICROSECONDS_PER_SECOND)

    def _first_line(self, index: int, arrival: Arrival) -> bytes:
        """Return the OPEN line of an arrival; each has an id of its own."""
        request_id = self._first_id + index
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
            "standing": self.served_count,
        }
        record.update(self.histogram.summary())
        print(json.dumps(record), file=self._figures, flush=True)


def raise_descriptor_limit() -> int:
    """Allow this process as many descriptors as the system does; return how many that is."""
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
    """Play arrivals in a loop of their own; SIGINT ends the run, and what was measured is returned."""

    async def play() -> LatencyHistogram:
        first_id = time.time_ns() & 0xFFFFFFFFFF
        generator = LoadGenerator(arrivals, targets, deadline_ms, figures, first_id)
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, generator.halt)
        return await generator.run()

    raise_descriptor_limit()
    gc.freeze()  # a collection of all arrivals would make the next ones late
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    return uvloop.run(play())
