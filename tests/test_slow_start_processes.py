"""Issue 33 on real processes: what a restarted host gets from all nodes, whatever their clocks say."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

import pytest
import uvloop

from harness.configurations import SECOND, settings
from harness.faulty_calls import compile_faulty_calls, stepped_clock
from harness.multi_process import MultiProcessTier
from harness.node_process import NodeProcess
from harness.slow_start_fleet import allowed_calls

NODES = 8
HOSTS = 2
CLIENTS = 40
HOUR_MS = 3_600_000
WARM_SECONDS = 4.0
OBSERVED_SECONDS = 6.0
SCENARIO_TIMEOUT_SECONDS = 90

INVARIANTS = settings()["invariants"]
WINDOW_SECONDS = INVARIANTS["overloadForUs"] / SECOND


def fullest_window_share(arrivals: Sequence[float], started: float, usual_rate: float) -> float:
    """Return the fullest window's requests over those that are allowed there.

    `usual_rate`: what a warm host is sent in a second, and so what it can do at least.
    """
    start_share = INVARIANTS["startCapacity"]
    warm_up_seconds = INVARIANTS["warmUpUs"] / SECOND
    worst = 0.0
    for position, first in enumerate(arrivals):
        age = (first - started) / warm_up_seconds
        capacity = usual_rate * (start_share + (1 - start_share) * age)
        budget = INVARIANTS["overloadFactor"] * capacity * WINDOW_SECONDS
        calls = sum(first <= arrival < first + WINDOW_SECONDS for arrival in arrivals[position:])
        worst = max(worst, calls / allowed_calls(budget))
    return worst


async def restart(node: NodeProcess, environment: dict[str, str]) -> None:
    node.environment |= environment
    await node.kill()
    await node.start()


async def restart_amid_stepped_clocks(tier: MultiProcessTier, library: Path, step_ms: int) -> float:
    """Restart a host and then all nodes, their clocks this far ahead; return the fullest window's share."""
    await tier.start()
    tier.start_clients(CLIENTS)
    warm_from = time.monotonic()
    await asyncio.sleep(WARM_SECONDS)
    usual_rate = tier.count_requests_since("h1", warm_from) / WARM_SECONDS
    started = time.monotonic()
    tier.discovery.entries["h0"]["startedAtMs"] = int(time.time() * 1000)
    tier.discovery.publish()
    await asyncio.sleep(0.2)
    told = time.monotonic()  # all have been notified: what was sent before does not count
    await asyncio.gather(*(restart(node, stepped_clock(library, step_ms)) for node in tier.nodes))
    await asyncio.sleep(OBSERVED_SECONDS)
    arrivals = [arrival for arrival in tier.hosts["h0"].request_times if arrival > told]
    return fullest_window_share(arrivals, started, usual_rate)


@pytest.mark.parametrize(
    "step_ms", [0, HOUR_MS, -HOUR_MS, 7_000], ids=["right", "ahead", "behind", "seconds"]
)
def test_nodes_that_restart_with_stepped_clocks_do_not_overload_a_host_in_slow_start(
    tmp_path: Path, step_ms: int
) -> None:
    """Guards against issue 33: a node whose clock was ahead took a host that had just started for warm."""

    async def run() -> float:
        tier = MultiProcessTier(tmp_path, NODES, HOSTS, with_store=False)
        scenario = restart_amid_stepped_clocks(tier, compile_faulty_calls(tmp_path), step_ms)
        try:
            return await asyncio.wait_for(scenario, SCENARIO_TIMEOUT_SECONDS)
        finally:
            await tier.close()

    share = uvloop.run(run())
    assert share <= 1
