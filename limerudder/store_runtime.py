"""Runs a node's store, if the operator's file configures one.

Without a store all methods do nothing, and no store module is imported, since a node's memory is limited.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from limerudder.config import ProcessConfig
from limerudder.core.discovery.recorded_drains import InheritedDrains, RecordedDrains
from limerudder.core.node import Node
from limerudder.core.node_config import ConfigError
from limerudder.core.operations.console import DeferredAnswer
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.operations.maintenance import MaintenanceMarks, SharedMarks
from limerudder.net.clock import Clock
from limerudder.net.listener import bind_socket

if TYPE_CHECKING:
    from limerudder.schema import StoreSettings
    from limerudder.store.node_bridge import NodeHooks, NodeStoreBridge

#: Interval of attempts to open the store while another process of this node owns its directory
OPEN_RETRY_INTERVAL_SECONDS = 0.05
OPEN_WARNING_SECONDS = 5.0  #: Time after which the log warns that the directory is still in use
MICROSECONDS_PER_SECOND = 1e6
DONE_ANSWER = "done\n"  #: Console answer to a successful call

#: Configures the log; parameters: format, maximum lines of a kind in a window, window length in seconds.
ConfigureLog = Callable[[str, int, float], None]
#: Announces a drain to a successor process. Parameters: name of the upstream, its start time in ms.
AnnounceDrain = Callable[[str, int], None]


class StoreRuntime:
    """Opens, starts and closes the store in one process of a node."""

    def __init__(
        self, config: ProcessConfig, log: LogSink, clock: Clock, configure_log: ConfigureLog
    ) -> None:
        self._operator = config.operator
        self._settings = config.operator.store if config.operator else None
        #: Address of discovery by the node's own configuration, which the store's setting may replace
        self.configured_discovery = config.discovery
        self._node_name = config.name
        self._log = log
        self._clock = clock
        self._configure_log = configure_log
        self._bridge: NodeStoreBridge | None = None  # None unless the store is open in this process
        self._inherited_drains: InheritedDrains | None = None
        self._directory_is_busy = False
        self._takeover: asyncio.Task[None] | None = None

    def open(self, config: ProcessConfig) -> ProcessConfig:
        """Open the store; return the configuration with newer values from it. Raises ConfigError."""
        if self._settings is None:
            return config
        from limerudder.store.disk_errors import DiskBusyError, DiskError

        try:
            self._bridge = self._open_bridge(self._settings)
        except DiskBusyError as exc:
            # a hung process of this node must not prevent this one from serving
            self._log(
                LogKind.STORE_DISK,
                f"store: {exc}; this process runs without it until that one has exited",
            )
            self._directory_is_busy = True
            return config
        except DiskError as exc:
            raise ConfigError(f"store: {exc}") from exc
        return self._bridge.restore_config(config)

    def recorded_drains(self, parent_drains: dict[str, int]) -> RecordedDrains | None:
        """Return the recorded drains: the store, or until it is open the drains inherited from the parent."""
        if self._settings is None:
            return None
        if self._bridge is not None:
            return self._bridge
        self._inherited_drains = InheritedDrains(parent_drains)
        return self._inherited_drains

    def marks(self, local_marks: SharedMarks) -> MaintenanceMarks:
        """Return the maintenance marks of the whole tier if the store is open, else those of this node."""
        if self._bridge is None:
            return local_marks
        from limerudder.store.store_marks import StoreMarks

        return StoreMarks(self._bridge, local_marks)

    def maintenance_answer(self, name: str) -> str | DeferredAnswer:
        """Return the console answer to a maintenance change; it is sent once the change is durable."""
        if self._bridge is None:
            return DONE_ANSWER
        answer = DeferredAnswer()
        self._bridge.call_when_durable(name, lambda now_us: answer.resolve(DONE_ANSWER, now_us))
        return answer

    async def start(self, node: Node, marks: SharedMarks, announce_drain: AnnounceDrain) -> None:
        """Connect the store to its peers and the node; raises ConfigError if its address is in use."""
        if self._bridge is not None:
            await self._run_bridge(self._bridge, node, announce_drain)
        elif self._directory_is_busy:
            self.start_takeover(node, marks, announce_drain)

    def start_takeover(self, node: Node, marks: SharedMarks, announce_drain: AnnounceDrain) -> None:
        """Open and start the store as soon as the previous process has released its directory."""
        if self._settings is None or self._takeover is not None:
            return
        takeover = self._take_over(self._settings, node, marks, announce_drain)
        self._takeover = asyncio.get_running_loop().create_task(takeover)

    def close(self) -> None:
        """Cancel a takeover in progress, and close the store if it is open."""
        if self._takeover:
            self._takeover.cancel()
        if self._bridge:
            self._bridge.close()

    def _open_bridge(self, settings: StoreSettings) -> NodeStoreBridge:
        from limerudder.store.node_bridge import NodeStoreBridge
        from limerudder.store.settings_applier import ConfiguredSettings

        configured = ConfiguredSettings(lambda: self.configured_discovery, self._restore_log)
        return NodeStoreBridge(
            settings, self._node_name, self._log, self._clock.now_us, self._configure_log, configured
        )

    def _restore_log(self) -> None:
        """Configure the log as the operator's file says."""
        if self._operator is None:
            return
        settings = self._operator.log
        self._configure_log(settings.format, settings.lines, settings.per / MICROSECONDS_PER_SECOND)

    async def _run_bridge(self, bridge: NodeStoreBridge, node: Node, announce_drain: AnnounceDrain) -> None:
        bridge.on_drain_recorded = announce_drain
        await bridge.run(_node_hooks(node), bind_socket(bridge.settings.listen, socket.SOCK_STREAM))

    async def _take_over(
        self, settings: StoreSettings, node: Node, marks: SharedMarks, announce_drain: AnnounceDrain
    ) -> None:
        bridge = await self._open_when_free(settings)
        self._bridge = bridge
        if self._inherited_drains:
            bridge.record_inherited_drains(self._inherited_drains.unreported_drains)
        node.recorded_drains = bridge
        node.maintenance.marks = self.marks(marks)
        try:
            await self._run_bridge(bridge, node, announce_drain)
        except ConfigError as exc:  # the node is already serving and continues to do so
            self._log(LogKind.STORE_DISK, f"store: {exc}; this process runs without its store")
            return
        except OSError as exc:
            self._log(LogKind.STORE_DISK, f"store: {exc}; this process has no control socket")
        for endpoint in node.endpoint_list().endpoints:
            node.timer_wheel.call(partial(node.refresh_endpoint, endpoint.name), self._clock.now_us())

    async def _open_when_free(self, settings: StoreSettings) -> NodeStoreBridge:
        from limerudder.store.disk_errors import DiskError

        waited_seconds = 0.0
        warned = False
        while True:
            try:
                return self._open_bridge(settings)
            except DiskError as exc:
                waited_seconds += OPEN_RETRY_INTERVAL_SECONDS
                if waited_seconds > OPEN_WARNING_SECONDS and not warned:
                    warned = True
                    self._log(LogKind.STORE_DISK, f"store: {exc}; retrying")
            await asyncio.sleep(OPEN_RETRY_INTERVAL_SECONDS)


def _node_hooks(node: Node) -> NodeHooks:
    """Return the node functions that the store calls."""
    from limerudder.store.node_bridge import NodeHooks

    return NodeHooks(
        timers=node.timer_wheel,
        set_discovery_address=node.discovery.change_address,
        is_listed=node.is_listed,
        refresh_endpoint=node.refresh_endpoint,
        endpoint_list=node.endpoint_list,
        return_to_service_times=node.return_to_service_times,
        apply_return_to_service_times=node.apply_return_to_service_times,
    )
