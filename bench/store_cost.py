"""What the store costs a node's ordinary path: `python -m bench.store_cost`.

CPU time of node processes under the same load, with the store on and off in turn; the ratio of each pair.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

import uvloop

from harness.multi_process import MultiProcessTier

TICKS = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory(pid: int) -> float:
    """MB resident."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def once(folder: Path, keeps: bool, clients: int, seconds: float) -> tuple[float, float]:
    """CPU milliseconds a request, over all nodes, and the largest node's memory."""
    tier = MultiProcessTier(folder, 4, with_store=keeps)
    try:
        await tier.start()
        if keeps:
            await tier.wait_until_settled()
        tier.start_clients(clients)
        await asyncio.sleep(1)
        pids = [node.process.pid for node in tier.nodes if node.process]
        before, requests = sum(map(cpu, pids)), sum(tier.answer_counts.values())
        await asyncio.sleep(seconds)
        used, done = sum(map(cpu, pids)) - before, sum(tier.answer_counts.values()) - requests
        assert not tier.violations, tier.violations
        return used / done * 1000, max(map(memory, pids))
    finally:
        await tier.close()


def main() -> int:
    """Pairs, the order within each in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=5.0)
    given = parser.parse_args()
    ratios = []
    for number in range(given.pairs):
        found = {}
        for keeps in (True, False) if number % 2 else (False, True):
            with tempfile.TemporaryDirectory() as name:
                found[keeps] = uvloop.run(once(Path(name), keeps, given.clients, given.seconds))
        ratios.append(found[True][0] / found[False][0])
        print(
            f"on {found[True][0]:.3f} ms a request and {found[True][1]:.0f} MB,"
            f" off {found[False][0]:.3f} ms and {found[False][1]:.0f} MB: {ratios[-1]:.3f}"
        )
    ratios.sort()
    middle = ratios[len(ratios) // 2]
    print(f"CPU a request, on over off: median {middle:.3f}, from {ratios[0]:.3f} to {ratios[-1]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
