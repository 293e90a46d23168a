"""Maintenance calls while all four nodes restart within a few seconds of each other."""

from __future__ import annotations

import asyncio
import sys

from rig2.case import World, main
from rig2.node import Node

TIER_SIZE = 4
GENERATION = 41
GRACE_SECONDS = 0.5 + 0.05  # `drainGraceUs`, and the 50 ms of the sockets
WATCHED_SECONDS = 15.0
BOXES = ("b0", "b1", "b2", "b3")
HELD = "b1"
FIGURE = "out_of_rotation"


async def case(world: World) -> list[str]:
    """Take a front box out, put it back, and take it out again at a node that has missed the second call."""
    nodes = await start_tier(world)
    caller = nodes[1]
    await take_out_and_put_back(world, nodes)
    if await caller.call(f"maint-on {HELD}") != "done":
        return [f"{caller.name} did not say yes"]  # not part of the rule, but seen at once in the record
    yes_at = world.record.now()
    if world.with_trouble:
        await asyncio.gather(*(node.start() for node in nodes if node is not caller))
    await caller.wait_for_leader()
    await asyncio.sleep(WATCHED_SECONDS)
    late = [
        send
        for send in world.boxes[HELD].sends
        if send.node == caller.name and send.at > yes_at + GRACE_SECONDS
    ]
    return [
        f"{send.node} sent OPEN {send.request_id} to {HELD} {send.at - yes_at:.2f} s after its yes"
        for send in late
    ]


async def start_tier(world: World) -> list[Node]:
    """Start the nodes with a store, the roster and the front boxes, and the clients."""
    nodes = [world.add_node(TIER_SIZE) for _ in range(TIER_SIZE)]
    roster = world.add_roster("roster", GENERATION)
    for name in BOXES:
        box = world.add_box(name)
        addresses = {node.name: await box.listen(node.name) for node in nodes}
        roster.add(name, addresses, "levis", "standard")
    for node in nodes:
        address = await roster.listen(node.name)
        node.configure(discovery=address, known=roster.whole_list(node.name))
    await world.add_store()
    await asyncio.gather(*(node.start() for node in nodes))
    for node in nodes:
        await node.wait_for_leader()
    world.clients.start([node.listen for node in nodes], rate_per_s=12, life_s=4)
    return nodes


async def take_out_and_put_back(world: World, nodes: list[Node]) -> None:
    """Both calls go to n0. With the trouble n1 is down during the second, and the others when it is back."""
    first, caller, *others = nodes
    if await first.call(f"maint-on {HELD}") != "done":
        raise OSError("n0 did not say yes")
    for node in nodes:
        await node.wait_for_figure(FIGURE, 1)
    if world.with_trouble:
        await caller.kill()
    await first.call(f"maint-off {HELD}")
    for node in others:
        await node.wait_for_figure(FIGURE, 0)
    if world.with_trouble:
        for node in (first, *others):
            await node.kill()
            await asyncio.sleep(0.1)
        await caller.start()


if __name__ == "__main__":
    sys.exit(main(__file__, case))
