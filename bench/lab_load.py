"""How fast and how punctual the generator is, and whether a stall of 2 s shows: `python -m bench.lab_load`.

Against a stand-in host in a process of its own, which answers at once but for a stall of 2 s.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import sys
import time
from typing import Any

import uvloop

from limerudder.loadtest.arrivals import Mix, Phase, draw
from limerudder.loadtest.latency_histogram import LatencyHistogram
from limerudder.loadtest.load_generator import LoadGenerator, raise_descriptor_limit

SECOND = 1_000_000
SLOW = 100_000  #: microseconds; far over what an answer takes outside the stall


class Answers(asyncio.Protocol):
    """A connection to the stand-in: UP to the first line; held while it stalls."""

    stalled: list[Answers] | None = None  # all that wait, while it stalls
    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """A client."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Its first line."""
        if Answers.stalled is not None:
            Answers.stalled.append(self)
        else:
            self.transport.write(b"UP 77\r\n")


def stand_in(pipe: Any, stall_at: float, stall: float) -> None:
    """The process; told when to begin to count."""

    async def run() -> None:
        raise_descriptor_limit()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answers, "127.0.0.1", 0, backlog=4096)
        pipe.send(server.sockets[0].getsockname())
        began = await loop.run_in_executor(None, pipe.recv)
        if stall:
            await asyncio.sleep(began + stall_at - time.monotonic())
            Answers.stalled = []
            begin = time.monotonic()
            await asyncio.sleep(stall)
            waiting, Answers.stalled = Answers.stalled, None
            for one in waiting:
                one.transport.write(b"UP 77\r\n")
            pipe.send((begin - began, time.monotonic() - began))
        await asyncio.Event().wait()

    uvloop.run(run())


def play(rate: float, seconds: float, stall: float) -> tuple[LatencyHistogram, int]:
    """A run; what it saw, and how many came in the stall so that they waited over SLOW."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=stand_in, args=(theirs, seconds / 3, stall), daemon=True)
    process.start()
    where = ours.recv()
    arrivals = draw([Phase(seconds, rate)], [], Mix(median_lifetime_seconds=0.05), 1)

    async def go() -> LatencyHistogram:
        generator = LoadGenerator(arrivals, [where])
        running = asyncio.ensure_future(generator.run())
        await asyncio.sleep(0)
        ours.send(generator.start_us / SECOND)
        return await running

    raise_descriptor_limit()
    histogram = uvloop.run(go())
    inside = 0
    if stall:
        begin, end = ours.recv()
        inside = sum(begin * SECOND <= one.at_us < end * SECOND - SLOW for one in arrivals)
    process.terminate()
    process.join()
    return histogram, inside


def main() -> int:
    """Punctuality at several rates, then a stall."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    given = parser.parse_args()
    for rate in (1000, 3000, 5000, 7000):
        histogram, _ = play(rate, given.seconds, 0)
        told = histogram.summary()
        print(f"{rate}/s: {told['came']} came, {told['answers']}, latency {told['latency_us']}", flush=True)
        print(f"    generator: {told['generator']}", flush=True)
    histogram, inside = play(1000, 9.0, 2.0)
    slow = histogram.count_slower_than(SLOW)
    print(f"a stall of 2 s at 1000/s: {inside} came in it, {slow} counted as slow ({slow / inside - 1:+.2%})")
    print(f"    latency {histogram.summary()['latency_us']}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
