"""Measures the load generator's lateness, and whether it detects a stall of 2 s: `python -m bench.lab_load`.

The generator runs against a stand-in host in a separate process, which answers immediately except during
the stall.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import sys
import time
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import uvloop

from limerudder.core.transport import Address
from limerudder.loadtest.arrivals import Arrival, Mix, Phase, draw
from limerudder.loadtest.latency_histogram import LatencyHistogram
from limerudder.loadtest.load_generator import LoadGenerator, raise_descriptor_limit

SECOND = 1_000_000
SLOW_US = 100_000  #: Far above the latency of answers outside a stall
ACCEPTED_ANSWER = b"UP 77\r\n"
SEED = 1
MEDIAN_LIFETIME_SECONDS = 0.05
LISTEN_BACKLOG = 4096
RATES = (1000, 3000, 5000, 7000)  #: Arrivals per second in the runs without a stall
STALL_RATE = 1000
STALL_RUN_SECONDS = 9.0
STALL_SECONDS = 2.0


class StallTimes(NamedTuple):
    """Start and end of a stall, in seconds since the generator's start."""

    begin_seconds: float
    end_seconds: float


class Measurement(NamedTuple):
    """Latencies of a run, and the number of arrivals that a stall delayed by more than `SLOW_US`."""

    histogram: LatencyHistogram
    delayed_count: int


class HostConnection(asyncio.Protocol):
    """A connection to the stand-in host; requests during a stall are accepted when it ends."""

    waiting: list[HostConnection] | None = None  # unanswered connections during a stall, otherwise None
    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Keep the client's transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the first line, immediately or at the end of the stall."""
        if HostConnection.waiting is not None:
            HostConnection.waiting.append(self)
        else:
            self.accept_request()

    def accept_request(self) -> None:
        """Answer the request."""
        self.transport.write(ACCEPTED_ANSWER)


async def stall(seconds: float) -> None:
    """Delay all answers for some time, then send them."""
    HostConnection.waiting = []
    await asyncio.sleep(seconds)
    waiting = HostConnection.waiting
    HostConnection.waiting = None
    for connection in waiting:
        connection.accept_request()


async def serve(pipe: Connection, stall_at_seconds: float, stall_seconds: float) -> None:
    """Serve until the process is terminated; receives the generator's start time from the pipe."""
    raise_descriptor_limit()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(HostConnection, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    pipe.send(server.sockets[0].getsockname())
    started = await loop.run_in_executor(None, pipe.recv)
    if stall_seconds:
        await asyncio.sleep(started + stall_at_seconds - time.monotonic())
        stall_began = time.monotonic()
        await stall(stall_seconds)
        pipe.send(StallTimes(stall_began - started, time.monotonic() - started))
    await asyncio.Event().wait()


def run_stand_in_host(pipe: Connection, stall_at_seconds: float, stall_seconds: float) -> None:
    """Run the stand-in host: the main function of its process."""
    uvloop.run(serve(pipe, stall_at_seconds, stall_seconds))


async def generate_load(arrivals: list[Arrival], target: Address, pipe: Connection) -> LatencyHistogram:
    """Run the generator against the host, and send its start time to the host."""
    generator = LoadGenerator(arrivals, [target])
    running = asyncio.ensure_future(generator.run())
    await asyncio.sleep(0)
    pipe.send(generator.start_us / SECOND)
    return await running


def count_delayed(arrivals: list[Arrival], times: StallTimes) -> int:
    """Return the number of arrivals that a stall delayed by more than `SLOW_US`."""
    begin_us = times.begin_seconds * SECOND
    end_us = times.end_seconds * SECOND - SLOW_US
    return sum(begin_us <= arrival.at_us < end_us for arrival in arrivals)


def measure(rate: float, seconds: float, stall_seconds: float) -> Measurement:
    """Run the generator against a host that stalls after a third of the run; 0 s disables the stall."""
    pipe, host_pipe = multiprocessing.Pipe()
    arguments = (host_pipe, seconds / 3, stall_seconds)
    process = multiprocessing.Process(target=run_stand_in_host, args=arguments, daemon=True)
    process.start()
    target = pipe.recv()
    arrivals = draw([Phase(seconds, rate)], [], Mix(median_lifetime_seconds=MEDIAN_LIFETIME_SECONDS), SEED)
    raise_descriptor_limit()
    histogram = uvloop.run(generate_load(arrivals, target, pipe))
    delayed_count = count_delayed(arrivals, pipe.recv()) if stall_seconds else 0
    process.terminate()
    process.join()
    return Measurement(histogram, delayed_count)


def print_lateness(rate: float, seconds: float) -> None:
    """Measure and print the generator's lateness at an arrival rate."""
    summary = measure(rate, seconds, 0).histogram.summary()
    print(
        f"{rate}/s: {summary['came']} arrivals, {summary['answers']}, latency {summary['latency_us']}",
        flush=True,
    )
    print(f"    generator: {summary['generator']}", flush=True)


def print_stall() -> None:
    """Measure and print whether all arrivals that a stall delayed are counted as slow."""
    histogram, delayed = measure(STALL_RATE, STALL_RUN_SECONDS, STALL_SECONDS)
    slow = histogram.count_slower_than(SLOW_US)
    deviation = slow / delayed - 1
    print(f"stall of 2 s at 1000/s: {delayed} arrivals delayed, {slow} counted as slow ({deviation:+.2%})")
    print(f"    latency {histogram.summary()['latency_us']}")


def main() -> int:
    """Measure the lateness at several rates, then the effect of a stall."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    arguments = parser.parse_args()
    for rate in RATES:
        print_lateness(rate, arguments.seconds)
    print_stall()
    return 0


if __name__ == "__main__":
    sys.exit(main())
