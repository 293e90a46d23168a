"""A late answer of discovery puts a draining host back into use."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path
from signal import SIGHUP
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from rig import TROUBLE, Case, CaseError, Clients, Discovery, Host, Node, run_case

NODES = 4
HOSTS = 6
LATE_SECONDS = 0.9  # of an answer with the whole list; the site gives a call to discovery 1 s
DRAIN_AFTER = 0.5  # seconds from the new configuration to the drain
TOLD_AFTER_SIGHUP = 4.0  # what discovery has to tell counts as told then, at the latest
GRACE = 0.55  # 500 ms, and 50 ms as every time limit on sockets is longer


class ChangesFirst(Discovery):
    """A discovery service that answers a watch with what has changed after the version asked for."""

    def first_of_watch(self, after: int) -> dict[str, Any]:
        """Return all entries as changes: each has changed since version 0."""
        return self.whole_list() | {"reset": after != 0}


class SlowPath:
    """The way to discovery: answers to calls for the whole list arrive late, watches at once."""

    def __init__(self, case: Case, discovery: Discovery, late_seconds: float) -> None:
        self.address = ""
        self._case = case
        self._discovery = discovery
        self._late_seconds = late_seconds

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            request = await reader.readuntil(b"\r\n\r\n")
            from_discovery, to_discovery = await asyncio.open_connection(*self._discovery.address.split(":"))
            to_discovery.write(request)
            is_list = b"watch=1" not in request
            while data := await from_discovery.read(65536):
                if is_list:
                    self._case.record(
                        f"discovery has answered; its answer is {self._late_seconds:g} s under way"
                    )
                    await asyncio.sleep(self._late_seconds)
                writer.write(data)
            to_discovery.close()
        writer.close()


async def play(case: Case) -> bool:
    """Name another discovery with SIGHUP, let a host drain half a second later, and look at that host."""
    hosts = [Host(f"h{number}", case.record) for number in range(HOSTS)]
    old, new = Discovery("old", case.record), ChangesFirst("new", case.record, generation=7)
    for host in hosts:
        await host.start()
        old.entries[host.name] = host.entry()
        new.entries[host.name] = host.entry()
    await old.start()
    await new.start()
    path = SlowPath(case, new, LATE_SECONDS if TROUBLE else 0.0)
    await path.start()
    nodes = [Node(number, case) for number in range(NODES)]
    for node in nodes:
        node.write_files(old.address, old.whole_list(), NODES)
        await node.start()
    clients = Clients(nodes, case.record)
    clients.start()
    await asyncio.sleep(3)
    for node in nodes:
        node.write_files(path.address, old.whole_list(), NODES)
        if node.process:
            node.process.send(SIGHUP)
    reloaded = time.monotonic()
    old.stop_accepting()
    await asyncio.sleep(DRAIN_AFTER)
    if new.change("h1", lifecycle="leaving") != NODES:
        raise CaseError("not every node watches the new discovery")
    await asyncio.sleep(1.5 - DRAIN_AFTER)
    old.close()
    await asyncio.sleep(10)
    await clients.close()
    late = hosts[1].arrivals_after(reloaded + TOLD_AFTER_SIGHUP + GRACE)
    case.record(f"answers {clients.answers}; new requests at h1, which drains, after its grace: {len(late)}")
    return not late


run_case(Path(__file__).with_name("record.txt"), play)
