"""A tier of real node processes on loopback, with clients and stand-ins for discovery and hosts."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from harness.configurations import host, hosts, settings
from harness.node_process import NodeProcess, free_ports
from harness.stand_ins import StandInDiscovery, StandInHost
from harness.tier_clients import TierClients
from limerudder.store.data_directory import init_cluster

POLL_SECONDS = 0.02  #: Interval of polling the nodes' state
PORTS_PER_NODE = 3  #: Ports for clients, for the console and for the store


class MultiProcessTier:
    """The nodes of a tier, their clients, and stand-ins for discovery and hosts."""

    def __init__(
        self, folder: Path, node_count: int = 4, host_count: int = 5, with_store: bool = True
    ) -> None:
        self.folder = folder
        self.discovery = StandInDiscovery()
        self.hosts = {f"h{number}": StandInHost(f"h{number}") for number in range(host_count)}
        self.nodes = [NodeProcess(number, folder, with_store) for number in range(node_count)]
        self.clients = TierClients(self.nodes)
        self._with_store = with_store

    @property
    def answer_counts(self) -> Counter[str]:
        """Number of answers that clients have received, by the first word of the answer."""
        return self.clients.answer_counts

    @property
    def violations(self) -> list[str]:
        """Violations of the protocol that clients have seen."""
        return self.clients.violations

    async def start(self, store_settings: str = "", **caps: Any) -> None:
        """Start the hosts, discovery and the nodes; wait until the nodes serve.

        `store_settings` is written to the operator's file, `caps` to the settings of the policy.
        """
        await self.discovery.start()
        for stand_in in self.hosts.values():
            await stand_in.start()
        self.discovery.entries = {
            stand_in.name: host(stand_in.name, stand_in.address) for stand_in in self.hosts.values()
        }
        self._write_files(store_settings, caps)
        await asyncio.gather(*(node.start() for node in self.nodes))

    def _write_files(self, store_settings: str, caps: dict[str, Any]) -> None:
        ports = free_ports(PORTS_PER_NODE * len(self.nodes))
        addresses = iter([f"127.0.0.1:{port}" for port in ports])
        node_addresses = [(next(addresses), next(addresses), next(addresses)) for _ in self.nodes]
        if self._with_store:
            members = [
                (node.name, store_listen)
                for node, (_, _, store_listen) in zip(self.nodes, node_addresses, strict=True)
            ]
            init_cluster(str(self.folder / "store"), members)
        values = self._configuration_values(caps)
        for node, (listen, console, store_listen) in zip(self.nodes, node_addresses, strict=True):
            node.write_files(
                listen, console, store_listen, values | self._node_values(node, values), store_settings
            )

    def _node_values(self, node: NodeProcess, values: dict[str, Any]) -> dict[str, Any]:
        """Return the values of one node's configuration that override those of the tier."""
        return {"settings": values["settings"] | {"me": node.number}}

    def _configuration_values(self, caps: dict[str, Any]) -> dict[str, Any]:
        policy_settings = settings(**{"probes": True, "peers": False, **caps})
        policy_settings["balancers"] = len(self.nodes)
        return {
            "discovery": self.discovery.address,
            "known": hosts(*self.discovery.entries.values()),
            "settings": policy_settings,
        }

    async def wait_until_settled(self, timeout_seconds: float = 30.0) -> float:
        """Wait until all stores have the same leader and revision; return the duration in seconds."""
        started = time.monotonic()
        statuses: list[dict[str, Any]] = []
        while time.monotonic() - started < timeout_seconds:
            statuses = await asyncio.gather(*(node.call_store("status") for node in self.nodes))
            if _are_settled(statuses):
                return time.monotonic() - started
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"not settled after {timeout_seconds} s: {statuses}")

    async def leader(self) -> NodeProcess:
        """Wait until a store is the leader, and return its node."""
        while True:
            for node in self.nodes:
                status = await node.call_store("status")
                if status["ok"] and status["standing"] == "leader":
                    return node
            await asyncio.sleep(POLL_SECONDS)

    def start_clients(self, count: int) -> None:
        """Start clients that send requests one at a time to all nodes in turn."""
        self.clients.start(count)

    def count_requests_since(self, name: str, since: float) -> int:
        """Return the number of requests that a host received after `since` on the monotonic clock."""
        return sum(request_time > since for request_time in self.hosts[name].request_times)

    async def close(self) -> None:
        """Stop the clients, nodes, discovery and hosts."""
        await self.clients.close()
        for node in self.nodes:
            await node.kill()
        self.discovery.close()
        for stand_in in self.hosts.values():
            stand_in.close()


def _are_settled(statuses: Sequence[dict[str, Any]]) -> bool:
    if not all(status["ok"] for status in statuses):
        return False
    states = {(status["leader"], status["revision"], status["applied"]) for status in statuses}
    has_leader = bool(statuses[0]["leader"])
    return len(states) == 1 and has_leader and not any(status["facts_waiting"] for status in statuses)


async def wait_until(condition: Callable[[], Any], description: str, timeout_seconds: float = 20.0) -> None:
    """Wait until a condition is true; fail with its description on timeout."""
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        await asyncio.sleep(0.01)


async def overlapping_kills(
    tier: MultiProcessTier, order: Sequence[int], gap_seconds: float, down_seconds: float
) -> float:
    """Kill and restart nodes in the given order, each while the previous one is still down.

    Returns the time on the monotonic clock at which all nodes served again.
    """

    async def kill_and_restart(node: NodeProcess, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        await node.kill()
        await asyncio.sleep(down_seconds)
        await node.start()

    await asyncio.gather(
        *(kill_and_restart(tier.nodes[number], gap_seconds * turn) for turn, number in enumerate(order))
    )
    return time.monotonic()
