"""Stand-ins for the discovery service and the hosts of a tier of node processes."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

from harness.configurations import hosts

FIRST_GENERATION = 41
KEEP_ALIVE_SECONDS = 1.0  #: Interval of the empty chunks of a watch
ACCEPTED_ANSWER = b"UP 77\r\n"
PROBE_ANSWER = b"PONG inflight=1,x0=0.1\r\n"


class StandInDiscovery:
    """A discovery service that answers list requests and publishes changes to watches."""

    def __init__(self) -> None:
        self.generation = FIRST_GENERATION
        self.entries: dict[str, dict[str, Any]] = {}  # endpoint list entries in JSON form, by host
        self.address = ""
        self._published: dict[str, dict[str, Any]] = {}  # entries at the last call of publish_changes()
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def publish(self, only: int | None = None) -> None:
        """Send the list as a new generation to all watches, or only to the first `only` of them."""
        self.generation += 1
        for watch in [watch for watch in self._watches if not watch.is_closing()][:only]:
            watch.write(_encode_chunk(self._encode_list()))

    def publish_changes(self) -> None:
        """Send the entries that changed since the last call to all watches, as a new generation.

        Hosts that are no longer listed are sent with the lifecycle `left`. New watches start with the full
        list.
        """
        self.generation += 1
        removed = [
            entry | {"lifecycle": "left"}
            for name, entry in self._published.items()
            if name not in self.entries
        ]
        changed = [entry for name, entry in self.entries.items() if self._published.get(name) != entry]
        self._published = {name: dict(entry) for name, entry in self.entries.items()}
        changes = hosts(*changed, *removed, reset=False) | {"generation": self.generation}
        for watch in self._watches:
            if not watch.is_closing():
                watch.write(_encode_chunk(json.dumps(changes).encode() + b"\n"))

    def end_watches(self) -> None:
        """Close the open watches; clients have to reopen them."""
        for watch in list(self._watches):
            watch.close()

    def close(self) -> None:
        """Stop listening and close the watches."""
        if self._server:
            self._server.close()
        self.end_watches()

    def _encode_list(self) -> bytes:
        endpoint_list = hosts(*self.entries.values()) | {"generation": self.generation}
        return json.dumps(endpoint_list).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            if b"watch=1" in request:
                await self._serve_watch(writer)
            else:
                self._serve_list(writer)
        except (OSError, EOFError, asyncio.CancelledError):
            return

    def _serve_list(self, writer: asyncio.StreamWriter) -> None:
        body = self._encode_list()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    async def _serve_watch(self, writer: asyncio.StreamWriter) -> None:
        header = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(header + _encode_chunk(self._encode_list()))
        self._watches.append(writer)
        try:
            while True:
                await asyncio.sleep(KEEP_ALIVE_SECONDS)
                if writer.is_closing():
                    return
                writer.write(_encode_chunk(b"\n"))
                await writer.drain()
        finally:
            self._watches.remove(writer)


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


REQUEST_PATTERN = re.compile(rb"OPEN (?P<id>[0-9a-f]{16}) [0-9a-f]{16} c=\w+(,\w+=\w+)*\r\n")
PROBES = (b"STATS\r\n", b"PING\r\n")


class StandInHost:
    """A host that accepts every request, answers probes, and records the time of each request."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.request_times: list[float] = []  # seconds on the monotonic clock
        self.request_ids: set[int] = set()
        self.unexpected_lines: list[bytes] = []  # neither requests nor probes
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                self._answer(line, writer)
        except OSError:
            return
        finally:
            writer.close()

    def _answer(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        request = REQUEST_PATTERN.fullmatch(line)
        if request:
            self.request_times.append(time.monotonic())
            self.request_ids.add(int(request["id"], 16))
            writer.write(ACCEPTED_ANSWER)
        elif line in PROBES:
            writer.write(PROBE_ANSWER)
        elif line.endswith(b"\n"):  # otherwise the connection broke within a line
            self.unexpected_lines.append(line)
