"""A randomized soak test of real node processes with overlapping faults.

Hosts restart, drain and return to service; nodes under load are killed or stopped by a series of signals,
and restarted with stepped clocks or failing system calls; discovery watches end; load spikes occur. At the
end, no running process may have closed a client unanswered, no client may have got two answers, no node may
have logged a rule violation, and no host in slow start may have got more requests than the operators allow.
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
NOTIFICATION_SECONDS = 2.0  #: Time allowed for notifying all nodes; nodes reopen a watch within 0.8 s
STOP_SECONDS = 3.7  #: Earliest SIGKILL after SIGTERM with deadlines of 2 s: 2 + 0.7, plus a margin
FAULT_PAUSE_SECONDS = (0.1, 0.8)
CLOCK_STEPS_MS = (0, 3_600_000, -3_600_000, 5_000, -5_000)
FAILING_CALLS = (
    "accept=ENFILE+ECONNABORTED+ENOBUFS",
    "connect=EADDRNOTAVAIL+ENETUNREACH,socket=ENFILE",
    "read=EINTR,write=EINTR+SHORT,wait=EINTR",
)
DEFECT_MARKERS = ("rule: ", "Traceback", "a callback failed", "ended by an error")
SHIM_VARIABLES = (
    "LD_PRELOAD",
    "FAULTS_CLOCK_STEP_MS",
    "FAULTS_CALLS",
    "FAULTS_ONE_IN",
    "FAULTS_AFTER_MS",
    "FAULTS_UNTIL_MS",
)


#: Injects a fault; receives the path of the library of `faulty_calls`
Fault = Callable[[Path], Awaitable[None]]


@dataclass
class SoakReport:
    """Results of a soak test."""

    faults: list[str] = field(default_factory=list)
    answers: int = 0
    worst_share: float = 0.0  #: Maximum ratio of requests to the limit in a window of a host in slow start
    violations: list[str] = field(default_factory=list)


class ProcessSoak:
    """One soak test; the seed determines its faults."""

    def __init__(self, folder: Path, nodes: int, hosts: int, clients: int, seed: int) -> None:
        self._rng = Random(seed)
        self._seed = seed
        self._folder = folder
        self._tier = self._create_tier(nodes, hosts)
        self._client_count = clients
        self._busy_nodes: set[NodeProcess] = set()
        self._host_starts: dict[str, tuple[float, float]] = {}  # times of start and of notification, by host
        self._tasks: set[asyncio.Task[None]] = set()
        self._baseline_rate = 0.0
        self.report = SoakReport()

    def _create_tier(self, nodes: int, hosts: int) -> MultiProcessTier:
        return MultiProcessTier(self._folder, nodes, hosts, with_store=False)

    async def run(self, seconds: float) -> SoakReport:
        """Run the soak test, injecting faults for `seconds`."""
        library = compile_faulty_calls(self._folder)
        try:
            await self._tier.start()
            self._tier.start_clients(self._client_count)
            await self._measure_baseline_rate()
            await self._inject_faults(seconds, library)
            await asyncio.gather(*self._tasks)
            await asyncio.sleep(1)
            self._check_hosts()
            self._check_processes()
        finally:
            await self._tier.close()
        self._check_clients_and_nodes()
        return self.report

    async def _measure_baseline_rate(self) -> None:
        since = time.monotonic()
        await asyncio.sleep(WARM_SECONDS)
        counts = [self._tier.count_requests_since(name, since) for name in self._tier.hosts]
        self._baseline_rate = sum(counts) / len(counts) / WARM_SECONDS

    def _fault_kinds(self) -> list[Fault]:
        """Return the faults to choose from; repeated entries are more likely."""
        return [
            self._restart_host,
            self._restart_host,
            self._drain_host,
            self._kill_node,
            self._stop_node,
            self._reload_node,
            self._end_discovery_watches,
            self._start_load_spike,
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
        """Restart a host: discovery lists its new start time, so that it is in slow start."""
        name = self._rng.choice(sorted(self._tier.hosts))
        if name in self._host_starts:
            return
        started = time.monotonic()
        self._host_starts[name] = (started, started + NOTIFICATION_SECONDS)
        self._tier.discovery.entries[name]["startedAtMs"] = int(time.time() * 1000)
        self._tier.discovery.publish()

    async def _drain_host(self, library: Path) -> None:
        """Drain a host for a few seconds; at least two others stay active."""
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
        node = self._reserve_node()
        if node is None:
            return
        await node.kill()
        await self._restart_node(node, library)

    async def _stop_node(self, library: Path) -> None:
        """Send a node SIGTERM twice with a reload between, and SIGKILL at the earliest allowed time."""
        node = self._reserve_node()
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
            self.report.violations.append(f"{node.name}: still running {STOP_SECONDS} s after SIGTERM")
        await node.kill()
        await self._restart_node(node, library)

    async def _reload_node(self, library: Path) -> None:
        for node in self._rng.sample(self._tier.nodes, min(3, len(self._tier.nodes))):
            if node not in self._busy_nodes and node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGHUP)

    async def _end_discovery_watches(self, library: Path) -> None:
        """End all discovery watches; nodes have to reopen them."""
        self._tier.discovery.end_watches()

    async def _start_load_spike(self, library: Path) -> None:
        self._tier.start_clients(self._client_count // 4)

    def _reserve_node(self) -> NodeProcess | None:
        """Reserve and return a node without a fault; None if only two are left."""
        idle = [node for node in self._tier.nodes if node not in self._busy_nodes]
        if len(idle) <= 2:
            return None
        node = self._rng.choice(idle)
        self._busy_nodes.add(node)
        return node

    async def _restart_node(self, node: NodeProcess, library: Path) -> None:
        for variable in SHIM_VARIABLES:
            node.environment.pop(variable, None)
        if self._rng.random() < 0.5:
            node.environment |= stepped_clock(library, self._rng.choice(CLOCK_STEPS_MS))
        else:
            calls = self._rng.choice(FAILING_CALLS)
            node.environment |= failing_calls(library, calls, 20, self._rng.randrange(1000), after_ms=1500)
        await node.start()
        self._busy_nodes.discard(node)

    # checks

    def _check_hosts(self) -> None:
        for name, (started, notified) in self._host_starts.items():
            arrivals = [at for at in self._tier.hosts[name].request_times if at > notified]
            share = fullest_window_share(arrivals, started, self._baseline_rate)
            self.report.worst_share = max(self.report.worst_share, share)
            if share > 1:
                self.report.violations.append(
                    f"{name}: {share:.2f} times the requests allowed for a host in slow start"
                )

    def _check_processes(self) -> None:
        """Check that the process of every node is running."""
        for node in self._tier.nodes:
            if node.process and node.process.returncode is not None:
                exit_code = node.process.returncode
                self.report.violations.append(f"{node.name}: exited with {exit_code}: {node.lines[-3:]}")

    def _check_requests(self) -> None:
        """Check that hosts received no lines or requests that no client sent."""
        for stand_in in self._tier.hosts.values():
            self.report.violations += [
                f"{stand_in.name}: received unexpected line {line!r}" for line in stand_in.unexpected_lines
            ]
            for request_id in stand_in.request_ids:
                if not self._tier.clients.has_sent(request_id):
                    self.report.violations.append(
                        f"{stand_in.name}: request {request_id:016x} was not sent by a client"
                    )

    def _check_clients_and_nodes(self) -> None:
        self.report.answers = self._tier.answer_counts["UP"]
        self.report.violations += self._tier.violations
        self._check_requests()
        for node in self._tier.nodes:
            for line in node.lines:
                if any(marker in line for marker in DEFECT_MARKERS) or "policy: " in line and "Error" in line:
                    self.report.violations.append(line)
