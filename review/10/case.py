"""A node that was down while a setting was deleted keeps it for good; the others return without it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
from contextlib import suppress
from pathlib import Path
from typing import Any

from rig3.rig import (
    BROKEN,
    HELD,
    ROOT,
    Discovery,
    Host,
    Json,
    Node,
    Record,
    free_ports,
    host_entry,
    is_troubled,
    open_line,
    run_case,
)

NODES = 4
WRITES = 600  #: Other keys that the operators write while the node is down
KEYS = 7
SNAPSHOT_ENTRIES = 100
SETTLE_SECONDS = 2.0
GAP_SECONDS = 0.5  #: Between the kills of two nodes
DOWN_SECONDS = 1.2  #: From a node's kill to its start
LIMIT_SECONDS = 90.0
REQUESTS = 20
#: What discovery has to tell counts as told after 6 s; new work ends 0.5 s later.
TOLD_SECONDS = 7.0
SETTING = "config/discovery"
COMMAND_LINE = [str(ROOT / ".venv" / "bin" / "python"), "-m", "limerudder.cli", "state"]


class Tier:
    """Four nodes with a store, each with its own addresses of two discovery services."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.configured = [Discovery(record) for _ in range(NODES)]
        self.other = Discovery(record)  # the address that is set in the store for a time
        self.nodes: list[Node] = []
        self._folder = folder

    async def start(self, hosts: list[Host]) -> None:
        """Start the discovery services, the cluster and its nodes."""
        for service in self.services():
            service.entries = {host.name: host_entry(host.name, host.address) for host in hosts}
            await service.start()
        members = [f"n{number}=127.0.0.1:{port}" for number, port in enumerate(free_ports(NODES))]
        await self.command("init", str(self._folder / "store"), *members)
        for number, member in enumerate(members):
            node = Node(self._folder, self.configured[number], self.record, number, NODES)
            node.operator_file = self._folder / f"{node.name}.cue"
            values = [f'folder: "{self.store(number)}"', f'listen: "{member.split("=")[1]}"']
            values.append(f"snapshot_entries: {SNAPSHOT_ENTRIES}")
            node.operator_file.write_text(f"store: {{{', '.join(values)}}}\n", encoding="utf-8")
            self.nodes.append(node)
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.sleep(SETTLE_SECONDS)

    def store(self, number: int) -> str:
        """Return a node's data directory."""
        return str(self._folder / "store" / f"n{number}")

    async def command(self, *arguments: str) -> str:
        """Run a command of the project's command line and return what it printed."""
        run = asyncio.to_thread(
            subprocess.run, [*COMMAND_LINE, *arguments], cwd=ROOT, capture_output=True, text=True, check=False
        )
        result = await run
        text = " ".join((result.stdout + result.stderr).split())
        self.record.write(f"limerudder state {' '.join(arguments)}: exit code {result.returncode}: {text}")
        return text

    async def restart(self, node: Node, delay_seconds: float) -> None:
        """Kill a node after a delay, and start it again."""
        await asyncio.sleep(delay_seconds)
        await asyncio.to_thread(node.kill)
        await asyncio.sleep(DOWN_SECONDS)
        await node.start()

    def services(self) -> list[Discovery]:
        """Return all discovery services."""
        return [*self.configured, self.other]


def write_keys(directory: str) -> int:
    """Write to the store through a node's control socket; return how many writes were done."""
    done = 0
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    with socket.socket(socket.AF_UNIX) as control, control.makefile("rb") as answers:
        control.connect(f"/proc/self/fd/{descriptor}/control")
        for number in range(WRITES):
            call: Json = {"call": "put", "key": f"kv/{number % KEYS}", "value": "x", "wait_ms": 4000}
            control.sendall(json.dumps(call).encode() + b"\n")
            answer: dict[str, Any] = json.loads(answers.readline())
            done += answer["ok"]
    os.close(descriptor)
    return done


async def send_requests(node: Node) -> list[str]:
    """Send requests to a node, one after another; return their ids."""
    requests = []
    for _ in range(REQUESTS):
        request, line = open_line("status-watch", 1800)
        requests.append(request)
        reader, writer = await asyncio.open_connection(*node.listen)
        writer.write(line)
        await reader.readline()
        writer.close()
    return requests


async def case(folder: Path, record: Record) -> int:
    """Set and delete discovery's address while a node is down; then restart all nodes, one over another."""
    hosts = [Host(f"s-{number}", record) for number in range(2)]
    for host in hosts:
        await host.start()
    tier = Tier(folder, record)
    try:
        await tier.start(hosts)
        await change_setting(tier, record)
        has_one_configuration = await restart_all(tier, record)
        kept_off = await remove_host(tier, hosts[1], record)
    finally:
        with suppress(OSError):
            await asyncio.gather(*(asyncio.to_thread(node.stop) for node in tier.nodes))
    return HELD if has_one_configuration and kept_off else BROKEN


async def change_setting(tier: Tier, record: Record) -> None:
    """Set the address of discovery and delete it again; in trouble, a node is down when it is deleted."""
    last = tier.nodes[-1]
    await tier.command("--folder", tier.store(0), "put", SETTING, json.dumps(tier.other.address))
    await asyncio.sleep(SETTLE_SECONDS)
    if is_troubled():
        last.kill()
    await tier.command("--folder", tier.store(0), "delete", SETTING)
    done = await asyncio.to_thread(write_keys, tier.store(0))
    record.write(f"{done} other writes were done")
    await asyncio.sleep(SETTLE_SECONDS)
    if is_troubled():
        await last.start()
        await asyncio.sleep(SETTLE_SECONDS)


async def restart_all(tier: Tier, record: Record) -> bool:
    """Restart all nodes in overlapping order; return whether all have returned to one configuration."""
    record.write("all nodes are killed and restarted in overlapping order")
    for service in tier.services():
        service.calls = 0
    await asyncio.gather(*(tier.restart(node, GAP_SECONDS * turn) for turn, node in enumerate(tier.nodes)))
    await asyncio.sleep(2 * SETTLE_SECONDS)
    for number in range(NODES):
        await tier.command("--folder", tier.store(number), "get", SETTING)
    asked = [service.calls for service in tier.configured]
    for number, calls in enumerate(asked):
        record.write(f"n{number} has asked the configured discovery {calls} times since the restarts")
    record.write(f"the deleted address has been asked {tier.other.calls} times since the restarts")
    return all(asked) and not tier.other.calls


async def remove_host(tier: Tier, host: Host, record: Record) -> bool:
    """Remove a host from the list, with the other service closed; return whether it gets no new work."""
    tier.other.close()
    record.write("the service at the deleted address is closed")
    for service in tier.configured:
        service.change(host.name, lifecycle="left")
    await asyncio.sleep(TOLD_SECONDS)
    late = {node.name: set(await send_requests(node)) & set(host.opened) for node in tier.nodes}
    for name, requests in late.items():
        record.write(f"{name}: {len(requests)} of {REQUESTS} requests sent to {host.name}, gone for 7 s")
    return not any(late.values())


if __name__ == "__main__":
    run_case(case, LIMIT_SECONDS)
