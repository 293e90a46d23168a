"""The load generator: open loop, every arrival at its intended moment or as soon after it as the generator
can.

One that is late says so: an arrival is never skipped, its latency counts from its intended moment all the
same, and its lateness is counted beside it, so that a slow generator is not taken for a slow node.
"""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import IO, Any

from limerudder.loadtest.arrivals import Arrival
from limerudder.loadtest.latency_histogram import LatencyHistogram

SECOND = 1_000_000
ANSWER_TIMEOUT_US = 10 * SECOND  #: for a final answer, from the intended moment; then it counts as `none`
ARRIVALS_PER_STEP = 64  #: arrivals begun before answers are looked at again: guards answers against a burst
MAX_LINE_BYTES = 4096


class SimulatedClient:
    """One client's connection, from its first line to its end."""

    __slots__ = ("arrival", "began", "fd", "line", "loader", "number", "rest", "served", "sock", "timer")

    def __init__(self, loader: LoadGenerator, number: int, arrival: Arrival, began: int) -> None:
        self.loader, self.number, self.arrival, self.began = loader, number, arrival, began
        self.rest, self.served = b"", False
        self.timer: asyncio.TimerHandle | None = None
        self.line = loader.first_line(number, arrival)
        self.sock: socket.socket | None = None
        self.fd = -1
        try:
            sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as exc:
            # guards the node against blame for what this process lacks
            return self._end(
                "generator out of descriptors" if exc.errno == errno.EMFILE else "generator failed"
            )
        self.fd = sock.fileno()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(loader.targets[number % len(loader.targets)])
        loader.loop.add_writer(self.fd, self._connected)
        self.timer = loader.loop.call_later(ANSWER_TIMEOUT_US / SECOND, self._end, "none")

    def _connected(self) -> None:
        assert self.sock
        self.loader.loop.remove_writer(self.fd)
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return self._end("refused connection")
        try:
            self.sock.send(self.line)  # a fresh connection takes a line whole
        except OSError:
            return self._end("reset")
        self.loader.loop.add_reader(self.fd, self._readable)

    def _readable(self) -> None:
        assert self.sock
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if self.served:  # it stands: lines are passed over, its end is the host's, the node's or MOVE
            if not data or b"MOVE" in data:
                self._close()
            return
        self.rest += data
        line, found, _ = self.rest.partition(b"\n")
        if found:
            word = line.split()[0].decode("ascii", "replace") if line.split() else "empty"
            if word != "UP":
                return self._end(word)
            self.served = True
            self._count("UP")
            self.loader.standing += 1
            if self.timer:
                self.timer.cancel()
            self.timer = self.loader.loop.call_later(self.arrival.life / SECOND, self._close)
        elif not data or len(self.rest) > MAX_LINE_BYTES:
            self._end("closed without an answer")

    def _count(self, answer: str) -> None:
        self.loader.tally.end(answer, self.loader.now() - self.arrival.at)

    def _end(self, answer: str) -> None:
        self._count(answer)
        self._close()

    def _close(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.sock:
            self.loader.loop.remove_reader(self.fd)
            self.loader.loop.remove_writer(self.fd)
            self.sock.close()
            self.sock = None
        if self.served:
            self.served = False
            self.loader.standing -= 1
        self.loader.guests.discard(self)


class LoadGenerator:
    """One run."""

    def __init__(
        self,
        arrivals: Sequence[Arrival],
        targets: Sequence[tuple[str, int]],
        deadline_ms: int = 2000,
        figures: IO[str] | None = None,
        number_from: int = 1,
    ) -> None:
        self.arrivals, self.targets, self.deadline = arrivals, list(targets), deadline_ms
        self.tally, self.figures, self.number_from = LatencyHistogram(), figures, number_from
        self.loop = asyncio.get_running_loop()
        self.guests: set[SimulatedClient] = set()
        self.standing = 0
        self.start = 0
        self.next = 0
        self.halted = False
        self.second: dict[str, int] = {}

    def now(self) -> int:
        """Microseconds from the beginning."""
        return time.monotonic_ns() // 1000 - self.start

    def first_line(self, number: int, one: Arrival) -> bytes:
        """What a client says first; each has an id of its own."""
        who = self.number_from + number
        told = f"c={one.cls}" + (f",t={one.tenant}" if one.tenant else "") + f",d={self.deadline}"
        told += f",g={one.group:016x}" if one.group else ""
        return f"OPEN {who:016x} {who:016x} {told}\r\n".encode()

    def halt(self) -> None:
        """Begin no more, and end what is there: what has been seen is still told."""
        self.halted = True

    async def run(self, drain: float = 5.0) -> LatencyHistogram:
        """All arrivals; then so many seconds at the most for answers that are out."""
        self.start = time.monotonic_ns() // 1000 + 50_000
        ticking = self.loop.create_task(self._tell())
        try:
            await self._begin_all()
            until = self.now() + int(drain * SECOND)
            while self.tally.waiting and self.now() < until and not self.halted:
                await asyncio.sleep(0.01)
        finally:
            ticking.cancel()
            for guest in list(self.guests):
                if not guest.served:
                    guest._count("none")
                guest._close()
            self._figures()
        return self.tally

    async def _begin_all(self) -> None:
        while self.next < len(self.arrivals) and not self.halted:
            begun = 0
            now = self.now()
            while (
                self.next < len(self.arrivals)
                and self.arrivals[self.next].at <= now
                and begun < ARRIVALS_PER_STEP
            ):
                number, one = self.next, self.arrivals[self.next]
                self.next, begun = number + 1, begun + 1
                now = self.now()
                self.tally.begin(now - one.at)
                guest = SimulatedClient(self, number, one, now)
                if guest.sock:
                    self.guests.add(guest)
            if self.next < len(self.arrivals):
                wait = self.arrivals[self.next].at - self.now()
                # a timer comes up to a millisecond late; the last stretch is waited out in rounds of the loop
                await asyncio.sleep((wait - 1500) / SECOND if wait > 2000 else 0)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(1)
            self._figures()

    def _figures(self) -> None:
        if self.figures:
            told: dict[str, Any] = {"at_s": round(self.now() / SECOND, 1), "standing": self.standing}
            print(json.dumps(told | self.tally.told()), file=self.figures, flush=True)


def raise_descriptors() -> int:
    """As many descriptors as this process may have; how many that is."""
    import resource

    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    with suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def run(
    arrivals: Sequence[Arrival],
    targets: Sequence[tuple[str, int]],
    deadline_ms: int,
    figures: IO[str] | None,
    hear: Callable[[LoadGenerator], None] = lambda loader: None,
) -> LatencyHistogram:
    """A run of its own loop; SIGINT halts it, and what has been seen is given all the same."""
    import signal

    import uvloop

    async def go() -> LatencyHistogram:
        loader = LoadGenerator(arrivals, targets, deadline_ms, figures, time.time_ns() & 0xFFFFFFFFFF)
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, loader.halt)
        hear(loader)
        return await loader.run()

    raise_descriptors()
    # guards the last microseconds before an arrival against a collection of all that was drawn
    import gc

    gc.freeze()
    sys.setswitchinterval(0.001)
    return uvloop.run(go())
