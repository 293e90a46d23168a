"""A node that was killed does not start again: its disk lacks entries that it had counted as written."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from rig import TROUBLE, Case, CaseError, Node, Tier, Tool, in_parallel, run_case, serves_within

VALUE_BYTES = 64_000  # of at most 64 KiB
DELETED_KEYS = 24
SMALL_WRITES = 320
LARGE_WRITES = 260
WRITERS = 8
WRITE_SECONDS = 8
PAUSE_SECONDS = 0.005
READY_SECONDS = 30


async def write_on(node: Node, writer: int, until: float) -> int:
    """Put one small key after the other; return how many were acknowledged."""
    tool = await Tool.connect(node)
    acknowledged = 0
    number = 0
    while time.monotonic() < until:
        number += 1
        answer = await tool.call("put", key=f"kv/{writer}-{number}", value="y")
        acknowledged += answer["ok"]
        await asyncio.sleep(PAUSE_SECONDS)
    tool.close()
    return acknowledged


async def add_member(tier: Tier, node: Node) -> None:
    """Add a member as docs/STORE.md says: `state add`, `state init --ticket`, start."""
    code, out = await tier.nodes[0].state("add", node.name, node.store_listen)
    if code:
        raise CaseError("the member could not be added")
    code, _ = await node.state("init", str(node.store_folder), "--ticket", json.loads(out)["ticket"])
    if code:
        raise CaseError("the new member's directory could not be made")
    await node.start()


async def play(case: Case) -> bool:
    """Use the store, add a member, write on, and kill the leader's node; then start it again."""
    tier = Tier(case, node_count=3)
    await tier.start()
    leader = await tier.leader()
    large = "x" * VALUE_BYTES
    keys = [f"kv/image-{number}" for number in range(DELETED_KEYS)]
    await in_parallel(leader, [(["put", key, "-"], large) for key in keys])
    await in_parallel(leader, [(["delete", key], "") for key in keys])
    await in_parallel(leader, [(["put", f"kv/note-{number}", "y"], "") for number in range(SMALL_WRITES)])
    await in_parallel(
        leader, [(["put", f"kv/log-{number % 4}", "-"], large) for number in range(LARGE_WRITES)]
    )
    new = Node(len(tier.nodes), case)
    new.write_files(tier.discovery.address, tier.discovery.whole_list(), len(tier.nodes))
    new.write_operator_file()
    await add_member(tier, new)
    until = time.monotonic() + WRITE_SECONDS
    counts = await asyncio.gather(*(write_on(leader, number, until) for number in range(WRITERS)))
    case.record(f"{sum(counts)} small writes were acknowledged")
    await tier.record_status()
    if TROUBLE and leader.process:
        await leader.process.end(SIGKILL)
        await leader.launch()
    return await serves_within(leader, READY_SECONDS)


run_case(Path(__file__).with_name("record.txt"), play)
