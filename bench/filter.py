"""Does a node serve where the fleet bench's filter refuses calls? `python -m bench.filter [--rounds N]`.

The fleet days refuse fork, other programs, io_uring, splice and sendfile (ENOSYS; splice EINVAL),
and nobody comes to a Unix socket. This probe runs one real node under `strace`, which refuses
those calls the same way, drives it through clients, a SIGHUP and a SIGTERM, and then reads the
trace for every call of the kinds that the page names. The node is asked nothing unusual: what
the probe shows is what its own code and its libraries (uvloop's libuv among them) ask for.
Needs `strace` on the PATH; a measurement, no part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from harness.multi_process import MultiProcessTier, wait_until

#: the calls the page names, and those that would reveal a second process or a socket of another family
WATCHED = (
    "execve,fork,vfork,clone,clone3,io_uring_setup,io_uring_enter,io_uring_register,splice,vmsplice,tee,"
    "sendfile,copy_file_range,socket,socketpair,connect,bind"
)
REFUSED = [
    "io_uring_setup,io_uring_enter,io_uring_register,sendfile,fork,vfork:error=ENOSYS",
    "splice:error=EINVAL",
]


def tracer(trace: Path) -> list[str]:
    """Strace's arguments: follow threads, note the watched calls, refuse what the filter refuses."""
    refusals = [arg for one in REFUSED for arg in ("-e", f"inject={one}")]
    return ["strace", "-f", "-qq", "-o", str(trace), "-e", f"trace={WATCHED}", *refusals]


def kinds(trace: str) -> Counter[str]:
    """What the trace shows, by kind: each a call the page refuses or a mark of what the node reached for."""
    seen: Counter[str] = Counter()
    for line in trace.splitlines():
        call = re.match(r"\d+\s+(\w+)\(", line)
        if not call:
            continue
        name = call[1]
        if name == "execve":
            seen["execve"] += 1  # the first is the node itself
        elif name in ("clone", "clone3"):
            seen["thread" if "CLONE_THREAD" in line else "new process"] += 1
        elif name in ("socket", "socketpair"):
            family = re.search(r"\((AF_\w+)", line)
            seen[f"{name} {family[1] if family else '?'}"] += 1
        elif name in ("connect", "bind"):
            family = re.search(r"sa_family=(AF_\w+)", line)
            seen[f"{name} {family[1] if family else '?'}"] += 1
        else:
            seen[name + (" (refused)" if "(INJECTED)" in line else "")] += 1
    return seen


def child(pid: int) -> int:
    """The process that the tracer runs: signals go to it, since the tracer keeps those sent to itself."""
    return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])


async def play(folder: Path) -> tuple[Counter[str], Counter[str], list[str], int | None]:
    """One node under the tracer: clients, a new configuration, a planned stop."""
    tier = MultiProcessTier(folder, 1, host_count=3, with_store=False)
    trace = folder / "trace"
    tier.nodes[0].command_prefix = tracer(trace)
    try:
        await tier.start()
        tier.start_clients(8)
        await wait_until(lambda: tier.answer_counts["UP"] >= 40, "40 clients served")
        node = tier.nodes[0]
        assert node.process
        traced = child(node.process.pid)
        os.kill(traced, signal.SIGHUP)
        before = tier.answer_counts["UP"]
        await wait_until(lambda: tier.answer_counts["UP"] >= before + 40, "40 more served after SIGHUP")
        tier.clients.stopping = True
        os.kill(traced, signal.SIGTERM)
        code = await asyncio.wait_for(node.process.wait(), 30)
    finally:
        await tier.close()
    return kinds(trace.read_text()), tier.answer_counts, tier.violations, code


def main() -> None:
    """Play and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    rounds = parser.parse_args().rounds
    if not shutil.which("strace"):
        sys.exit("bench.filter needs strace")
    for number in range(rounds):
        with tempfile.TemporaryDirectory() as folder:
            seen, counts, wrong, code = uvloop.run(play(Path(folder)))
        print(f"round {number + 1}: exit {code}; answers {dict(counts)}; wrong {len(wrong)} {wrong[:3]}")
        for kind, many in sorted(seen.items()):
            print(f"    {many:6d}  {kind}")


if __name__ == "__main__":
    main()
