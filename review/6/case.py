"""A client ends its side after its last line; a host that is still at work with them never gets them all."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path

from rig3.rig import BROKEN, HELD, Discovery, Node, Record, host_entry, is_troubled, open_line, run_case

LINES = 512  #: Lines of an image, of 4 KiB each: 2 MiB
LINE_BYTES = 4096
RECEIVE_BYTES = 65536
IMAGES = 40  #: Images that are submitted, one after another
COSTLY_IMAGE = 20  #: The number of the one that costs more: one of 40 is 2.5%
USUAL_SECONDS = 0.1  #: Work of the host with an image
COSTLY_FACTOR = 15
MIN_SLEEP_SECONDS = 0.002
END_SECONDS = 10.0  #: Time for the host to read on and end the connection
LIMIT_SECONDS = 100.0


class Image:
    """What one client sent and received, and what its host received."""

    def __init__(self) -> None:
        self.received: list[bytes] = []  # by the host
        self.answers: list[bytes] = []  # by the client
        self.host_end = "nothing"

    def lines(self) -> list[bytes]:
        """Return the image as the client sends it."""
        return [(b"%06d " % number).ljust(LINE_BYTES - 2, b"x") + b"\r\n" for number in range(LINES)]


class SigningHost:
    """A host that works at each line of an image for some time, and answers it.

    It uses plain sockets, and goes on reading when it can no longer write: what has arrived before the
    connection breaks is read to the last byte.
    """

    def __init__(self, record: Record) -> None:
        self.address = ("", 0)
        self.image = Image()
        self.work_seconds = USUAL_SECONDS  # for one image
        self.ended = asyncio.Event()
        self._opened_at = 0.0
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen on a free port."""
        listener = socket.socket()
        # a buffer of a fixed size, so that the case does not depend on the system's own limits
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        self.address = listener.getsockname()
        self._start_task(self._accept(listener))

    def _start_task(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            self._start_task(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        text = b""
        is_image = False
        try:
            while data := await loop.sock_recv(connection, RECEIVE_BYTES):
                *lines, text = (text + data).split(b"\r\n")
                for line in lines:
                    is_image = is_image or line.startswith(b"OPEN ")
                    await self._read(line + b"\r\n", connection, is_image)
            if is_image:
                self.image.host_end = "the end of the client's lines"
                await self._answer(b"BYE\r\n", connection)
        except OSError as error:
            self.image.host_end = f"a broken connection ({type(error).__name__})"
        connection.close()
        if is_image:
            self.ended.set()

    async def _read(self, line: bytes, connection: socket.socket, is_image: bool) -> None:
        received = self.image.received
        if line.startswith(b"OPEN "):
            self._opened_at = time.monotonic()
            await self._answer(b"UP s-0-1\r\n", connection)
        elif not is_image:
            answer = b"PONG eps=0,inflight=1,x0=0.1\r\n" if line == b"STATS\r\n" else b"PONG\r\n"
            await self._answer(answer, connection)
        else:
            received.append(line)
            await self._answer(b"taken %d\r\n" % len(received), connection)
            due = self._opened_at + self.work_seconds * len(received) / LINES
            if due - time.monotonic() > MIN_SLEEP_SECONDS:
                await asyncio.sleep(due - time.monotonic())

    async def _answer(self, line: bytes, connection: socket.socket) -> None:
        with suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(connection, line)


async def submit(address: tuple[str, int], image: Image) -> None:
    """Submit an image: OPEN, its lines, the end of the sending side; then read until the end."""
    reader, writer = await asyncio.open_connection(*address)
    _, line = open_line("image-submit", 3200)
    writer.write(line)
    if not (await reader.readline()).startswith(b"UP "):
        raise RuntimeError("the connection was not served")
    reading = asyncio.create_task(read_answers(reader, image))
    for line in image.lines():
        writer.write(line)
        await writer.drain()
    writer.write_eof()
    await reading
    writer.close()


async def read_answers(reader: asyncio.StreamReader, image: Image) -> None:
    """Read the host's answers until the connection ends."""
    with suppress(OSError):
        while line := await reader.readline():
            image.answers.append(line)


async def try_once(
    address: tuple[str, int], host: SigningHost, way: str, is_costly: bool, record: Record
) -> bool:
    """Submit one image; return whether the host received all of its lines."""
    host.image = image = Image()
    host.work_seconds = USUAL_SECONDS * (COSTLY_FACTOR if is_costly else 1)
    host.ended.clear()
    await submit(address, image)
    with suppress(TimeoutError):
        await asyncio.wait_for(host.ended.wait(), END_SECONDS)
    record.write(
        f"{way}, work of {host.work_seconds:.1f} s: client sent {LINES} lines and ended its side,"
        f" host received {len(image.received)}, then {image.host_end};"
        f" client received {len(image.answers)} lines, the last {image.answers[-1:]}"
    )
    return image.received == image.lines()


async def case(folder: Path, record: Record) -> int:
    """Submit images to a host, first directly and then through a node."""
    host = SigningHost(record)
    host.start()
    if not await try_once(host.address, host, "without a node", is_troubled(), record):
        raise RuntimeError("the stand-ins lose lines without a node")
    discovery = Discovery(record)
    discovery.entries = {"s-0": host_entry("s-0", "{}:{}".format(*host.address))}
    await discovery.start()
    node = Node(folder, discovery, record)
    incomplete = 0
    try:
        await node.start()
        for number in range(1, IMAGES + 1):
            is_costly = is_troubled() and number == COSTLY_IMAGE
            way = f"image {number} through the node"
            incomplete += not await try_once(node.listen, host, way, is_costly, record)
    finally:
        node.stop()
    record.write(f"{incomplete} of {IMAGES} images did not reach the host whole")
    return BROKEN if incomplete else HELD


if __name__ == "__main__":
    run_case(case, LIMIT_SECONDS)
