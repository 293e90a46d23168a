"""Runs one case: a temporary folder, the record, the exit code, and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from rig2.clients import Clients
from rig2.front_box import FrontBox
from rig2.network import first_request_id
from rig2.node import Node, free_addresses, run_command
from rig2.record import Record
from rig2.roster import Roster

LIMIT_SECONDS = 110.0
HELD, BROKEN, NOT_RUN = 0, 11, 2  #: run.sh makes 1 of 11, so that no error of Python counts as a broken rule


class World:
    """Everything that a case starts."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.with_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.clients = Clients(record)
        self.nodes: list[Node] = []
        self.boxes: dict[str, FrontBox] = {}
        self.rosters: list[Roster] = []
        self._clients_by_node: dict[str, Clients] = {}

    def clients_of(self, node: str) -> Clients:
        """Return the clients of one node, whose request ids begin with the node's number."""
        number = [each.name for each in self.nodes].index(node)
        if node not in self._clients_by_node:
            self._clients_by_node[node] = Clients(self.record, number, first_request_id(number))
        return self._clients_by_node[node]

    def add_node(self, tier_size: int) -> Node:
        """Add a node; it is not started."""
        number = len(self.nodes)
        node = Node(self.record, self.folder, f"n{number}", number, tier_size)
        self.nodes.append(node)
        return node

    async def add_store(self) -> None:
        """Give all nodes a store. The data directories outlive the processes."""
        folder = self.folder / "store"
        addresses = free_addresses(len(self.nodes))
        members = [f"{node.name}={address}" for node, address in zip(self.nodes, addresses, strict=True)]
        await run_command(self.record, "state", "init", str(folder), *members)
        for node, address in zip(self.nodes, addresses, strict=True):
            node.use_store(folder / node.name, address)

    def add_roster(self, name: str, generation: int, answer_seconds: float = 0.0) -> Roster:
        """Add a roster; it listens nowhere yet."""
        roster = Roster(self.record, name, generation, answer_seconds)
        self.rosters.append(roster)
        return roster

    def add_box(self, name: str) -> FrontBox:
        """Add a front box; it listens nowhere yet."""
        self.boxes[name] = FrontBox(self.record, name)
        return self.boxes[name]

    async def list_boxes(self, names: Sequence[str], *rosters: Roster) -> None:
        """Add front boxes, each with an address for each node, and list them as active."""
        for name in names:
            box = self.add_box(name)
            addresses = {node.name: await box.listen(node.name) for node in self.nodes}
            for roster in rosters:
                roster.add(name, addresses, "levis", "standard")

    async def configure_nodes(self, roster: Roster) -> None:
        """Write the configuration of each node, with the roster's list of now."""
        for node in self.nodes:
            address = await roster.listen(node.name)
            node.configure(discovery=address, known=roster.whole_list(node.name))

    async def start_nodes(self) -> None:
        """Start all nodes side by side, and wait until each says yes."""
        await asyncio.gather(*(node.start() for node in self.nodes))

    def drain(self, roster: Roster, names: Sequence[str]) -> None:
        """Let front boxes drain, and list them as leaving."""
        for name in names:
            self.boxes[name].wants_new_work = False
            roster.change(name, lifecycle="leaving")

    def late_sends(self, names: Sequence[str], told_at: float, grace_seconds: float) -> list[str]:
        """Return the first lines that came to these boxes too late after the drain counted as told."""
        return [
            f"{send.node} sent OPEN {send.request_id} to {name} {send.at - told_at:.2f} s after the drain"
            " counted as told"
            for name in names
            for send in self.boxes[name].sends
            if send.at > told_at + grace_seconds
        ]

    async def close(self) -> None:
        """End everything."""
        for clients in (self.clients, *self._clients_by_node.values()):
            await clients.close()
        for node in self.nodes:
            node.end_all()
            self.record.note(f"{node.name}: {node.log_text()}")
        for roster in self.rosters:
            roster.close()
        for box in self.boxes.values():
            box.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def main(case: Callable[[World], Awaitable[list[str]]]) -> int:
    """Run a case, which returns what broke the rule; return the exit code for run.sh.

    The first argument of the program is the path of the record.
    """
    record = Record(Path(sys.argv[1]))
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        return asyncio.run(_run(World(record, folder), case))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)


async def _run(world: World, case: Callable[[World], Awaitable[list[str]]]) -> int:
    record = world.record
    record.note(f"with the disruption: {world.with_trouble}")
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        broken = await asyncio.wait_for(case(world), LIMIT_SECONDS)
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it says nothing about the rule
        record.note("not run: " + "".join(traceback.format_exception(error)))
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await world.close()
    for line in broken:
        record.note(f"rule broken: {line}")
    print("\n".join(broken[:5]) or "the rule held")
    return BROKEN if broken else HELD
