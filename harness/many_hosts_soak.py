"""A randomized soak test of node processes with thousands of hosts, killed and stopped during startup.

In addition to the rules of `process_soak`, a process may end only by a signal that it was sent or with exit
code 0, and has to start and stop within the operators' time limits. The load of single hosts in slow start is
not checked here, since all hosts share one address.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable
from functools import wraps
from pathlib import Path

from harness.faulty_calls import failing_calls
from harness.many_hosts import ManyHostsTier, wait_until_ready
from harness.multi_process import MultiProcessTier
from harness.node_process import NodeProcess, free_ports
from harness.process_soak import SHIM_VARIABLES, STOP_SECONDS, Fault, ProcessSoak

MAX_START_SECONDS = 0.8  #: Maximum time before a start is interrupted; covers most of the startup
MAX_INTERRUPTED_STARTS = 4
SIGNAL_PAUSE_SECONDS = 0.03
HANDOVER_SECONDS = 4.0  #: Time for a successor to get ready and start serving: at most 2 s, plus a margin
START_SHORTAGES = (
    "socket=EMFILE+ENFILE+ENOBUFS",
    "dup=EMFILE,poller=ENFILE",
    "bind=EADDRINUSE+ENOMEM,listen=EADDRINUSE",
    "connect=EADDRNOTAVAIL+ENOBUFS,sendto=ENOBUFS+EPERM,accept=EMFILE",
)
#: Injects a fault at a node; receives the node and the path of the library of `faulty_calls`
NodeFault = Callable[[NodeProcess, Path], Awaitable[None]]
HOST_SHARES = (0.001, 0.05, 0.5)  #: Shares of the hosts that one fault changes


class ManyHostsSoak(ProcessSoak):
    """One soak test of a tier with thousands of hosts; the seed determines its faults."""

    def _create_tier(self, nodes: int, hosts: int) -> MultiProcessTier:
        tier = ManyHostsTier(self._folder, nodes, hosts)
        tier.cold_share = self._rng.choice([0.0, 0.5])
        return tier

    def _fault_kinds(self) -> list[Fault]:
        return [
            self._restart_hosts,
            self._drain_hosts,
            self._replace_hosts,
            self._kill_node,
            self._at_idle_node(self._kill_starting_node),
            self._at_idle_node(self._kill_starting_node),
            self._at_idle_node(self._signal_starting_node),
            self._stop_node,
            self._at_idle_node(self._start_without_log),
            self._at_idle_node(self._start_during_shortage),
            self._at_idle_node(self._hot_restart),
            self._at_idle_node(self._kill_successor),
            self._reload_node,
            self._end_discovery_watches,
            self._start_load_spike,
        ]

    # faults of hosts

    def _sample_hosts(self) -> list[str]:
        names = sorted(self._tier.discovery.entries)
        return self._rng.sample(names, max(1, int(self._rng.choice(HOST_SHARES) * len(names))))

    async def _restart_hosts(self, library: Path) -> None:
        started_ms = int(time.time() * 1000)
        for name in self._sample_hosts():
            self._tier.discovery.entries[name]["startedAtMs"] = started_ms
        self._tier.discovery.publish_changes()

    async def _drain_hosts(self, library: Path) -> None:
        names = self._sample_hosts()
        self._set_lifecycle(names, "leaving")
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        self._set_lifecycle(names, "active")

    def _set_lifecycle(self, names: list[str], lifecycle: str) -> None:
        entries = self._tier.discovery.entries
        for name in names:
            if name in entries:
                entries[name]["lifecycle"] = lifecycle
        self._tier.discovery.publish_changes()

    async def _replace_hosts(self, library: Path) -> None:
        entries = self._tier.discovery.entries
        for name in self._sample_hosts():
            entry = entries.pop(name)
            new_name = f"r-{self._rng.getrandbits(32):08x}"
            entries[new_name] = entry | {"instanceId": new_name, "startedAtMs": int(time.time() * 1000)}
        self._tier.discovery.publish_changes()

    # faults of processes

    def _at_idle_node(self, fault: NodeFault) -> Fault:
        """Wrap a fault so that it runs at a node without other faults or failing system calls."""

        @wraps(fault)
        async def at_idle_node(library: Path) -> None:
            node = self._reserve_node()
            if node is None:
                return
            self._reset_environment(node)
            await fault(node, library)
            self._reset_environment(node)
            self._busy_nodes.discard(node)

        return at_idle_node

    def _reset_environment(self, node: NodeProcess) -> None:
        for variable in SHIM_VARIABLES:
            node.environment.pop(variable, None)

    async def _launch_and_wait(self, node: NodeProcess) -> None:
        """Start a process of the node and record a violation unless it is ready in time."""
        await self._expect_ready(node, await node.launch())

    async def _expect_ready(self, node: NodeProcess, process: asyncio.subprocess.Process) -> None:
        try:
            await wait_until_ready(node, process)
        except AssertionError as error:
            self.report.violations.append(f"{node.name}: {error}")

    async def _kill_starting_node(self, node: NodeProcess, library: Path) -> None:
        """Kill a node, then kill it repeatedly during startup."""
        for _ in range(self._rng.randint(1, MAX_INTERRUPTED_STARTS)):
            await node.kill()
            await node.launch()
            await asyncio.sleep(self._rng.uniform(0, MAX_START_SECONDS))
        await node.kill()
        await self._launch_and_wait(node)

    async def _signal_starting_node(self, node: NodeProcess, library: Path) -> None:
        """Send a node a series of reload signals during startup, and possibly stop it."""
        await node.kill()
        process = await node.launch_with_deploy_command()
        for _ in range(self._rng.randint(1, 20)):
            if process.returncode is None:
                process.send_signal(self._rng.choice([signal.SIGHUP, signal.SIGUSR1]))
            await asyncio.sleep(self._rng.uniform(0, SIGNAL_PAUSE_SECONDS))
        if self._rng.random() < 0.5:
            await self._stop_process(node, process, allowed=(0, -signal.SIGTERM))
            await self._launch_and_wait(node)
        else:
            await self._expect_ready(node, process)

    async def _stop_process(
        self, node: NodeProcess, process: asyncio.subprocess.Process, allowed: tuple[int, ...] = (0,)
    ) -> None:
        """Stop a process; record a violation unless it ends in time with an allowed exit code."""
        node.stop(process)
        try:
            exit_code = await asyncio.wait_for(process.wait(), STOP_SECONDS)
        except TimeoutError:
            self.report.violations.append(f"{node.name}: still running {STOP_SECONDS} s after SIGTERM")
            node.kills += 1
            process.kill()
            return
        if exit_code not in allowed:
            self.report.violations.append(f"{node.name}: exited with {exit_code}")

    async def _start_without_log(self, node: NodeProcess, library: Path) -> None:
        """Start a node whose log is not writable: a pipe that is unread or has no reader, or /dev/full."""
        await node.kill()
        read_end, write_end = os.pipe()
        log = self._rng.choice([write_end, os.open("/dev/full", os.O_WRONLY)])
        if self._rng.random() < 0.5:
            os.close(read_end)
        process = await node.launch_with_log(log)
        await self._expect_ready(node, process)
        await asyncio.sleep(self._rng.uniform(0, 1))
        await self._stop_process(node, process)
        await self._launch_and_wait(node)

    async def _start_during_shortage(self, node: NodeProcess, library: Path) -> None:
        """Make system calls of a node fail during startup."""
        await node.kill()
        one_in = self._rng.choice([1, 2, 5])
        until_ms = self._rng.randrange(200, 1500)
        calls = self._rng.choice(START_SHORTAGES)
        seed = self._rng.randrange(1000)
        node.environment |= failing_calls(library, calls, one_in, seed, until_ms=until_ms)
        await self._launch_and_wait(node)

    async def _launch_successor(
        self, node: NodeProcess
    ) -> tuple[asyncio.subprocess.Process, asyncio.subprocess.Process]:
        """Start a successor of the serving process; return the parent and the successor."""
        assert node.process
        parent = node.process
        node.environment["PROXY_CONSOLE"] = f"127.0.0.1:{free_ports(1)[0]}"  # one address per process
        return parent, await node.launch()

    async def _hot_restart(self, node: NodeProcess, library: Path) -> None:
        """Start a successor, and stop the parent at a random time during or after the handover."""
        parent, successor = await self._launch_successor(node)
        await asyncio.sleep(self._rng.choice([self._rng.uniform(0, MAX_START_SECONDS), HANDOVER_SECONDS]))
        await self._stop_process(node, parent)
        await self._expect_ready(node, successor)

    async def _kill_successor(self, node: NodeProcess, library: Path) -> None:
        """Kill a successor at a random time after its start; the parent has to continue serving."""
        parent_reading = node.reading
        parent, successor = await self._launch_successor(node)
        successor_reading = node.reading
        await asyncio.sleep(self._rng.uniform(0, MAX_START_SECONDS))
        node.kills += 1
        successor.kill()
        await successor.wait()
        if successor_reading:
            await successor_reading
        node.process = parent
        node.reading = parent_reading
        await self._expect_ready(node, parent)

    def _check_hosts(self) -> None:
        """Check nothing: all hosts share one address."""
