"""Tests whether a node works without certain system calls: `python -m bench.filter [--rounds N]`.

The fleet bench, a test environment outside this repository, rejects fork, other programs, io_uring,
splice and sendfile (splice with EINVAL, the others with ENOSYS), and no process connects to a Unix
socket there. This command runs one real node under `strace`, which injects the same errors, subjects
it to clients, a SIGHUP and a SIGTERM, and then searches the trace for all such calls. Since the node
does its ordinary work, the trace shows the calls of its own code and its libraries (such as uvloop's
libuv).
Requires `strace` on the PATH; a measurement, not run in CI.
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

#: Calls that the fleet bench rejects, and calls that reveal a second process or another socket family
WATCHED_CALLS = (
    "execve,fork,vfork,clone,clone3,io_uring_setup,io_uring_enter,io_uring_register,splice,vmsplice,tee,"
    "sendfile,copy_file_range,socket,socketpair,connect,bind"
)
INJECTED_ERRORS = [
    "io_uring_setup,io_uring_enter,io_uring_register,sendfile,fork,vfork:error=ENOSYS",
    "splice:error=EINVAL",
]
CALL_PATTERN = re.compile(r"\d+\s+(\w+)\(")
CREATED_FAMILY_PATTERN = re.compile(r"\((AF_\w+)")
ADDRESS_FAMILY_PATTERN = re.compile(r"sa_family=(AF_\w+)")
CLIENT_COUNT = 8
SERVED_CLIENTS = 40  #: Number of served clients to wait for before the SIGHUP, and again after it
EXIT_TIMEOUT_SECONDS = 30
PRINTED_VIOLATIONS = 3


class RoundResult(NamedTuple):
    """The result of one round."""

    calls: Counter[str]
    answer_counts: Counter[str]
    violations: list[str]
    exit_code: int


def strace_command(trace: Path) -> list[str]:
    """Return a command that traces the watched calls in all threads, and injects errors into some."""
    injections = [argument for error in INJECTED_ERRORS for argument in ("-e", f"inject={error}")]
    return ["strace", "-f", "-qq", "-o", str(trace), "-e", f"trace={WATCHED_CALLS}", *injections]


def with_family(name: str, family: re.Match[str] | None) -> str:
    """Return the call's name with the address family from its arguments."""
    return f"{name} {family[1] if family else '?'}"


def classify_call(name: str, line: str) -> str:
    """Return the kind of a traced call, as shown in the output."""
    if name == "execve":
        return "execve"  # the first one starts the node itself
    if name in ("clone", "clone3"):
        return "thread" if "CLONE_THREAD" in line else "new process"
    if name in ("socket", "socketpair"):
        return with_family(name, CREATED_FAMILY_PATTERN.search(line))
    if name in ("connect", "bind"):
        return with_family(name, ADDRESS_FAMILY_PATTERN.search(line))
    return name + (" (error injected)" if "(INJECTED)" in line else "")


def count_calls(trace: str) -> Counter[str]:
    """Count the calls of a trace by kind."""
    counts: Counter[str] = Counter()
    for line in trace.splitlines():
        call = CALL_PATTERN.match(line)
        if call:
            counts[classify_call(call[1], line)] += 1
    return counts


def child_process(pid: int) -> int:
    """Return the pid of the tracer's child; signals to the tracer itself would not reach the child."""
    return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])


async def wait_for_served_clients(tier: MultiProcessTier, description: str) -> None:
    """Wait until `SERVED_CLIENTS` more clients have been served."""
    served_before = tier.answer_counts["UP"]
    await wait_until(lambda: tier.answer_counts["UP"] >= served_before + SERVED_CLIENTS, description)


async def drive_node(tier: MultiProcessTier) -> int:
    """Subject the node to clients, a reload and a graceful shutdown; return its exit code."""
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
    """Run one node under the tracer, and evaluate the trace."""
    tier = MultiProcessTier(folder, 1, host_count=3, with_store=False)
    trace = folder / "trace"
    tier.nodes[0].command_prefix = strace_command(trace)
    try:
        exit_code = await drive_node(tier)
    finally:
        await tier.close()
    return RoundResult(count_calls(trace.read_text()), tier.answer_counts, tier.violations, exit_code)


def print_round(number: int, result: RoundResult) -> None:
    """Print the result of a round."""
    violations = result.violations
    print(
        f"round {number}: exit {result.exit_code}; answers {dict(result.answer_counts)};"
        f" violations {len(violations)} {violations[:PRINTED_VIOLATIONS]}"
    )
    for kind, count in sorted(result.calls.items()):
        print(f"    {count:6d}  {kind}")


def main() -> None:
    """Run the rounds and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    rounds = parser.parse_args().rounds
    if not shutil.which("strace"):
        sys.exit("bench.filter requires strace on the PATH")
    for number in range(1, rounds + 1):
        with tempfile.TemporaryDirectory() as folder:
            result = uvloop.run(run_round(Path(folder)))
        print_round(number, result)


if __name__ == "__main__":
    main()
