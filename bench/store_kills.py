"""Four real nodes killed in overlapping order, again and again, under load: `python -m bench.store_kills`."""

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
ROUGH_WRITERS = 8
ROUGH_STORE_SETTINGS = "snapshot_entries: 100"
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
    """One run: what is written and acknowledged while nodes are killed, and what became of it.

    A rough run also takes snapshots, changes the members and hands the leadership around.
    """

    def __init__(self, tier: MultiProcessTier, rounds: int, is_rough: bool) -> None:
        self._tier = tier
        self._rounds = rounds
        self._is_rough = is_rough
        self._acknowledged: dict[str, int] = {}  # revision, by key
        self._membership_answers: Counter[str] = Counter()
        self._stopping = asyncio.Event()
        self._excluded_since = 0.0  # of the monotonic clock: the drained and the held host get nothing

    async def run(self) -> int:
        """Play all rounds; return how many promises were broken."""
        await self._tier.start(ROUGH_STORE_SETTINGS if self._is_rough else "")
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
        """Let one node alone hear of a drain, and hold another host by a console call at one node."""
        discovery = self._tier.discovery
        discovery.entries[DRAINED_HOST]["lifecycle"] = "leaving"
        discovery.publish(only=1)
        assert await self._tier.nodes[2].call_console(f"maint-on {HELD_HOST}") == "done"
        await wait_until(lambda: all(_know_excluded_hosts(self._tier)), "all nodes know of h0 and h1")
        await asyncio.sleep(DRAIN_GRACE_SECONDS)
        # discovery says from now on that the host is active, with the same start: that lifts no drain
        discovery.entries[DRAINED_HOST]["lifecycle"] = "active"
        discovery.publish()
        self._excluded_since = time.monotonic()

    async def _kill_under_load(self) -> None:
        writer_count = ROUGH_WRITERS if self._is_rough else WRITERS
        tasks = [asyncio.create_task(self._write(writer)) for writer in range(writer_count)]
        if self._is_rough:
            tasks.append(asyncio.create_task(self._change_members()))
        try:
            for number in range(self._rounds):
                await self._play_round(number)
        finally:
            self._stopping.set()
        await asyncio.gather(*tasks)
        if self._is_rough:
            print(f"members: {dict(self._membership_answers)}")

    async def _play_round(self, number: int) -> None:
        order = random.Random(number).sample(range(NODES), NODES)
        all_up = await overlapping_kills(self._tier, order, KILL_GAP_SECONDS, DOWN_SECONDS)
        if self._is_rough:  # with many writes under way there is no moment at which all members are equal
            leader = await self._tier.leader()
            answer = await leader.call_store("put", LONG_CALL_WAIT_SECONDS, key="kv/round", value=str(number))
            assert answer["ok"], answer
        else:
            await self._tier.wait_until_settled()
        seconds = time.monotonic() - all_up
        print(f"round {number + 1}: order {order}, agreed {seconds:.2f} s after the last was up")

    async def _write(self, writer: int) -> None:
        """Write counters through any node, and remember which were acknowledged."""
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
        """Add and remove a learner that never starts, and hand the leadership around."""
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
        print(f"the logs begin at {log_starts}")
        lost = await self._count_lost_writes()
        setting_revisions = await self._setting_revisions()
        drained_requests = tier.count_requests_since(DRAINED_HOST, self._excluded_since)
        held_requests = tier.count_requests_since(HELD_HOST, self._excluded_since)
        print(f"clients: {dict(tier.answer_counts)}; wrong: {tier.violations[:SHOWN_VIOLATIONS]}")
        print(
            f"acknowledged writes {len(self._acknowledged)}, lost {lost};"
            f" config/log at revisions {sorted(setting_revisions)}"
        )
        print(f"requests sent to the drained host {drained_requests}, to the held host {held_requests}")
        broken = len(tier.violations) + lost + drained_requests + held_requests + len(setting_revisions) - 1
        print("broken promises:", broken)
        return broken

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


def _know_excluded_hosts(tier: MultiProcessTier) -> list[bool]:
    return [_knows_excluded_hosts(node.call_store_blocking("hosts")) for node in tier.nodes]


def _knows_excluded_hosts(answer: dict[str, Any]) -> bool:
    rows = {row["host"]: row for row in answer.get("hosts", [])}
    is_drained = rows.get(DRAINED_HOST, {}).get("drained", -1) >= 0
    return is_drained and bool(rows.get(HELD_HOST, {}).get("held", False))


async def play(rounds: int, is_rough: bool, folder: Path) -> int:
    """Run on a new tier; return how many promises were broken."""
    tier = MultiProcessTier(folder, NODES)
    try:
        return await KillRun(tier, rounds, is_rough).run()
    finally:
        await tier.close()


def main() -> int:
    """Play; exit code 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rough", action="store_true", help="with snapshots, and members that come and go")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        broken = uvloop.run(play(arguments.rounds, arguments.rough, Path(folder)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
