"""Measures the store's overhead on request processing: `python -m bench.store_cost`.

Compares the CPU time of node processes under the same load, alternately with the store enabled and disabled,
and prints the ratio of each pair.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import uvloop

from harness.multi_process import MultiProcessTier

NODES = 4
WARM_UP_SECONDS = 1.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MILLISECONDS_PER_SECOND = 1000
BYTES_PER_MEGABYTE = 1e6
USER_TICKS_FIELD = 11  #: Field index in /proc/PID/stat, starting after the command name
SYSTEM_TICKS_FIELD = 12


class Cost(NamedTuple):
    """CPU and memory cost of serving the load."""

    cpu_ms_per_request: float  # total over all nodes
    max_memory_megabytes: float  # resident memory of the largest node


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) / CLOCK_TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return resident_pages * PAGE_BYTES / BYTES_PER_MEGABYTE


async def measure(folder: Path, with_store: bool, clients: int, seconds: float) -> Cost:
    """Serve the load for some seconds, and return its cost."""
    tier = MultiProcessTier(folder, NODES, with_store=with_store)
    try:
        await tier.start()
        if with_store:
            await tier.wait_until_settled()
        tier.start_clients(clients)
        await asyncio.sleep(WARM_UP_SECONDS)
        pids = [node.process.pid for node in tier.nodes if node.process]
        cpu_before = sum(map(cpu_seconds, pids))
        requests_before = sum(tier.answer_counts.values())
        await asyncio.sleep(seconds)
        cpu_used = sum(map(cpu_seconds, pids)) - cpu_before
        requests = sum(tier.answer_counts.values()) - requests_before
        assert not tier.violations, tier.violations
        return Cost(cpu_used / requests * MILLISECONDS_PER_SECOND, max(map(resident_megabytes, pids)))
    finally:
        await tier.close()


def measure_in_new_folder(with_store: bool, clients: int, seconds: float) -> Cost:
    """Measure a new tier in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(measure(Path(folder), with_store, clients, seconds))


def measure_pair(store_first: bool, clients: int, seconds: float) -> float:
    """Measure with and without the store; return the ratio of the CPU times."""
    costs: dict[bool, Cost] = {}
    for with_store in (store_first, not store_first):
        costs[with_store] = measure_in_new_folder(with_store, clients, seconds)
    store_on = costs[True]
    store_off = costs[False]
    ratio = store_on.cpu_ms_per_request / store_off.cpu_ms_per_request
    print(
        f"on {store_on.cpu_ms_per_request:.3f} ms per request and {store_on.max_memory_megabytes:.0f} MB,"
        f" off {store_off.cpu_ms_per_request:.3f} ms and {store_off.max_memory_megabytes:.0f} MB: {ratio:.3f}"
    )
    return ratio


def main() -> int:
    """Measure pairs, alternating the order within them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    ratios = sorted(
        measure_pair(bool(number % 2), arguments.clients, arguments.seconds)
        for number in range(arguments.pairs)
    )
    median = ratios[len(ratios) // 2]
    print(f"CPU per request, ratio on/off: median {median:.3f}, from {ratios[0]:.3f} to {ratios[-1]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
