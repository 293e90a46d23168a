"""A randomized soak of real node processes: faults that overlap in time, and the rules as its oracle.

Hosts restart, drain and come back; nodes are killed, stopped with a series of signals while clients go on
using them, and started again with stepped clocks or failing system calls; discovery goes away; crowds come.
After it, no client may have been closed unanswered by a living process or answered twice, no node may have
counted a broken rule, and no host in slow start may have been sent more than the operators' term allows.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from harness.faulty_calls import compile_faulty_calls, failing_calls, stepped_clock
from harness.multi_process import MultiProcessTier
from harness.node_process import NodeProcess
from harness.slow_start_processes import fullest_window_share

WARM_SECONDS = 3.0
NOTICE_SECONDS = 2.0  #: after which all nodes have been notified: a watch is opened again within 0.8 s
STOP_SECONDS = (
    3.7  #: from SIGTERM to the earliest SIGKILL, with deadlines of two seconds: 2 + 0.7, and a margin
)
FAULT_PAUSE_SECONDS = (0.1, 0.8)
CLOCK_STEPS_MS = (0, 3_600_000, -3_600_000, 5_000, -5_000)
FAILING_CALLS = (
    "accept=ENFILE+ECONNABORTED+ENOBUFS",
    "connect=EADDRNOTAVAIL+ENETUNREACH,socket=ENFILE",
    "read=EINTR,write=EINTR+SHORT,wait=EINTR",
)
DEFECT_MARKS = ("rule: ", "Traceback", "a callback failed", "ended by an error")
SHIM_VARIABLES = (
    "LD_PRELOAD",
    "FAULTS_CLOCK_STEP_MS",
    "FAULTS_CALLS",
    "FAULTS_ONE_IN",
    "FAULTS_AFTER_MS",
    "FAULTS_UNTIL_MS",
)


Fault = Callable[[Path], Awaitable[None]]  #: given the preloaded library


@dataclass
class SoakReport:
    """What a soak found."""

    faults: list[str] = field(default_factory=list)
    answers: int = 0
    worst_share: float = 0.0  #: the fullest window of a host in slow start, over what is allowed
    violations: list[str] = field(default_factory=list)


class ProcessSoak:
    """One soak, whose faults follow from its seed."""

    def __init__(self, folder: Path, nodes: int, hosts: int, clients: int, seed: int) -> None:
        self._rng = Random(seed)
        self._seed = seed
        self._folder = folder
        self._tier = self._create_tier(nodes, hosts)
        self._client_count = clients
        self._busy_nodes: set[NodeProcess] = set()
        self._host_starts: dict[str, tuple[float, float]] = {}  # when it started, and when all were notified
        self._tasks: set[asyncio.Task[None]] = set()
        self._usual_rate = 0.0
        self.report = SoakReport()

    def _create_tier(self, nodes: int, hosts: int) -> MultiProcessTier:
        return MultiProcessTier(self._folder, nodes, hosts, with_store=False)

    async def run(self, seconds: float) -> SoakReport:
        """Run the soak with faults for so long."""
        library = compile_faulty_calls(self._folder)
        try:
            await self._tier.start()
            self._tier.start_clients(self._client_count)
            await self._measure_usual_rate()
            await self._inject_faults(seconds, library)
            await asyncio.gather(*self._tasks)
            await asyncio.sleep(1)
            self._check_hosts()
            self._check_processes()
        finally:
            await self._tier.close()
        self._check_clients_and_nodes()
        return self.report

    async def _measure_usual_rate(self) -> None:
        since = time.monotonic()
        await asyncio.sleep(WARM_SECONDS)
        counts = [self._tier.count_requests_since(name, since) for name in self._tier.hosts]
        self._usual_rate = sum(counts) / len(counts) / WARM_SECONDS

    def _fault_kinds(self) -> list[Fault]:
        """Return the faults to draw from."""
        return [
            self._restart_host,
            self._restart_host,
            self._drain_host,
            self._kill_node,
            self._stop_node,
            self._reload_node,
            self._silence_discovery,
            self._send_crowd,
        ]

    async def _inject_faults(self, seconds: float, library: Path) -> None:
        faults = self._fault_kinds()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            fault = self._rng.choice(faults)
            self.report.faults.append(fault.__name__.strip("_"))
            task = asyncio.ensure_future(fault(library))
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_SECONDS))

    # faults

    async def _restart_host(self, library: Path) -> None:
        """A host starts anew: discovery lists its new start, and it is cold."""
        name = self._rng.choice(sorted(self._tier.hosts))
        if name in self._host_starts:
            return
        started = time.monotonic()
        self._host_starts[name] = (started, started + NOTICE_SECONDS)
        self._tier.discovery.entries[name]["startedAtMs"] = int(time.time() * 1000)
        self._tier.discovery.publish()

    async def _drain_host(self, library: Path) -> None:
        """A host drains for a while; at least two others do not."""
        entries = self._tier.discovery.entries
        active = [name for name, entry in sorted(entries.items()) if entry["lifecycle"] == "active"]
        if len(active) <= 2:
            return
        name = self._rng.choice(active)
        entries[name]["lifecycle"] = "leaving"
        self._tier.discovery.publish()
        await asyncio.sleep(self._rng.uniform(1, 3))
        entries[name]["lifecycle"] = "active"
        self._tier.discovery.publish()

    async def _kill_node(self, library: Path) -> None:
        node = self._take_node()
        if node is None:
            return
        await node.kill()
        await self._start_node_again(node, library)

    async def _stop_node(self, library: Path) -> None:
        """A node is told to end, twice and with a reload between, and killed at the earliest moment."""
        node = self._take_node()
        if node is None or node.process is None:
            return
        process = node.process
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            if number == signal.SIGTERM:
                node.stop(process)
            elif process.returncode is None:
                process.send_signal(number)
            await asyncio.sleep(self._rng.uniform(0, 0.2))
        try:
            await asyncio.wait_for(process.wait(), STOP_SECONDS)
        except TimeoutError:
            self.report.violations.append(f"{node.name}: not ended {STOP_SECONDS} s after SIGTERM")
        await node.kill()
        await self._start_node_again(node, library)

    async def _reload_node(self, library: Path) -> None:
        for node in self._rng.sample(self._tier.nodes, min(3, len(self._tier.nodes))):
            if node not in self._busy_nodes and node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGHUP)

    async def _silence_discovery(self, library: Path) -> None:
        """All watches end; nodes call again."""
        self._tier.discovery.end_watches()

    async def _send_crowd(self, library: Path) -> None:
        self._tier.start_clients(self._client_count // 4)

    def _take_node(self) -> NodeProcess | None:
        """Return a node that no fault has, and that is not one of the last two."""
        idle = [node for node in self._tier.nodes if node not in self._busy_nodes]
        if len(idle) <= 2:
            return None
        node = self._rng.choice(idle)
        self._busy_nodes.add(node)
        return node

    async def _start_node_again(self, node: NodeProcess, library: Path) -> None:
        for variable in SHIM_VARIABLES:
            node.environment.pop(variable, None)
        if self._rng.random() < 0.5:
            node.environment |= stepped_clock(library, self._rng.choice(CLOCK_STEPS_MS))
        else:
            calls = self._rng.choice(FAILING_CALLS)
            node.environment |= failing_calls(library, calls, 20, self._rng.randrange(1000), after_ms=1500)
        await node.start()
        self._busy_nodes.discard(node)

    # the oracle

    def _check_hosts(self) -> None:
        for name, (started, notified) in self._host_starts.items():
            arrivals = [at for at in self._tier.hosts[name].request_times if at > notified]
            share = fullest_window_share(arrivals, started, self._usual_rate)
            self.report.worst_share = max(self.report.worst_share, share)
            if share > 1:
                self.report.violations.append(f"{name}: {share:.2f} of what a host in slow start may get")

    def _check_processes(self) -> None:
        """Every node has a process that runs."""
        for node in self._tier.nodes:
            if node.process and node.process.returncode is not None:
                exit_code = node.process.returncode
                self.report.violations.append(f"{node.name}: exited with {exit_code}: {node.lines[-3:]}")

    def _check_requests(self) -> None:
        """No host may have been sent what no client sent."""
        for stand_in in self._tier.hosts.values():
            self.report.violations += [f"{stand_in.name}: sent {line!r}" for line in stand_in.unknown_lines]
            for request_id in stand_in.request_ids:
                if not self._tier.clients.has_sent(request_id):
                    self.report.violations.append(f"{stand_in.name}: request {request_id:016x} of no client")

    def _check_clients_and_nodes(self) -> None:
        self.report.answers = self._tier.answer_counts["UP"]
        self.report.violations += self._tier.violations
        self._check_requests()
        for node in self._tier.nodes:
            for line in node.lines:
                if any(mark in line for mark in DEFECT_MARKS) or "policy: " in line and "Error" in line:
                    self.report.violations.append(line)
