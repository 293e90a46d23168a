"""Soak test of real node processes with overlapping faults: `python -m bench.process_soak --seeds 50`.

Prints a line per seed: the faults, the requests served, the maximum ratio of requests to the limit in a
window of a host in slow start, and the violations. The exit code is 1 if there were any. With
`--hosts 3200 --nodes 6` the tier lists thousands of hosts, and nodes are killed and stopped during startup.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

import uvloop

from harness.many_hosts_soak import ManyHostsSoak
from harness.process_soak import ProcessSoak, SoakReport

MANY_HOSTS = 1000  #: Minimum number of hosts at which all hosts share one address


def soak(seed: int, nodes: int, hosts: int, clients: int, seconds: float) -> SoakReport:
    """Run one seed."""
    with tempfile.TemporaryDirectory() as folder:
        kind = ManyHostsSoak if hosts >= MANY_HOSTS else ProcessSoak
        run = kind(Path(folder), nodes, hosts, clients, seed).run(seconds)
        return uvloop.run(asyncio.wait_for(run, 20 * seconds + 60))


def main() -> None:
    """Run the seeds sequentially."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        report = soak(seed, options.nodes, options.hosts, options.clients, options.seconds)
        failed += bool(report.violations)
        print(
            f"seed {seed}: {len(report.faults)} faults, {report.answers} served,"
            f" worst slow-start window {report.worst_share:.2f}, violations {report.violations[:3]}",
            flush=True,
        )
    print(f"{failed} of {options.seeds} seeds had violations")
    raise SystemExit(failed > 0)


if __name__ == "__main__":
    main()
