"""The serving process's side of a hot restart."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError
from limerudder.core.lifecycle.hot_restart.handover_state import (
    HandoverState,
    ProcessUsage,
    format_handover_state,
)
from limerudder.core.lifecycle.hot_restart.line_connection import LineConnection
from limerudder.core.lifecycle.hot_restart.messages import (
    ConfigReloaded,
    ParentMessage,
    ParentStopping,
    RequestAccepted,
    SuccessorServing,
    UsageChanged,
    parse_successor_message,
)
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Transport

MAX_SUCCESSOR_LINE_BYTES = 4096  #: A successor's messages are short
MAX_SUCCESSORS = 8  #: Limit of the processes that wait to take over
USAGE_INTERVAL_US = 100_000  #: Minimum interval between usage messages.


class ParentPhase(Enum):
    """Which process accepts the node's clients."""

    SERVING = auto()  #: This process accepts them.
    HANDED_OVER = auto()  #: A successor accepts them.


class ParentHooks(NamedTuple):
    """The node state and callbacks that the parent's side uses."""

    handover_state: Callable[[], HandoverState]
    resource_usage: Callable[[], ProcessUsage]
    record_request: Callable[[int], None]  #: Records the id of a request that a successor has accepted.
    is_stopping: Callable[[], bool]
    stop_accepting: Callable[[], None]  #: Called when a successor starts to accept clients.
    resume_accepting: Callable[[], None]  #: Called when the successor has ended.
    log: LogSink


class HotRestartParent:
    """Hands the node over to the first successor that serves; resumes serving if that successor ends."""

    def __init__(self, hooks: ParentHooks, timers: TimerWheel) -> None:
        self.phase = ParentPhase.SERVING
        self.connections: list[SuccessorConnection] = []  # one per process that has requested a handover
        self.timers = timers
        self._has_reloaded = False
        self._hooks = hooks
        self._successor: SuccessorConnection | None = None
        self._sent_usage = ProcessUsage(0, {})

    def state_line(self) -> bytes:
        """Return the state line, which is sent to a process as soon as it has connected."""
        return format_handover_state(self._hooks.handover_state())

    def announce(self, message: ParentMessage) -> None:
        """Send a message to all processes that have requested a handover."""
        for connection in self.connections:
            connection.send(message)

    def announce_reload(self) -> None:
        """Announce that this process has reloaded its configuration, also to those that connect later."""
        self._has_reloaded = True
        self.announce(ConfigReloaded())

    def announce_request(self, request_id: int) -> None:
        """Announce the id of a request that this process has accepted."""
        if self.connections:
            self.announce(RequestAccepted(request_id))

    def successor_connected(self, connection: SuccessorConnection) -> None:
        """Record a process that requests a handover; the state line has already been sent to it."""
        self.connections.append(connection)
        self._limit_connections()
        self._hooks.log(LogKind.HANDOVER, "node: another process has asked to take over")
        if self._has_reloaded:  # perhaps after the state line was written
            connection.send(ConfigReloaded())
        if self._hooks.is_stopping():
            connection.send(ParentStopping())

    def _limit_connections(self) -> None:
        """Close the oldest connection beyond the limit that is not the serving successor's."""
        waiting = [connection for connection in self.connections if connection is not self._successor]
        if len(waiting) > MAX_SUCCESSORS:
            self.timers.schedule(0, waiting[0].connection_lost)

    def successor_serving(self, connection: SuccessorConnection, now_us: int) -> None:
        """Stop accepting clients, as the successor accepts them; open connections are still served here."""
        if self.phase is ParentPhase.HANDED_OVER:
            return
        self.phase = ParentPhase.HANDED_OVER
        self._successor = connection
        self._hooks.log(LogKind.HANDOVER, "node: another process accepts clients from now on")
        self._hooks.stop_accepting()
        self._send_usage(now_us)

    def record_request(self, request_id: int) -> None:
        """Record the id of a request that a successor has accepted."""
        self._hooks.record_request(request_id)

    def successor_lost(self, connection: SuccessorConnection) -> None:
        """Remove a process that has ended; accept clients again if it was serving.

        If this node is stopping, its shutdown continues as if there had been no successor.
        """
        if connection in self.connections:
            self.connections.remove(connection)
        if connection is not self._successor:
            return
        self.phase = ParentPhase.SERVING
        self._successor = None
        self._hooks.log(
            LogKind.HANDOVER, "node: the other process has exited; this one accepts clients again"
        )
        self._hooks.resume_accepting()

    def _send_usage(self, now_us: int) -> None:
        """Send the successor this process's usage if it has changed, now and at intervals."""
        if self._successor is None:
            return
        self.timers.schedule(now_us + USAGE_INTERVAL_US, self._send_usage)
        usage = self._hooks.resource_usage()
        if usage != self._sent_usage:
            self._sent_usage = usage
            self._successor.send(UsageChanged(usage))


class SuccessorConnection(LineConnection):
    """The parent's end of the connection to a process that requests a handover."""

    max_line_bytes = MAX_SUCCESSOR_LINE_BYTES

    def __init__(self, parent: HotRestartParent) -> None:
        super().__init__(parent.timers)
        self._parent = parent

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Register the process with the parent's side; the state line has already been sent."""
        super().connection_made(transport, now_us)
        self._parent.successor_connected(self)

    def line_received(self, line: str, now_us: int) -> None:
        """Report what the successor announces to the parent's side; malformed lines are ignored."""
        try:
            message = parse_successor_message(line)
        except HandoverFormatError:  # the successor may run another release
            return
        match message:
            case SuccessorServing():
                self._parent.successor_serving(self, now_us)
            case RequestAccepted(request_id):
                self._parent.record_request(request_id)

    def connection_lost(self, now_us: int) -> None:
        """Report to the parent's side that the process has ended or closed the connection."""
        super().connection_lost(now_us)
        self._parent.successor_lost(self)
