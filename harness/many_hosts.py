"""A tier of real node processes with an endpoint list of thousands of hosts.

All listed hosts share the address of one stand-in; each has a separate entry, name and connections. The
settings declare a larger tier than runs here, so that the nodes share load reports.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from harness.configurations import host
from harness.multi_process import MultiProcessTier
from harness.node_process import NodeProcess, free_ports

LISTED_HOSTS = 3200  #: Maximum number of hosts in the operators' requirements
CONFIGURED_NODES = 8  #: Tier size in the settings; nodes share load reports in tiers of more than six
SOCKETS = 384  #: Limit of descriptors of a node process
RECENT_START_MS = 1000  #: Age of hosts in slow start when the tier starts
READY_SECONDS = 10.0  #: Maximum startup time in the operators' requirements
CHECK_SECONDS = 0.02
PING_TIMEOUT_SECONDS = 1.0


class ManyHostsTier(MultiProcessTier):
    """A tier with an endpoint list of thousands of hosts."""

    def __init__(
        self, folder: Path, node_count: int = 1, listed_hosts: int = LISTED_HOSTS, sockets: int = SOCKETS
    ) -> None:
        super().__init__(folder, node_count, 1, with_store=False)
        self.cold_share = 0.0  #: Share of the hosts that are in slow start when the tier starts
        self._listed_hosts = listed_hosts
        self._sockets = sockets
        self._peer_addresses = [f"127.0.0.1:{port}" for port in free_ports(CONFIGURED_NODES)]

    def _configuration_values(self, caps: dict[str, Any]) -> dict[str, Any]:
        self.discovery.entries = self._entries()
        values = super()._configuration_values({"peers": True, **caps})
        values["settings"] |= {"balancers": CONFIGURED_NODES, "discovery": "pushed"}
        limits = {"sockets": self._sockets}
        return values | {"limits": limits, "peers": self._peer_addresses}

    def _node_values(self, node: NodeProcess, values: dict[str, Any]) -> dict[str, Any]:
        return super()._node_values(node, values) | {"peer_listen": self._peer_addresses[node.number]}

    def _entries(self) -> dict[str, dict[str, Any]]:
        (stand_in,) = self.hosts.values()
        entries = {}
        slow_start_hosts = int(self.cold_share * self._listed_hosts)
        started_ms = int(time.time() * 1000) - RECENT_START_MS
        for number in range(self._listed_hosts):
            name = f"s-{number:08x}"
            entries[name] = host(name, stand_in.address)
            if number < slow_start_hosts:
                entries[name]["startedAtMs"] = started_ms
        return entries

    async def prepare(self, **caps: Any) -> None:
        """Start discovery and the hosts, and write the configuration files; no node is started."""
        await self.discovery.start()
        for stand_in in self.hosts.values():
            await stand_in.start()
        self._write_files("", caps)


async def answers_ping(node: NodeProcess) -> bool:
    """Return whether a node answers PING on a new connection."""
    try:
        reader, writer = await asyncio.open_connection(*node.listen.split(":"))
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await asyncio.wait_for(reader.readline(), PING_TIMEOUT_SECONDS) == b"PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


async def wait_until_ready(node: NodeProcess, process: asyncio.subprocess.Process) -> None:
    """Wait until a node process answers PING; fails if the process ends or the wait times out."""
    deadline = time.monotonic() + READY_SECONDS
    while not await answers_ping(node):
        assert process.returncode is None, f"exited with {process.returncode}: {node.lines[-3:]}"
        assert time.monotonic() < deadline, f"not ready within {READY_SECONDS} s: {node.lines[-3:]}"
        await asyncio.sleep(CHECK_SECONDS)
