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

import uvloop

from harness.multi_process import MultiProcessTier, overlapping_kills, wait_until


async def write_on(tier: MultiProcessTier, who: int, acked: dict[str, int], stop: asyncio.Event) -> None:
    """Write counters through any node, and remember what was acknowledged."""
    number = 0
    while not stop.is_set():
        number += 1
        key = f"kv/{who}/{number}"
        told = await random.choice(tier.nodes).call_store("put", 1.0, key=key, value=str(number))
        if told["ok"]:
            acked[key] = told["revision"]
        else:
            await asyncio.sleep(0.02)


async def play(rounds: int, rough: bool, folder: Path) -> int:
    """The run; how many promises were broken."""
    tier = MultiProcessTier(folder)
    acked: dict[str, int] = {}
    stop = asyncio.Event()
    broken = 0
    try:
        await tier.start("snapshot_entries: 100" if rough else "")
        await tier.wait_until_settled()
        told = await tier.nodes[0].call_store("put", key="config/log", value='{"format":"text","lines":50}')
        assert told["ok"], told
        # a drain that one node alone hears, and a hand at another
        tier.discovery.entries["h0"]["lifecycle"] = "leaving"
        tier.discovery.publish(only=1)
        assert await tier.nodes[2].call_console("maint-on h1") == "done"
        await wait_until(lambda: all(_knows(tier)), "all nodes know of h0 and h1")
        await asyncio.sleep(0.5)  # the grace
        # from here on discovery says that h0 is active again, with the same start: that must lift nothing
        tier.discovery.entries["h0"]["lifecycle"] = "active"
        tier.discovery.publish()
        since = time.monotonic()
        tier.start_clients(24)
        many = 8 if rough else 1
        tasks = [asyncio.create_task(write_on(tier, who, acked, stop)) for who in range(many)]
        changes = asyncio.create_task(change_on(tier, stop)) if rough else None
        for number in range(rounds):
            order = random.Random(number).sample(range(4), 4)
            back = await overlapping_kills(tier, order, gap=0.25, down=0.6)
            if rough:  # writes go on: an agreement at one moment cannot be asked for
                leads = await tier.leader()
                assert (await leads.call_store("put", 10.0, key="kv/round", value=str(number)))["ok"]
            else:
                await tier.wait_until_settled()
            took = time.monotonic() - back
            print(f"round {number + 1}: order {order}, agreed {took:.2f} s after the last was up")
        stop.set()
        await asyncio.gather(*tasks)
        if changes:
            print(f"members: {dict(await changes)}")
        await tier.wait_until_settled()
        logs = [(await node.call_store("status"))["log_from"] for node in tier.nodes]
        print(f"the logs begin at {logs}")
        lost = 0
        for node in tier.nodes:
            told = await node.call_store("get", prefix="kv/", stale=True)
            have = {item["key"]: item["modified"] for item in told["items"]}
            lost += sum(have.get(key) != revision for key, revision in acked.items())
        setting = {
            (await node.call_store("get", key="config/log"))["items"][0]["modified"] for node in tier.nodes
        }
        sends = tier.count_requests_since("h0", since), tier.count_requests_since("h1", since)
        print(f"clients: {dict(tier.answer_counts)}; wrong: {tier.violations[:5]}")
        print(f"acknowledged writes {len(acked)}, lost {lost}; config/log at revisions {sorted(setting)}")
        print(f"requests sent to the drained host {sends[0]}, to the held host {sends[1]}")
        broken = len(tier.violations) + lost + sum(sends) + len(setting) - 1
        print("broken promises:", broken)
    finally:
        stop.set()
        await tier.close()
    return broken


async def change_on(tier: MultiProcessTier, stop: asyncio.Event) -> Counter[str]:
    """Add and remove a learner that never starts, and hand the lead around; what came of it."""
    told: Counter[str] = Counter()
    while not stop.is_set():
        some = random.choice(tier.nodes)
        for call, given in (
            ("add", {"member": "x", "address": "127.0.0.1:1", "learner": True}),
            ("transfer", {"member": random.choice(tier.nodes).name}),
            ("remove", {"member": "x"}),
        ):
            answer = await some.call_store(call, 1.0, **given)
            told[f"{call} {'done' if answer['ok'] else answer['kind']}"] += 1
            await asyncio.sleep(0.05)
    return told


def _knows(tier: MultiProcessTier) -> list[bool]:
    told = [node.call_store_blocking("hosts") for node in tier.nodes]
    found = []
    for one in told:
        rows = {row["host"]: row for row in one.get("hosts", [])}
        found.append(
            "h0" in rows and rows["h0"].get("drained", -1) >= 0 and rows.get("h1", {}).get("held", False)
        )
    return found


def main() -> int:
    """Play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rough", action="store_true", help="with snapshots, and members that come and go")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return 1 if uvloop.run(play(given.rounds, given.rough, Path(folder))) else 0


if __name__ == "__main__":
    sys.exit(main())
