"""All nodes restart within seconds, after the roster has moved twice: by the store, then by the file."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

from rig2.case import World, main
from rig2.node import Node
from rig2.roster import Roster

TIER_SIZE = 4
GENERATION = 41
TOLD_SECONDS = 6.0  # "counts as told no later than 6 s on"
GRACE_SECONDS = 0.5 + 0.05  # `drainGraceUs`, and the 50 ms of the sockets
KILL_GAP_SECONDS = 0.4
DOWN_SECONDS = 1.0
BOXES = ("b0", "b1", "b2", "b3")
DRAINED = ("b1", "b2")


async def case(world: World) -> list[str]:
    """Move the roster twice, kill the nodes in overlapping order, then drain front boxes."""
    nodes = [world.add_node(TIER_SIZE) for _ in range(TIER_SIZE)]
    rosters = [
        world.add_roster(name, GENERATION) for name in ("first roster", "second roster", "third roster")
    ]
    first, second, third = rosters
    await world.list_boxes(BOXES, *rosters)
    await world.add_store()
    await world.configure_nodes(first)
    await world.start_nodes()
    world.clients.start([node.listen for node in nodes], rate_per_s=12, life_s=4)
    await move_by_store(nodes, first, second)
    await move_by_file(nodes, second, third)
    if world.with_trouble:
        await asyncio.gather(*(restart(node, KILL_GAP_SECONDS * turn) for turn, node in enumerate(nodes)))
    await asyncio.sleep(4)
    told_at = world.record.now() + TOLD_SECONDS
    world.drain(third, DRAINED)
    await asyncio.sleep(TOLD_SECONDS + 10)
    return world.late_sends(DRAINED, told_at, GRACE_SECONDS)


async def restart(node: Node, delay_seconds: float) -> None:
    """Kill a node after a delay, and start it again while others are down."""
    await asyncio.sleep(delay_seconds)
    await node.kill()
    await asyncio.sleep(DOWN_SECONDS)
    await node.start()


async def move_by_store(nodes: list[Node], old: Roster, new: Roster) -> None:
    """Move the roster by the setting of the store; one address serves all nodes."""
    await nodes[0].wait_for_leader()
    address = await new.listen(nodes[0].name)
    for node in nodes:
        for box in BOXES:
            new.addresses[node.name, box] = new.addresses[nodes[0].name, box]
    await nodes[0].state("put", "config/discovery", json.dumps(address))
    await asyncio.sleep(2)
    old.retire()
    await asyncio.sleep(2)


async def move_by_file(nodes: list[Node], old: Roster, new: Roster) -> None:
    """Move the roster by the configuration file and SIGHUP."""
    for node in nodes:
        node.configure(discovery=await new.listen(node.name), known=new.whole_list(node.name))
        node.signal(signal.SIGHUP)
    old.retire()
    await asyncio.sleep(4)


if __name__ == "__main__":
    sys.exit(main(case))
