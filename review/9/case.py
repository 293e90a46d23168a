"""Two maintenance calls at two nodes while the other two nodes of the tier restart."""

from __future__ import annotations

import asyncio
import sys

from rig2.case import World, main
from rig2.node import CannotRunError, Node

TIER_SIZE = 4
GENERATION = 41
KILL_GAP_SECONDS = 0.1
BETWEEN_CALLS_SECONDS = 1.0
GRACE_SECONDS = 0.5 + 0.05  # `drainGraceUs`, and the 50 ms of the sockets
WATCHED_SECONDS = 15.0
BOXES = ("b0", "b1", "b2", "b3")
HELD = "b1"
FIGURE = "out_of_rotation"


async def case(world: World) -> list[str]:
    """Take a front box out, put it back at one node, and take it out again at another."""
    nodes = await start_tier(world)
    first, second, *others = nodes
    await call(first, f"maint-on {HELD}")
    for node in nodes:
        await node.wait_for_figure(FIGURE, 1)
    if world.with_trouble:
        for node in others:
            await node.kill()
            await asyncio.sleep(KILL_GAP_SECONDS)
    await call(first, f"maint-off {HELD}")
    await asyncio.sleep(BETWEEN_CALLS_SECONDS)
    await call(second, f"maint-on {HELD}")
    yes_at = world.record.now()
    if world.with_trouble:
        await asyncio.gather(*(node.start() for node in others))
    await asyncio.sleep(WATCHED_SECONDS)
    late = [
        send
        for send in world.boxes[HELD].sends
        if send.node == second.name and send.at > yes_at + GRACE_SECONDS
    ]
    return [
        f"{send.node} sent OPEN {send.request_id} to {HELD} {send.at - yes_at:.2f} s after its yes"
        for send in late
    ]


async def call(node: Node, line: str) -> None:
    """Call the console, which has to say yes."""
    if await node.call(line) != "done":
        raise CannotRunError(f"{node.name} does not say yes to {line}")


async def start_tier(world: World) -> list[Node]:
    """Start the nodes with a store, the roster and the front boxes, and the clients."""
    nodes = [world.add_node(TIER_SIZE) for _ in range(TIER_SIZE)]
    roster = world.add_roster("roster", GENERATION)
    await world.list_boxes(BOXES, roster)
    await world.configure_nodes(roster)
    await world.add_store()
    await world.start_nodes()
    for node in nodes:
        await node.wait_for_leader()
    world.clients.start([node.listen for node in nodes], rate_per_s=12, life_s=4)
    return nodes


if __name__ == "__main__":
    sys.exit(main(case))
