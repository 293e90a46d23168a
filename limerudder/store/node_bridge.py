"""The store inside a node: what the node hears of it, and what it tells it.

The node serves from what is known here, at once and without a quorum. Hosts that the ledger keeps out are
drained as if discovery said so; hands hold hosts for the whole tier; settings take effect in service; the
last list of hosts outlives the process.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from limerudder.config import ProcessConfig
from limerudder.core.discovery.endpoint_list import (
    Endpoint,
    EndpointList,
    EndpointListError,
    format_endpoint_list,
    parse_endpoint_list,
)
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.operations.maintenance import MaintenanceMarks
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Address, parse_address
from limerudder.policy.events import ServerState
from limerudder.schema import StoreSettings
from limerudder.store.calls import CallFailure
from limerudder.store.commands import (
    CommandResult,
    Compare,
    CompareTarget,
    OpenSession,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.control import ControlServer
from limerudder.store.key_schema import ENDPOINT_LIST_KEY, SETTINGS, read_setting
from limerudder.store.sessions import RequestSequence
from limerudder.store.store import Store

LOOK = 25_000  #: between looks at what has changed: far inside the grace for drains
LIST_EVERY = 2_000_000  #: between lists written to the records, and only by whoever leads


@dataclass(frozen=True, slots=True)
class NodeHooks:
    """What the bridge calls on the node. Times are microseconds of the node's clock."""

    timers: TimerWheel
    set_discovery_address: Callable[[Address, int], None]  # address, now
    is_listed: Callable[[str], bool]  # whether discovery lists the host of this name
    refresh_endpoint: Callable[[str, int], None]  # host, now: evaluate its listed state anew
    endpoint_list: Callable[[], EndpointList]  # discovery's list as the node has it
    return_to_service_times: Callable[[], dict[str, int]]  # by host, when staff put it back
    apply_return_to_service_times: Callable[[dict[str, int], int], None]  # those known elsewhere, now


class StoreMarks:
    """Hosts held out by hand: in the ledger, for the whole tier, and as marks for this node's other process.

    The marks are kept like the ledger; one that another process of this node sets or removes is taken as a
    hand's word.
    """

    def __init__(self, glue: NodeStoreBridge, marks: MaintenanceMarks) -> None:
        self.glue, self.marks = glue, marks
        self.mirror = glue.store.member.drain_log.held_hosts()
        for name in self.mirror - marks.read():
            marks.add(name)

    def read(self) -> set[str]:
        """All that are held."""
        ledger, seen = self.glue.store.member.drain_log, self.marks.read()
        for name in seen - self.mirror:
            self.glue.hold(name)
        for name in self.mirror - seen:
            self.glue.back(name)
        held = ledger.held_hosts()
        for name in held - seen:
            self.marks.add(name)
        for name in seen - held:
            self.marks.remove(name)
        self.mirror = held
        return held

    def add(self, name: str) -> None:
        """Hold one."""
        self.marks.add(name)
        self.mirror = self.mirror | {name}
        self.glue.hold(name)

    def remove(self, name: str) -> None:
        """Hold it no more; a drain that was remembered is lifted as well."""
        self.marks.remove(name)
        self.mirror = self.mirror - {name}
        self.glue.back(name)


class NodeStoreBridge:
    """Between one node and its store."""

    def __init__(
        self,
        settings: StoreSettings,
        name: str,
        log: LogSink,
        now: Callable[[], int],
        configure: Callable[..., None],
    ) -> None:
        """Open the store; DiskError where its folder cannot be used or is another member's."""
        self.settings, self.log, self.now, self.configure = settings, log, now, configure
        self.store = Store(settings, log, now)
        found = self.store.opened.identity.name
        if found != name:
            from limerudder.store.disk_errors import DiskError

            self.store.disk.close()
            raise DiskError(f"{settings.folder} is the folder of {found}; this node is {name}")
        self.control = ControlServer(self.store)
        self.node: NodeHooks | None = None
        self.applied: dict[str, int] = {}  # settings in force, by the revision that set them
        self.version = -1  # of the list that was written last
        self.list_due = now()
        self.session, self.serials, self.opening = 0, RequestSequence(), False
        ledger = self.store.member.drain_log
        ledger.host_changed = self._host_changed
        self.changed_hosts: set[str] = set()
        self.on_drain_recorded: Callable[[str, int], None] = lambda host, start: None
        self.store.member.change_listeners.append(self._records_changed)

    # before the node is there

    def restore_config(self, config: ProcessConfig) -> ProcessConfig:
        """The configuration with what is known here: a later list of hosts, another address of discovery."""
        _, value = self.store.member.known_value(ENDPOINT_LIST_KEY)
        if value is not None:
            try:
                hosts = parse_endpoint_list(json.loads(value))
                if hosts.version > config.known.version:
                    config = replace(config, known=hosts._replace(is_complete=True))
            except (
                EndpointListError,
                ValueError,
                RecursionError,
            ):  # guards the start against a value gone bad
                self.log(
                    LogKind.STORE_ENDPOINTS_MALFORMED,
                    "store: the last endpoint list is malformed; using the configured one",
                )
        address = self._setting("config/discovery")
        return replace(config, discovery=parse_address(address)) if address else config

    def _setting(self, key: str) -> Any:
        modified, value = self.store.member.known_value(key)
        if value is None:
            return None
        self.applied[key] = modified
        try:
            return read_setting(key, value)
        except ValueError as exc:
            self.log(LogKind.STORE_CONFIG, f"store: {exc}; ignored")
            return None

    # with the node

    async def run(self, node: NodeHooks, sock: socket.socket) -> None:
        """Begin: the node is there and knows its hosts."""
        self.node = node
        await self.store.run(sock)
        await self.control.listen()
        told = self._setting("config/log")
        if told:
            self._set("config/log", told)
        backs = {
            host: self.store.member.drain_log.effective_record(host).back_at
            for host in self.store.member.drain_log.hosts()
        }
        node.apply_return_to_service_times({host: at for host, at in backs.items() if at}, self.now())
        self._look(self.now())

    def close(self) -> None:
        """The node ends, or another process of it takes over."""
        self.control.close()
        self.store.close()

    def observe(self, host: Endpoint) -> bool:
        """Whether this host gets nothing new, whatever discovery lists; hears what discovery lists, too."""
        ledger = self.store.member.drain_log
        if host.state == ServerState.DRAINING:
            if ledger.record_drain(host.name, host.started_ms) is not None:
                self.store.pump_soon()
            return True
        return ledger.effective_record(host.name).excludes(host.started_ms)

    def drained_starts(self) -> dict[str, int]:
        """By host, the last start that is known to drain."""
        ledger = self.store.member.drain_log
        views = {host: ledger.effective_record(host).drained for host in ledger.hosts()}
        return {host: start for host, start in views.items() if start >= 0}

    def record_inherited_drains(self, heard: dict[str, int]) -> None:
        """Drains that were heard before the store could be opened."""
        for host, start in heard.items():
            self.store.member.drain_log.record_drain(host, start)
        self.store.pump_soon()

    def hold(self, name: str) -> None:
        """A hand holds a host."""
        self.store.member.drain_log.record_hold(name, self.store.opened.identity.name)
        self.store.pump_soon()

    def back(self, name: str) -> None:
        """A hand puts it back."""
        self.store.member.drain_log.record_return(name, self.now())
        self.store.pump_soon()

    def call_when_durable(self, name: str, call: Callable[[int], None]) -> None:
        """Make a call once all that hands have said of a host is durable here."""
        member, now = self.store.member, self.now()
        facts = [number for number, fact in member.drain_log.pending_facts.items() if fact.host == name]
        if facts:
            self.store.pump_soon()
            member.when_durable(facts[-1], call, now)
        else:
            call(now)

    def _host_changed(self, host: str) -> None:
        self.changed_hosts.add(host)

    def _records_changed(self, now: int) -> None:
        for key in SETTINGS:
            modified, value = self.store.member.known_value(key)
            if value is not None and modified > self.applied.get(key, 0):
                told = self._setting(key)
                if told is not None:
                    self._set(key, told)

    def _set(self, key: str, told: Any) -> None:
        """A setting takes effect, here and now."""
        revision = self.applied[key]
        if key == "config/discovery" and self.node:
            self.node.set_discovery_address(parse_address(told), self.now())
        elif key == "config/log":
            self.configure(told["format"], told["lines"], told["per"] / 1e6)
        self.log(LogKind.STORE_CONFIG, f"store: {key} of revision {revision} applied")

    def _look(self, now: int) -> None:
        """What has changed since; every few ticks, so that the module hears of a host once."""
        node = self.node
        if node is None or self.store.closed:
            return
        node.timers.schedule(now + LOOK, self._look)
        changed, self.changed_hosts = self.changed_hosts, set()
        backs = node.return_to_service_times() if changed else {}
        for host in sorted(changed):
            view = self.store.member.drain_log.effective_record(host)
            if view.drained >= 0:
                self.on_drain_recorded(host, view.drained)
            if view.back_at > backs.get(host, 0):
                node.apply_return_to_service_times({host: view.back_at}, now)
            elif node.is_listed(host):
                node.refresh_endpoint(host, now)
        if now >= self.list_due:
            self.list_due = now + LIST_EVERY
            self._write_list(now)

    def _write_list(self, now: int) -> None:
        """Whoever leads keeps the last list for all; a write that fails is made again with the next look."""
        member = self.store.member
        hosts = self.node.endpoint_list() if self.node else None
        if not member.is_leader or hosts is None or hosts.version == self.version or not hosts.endpoints:
            return
        if not self.session:
            return self._open_session(now)
        value = json.dumps(format_endpoint_list(hosts)).encode()
        modified, before = member.known_value(ENDPOINT_LIST_KEY)
        self.version = hosts.version
        if before == value or len(value) > self.settings.value_most:
            return
        txn = Transaction(
            (Compare(ENDPOINT_LIST_KEY, CompareTarget.MODIFIED, b"", modified),),
            (Put(ENDPOINT_LIST_KEY, value),),
        )
        serial = self.serials.next_serial()

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            self.serials.mark_answered(serial)
            if isinstance(outcome, CallFailure) or outcome.error or not outcome.succeeded:
                self.version = -1
                self.session = 0 if isinstance(outcome, CommandResult) and outcome.error else self.session

        member.write(
            SessionWrite(self.session, serial, self.serials.acknowledged_serial, txn),
            now + LIST_EVERY,
            done,
            now,
        )
        self.store.pump_soon()

    def _open_session(self, now: int) -> None:
        if self.opening:
            return
        self.opening = True

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            self.opening = False
            if isinstance(outcome, CommandResult):
                self.session, self.serials = outcome.index, RequestSequence()

        self.store.member.write(OpenSession(), now + LIST_EVERY, done, now)
        self.store.pump_soon()
