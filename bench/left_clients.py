"""Whether requests of clients that have left are sent on, and whether an id runs twice.

`python -m bench.left_clients` runs real processes of one node, with a host, clients and a relaying flood in
processes of their own, and prints what the host received.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any

import uvloop

from bench.hostile_clients import Testbed
from harness.configurations import host, settings
from harness.hostile_peers import IDENTIFIERS
from harness.node_process import free_ports

LATE_SECONDS = 0.1  #: Time after a client's close from which an attempt counts as lost
FLOOD_CLIENTS = 10
LEAVING_CLIENTS = 50
SECONDS = 5.0
OTHER_REQUESTS = 5000


class RecordingHost:
    """A host in a process of its own, which accepts requests and records when each id arrived."""

    def __init__(self) -> None:
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.address = ""
        self._reading: asyncio.Task[None] | None = None

    async def start(self, testbed: Testbed) -> None:
        """Start the host."""
        process = await testbed.start_peer("host-record")
        assert process.stdout
        self.address = (await process.stdout.readline()).decode().strip()
        self._reading = asyncio.create_task(self._read(process.stdout))

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := (await output.readline()).decode():
            request_id, arrived_at = line.split()
            self.arrivals[request_id].append(float(arrived_at))


async def start(testbed: Testbed, recording: RecordingHost) -> None:
    """Start a node whose only host records what it receives."""
    await recording.start(testbed)
    testbed.discovery.entries = {"s-1": host("s-1", recording.address)}
    await testbed.discovery.start()
    write_files(testbed)
    await testbed.node.launch_with_deploy_command()
    await testbed.node._serving.wait()


def write_files(testbed: Testbed) -> None:
    """Write the configuration, with the addresses of an earlier process and a new console."""
    listen = testbed.node.listen or f"127.0.0.1:{free_ports(1)[0]}"
    values: dict[str, Any] = {
        "discovery": testbed.discovery.address,
        "known": {"generation": 41, "reset": True, "instances": list(testbed.discovery.entries.values())},
        "settings": settings(peers=False),
    }
    console, store = (f"127.0.0.1:{port}" for port in free_ports(2))
    testbed.node.write_files(listen, console, store, values, "")


async def open_client(testbed: Testbed) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect a client that has been answered a PING."""
    name, _, port = testbed.node.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    writer.write(b"PING\r\n")
    await reader.readline()
    return reader, writer


async def request(testbed: Testbed, line: bytes) -> bytes:
    """Send a first line, return the first line of the answer, and leave."""
    reader, writer = await open_client(testbed)
    writer.write(line)
    answer = await reader.readline()
    writer.close()
    return answer.strip()


async def count_late_sends(testbed: Testbed, recording: RecordingHost) -> str:
    """Let clients leave right after their line beside a flood."""
    flood = await testbed.start_peer(
        "relay_short_lines", testbed.node.listen, str(FLOOD_CLIENTS), str(SECONDS)
    )
    leaving = await testbed.start_peer(
        "leave_and_note", testbed.node.listen, str(LEAVING_CLIENTS), str(SECONDS)
    )
    assert leaving.stdout
    closed: dict[str, float] = {}
    while line := (await leaving.stdout.readline()).decode():
        request_id, left_at = line.split()
        closed[request_id] = float(left_at)
    await flood.wait()
    await asyncio.sleep(1)
    sent = [(request_id, at) for request_id in closed for at in recording.arrivals[request_id]]
    late = [at - closed[request_id] for request_id, at in sent if at > closed[request_id] + LATE_SECONDS]
    return f"{len(closed)} clients left at once: {len(sent)} requests sent on, {len(late)} later than 0.1 s"


async def repeat_id(testbed: Testbed, recording: RecordingHost) -> str:
    """Send an id again after its client has left and others have been served."""
    line = IDENTIFIERS.first_line()
    await request(testbed, line)
    for _ in range(OTHER_REQUESTS):
        await request(testbed, IDENTIFIERS.first_line())
    answer = await request(testbed, line)
    runs = len(recording.arrivals[line.split()[1].decode()])
    return f"an id again after {OTHER_REQUESTS} others: answered {answer!r}, ran {runs} times"


async def repeat_id_in_upgrade(testbed: Testbed, recording: RecordingHost) -> list[str]:
    """Send ids again at the other process of an upgrade, in both directions."""
    lines = [IDENTIFIERS.first_line() for _ in range(2)]
    reader, writer = await open_client(testbed)
    await request(testbed, lines[0])
    parent = testbed.node.process
    write_files(testbed)
    await testbed.node.launch_with_deploy_command()
    await testbed.node._serving.wait()
    await asyncio.sleep(1)
    to_successor = await request(testbed, lines[0])
    await request(testbed, lines[1])
    writer.write(lines[1])
    to_parent = (await reader.readline()).strip()
    writer.close()
    runs = [len(recording.arrivals[line.split()[1].decode()]) for line in lines]
    assert parent
    parent.kill()
    await parent.wait()
    return [
        f"an id of the parent at its successor: answered {to_successor!r}, ran {runs[0]} times",
        f"an id of the successor at its parent: answered {to_parent!r}, ran {runs[1]} times",
    ]


async def run_all() -> None:
    """Run the probes one after the other."""
    with tempfile.TemporaryDirectory() as folder:
        testbed, recording = Testbed(Path(folder)), RecordingHost()
        try:
            await start(testbed, recording)
            print(await count_late_sends(testbed, recording), flush=True)
            print(await repeat_id(testbed, recording), flush=True)
            print("\n".join(await repeat_id_in_upgrade(testbed, recording)), flush=True)
        finally:
            await testbed.close()


if __name__ == "__main__":
    uvloop.run(run_all())
