"""The configuration is replaced while a new process of a node prepares to take over."""

from __future__ import annotations

import asyncio
import signal
import sys

from rig2.case import World, main
from rig2.node import Node
from rig2.roster import Roster

GENERATION = 41
ROSTER_ANSWER_SECONDS = 0.8  # "answers arriving seconds late"; a call fails only after 1 s
RELOAD_DELAY_SECONDS = 0.2  # after the new process has called the roster
STOP_DELAY_SECONDS = 1.0  # SIGTERM "within 6 s" of the yes
TOLD_SECONDS = 6.0  # "counts as told no later than 6 s on"
GRACE_SECONDS = 0.5 + 0.05  # `drainGraceUs`, and the 50 ms of the sockets
BOXES = ("b0", "b1", "b2", "b3")
DRAINED = ("b1", "b2")


async def case(world: World) -> list[str]:
    """Upgrade n0; with the trouble, move the roster while the new process of n0 prepares."""
    old_roster = world.add_roster("roster", GENERATION, ROSTER_ANSWER_SECONDS)
    new_roster = world.add_roster("new roster", GENERATION, ROSTER_ANSWER_SECONDS)
    nodes = [world.add_node(2) for _ in range(2)]
    await world.list_boxes(BOXES, old_roster, new_roster)
    new_addresses = {node.name: await new_roster.listen(node.name) for node in nodes}
    await world.configure_nodes(old_roster)
    await world.start_nodes()
    world.clients.start([node.listen for node in nodes], rate_per_s=10, life_s=4)
    await asyncio.sleep(4)

    await upgrade(world, nodes, old_roster, new_addresses)
    roster = new_roster if world.with_trouble else old_roster
    await asyncio.sleep(4)
    told_at = world.record.now() + TOLD_SECONDS
    world.drain(roster, DRAINED)
    await asyncio.sleep(TOLD_SECONDS + 10)
    return world.late_sends(DRAINED, told_at, GRACE_SECONDS)


async def upgrade(world: World, nodes: list[Node], old_roster: Roster, new_addresses: dict[str, str]) -> None:
    """Replace the process of the first node; with the trouble, move the roster meanwhile."""
    node = nodes[0]
    old_process = node.processes[-1]
    calls = old_roster.calls[node.name]
    node.launch(beside=True)
    while old_roster.calls[node.name] == calls:
        await asyncio.sleep(0.01)
    await asyncio.sleep(RELOAD_DELAY_SECONDS)
    if world.with_trouble:
        for each in nodes:
            each.configure(discovery=new_addresses[each.name])
        # the new process of n0 gets none: it is not ready yet, and in its first second
        node.signal(signal.SIGHUP, old_process)
        nodes[1].signal(signal.SIGHUP)
        old_roster.retire()
    await node.wait_for_yes()
    await asyncio.sleep(STOP_DELAY_SECONDS)
    node.signal(signal.SIGTERM, old_process)
    await node.wait_for_end(old_process)


if __name__ == "__main__":
    sys.exit(main(case))
