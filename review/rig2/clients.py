"""Stand-ins for clients: build pipelines that connect to a node, stay a while, and come again after MOVE."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress
from typing import NamedTuple

from rig2.record import Record

MESSAGE_SECONDS = 2.0  #: Interval of a client's lines
LATE_SECONDS = 0.5  #: An answer later than this after the client's time is lost
MOVE_SECONDS = (0.088, 0.85)  #: After which time a client comes again
IMAGE_SUBMIT_SHARE = 0.27


class TrafficClass(NamedTuple):
    """How long a client of a class waits."""

    name: str
    wait_ms: int


STATUS_WATCH = TrafficClass("status-watch", 1800)
IMAGE_SUBMIT = TrafficClass("image-submit", 3200)
TENANTS = ("abitibi-controls", "fleuve-devices", "laurentide-io")


class Clients:
    """Sends clients to nodes at a steady rate, one after the other to each node of the front's list."""

    def __init__(self, record: Record, seed: int = 1, last_id: int = 0) -> None:
        self.answers: Counter[str] = Counter()
        self.unanswered: list[str] = []  # ids of requests that got no answer from a running node
        self._record = record
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_id = last_id

    def start(self, addresses: list[str], rate_per_s: float, life_s: float) -> None:
        """Start to send clients to these addresses in turn, until `close`."""
        self._spawn(self._arrive(addresses, rate_per_s, life_s))

    async def close(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _arrive(self, addresses: list[str], rate_per_s: float, life_s: float) -> None:
        turn = 0
        while True:
            turn += 1
            self._spawn(self._live(addresses[turn % len(addresses)], life_s, ""))
            await asyncio.sleep(1 / rate_per_s)

    async def _live(self, address: str, life_s: float, mark: str) -> None:
        if await self.connect(address, life_s, mark) == "MOVE":
            await asyncio.sleep(self._random.uniform(*MOVE_SECONDS))
            self._spawn(self._live(address, life_s, ",again=1"))

    async def connect(self, address: str, life_s: float, mark: str = "") -> str:
        """Make one connection; return the first word of the last line from the node, or what went wrong."""
        traffic_class = IMAGE_SUBMIT if self._random.random() < IMAGE_SUBMIT_SHARE else STATUS_WATCH
        self._last_id += 1
        request_id = f"{self._last_id:016x}"
        names = f"c={traffic_class.name},t={self._random.choice(TENANTS)},d={traffic_class.wait_ms}"
        group = self._random.getrandbits(64)
        line = f"OPEN {request_id} {self._random.getrandbits(64):016x} {names},g={group:016x}{mark}\r\n"
        try:
            reader, writer = await asyncio.open_connection(*address.split(":"))
        except OSError:
            self.answers["refused connection"] += 1
            return "refused"
        try:
            writer.write(line.encode())
            seconds = traffic_class.wait_ms / 1000 + LATE_SECONDS
            return await self._read(request_id, reader, writer, seconds, life_s)
        finally:
            writer.close()

    async def _read(
        self,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        seconds: float,
        life_s: float,
    ) -> str:
        answer = b""
        with suppress(OSError, TimeoutError):
            answer = await asyncio.wait_for(reader.readline(), seconds)
        word = answer.split()[0].decode("ascii", "replace") if answer.split() else "no answer"
        self.answers[word] += 1
        self._record.note(f"client {request_id}: {answer.decode('ascii', 'replace').strip() or word}")
        if not answer:
            self.unanswered.append(request_id)
        if word != "UP":
            return word
        with suppress(OSError):
            return await self._stay(request_id, reader, writer, life_s)
        return "reset"

    async def _stay(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, life_s: float
    ) -> str:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + life_s
        last = "UP"
        next_message_at = loop.time()
        while loop.time() < ends_at:
            if loop.time() >= next_message_at:
                writer.write(b"M 1\r\n")
                next_message_at += MESSAGE_SECONDS
            until = max(min(next_message_at, ends_at) - loop.time(), 0.001)
            try:
                line = await asyncio.wait_for(reader.readline(), until)
            except TimeoutError:
                continue
            if not line:
                return last
            last = line.split()[0].decode("ascii", "replace")
            if last == "MOVE":
                self._record.note(f"client {request_id}: MOVE")
                return last
        return "left"
