"""Connects a node to its store.

The node serves immediately, from this member's local data and without a quorum. Hosts that the drain log
excludes are drained as if discovery listed them as draining. Settings changed in the store are applied to the
running node. Discovery's last endpoint list outlives the process.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from limerudder.config import ProcessConfig
from limerudder.core.discovery.endpoint_list import (
    Endpoint,
    EndpointList,
    EndpointListError,
    parse_endpoint_list,
)
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Address
from limerudder.policy.events import ServerState
from limerudder.schema import StoreSettings
from limerudder.store.control import ControlServer
from limerudder.store.disk_errors import MemberMismatchError
from limerudder.store.drain_log import NEVER_DRAINED
from limerudder.store.endpoint_list_writer import EndpointListWriter
from limerudder.store.key_schema import ENDPOINT_LIST_KEY
from limerudder.store.settings_applier import ConfiguredSettings, ConfigureLog, SettingsApplier
from limerudder.store.store import Store

UPDATE_INTERVAL_US = 25_000  #: Interval of node updates, far below the grace period of drains


@dataclass(frozen=True, slots=True)
class NodeHooks:
    """The bridge's interface to the node. Times are microseconds of the node's clock."""

    timers: TimerWheel
    set_discovery_address: Callable[[Address, int], None]  # Parameters: address, now
    is_listed: Callable[[str], bool]  # Whether discovery lists the host of this name
    refresh_endpoint: Callable[[str, int], None]  # Re-evaluates a host's listed state; parameters: host, now
    endpoint_list: Callable[[], EndpointList]  # Discovery's list according to the node
    return_to_service_times: Callable[[], dict[str, int]]  # Last return to service of each host, by name
    apply_return_to_service_times: Callable[[dict[str, int], int], None]  # Parameters: stored times, now


class NodeStoreBridge:
    """A node's store: applies the store's records to the node, and records the node's observations.

    `on_drain_recorded` is called with a drained host and its last drained start, soon after each change of
    the host's record.
    """

    def __init__(
        self,
        settings: StoreSettings,
        node_name: str,
        log: LogSink,
        now_us: Callable[[], int],
        configure_log: ConfigureLog,
        configured: ConfiguredSettings,
    ) -> None:
        """Open the store; raises DiskError, also if the directory belongs to another member."""
        self.settings = settings
        self.on_drain_recorded: Callable[[str, int], None] = _ignore_drain
        self._log = log
        self._now_us = now_us
        self._store = Store(settings, log, now_us)
        self._check_name(node_name)
        self._control = ControlServer(self._store)
        self._settings_applier = SettingsApplier(
            self._store.member, log, configure_log, self._set_discovery_address, configured
        )
        self._endpoint_list_writer = EndpointListWriter(self._store, settings.value_most)
        self._drain_log = self._store.member.drain_log
        self._drain_log.host_changed = self._host_changed
        self._changed_hosts: set[str] = set()  # Hosts changed since the last update of the node
        self._node: NodeHooks | None = None
        self._store.member.change_listeners.append(self._state_changed)

    def restore_config(self, config: ProcessConfig) -> ProcessConfig:
        """Return the configuration, updated with the store's newer endpoints and address of discovery."""
        endpoint_list = self._stored_endpoint_list()
        if endpoint_list and endpoint_list.version > config.known.version:
            config = replace(config, known=endpoint_list._replace(is_complete=True))
        discovery_address = self._settings_applier.initial_discovery_address()
        if discovery_address:
            config = replace(config, discovery=discovery_address)
        return config

    async def run(self, node: NodeHooks, bound_socket: socket.socket) -> None:
        """Run the store on a bound socket, and start to update a node that has loaded its endpoint list."""
        self._node = node
        await self._store.run(bound_socket)
        self._settings_applier.apply_log_settings()
        node.apply_return_to_service_times(self._return_to_service_times(), self._now_us())
        self._update_node(self._now_us())
        await self._control.listen()  # last: without its socket the node still applies the records

    def close(self) -> None:
        """Close the store when the node stops, or before its successor opens the store."""
        try:
            self._control.close()
        finally:
            self._store.close()

    def observe(self, endpoint: Endpoint) -> bool:
        """Record a drain if the endpoint is listed as draining; return whether it gets no new attempts."""
        if endpoint.state == ServerState.DRAINING:
            if self._drain_log.record_drain(endpoint.name, endpoint.started_ms) is not None:
                self._store.schedule_output()
            return True
        return self._drain_log.effective_record(endpoint.name).excludes(endpoint.started_ms)

    def drained_starts(self) -> dict[str, int]:
        """Return the last drained start of each host, by name, in ms since 1970."""
        starts = {host: self._drain_log.effective_record(host).drained for host in self._drain_log.hosts()}
        return {host: started_ms for host, started_ms in starts.items() if started_ms > NEVER_DRAINED}

    def record_inherited_drains(self, drained_starts: dict[str, int]) -> None:
        """Record drains that were observed before the store was opened."""
        for host, started_ms in drained_starts.items():
            self._drain_log.record_drain(host, started_ms)
        self._store.schedule_output()

    def held_hosts(self) -> set[str]:
        """Return the hosts in maintenance."""
        return self._drain_log.held_hosts()

    def hold_host(self, name: str) -> None:
        """Record that an operator holds a host out of service."""
        fact_number = self._drain_log.record_hold(name, self._store.identity.name)
        self._log(LogKind.HOST_MAINTENANCE, f"store: host {name}: maintenance recorded as fact {fact_number}")
        self._store.schedule_output()

    def return_host(self, name: str) -> None:
        """Record that an operator returns a host to service."""
        fact_number = self._drain_log.record_return(name, self._now_us())
        self._log(LogKind.HOST_MAINTENANCE, f"store: host {name}: return recorded as fact {fact_number}")
        self._store.schedule_output()

    def call_when_durable(self, name: str, callback: Callable[[int], None]) -> None:
        """Call back, with the time, once all facts recorded about a host are durable at this member."""
        now_us = self._now_us()
        pending_facts = self._drain_log.pending_facts.items()
        fact_numbers = [number for number, fact in pending_facts if fact.host == name]
        if not fact_numbers:
            callback(now_us)
            return
        self._store.schedule_output()
        self._store.member.when_durable(fact_numbers[-1], callback, now_us)

    def _check_name(self, node_name: str) -> None:
        stored_name = self._store.identity.name
        if stored_name != node_name:
            self._store.close()
            raise MemberMismatchError(
                f"{self.settings.folder} is the folder of {stored_name}; this node is {node_name}"
            )

    def _stored_endpoint_list(self) -> EndpointList | None:
        value = self._store.member.persisted_value(ENDPOINT_LIST_KEY).value
        if value is None:
            return None
        try:
            return parse_endpoint_list(json.loads(value))
        except (EndpointListError, ValueError, RecursionError):
            # A malformed value must not prevent the start
            text = "store: the last endpoint list is malformed; using the configured one"
            self._log(LogKind.STORE_ENDPOINTS_MALFORMED, text)
            return None

    def _return_to_service_times(self) -> dict[str, int]:
        times = {host: self._drain_log.effective_record(host).back_at for host in self._drain_log.hosts()}
        return {host: returned_at_us for host, returned_at_us in times.items() if returned_at_us}

    def _set_discovery_address(self, address: Address) -> None:
        if self._node:
            self._node.set_discovery_address(address, self._now_us())

    def _host_changed(self, host: str) -> None:
        self._changed_hosts.add(host)

    def _state_changed(self, now_us: int) -> None:
        self._settings_applier.apply_changes()

    def _update_node(self, now_us: int) -> None:
        """Apply changes to the node; at intervals, so that each changed host is evaluated once."""
        node = self._node
        if node is None or self._store.is_closed:
            return
        node.timers.schedule(now_us + UPDATE_INTERVAL_US, self._update_node)
        changed_hosts = self._changed_hosts
        self._changed_hosts = set()
        if changed_hosts:
            applied_return_times_us = node.return_to_service_times()
            for host in sorted(changed_hosts):
                applied_us = applied_return_times_us.get(host, 0)
                node.timers.call(partial(self._update_host, node, host, applied_us), now_us)
        if self._endpoint_list_writer.is_due(now_us):
            self._endpoint_list_writer.write(node.endpoint_list(), now_us)

    def _update_host(self, node: NodeHooks, host: str, applied_return_time_us: int, now_us: int) -> None:
        record = self._drain_log.effective_record(host)
        if record.drained > NEVER_DRAINED:
            self.on_drain_recorded(host, record.drained)
        if record.back_at > applied_return_time_us:
            node.apply_return_to_service_times({host: record.back_at}, now_us)
        elif node.is_listed(host):
            node.refresh_endpoint(host, now_us)


def _ignore_drain(host: str, started_ms: int) -> None:
    """Default of `on_drain_recorded` until the process sets it."""
