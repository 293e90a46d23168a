"""Whether a node keeps a store: without one, all here does nothing and none of the store is loaded."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from limerudder.config import ConfigError, NodeConfig
from limerudder.core.discovery.drain_memory import DrainMemory, InheritedDrains
from limerudder.core.lifecycle.hot_restart import HotRestartParent
from limerudder.core.node import Node
from limerudder.core.operations.console import DeferredAnswer
from limerudder.core.operations.maintenance import MaintenanceMarks
from limerudder.net.clock import Clock
from limerudder.net.listener import bind

if TYPE_CHECKING:
    from limerudder.store.node_bridge import NodeHooks, NodeStoreBridge

AGAIN = 0.05  #: seconds between looks whether the process before this one has let go of the folder
PATIENCE = 5.0  #: seconds after which the log says that it has not

Log = Callable[[str, str], None]


class StoreRuntime:
    """A node's store, where the operator's file asks for one."""

    def __init__(self, config: NodeConfig, log: Log, clock: Clock) -> None:
        self.settings = config.operator.store if config.operator else None
        self.name, self.log, self.clock = config.name, log, clock
        self.glue: NodeStoreBridge | None = None
        self.inherited: InheritedDrains | None = None
        self.late = False  # the folder is another process's as yet
        self.task: asyncio.Task[None] | None = None

    def _open(self) -> NodeStoreBridge:
        from limerudder.store.node_bridge import NodeStoreBridge

        assert self.settings
        configure = getattr(self.log, "configure", lambda *args: None)
        return NodeStoreBridge(self.settings, self.name, self.log, self.clock.now, configure)

    def open(self, config: NodeConfig) -> NodeConfig:
        """Open the store where there is to be one; gives the configuration with what is known there."""
        if self.settings is None:
            return config
        from limerudder.store.disk import DiskBusy, DiskError

        try:
            self.glue = self._open()
        except DiskBusy as exc:
            # guards clients against an old process that hangs: this one serves, and has the store after it
            self.log("store-disk", f"store: {exc}; this process goes on without it until that one has ended")
            self.late = True
            return config
        except DiskError as exc:
            raise ConfigError(f"store: {exc}") from None
        return self.glue.restore_config(config)

    def recall(self, drained: dict[str, int]) -> DrainMemory | None:
        """Who remembers drains: the store, or until it is open what the process before this one knew."""
        if self.settings is None:
            return None
        if self.glue is None:
            self.inherited = InheritedDrains(drained)
        return self.glue or self.inherited

    def marks(self, marks: MaintenanceMarks) -> MaintenanceMarks:
        """Hosts held out by hand: in the store as well, where it is open."""
        if self.glue is None:
            return marks
        from limerudder.store.node_bridge import StoreMarks

        return StoreMarks(self.glue, marks)

    def done(self, name: str) -> str | DeferredAnswer:
        """The yes to a hand, once it is durable here."""
        if self.glue is None:
            return "done\n"
        later = DeferredAnswer()
        self.glue.call_when_durable(name, lambda now: later.settle("done\n", now))
        return later

    async def attach(self, node: Node, marks: MaintenanceMarks, elder: HotRestartParent) -> None:
        """Have the store talk, now that the node is there."""
        if self.glue is None:
            if self.late:
                self.attach_soon(node, marks, elder)
            return
        assert self.settings
        self.glue.on_drain_recorded = lambda host, start: elder.tell(f"drained {start} {host}")
        await self.glue.run(_node_hooks(node), bind(self.settings.listen, socket.SOCK_STREAM))

    def attach_soon(self, node: Node, marks: MaintenanceMarks, elder: HotRestartParent) -> None:
        """The process before this one has ended: take the store over."""
        if self.settings is not None and self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._take_over(node, marks, elder))

    async def _take_over(self, node: Node, marks: MaintenanceMarks, elder: HotRestartParent) -> None:
        from limerudder.store.disk import DiskError

        waited, told = 0.0, False
        while self.glue is None:
            try:
                self.glue = self._open()
            except DiskError as exc:
                waited += AGAIN
                if waited > PATIENCE and not told:
                    told = True
                    self.log("store-disk", f"store: {exc}; tried on")
                await asyncio.sleep(AGAIN)
        if self.inherited:
            self.glue.record_inherited_drains(self.inherited.heard)
        node.recall = self.glue
        node.maintenance.marks = self.marks(marks)
        try:
            await self.attach(node, marks, elder)
        except ConfigError as exc:  # guards a node that serves against an address that is taken
            self.log("store-disk", f"store: {exc}; this process goes on without its store")
            return
        for host in node.listed().hosts:
            node.relist(host.name, self.clock.now())

    def close(self) -> None:
        """The node ends."""
        if self.task:
            self.task.cancel()
        if self.glue:
            self.glue.close()


def _node_hooks(node: Node) -> NodeHooks:
    """What the store calls on this node."""
    from limerudder.store.node_bridge import NodeHooks

    return NodeHooks(
        timers=node.wheel,
        set_discovery_address=node.discovery.move,
        is_listed=node.lists,
        refresh_host=node.relist,
        endpoint_list=node.listed,
        returns_to_service=node.returned,
        record_returns_to_service=node.returned_elsewhere,
    )
