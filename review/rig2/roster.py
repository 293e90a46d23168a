"""A stand-in for discovery: HTTP/1.1, whole lists and watches, with addresses of its own for each node."""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from contextlib import suppress
from typing import Any

from rig2.record import Record

EMPTY_LINE_SECONDS = 2.0  #: Interval of empty lines on a watch, as the protocol page says
WAIT_SECONDS = 1.0  #: How long a call waits in turn before it fails (`timeout_ms` of the site)
RETIRED_CLOSE_SECONDS = 1.5  #: Time after which a retired address closes its open calls

Entry = dict[str, Any]


class Roster:
    """One roster service, which may listen at several addresses. `generation` never goes back."""

    def __init__(self, record: Record, name: str, generation: int, answer_seconds: float = 0.0) -> None:
        self.generation = generation
        self.entries: dict[str, Entry] = {}  # without `hostPort`, by instance id
        self.addresses: dict[tuple[str, str], str] = {}  # `hostPort` by node and instance id
        self._listed: dict[str, Entry] = {}  # as last listed, also of boxes that are no longer
        self.is_crowded = False  # calls wait too long and fail; the open watches go on
        self.calls: Counter[str] = Counter()  # by node
        self._record = record
        self._name = name
        self._answer_seconds = answer_seconds
        self._first_generation = generation
        self._changes: list[tuple[int, str, Entry]] = []  # generation, instance id, entry
        self._watches: dict[asyncio.StreamWriter, str] = {}  # the node of each open watch
        self._servers: list[asyncio.Server] = []
        self._calls_open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, node: str) -> str:
        """Listen on a free port for calls of one node; return the address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._calls_open.add(writer)
            try:
                with suppress(OSError, EOFError):
                    await self._serve(node, reader, writer)
            finally:
                self._calls_open.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    def add(self, box: str, addresses: dict[str, str], zone: str, kind: str) -> None:
        """List a front box as active; call it before the start, or `change` it afterwards."""
        self.entries[box] = self._listed[box] = {
            "instanceId": box,
            "zone": zone,
            "machineType": kind,
            "cell": 0,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for node, address in addresses.items():
            self.addresses[node, box] = address

    def change(self, box: str, **fields: Any) -> None:
        """Change an entry, as a new generation, and send the change to all watches."""
        self.generation += 1
        self.entries[box] = entry = self._listed.get(box, {}) | self.entries.get(box, {}) | fields
        self._listed[box] = entry
        self._changes.append((self.generation, box, entry))
        if entry["lifecycle"] == "left":
            del self.entries[box]
        self._record.note(f"{self._name}: generation {self.generation} has {box} {fields}")
        for writer, node in self._watches.items():
            if not writer.is_closing():
                writer.write(_chunk(self._encode(node, [(box, entry)], reset=False)))
                self._record.note(f"{self._name}: generation {self.generation} written to {node}")

    def whole_list(self, node: str) -> dict[str, Any]:
        """Return the whole list in discovery's form, as this node sees it."""
        document: dict[str, Any] = json.loads(self._encode(node, list(self.entries.items()), reset=True))
        return document

    def retire(self) -> None:
        """Take no new connection; the open ones are closed 1.5 s later."""
        for server in self._servers:
            server.close()
        self._record.note(f"{self._name}: takes no new connection")
        task = asyncio.get_running_loop().create_task(self._close_watches_later())
        self._tasks.add(task)

    def close(self) -> None:
        """End."""
        for server in self._servers:
            server.close()
        for writer in list(self._calls_open):
            writer.close()

    async def _close_watches_later(self) -> None:
        await asyncio.sleep(RETIRED_CLOSE_SECONDS)
        self.close()
        self._record.note(f"{self._name}: has closed the open connections")

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].decode("ascii", "replace")
        self.calls[node] += 1
        self._record.note(f"{self._name}: {node} calls {request}")
        if self.is_crowded:
            await asyncio.sleep(WAIT_SECONDS)
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            self._record.note(f"{self._name}: the call of {node} has waited too long: 503")
            return
        await asyncio.sleep(self._answer_seconds)
        if writer.is_closing():
            return
        after = re.search(r"after=(\d+)", request)
        if "watch=1" not in request or after is None:
            body = self._encode(node, list(self.entries.items()), reset=True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
            return
        first = self._first_object(node, int(after[1]))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(first))
        self._record.note(f"{self._name}: {node} is sent {first.decode().strip()}")
        self._watches[writer] = node
        try:
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_SECONDS)
                writer.write(_chunk(b"\n"))
                await writer.drain()
        finally:
            del self._watches[writer]

    def _first_object(self, node: str, after: int) -> bytes:
        """What has changed after that version, or else the whole list."""
        if not self._first_generation <= after <= self.generation:
            return self._encode(node, list(self.entries.items()), reset=True)
        changed = {box: entry for generation, box, entry in self._changes if generation > after}
        return self._encode(node, list(changed.items()), reset=False)

    def _encode(self, node: str, entries: list[tuple[str, Entry]], reset: bool) -> bytes:
        instances = [entry | {"hostPort": self.addresses[node, box]} for box, entry in entries]
        document = {"generation": self.generation, "reset": reset, "instances": instances}
        return json.dumps(document).encode() + b"\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
