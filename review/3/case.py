"""A setting that no node can use is accepted, and from then on no node starts any more."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from rig import TROUBLE, Case, Tier, run_case, serves_within

MISTYPED = "127.0.0.1:85000"  # no port is above 65535
READY_SECONDS = 30


async def play(case: Case) -> bool:
    """Put a discovery address with a mistyped port; then restart the nodes one after the other."""
    tier = Tier(case)
    await tier.start()
    address = MISTYPED if TROUBLE else tier.discovery.address
    code, _ = await tier.nodes[0].state("put", "config/discovery", f'"{address}"')
    case.record(f"the put of {address} ended with code {code}")
    await asyncio.sleep(2)
    await tier.record_status()
    started = []
    for node in tier.nodes:
        if node.process:
            await node.process.end(SIGTERM)
        await node.launch()
        started.append(await serves_within(node, READY_SECONDS))
    case.record(f"serving after their restart: {started}")
    return all(started)


run_case(__file__, play)
