"""Kills four real nodes repeatedly, with overlapping downtimes, under load: `python -m bench.store_kills`."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from harness.multi_process import MultiProcessTier, overlapping_kills, wait_until

NODES = 4
CLIENTS = 24
WRITERS = 1
CHURN_WRITERS = 8
CHURN_STORE_SETTINGS = "snapshot_entries: 100"
CALL_WAIT_SECONDS = 1.0
LONG_CALL_WAIT_SECONDS = 10.0
RETRY_SECONDS = 0.02
MEMBERSHIP_CHANGE_SECONDS = 0.05
DRAIN_GRACE_SECONDS = 0.5
KILL_GAP_SECONDS = 0.25
DOWN_SECONDS = 0.6
SHOWN_VIOLATIONS = 5
DRAINED_HOST = "h0"
HELD_HOST = "h1"


class KillRun:
    """One run: writes while nodes are killed, then checks that every acknowledged write still exists.

    A run with churn also takes snapshots, changes the membership and transfers leadership.
    """

    def __init__(self, tier: MultiProcessTier, rounds: int, with_churn: bool) -> None:
        self._tier = tier
        self._rounds = rounds
        self._with_churn = with_churn
        self._acknowledged: dict[str, int] = {}  # revision of each key
        self._membership_answers: Counter[str] = Counter()
        self._stopping = asyncio.Event()
        self._excluded_since = 0.0  # monotonic time since which drained and held hosts get no requests

    async def run(self) -> int:
        """Run all rounds; return the number of violations."""
        await self._tier.start(CHURN_STORE_SETTINGS if self._with_churn else "")
        await self._tier.wait_until_settled()
        await self._change_log_setting()
        await self._exclude_hosts()
        self._tier.start_clients(CLIENTS)
        await self._kill_under_load()
        await self._tier.wait_until_settled()
        return await self._check()

    async def _change_log_setting(self) -> None:
        answer = await self._tier.nodes[0].call_store(
            "put", key="config/log", value='{"format":"text","lines":50}'
        )
        assert answer["ok"], answer

    async def _exclude_hosts(self) -> None:
        """Publish a drain to a single node, and hold another host by a console call at one node."""
        discovery = self._tier.discovery
        discovery.entries[DRAINED_HOST]["lifecycle"] = "leaving"
        discovery.publish(only=1)
        assert await self._tier.nodes[2].call_console(f"maint-on {HELD_HOST}") == "done"
        await wait_until(lambda: all(_nodes_with_exclusions(self._tier)), "h0 and h1 excluded at all nodes")
        await asyncio.sleep(DRAIN_GRACE_SECONDS)
        # discovery now lists the host as active with the same start time, which must not end the drain
        discovery.entries[DRAINED_HOST]["lifecycle"] = "active"
        discovery.publish()
        self._excluded_since = time.monotonic()

    async def _kill_under_load(self) -> None:
        writer_count = CHURN_WRITERS if self._with_churn else WRITERS
        tasks = [asyncio.create_task(self._write(writer)) for writer in range(writer_count)]
        if self._with_churn:
            tasks.append(asyncio.create_task(self._change_members()))
        try:
            for number in range(self._rounds):
                await self._run_round(number)
        finally:
            self._stopping.set()
        await asyncio.gather(*tasks)
        if self._with_churn:
            print(f"members: {dict(self._membership_answers)}")

    async def _run_round(self, number: int) -> None:
        order = random.Random(number).sample(range(NODES), NODES)
        all_up = await overlapping_kills(self._tier, order, KILL_GAP_SECONDS, DOWN_SECONDS)
        if self._with_churn:  # continuous writes keep the members from ever being equal
            leader = await self._tier.leader()
            answer = await leader.call_store("put", LONG_CALL_WAIT_SECONDS, key="kv/round", value=str(number))
            assert answer["ok"], answer
        else:
            await self._tier.wait_until_settled()
        seconds = time.monotonic() - all_up
        print(f"round {number + 1}: order {order}, consistent {seconds:.2f} s after the last start")

    async def _write(self, writer: int) -> None:
        """Write counters through random nodes, and record the acknowledged ones."""
        number = 0
        while not self._stopping.is_set():
            number += 1
            key = f"kv/{writer}/{number}"
            node = random.choice(self._tier.nodes)
            answer = await node.call_store("put", CALL_WAIT_SECONDS, key=key, value=str(number))
            if answer["ok"]:
                self._acknowledged[key] = answer["revision"]
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _change_members(self) -> None:
        """Add and remove a learner that never starts, and transfer leadership between nodes."""
        while not self._stopping.is_set():
            node = random.choice(self._tier.nodes)
            new_leader = random.choice(self._tier.nodes).name
            calls: list[tuple[str, dict[str, Any]]] = [
                ("add", {"member": "x", "address": "127.0.0.1:1", "learner": True}),
                ("transfer", {"member": new_leader}),
                ("remove", {"member": "x"}),
            ]
            for name, arguments in calls:
                answer = await node.call_store(name, CALL_WAIT_SECONDS, **arguments)
                outcome = "done" if answer["ok"] else answer["kind"]
                self._membership_answers[f"{name} {outcome}"] += 1
                await asyncio.sleep(MEMBERSHIP_CHANGE_SECONDS)

    async def _check(self) -> int:
        tier = self._tier
        log_starts = [(await node.call_store("status"))["log_from"] for node in tier.nodes]
        print(f"first log indexes: {log_starts}")
        lost = await self._count_lost_writes()
        setting_revisions = await self._setting_revisions()
        drained_requests = tier.count_requests_since(DRAINED_HOST, self._excluded_since)
        held_requests = tier.count_requests_since(HELD_HOST, self._excluded_since)
        print(f"clients: {dict(tier.answer_counts)}; tier violations: {tier.violations[:SHOWN_VIOLATIONS]}")
        print(
            f"acknowledged writes {len(self._acknowledged)}, lost {lost};"
            f" config/log at revisions {sorted(setting_revisions)}"
        )
        print(f"requests sent to the drained host {drained_requests}, to the held host {held_requests}")
        violations = (
            len(tier.violations) + lost + drained_requests + held_requests + len(setting_revisions) - 1
        )
        print("violations:", violations)
        return violations

    async def _count_lost_writes(self) -> int:
        lost = 0
        for node in self._tier.nodes:
            answer = await node.call_store("get", prefix="kv/", stale=True)
            revisions = {item["key"]: item["modified"] for item in answer["items"]}
            lost += sum(revisions.get(key) != revision for key, revision in self._acknowledged.items())
        return lost

    async def _setting_revisions(self) -> set[int]:
        answers = [await node.call_store("get", key="config/log") for node in self._tier.nodes]
        return {answer["items"][0]["modified"] for answer in answers}


def _nodes_with_exclusions(tier: MultiProcessTier) -> list[bool]:
    return [_has_exclusions(node.call_store_blocking("hosts")) for node in tier.nodes]


def _has_exclusions(answer: dict[str, Any]) -> bool:
    rows = {row["host"]: row for row in answer.get("hosts", [])}
    is_drained = rows.get(DRAINED_HOST, {}).get("drained", -1) >= 0
    return is_drained and bool(rows.get(HELD_HOST, {}).get("held", False))


async def run_kills(rounds: int, with_churn: bool, folder: Path) -> int:
    """Run on a new tier; return the number of violations."""
    tier = MultiProcessTier(folder, NODES)
    try:
        return await KillRun(tier, rounds, with_churn).run()
    finally:
        await tier.close()


def main() -> int:
    """Run the kills; the exit code is 1 on any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rough", action="store_true", help="also take snapshots and change the membership")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        violations = uvloop.run(run_kills(arguments.rounds, arguments.rough, Path(folder)))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
