"""One node is killed and comes back; each node has addresses of its own for the front boxes."""

from __future__ import annotations

import asyncio
import sys

from rig2.case import World, main
from rig2.network import Network
from rig2.node import Node
from rig2.roster import Roster

TIER_SIZE = 3
GENERATION = 41
GRACE_SECONDS = 0.5 + 0.05  # `drainGraceUs`, and the 50 ms of the sockets
DOWN_SECONDS = 1.0
WATCHED_SECONDS = 12.0
BOXES = ("b0", "b1", "b2", "b3", "b4")
ADDED = "b4"
DRAINED = "b1"


async def case(world: World) -> list[str]:
    """Switch a front box on, kill and restart a node, then drain a box."""
    nodes, roster = await start_tier(world)
    leader = await nodes[0].wait_for_leader()
    victim = next(node for node in nodes if node.name != leader)
    known = roster.whole_list(victim.name)  # "may be old": from before the change that follows
    await asyncio.sleep(3)
    roster.change(ADDED, lifecycle="active")
    await asyncio.sleep(8)
    if world.with_trouble:
        await victim.kill()
        await asyncio.sleep(DOWN_SECONDS)
        victim.configure(known=known)
        await victim.start()
    await asyncio.sleep(3)
    world.drain(roster, (DRAINED,))
    told_at = world.record.now()  # written to all watches
    await asyncio.sleep(WATCHED_SECONDS)
    return world.late_sends((DRAINED,), told_at, GRACE_SECONDS)


async def start_tier(world: World) -> tuple[list[Node], Roster]:
    """Start the nodes with a store, the roster and the front boxes, and the clients."""
    nodes = [world.add_node(TIER_SIZE) for _ in range(TIER_SIZE)]
    roster = world.add_roster("roster", GENERATION)
    boxes = [world.add_box(name) for name in BOXES]
    network = Network(world.record, [node.name for node in nodes], boxes)
    await network.listen()
    for box in boxes:
        addresses = {node.name: network.address(node.name, box.name) for node in nodes}
        roster.add(box.name, addresses, "levis", "standard")
    del roster.entries[ADDED]
    await world.configure_nodes(roster)
    await world.add_store()
    await world.start_nodes()
    for node in nodes:
        world.clients_of(node.name).start([node.listen], rate_per_s=5, life_s=4)
    return nodes, roster


if __name__ == "__main__":
    sys.exit(main(case))
