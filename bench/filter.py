"""Shows whether a node serves where system calls are refused: `python -m bench.filter [--rounds N]`.

The days of the fleet bench refuse fork, other programs, io_uring, splice and sendfile (ENOSYS;
splice EINVAL), and no process connects to a Unix socket. This probe runs one real node under
`strace`, which refuses those calls the same way, drives it through clients, a SIGHUP and a SIGTERM,
and then reads the trace for every such call. The node does its ordinary work: what the probe shows
is what its own code and its libraries (uvloop's libuv among them) ask for.
Needs `strace` on the PATH; a measurement, not run in CI.
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
from typing import NamedTuple

import uvloop

from harness.multi_process import MultiProcessTier, wait_until

#: the calls that the fleet bench refuses, and those that reveal a second process or another socket family
WATCHED_CALLS = (
    "execve,fork,vfork,clone,clone3,io_uring_setup,io_uring_enter,io_uring_register,splice,vmsplice,tee,"
    "sendfile,copy_file_range,socket,socketpair,connect,bind"
)
REFUSALS = [
    "io_uring_setup,io_uring_enter,io_uring_register,sendfile,fork,vfork:error=ENOSYS",
    "splice:error=EINVAL",
]
CALL_PATTERN = re.compile(r"\d+\s+(\w+)\(")
CREATED_FAMILY_PATTERN = re.compile(r"\((AF_\w+)")
ADDRESS_FAMILY_PATTERN = re.compile(r"sa_family=(AF_\w+)")
CLIENT_COUNT = 8
SERVED_CLIENTS = 40  #: that are waited for before the SIGHUP, and again after it
EXIT_TIMEOUT_SECONDS = 30
PRINTED_VIOLATIONS = 3


class RoundResult(NamedTuple):
    """What one round showed."""

    calls: Counter[str]
    answer_counts: Counter[str]
    violations: list[str]
    exit_code: int


def strace_command(trace: Path) -> list[str]:
    """Return a command that follows threads, records the watched calls, and refuses some of them."""
    refusals = [argument for refusal in REFUSALS for argument in ("-e", f"inject={refusal}")]
    return ["strace", "-f", "-qq", "-o", str(trace), "-e", f"trace={WATCHED_CALLS}", *refusals]


def with_family(name: str, family: re.Match[str] | None) -> str:
    """Return the call's name with the address family that its arguments show."""
    return f"{name} {family[1] if family else '?'}"


def classify_call(name: str, line: str) -> str:
    """Return the kind of a traced call, as it is printed."""
    if name == "execve":
        return "execve"  # the first is the node itself
    if name in ("clone", "clone3"):
        return "thread" if "CLONE_THREAD" in line else "new process"
    if name in ("socket", "socketpair"):
        return with_family(name, CREATED_FAMILY_PATTERN.search(line))
    if name in ("connect", "bind"):
        return with_family(name, ADDRESS_FAMILY_PATTERN.search(line))
    return name + (" (refused)" if "(INJECTED)" in line else "")


def count_calls(trace: str) -> Counter[str]:
    """Count the calls of a trace by kind."""
    counts: Counter[str] = Counter()
    for line in trace.splitlines():
        call = CALL_PATTERN.match(line)
        if call:
            counts[classify_call(call[1], line)] += 1
    return counts


def child_process(pid: int) -> int:
    """Return the process that the tracer runs; a signal sent to the tracer itself would not reach it."""
    return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])


async def wait_for_served_clients(tier: MultiProcessTier, description: str) -> None:
    """Wait until so many more clients have been served."""
    served_before = tier.answer_counts["UP"]
    await wait_until(lambda: tier.answer_counts["UP"] >= served_before + SERVED_CLIENTS, description)


async def drive_node(tier: MultiProcessTier) -> int:
    """Drive the node through clients, a new configuration and a graceful shutdown; return its exit code."""
    await tier.start()
    tier.start_clients(CLIENT_COUNT)
    await wait_for_served_clients(tier, "40 clients served")
    process = tier.nodes[0].process
    assert process
    traced_pid = child_process(process.pid)
    os.kill(traced_pid, signal.SIGHUP)
    await wait_for_served_clients(tier, "40 more served after SIGHUP")
    tier.clients.stopping = True
    os.kill(traced_pid, signal.SIGTERM)
    return await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_SECONDS)


async def run_round(folder: Path) -> RoundResult:
    """Run one node under the tracer, and read the trace."""
    tier = MultiProcessTier(folder, 1, host_count=3, with_store=False)
    trace = folder / "trace"
    tier.nodes[0].command_prefix = strace_command(trace)
    try:
        exit_code = await drive_node(tier)
    finally:
        await tier.close()
    return RoundResult(count_calls(trace.read_text()), tier.answer_counts, tier.violations, exit_code)


def print_round(number: int, result: RoundResult) -> None:
    """Print what a round showed."""
    violations = result.violations
    print(
        f"round {number}: exit {result.exit_code}; answers {dict(result.answer_counts)};"
        f" wrong {len(violations)} {violations[:PRINTED_VIOLATIONS]}"
    )
    for kind, count in sorted(result.calls.items()):
        print(f"    {count:6d}  {kind}")


def main() -> None:
    """Run the rounds and print what each showed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    rounds = parser.parse_args().rounds
    if not shutil.which("strace"):
        sys.exit("bench.filter needs strace")
    for number in range(1, rounds + 1):
        with tempfile.TemporaryDirectory() as folder:
            result = uvloop.run(run_round(Path(folder)))
        print_round(number, result)


if __name__ == "__main__":
    main()
