"""Runs a store cluster of member processes on loopback, without nodes."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harness.node_process import free_ports
from limerudder.store.client import ControlClient, ControlUnavailableError
from limerudder.store.data_directory import init_cluster

CHECKOUT = Path(__file__).resolve().parent.parent
POLL_SECONDS = 0.02
STATUS_WAIT_SECONDS = 1.0
START_TIMEOUT_SECONDS = 20.0


class MemberNotStartedError(Exception):
    """A member's process did not answer after its start."""


@dataclass(frozen=True)
class MemberProgram:
    """A program that runs one member, given its data directory and its address."""

    python: str
    module: str
    checkout: Path

    def start(self, directory: str, address: str) -> subprocess.Popen[bytes]:
        """Start a process for a member."""
        command = [self.python, "-m", self.module, directory, address]
        return subprocess.Popen(command, cwd=self.checkout, stdout=subprocess.DEVNULL)


CURRENT_PROGRAM = MemberProgram(sys.executable, "harness.single_member", CHECKOUT)


def loopback_addresses(member_count: int) -> dict[str, str]:
    """Return a free address for each member, keyed by member name."""
    return {f"n{number}": f"127.0.0.1:{port}" for number, port in enumerate(free_ports(member_count))}


class MemberCluster:
    """Members with their addresses and data directories, each in a process."""

    def __init__(self, addresses: Mapping[str, str], directories: Mapping[str, str]) -> None:
        self.addresses = addresses  # addresses by member name
        self.directories = directories  # data directories by member name
        self._processes: dict[str, subprocess.Popen[bytes]] = {}  # running processes by member name

    @classmethod
    def create(cls, folder: Path, member_count: int = 4) -> MemberCluster:
        """Create a cluster and its data directories, and start all members."""
        addresses = loopback_addresses(member_count)
        directories = init_cluster(str(folder), list(addresses.items()))
        cluster = cls(addresses, dict(zip(addresses, directories, strict=True)))
        for name in addresses:
            cluster.start(name)
        return cluster

    def start(self, name: str, program: MemberProgram = CURRENT_PROGRAM) -> None:
        """Start a member, and wait until it answers; raises MemberNotStartedError."""
        self._processes[name] = program.start(self.directories[name], self.addresses[name])
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not self.status(name):
            if time.monotonic() > deadline:
                raise MemberNotStartedError(f"{name} did not answer within {START_TIMEOUT_SECONDS:.0f} s")
            time.sleep(POLL_SECONDS)

    def status(self, name: str) -> dict[str, Any]:
        """Return a member's status; empty if the member does not answer."""
        try:
            with ControlClient(self.directories[name], STATUS_WAIT_SECONDS) as client:
                status = client.call("status")
        except ControlUnavailableError:
            return {}
        return status if status.pop("ok") else {}

    def leader(self) -> str:
        """Wait until all members have the same leader and applied index; return the leader's name."""
        while True:
            statuses = [self.status(name) for name in self.addresses]
            leaders = {status.get("leader", "") for status in statuses}
            if len(leaders) == 1 and "" not in leaders:
                applied = {status["applied"] for status in statuses}
                if len(applied) == 1:
                    return str(leaders.pop())
            time.sleep(POLL_SECONDS)

    def kill(self, name: str) -> None:
        """Kill a member's process with SIGKILL."""
        self.stop(name, signal.SIGKILL)

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal to a member's process, and wait until it has exited."""
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        process.wait()

    def close(self) -> None:
        """Kill all members."""
        for name in list(self._processes):
            self.kill(name)
