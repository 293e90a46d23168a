"""Issue 33 on real processes: requests of all nodes to a restarted host, with right and wrong clocks."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
import uvloop

from harness.faulty_calls import compile_faulty_calls, stepped_clock
from harness.multi_process import MultiProcessTier
from harness.node_process import NodeProcess
from harness.slow_start_processes import fullest_window_share

NODES = 8
HOSTS = 2
CLIENTS = 40
HOUR_MS = 3_600_000
WARM_SECONDS = 4.0
OBSERVED_SECONDS = 6.0
SCENARIO_TIMEOUT_SECONDS = 90


async def restart(node: NodeProcess, environment: dict[str, str]) -> None:
    node.environment |= environment
    await node.kill()
    await node.start()


async def restart_amid_stepped_clocks(tier: MultiProcessTier, library: Path, step_ms: int) -> float:
    """Restart a host, then all nodes with stepped clocks; return `fullest_window_share` of the host."""
    await tier.start()
    tier.start_clients(CLIENTS)
    warm_from = time.monotonic()
    await asyncio.sleep(WARM_SECONDS)
    usual_rate = tier.count_requests_since("h1", warm_from) / WARM_SECONDS
    started = time.monotonic()
    tier.discovery.entries["h0"]["startedAtMs"] = int(time.time() * 1000)
    tier.discovery.publish()
    await asyncio.sleep(0.2)
    notified = time.monotonic()  # all nodes are notified; earlier requests do not count
    await asyncio.gather(*(restart(node, stepped_clock(library, step_ms)) for node in tier.nodes))
    await asyncio.sleep(OBSERVED_SECONDS)
    arrivals = [arrival for arrival in tier.hosts["h0"].request_times if arrival > notified]
    return fullest_window_share(arrivals, started, usual_rate)


@pytest.mark.parametrize(
    "step_ms", [0, HOUR_MS, -HOUR_MS, 7_000], ids=["right", "ahead", "behind", "seconds"]
)
def test_nodes_that_restart_with_stepped_clocks_do_not_overload_a_host_in_slow_start(
    tmp_path: Path, step_ms: int
) -> None:
    """Guards against issue 33: a node whose clock was ahead treated a newly started host as warm."""

    async def run() -> float:
        tier = MultiProcessTier(tmp_path, NODES, HOSTS, with_store=False)
        scenario = restart_amid_stepped_clocks(tier, compile_faulty_calls(tmp_path), step_ms)
        try:
            return await asyncio.wait_for(scenario, SCENARIO_TIMEOUT_SECONDS)
        finally:
            await tier.close()

    share = uvloop.run(run())
    assert share <= 1
