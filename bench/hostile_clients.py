"""What a node's other callers meet beside hostile clients: `python -m bench.hostile_clients [PROBE …]`.

Each probe runs one real node, with clients and hosts in processes of their own, and prints the time from PING
to PONG, of the console's `status` and from OPEN to UP beside them, and the node's peak memory.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from harness.configurations import host, settings
from harness.hostile_peers import IDENTIFIERS
from harness.node_process import NodeProcess, free_ports
from harness.stand_ins import StandInDiscovery
from limerudder.store.data_directory import init_cluster

MILLISECONDS = 1000
SAMPLE_INTERVAL_SECONDS = 0.02
QUIET_SECONDS = 1.0  #: Time before the hostile clients start
ANSWER_TIMEOUT_SECONDS = 5.0


class Probe(NamedTuple):
    """One kind of hostile client, and the host that its requests reach."""

    name: str
    client: str
    client_count: int
    host: str = "host-echo"
    target: str = "listen"


PROBES = [
    Probe("write slowly", "write_slowly", 300),
    Probe("stop half way", "stop_half_way", 300),
    Probe("very many short fields", "many_fields", 300),
    Probe("never read, host streams", "never_read", 300, "host-stream"),
    Probe("upload, host never reads", "upload", 300, "host-deaf"),
    Probe("relay 5-byte lines", "relay_short_lines", 1),
    Probe("relay 5-byte lines x10", "relay_short_lines", 10),
    Probe("host sends 5-byte lines", "read_stream", 1, "host-short"),
    Probe("host sends LOAD lines", "read_stream", 1, "host-loads"),
    Probe("host sends LOAD lines x10", "read_stream", 10, "host-loads"),
    Probe("unsound lines", "unsound", 1),
    Probe("unsound lines x10", "unsound", 10),
    Probe("ever new ids and groups", "new_names", 10),
    Probe("ever new tenants", "new_tenants", 10),
    Probe("PING", "pings", 1),
    Probe("leave at once", "leave_at_once", 10),
    Probe("console: lines", "lines", 1, target="console"),
    Probe("console: lines x10", "lines", 10, target="console"),
    Probe("console: stats x4", "console_calls", 4, target="console"),
    Probe("hand-over: short lines", "socket_calls", 1, target="handover"),
    Probe("hand-over: half lines", "socket_half_lines", 60, target="handover"),
    Probe("store: short calls", "socket_calls", 1, target="control"),
    Probe("store: half lines", "socket_half_lines", 60, target="control"),
]


@dataclass
class Samples:
    """Times of answers in seconds, and calls that failed."""

    seconds: list[float] = field(default_factory=list)
    failures: int = 0

    def text(self) -> str:
        """Return the median and the maximum in milliseconds."""
        if not self.seconds:
            return f"no answer, {self.failures} failed"
        ordered = sorted(self.seconds)
        median, maximum = ordered[len(ordered) // 2], ordered[-1]
        failed = f", {self.failures} failed" if self.failures else ""
        return f"{median * MILLISECONDS:.1f} / {maximum * MILLISECONDS:.1f} ms{failed}"


async def call(address: str, line: bytes) -> bytes:
    """Send a line on a connection of its own and return the first line of the answer."""
    host_name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host_name, int(port))
    try:
        writer.write(line)
        return await reader.readline()
    finally:
        writer.transport.abort()


async def sample(samples: Samples, make_call: Callable[[], Awaitable[bytes]], expected: bytes) -> None:
    """Call again and again, until cancelled."""
    while True:
        started = time.monotonic()
        try:
            answer = await asyncio.wait_for(make_call(), ANSWER_TIMEOUT_SECONDS)
        except (OSError, TimeoutError):
            answer = b""
        if answer.startswith(expected):
            samples.seconds.append(time.monotonic() - started)
        else:
            samples.failures += 1
        await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)


def memory_mb(process_id: int, name: str) -> float:
    """Return a figure of a process's memory, such as VmHWM, in MB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith(name + ":"))
    return int(line.split()[1]) / 1024


class Testbed:
    """One node with a discovery service and one host in a process of its own."""

    def __init__(self, folder: Path, with_store: bool = False) -> None:
        if with_store:
            init_cluster(str(folder / "store"), [("n0", f"127.0.0.1:{free_ports(1)[0]}")])
        self.node = NodeProcess(0, folder, with_store)
        self.discovery = StandInDiscovery()
        self._processes: list[asyncio.subprocess.Process] = []

    async def start(self, host_kind: str) -> None:
        """Start everything and wait until the node serves."""
        hostile = await self.start_host(host_kind)
        self.discovery.entries = {"s-1": host("s-1", hostile)}
        await self.discovery.start()
        listen, console = (f"127.0.0.1:{port}" for port in free_ports(2))
        values: dict[str, Any] = {
            "discovery": self.discovery.address,
            "known": {"generation": 41, "reset": True, "instances": list(self.discovery.entries.values())},
            "settings": settings(peers=False),
        }
        self.node.write_files(listen, console, f"127.0.0.1:{free_ports(1)[0]}", values, "")
        await self.node.launch_with_deploy_command()
        await self.node._serving.wait()

    def address_of(self, target: str) -> str:
        """Return the address of one of the node's listeners."""
        if target == "control":
            return str(self.node.store / "control")
        if target == "handover":
            (path,) = (self.node.folder / "tmp").glob("*/handover")
            return str(path)
        return str(getattr(self.node, target))

    async def start_host(self, kind: str) -> str:
        """Start a host and return its address."""
        process = await self.start_peer(kind)
        assert process.stdout
        return (await process.stdout.readline()).decode().strip()

    async def start_peer(self, *arguments: str) -> asyncio.subprocess.Process:
        """Start a process of `harness.hostile_peers`."""
        pipe = asyncio.subprocess.PIPE
        command = [sys.executable, "-m", "harness.hostile_peers", *arguments]
        process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
        self._processes.append(process)
        return process

    async def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.node.kill()
        self.discovery.close()


async def run_probe(probe: Probe, seconds: float) -> str:
    """Run one probe and return its line."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(Path(folder), with_store=probe.target == "control")
        try:
            await testbed.start(probe.host)
            return await measure(testbed, probe, seconds)
        finally:
            await testbed.close()


async def measure(testbed: Testbed, probe: Probe, seconds: float) -> str:
    """Measure the answers that other callers get beside the hostile clients."""
    node = testbed.node
    assert node.process
    pid = node.process.pid
    pong, console, up = Samples(), Samples(), Samples()
    before_mb = memory_mb(pid, "VmRSS")
    target = testbed.address_of(probe.target)
    clients = await testbed.start_peer(probe.client, target, str(probe.client_count), str(seconds))
    await asyncio.sleep(QUIET_SECONDS)
    samplers = [
        asyncio.create_task(sample(pong, lambda: call(node.listen, b"PING\r\n"), b"PONG")),
        asyncio.create_task(sample(console, lambda: call(node.console, b"status\n"), b"done")),
        asyncio.create_task(sample(up, lambda: call(node.listen, IDENTIFIERS.first_line()), b"UP")),
    ]
    await asyncio.sleep(seconds - QUIET_SECONDS)
    await asyncio.wait([asyncio.create_task(clients.wait())], timeout=ANSWER_TIMEOUT_SECONDS)
    for sampler in samplers:
        sampler.cancel()
    running = node.process.returncode is None
    memory = f"{before_mb:.0f} to {memory_mb(pid, 'VmHWM'):.0f} MB" if running else "the node has ended"
    return f"{probe.name:28} | {pong.text():24} | {console.text():24} | {up.text():24} | {memory}"


async def run_all(names: list[str], seconds: float) -> None:
    """Run the probes one after the other."""
    print("probe | PING to PONG, median / most | status at the console | OPEN to UP | memory", flush=True)
    for probe in PROBES:
        if not names or any(name in probe.name for name in names):
            print(await run_probe(probe, seconds), flush=True)


def main() -> None:
    """Parse the arguments and run the probes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="parts of the names of the probes to run; all by default")
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    uvloop.run(run_all(options.names, options.seconds))


if __name__ == "__main__":
    main()
