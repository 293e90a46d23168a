"""Tests that a store can be upgraded member by member without losing a write.

`python -m bench.rolling_upgrade --old DIR`. All members of a cluster first run from an old checkout. Each is
then stopped and restarted from this checkout, with the same data directory, while a client keeps writing in
one session. At the end every member must have each acknowledged write at its acknowledged revision, and must
have applied it exactly once.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness.member_cluster import (
    CURRENT_PROGRAM,
    MemberCluster,
    MemberNotStartedError,
    MemberProgram,
    loopback_addresses,
)
from limerudder.store.client import ControlClient, ControlUnavailableError

MEMBERS = 3
TIME_LIMIT_SECONDS = 55.0
CALL_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.02
WRITE_INTERVAL_SECONDS = 0.002
MAX_WRITES = 9_000  #: Limit of writes; below the maximum number of items in one answer
WRITES_BETWEEN_UPGRADES = 100
KEY_PREFIX = "kv/"
OLD_MODULE = "rigs.lone"  #: Module of the old checkout that runs one member
RUN_COMMAND_LINE = "import limerudder.cli; limerudder.cli.main()"


class UpgradeTimeoutError(Exception):
    """The measurement has exceeded its time limit."""


@dataclass
class WriteLog:
    """The writes of the client and their outcomes."""

    acknowledged: dict[str, int] = field(default_factory=dict)  # revision of each key
    unanswered: set[str] = field(default_factory=set)  # keys of writes without an answer, perhaps applied
    retries: Counter[str] = field(default_factory=Counter)  # number of retries by reason


class SessionClient(threading.Thread):
    """Writes new keys sequentially in a session; retries each at the next member until acknowledged."""

    def __init__(self, directories: list[str]) -> None:
        super().__init__(daemon=True)
        self.log = WriteLog()
        self._directories = directories
        self._stopping = threading.Event()
        self._attempts = 0

    def run(self) -> None:
        """Write until stopped."""
        session = self._call_until_ok("open")
        if session is None:
            return
        for serial in range(1, MAX_WRITES + 1):
            key = f"{KEY_PREFIX}{serial}"
            write = {"put": key, "value": str(serial)}
            self.log.unanswered.add(key)
            answer = self._call_until_ok(
                "do", session=session["session"], serial=serial, seen=serial - 1, then=[write]
            )
            if answer is None:
                return
            self.log.unanswered.remove(key)
            self.log.acknowledged[key] = answer["revision"]
            if self._stopping.wait(WRITE_INTERVAL_SECONDS):
                return

    def stop(self) -> None:
        """Stop after the current write."""
        self._stopping.set()
        if self.is_alive():
            self.join(CALL_WAIT_SECONDS * MEMBERS)

    def _call_until_ok(self, name: str, **arguments: Any) -> dict[str, Any] | None:
        """Retry an unchanged call until a member executes it; return None if stopped."""
        while True:
            answer = self._call(name, arguments)
            if answer["ok"]:
                return answer
            self.log.retries[answer["kind"]] += 1
            if self._stopping.wait(RETRY_SECONDS):
                return None

    def _call(self, name: str, arguments: dict[str, Any]) -> dict[str, Any]:
        directory = self._directories[self._attempts % len(self._directories)]
        self._attempts += 1
        try:
            with ControlClient(directory, CALL_WAIT_SECONDS) as client:
                return client.call(name, **arguments)
        except ControlUnavailableError:
            return {"ok": False, "kind": "no member"}


class RollingUpgrade:
    """One run: the rolling upgrade of a cluster from an old checkout, under load."""

    def __init__(self, old_checkout: Path, folder: Path) -> None:
        self._deadline = time.monotonic() + TIME_LIMIT_SECONDS
        python = str(old_checkout / ".venv" / "bin" / "python")
        self._old_program = MemberProgram(python, OLD_MODULE, old_checkout)
        addresses = loopback_addresses(MEMBERS)
        directories = _init_with(self._old_program, folder, addresses)
        self._cluster = MemberCluster(addresses, dict(zip(addresses, directories, strict=True)))
        self._client = SessionClient(directories)

    def run(self) -> int:
        """Upgrade all members; return the number of lost, misplaced, repeated and unknown writes."""
        cluster = self._cluster
        try:
            for name in cluster.addresses:
                cluster.start(name, self._old_program)
            self._wait_until_consistent()
            self._client.start()
            self._wait_for_writes()
            for name in cluster.addresses:
                self._upgrade(name)
            self._client.stop()
            self._wait_until_consistent()
            return self._check()
        finally:
            self._client.stop()
            cluster.close()

    def _upgrade(self, name: str) -> None:
        was_leader = self._cluster.status(name)["standing"] == "leader"
        started = time.monotonic()
        self._cluster.stop(name)
        self._cluster.start(name, CURRENT_PROGRAM)
        self._wait_until_consistent()
        seconds = time.monotonic() - started
        self._wait_for_writes()
        role = "leader" if was_leader else "follower"
        acknowledged = len(self._client.log.acknowledged)
        print(
            f"{name} ({role}) upgraded, consistent after {seconds:.2f} s; {acknowledged} writes acknowledged"
        )

    def _wait_until_consistent(self) -> None:
        """Wait until all members have the same leader and have applied all entries committed so far."""
        committed_before = self._max_committed()
        while True:
            statuses = self._statuses()
            leaders = {status.get("leader", "") for status in statuses}
            is_caught_up = all(status.get("applied", 0) >= committed_before for status in statuses)
            if len(leaders) == 1 and "" not in leaders and is_caught_up:
                return
            self._pause()

    def _wait_for_writes(self) -> None:
        wanted = len(self._client.log.acknowledged) + WRITES_BETWEEN_UPGRADES
        while len(self._client.log.acknowledged) < min(wanted, MAX_WRITES):
            self._pause()

    def _max_committed(self) -> int:
        return max(int(status.get("committed", 0)) for status in self._statuses())

    def _statuses(self) -> list[dict[str, Any]]:
        return [self._cluster.status(name) for name in self._cluster.addresses]

    def _pause(self) -> None:
        if time.monotonic() > self._deadline:
            raise UpgradeTimeoutError(f"not finished after {TIME_LIMIT_SECONDS:.0f} s")
        time.sleep(RETRY_SECONDS)

    def _check(self) -> int:
        log = self._client.log
        print(f"{len(log.acknowledged)} writes acknowledged; retried calls by reason: {dict(log.retries)}")
        violations = 0
        for name in self._cluster.addresses:
            violations += self._check_member(name)
        return violations

    def _check_member(self, name: str) -> int:
        log = self._client.log
        with ControlClient(self._cluster.directories[name], CALL_WAIT_SECONDS) as client:
            answer = client.call("get", prefix=KEY_PREFIX, stale=True)
        items = {item["key"]: item for item in answer["items"]}
        lost = sum(key not in items for key in log.acknowledged)
        misplaced = sum(
            key in items and items[key]["modified"] != log.acknowledged[key] for key in log.acknowledged
        )
        repeated = sum(int(item["version"] != 1) for item in items.values())
        unknown = sum(key not in log.acknowledged and key not in log.unanswered for key in items)
        print(
            f"{name}: {len(items)} keys; {lost} acknowledged writes lost, {misplaced} at another revision,"
            f" {repeated} applied more than once, {unknown} never written by the client"
        )
        return int(lost + misplaced + repeated + unknown)


def _init_with(program: MemberProgram, folder: Path, addresses: dict[str, str]) -> list[str]:
    """Create the data directories with the CLI of another checkout; return their paths."""
    members = [f"{name}={address}" for name, address in addresses.items()]
    command = [program.python, "-c", RUN_COMMAND_LINE, "state", "--json", "init", str(folder), *members]
    finished = subprocess.run(command, cwd=program.checkout, check=True, capture_output=True, text=True)
    directories: list[str] = json.loads(finished.stdout)["folders"]
    return directories


def main() -> int:
    """Run the upgrade; the exit code is 1 on a violation or a time-out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, required=True, help="the old checkout, with its .venv")
    old_checkout = parser.parse_args().old.resolve()
    with tempfile.TemporaryDirectory() as folder:
        try:
            violations = RollingUpgrade(old_checkout, Path(folder) / "members").run()
        except (UpgradeTimeoutError, MemberNotStartedError) as error:
            print(f"failed: {error}")
            return 1
    print(f"violations: {violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
