"""The serving process's side of a hot restart."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart.handover_state import (
    HandoverState,
    ProcessUsage,
    format_handover_state,
)
from limerudder.core.lifecycle.hot_restart.line_connection import LineConnection
from limerudder.core.lifecycle.hot_restart.messages import (
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

USAGE_INTERVAL_US = 100_000  #: between messages on what this process holds


class ParentPhase(Enum):
    """Who accepts the node's clients."""

    SERVING = auto()  #: this process
    HANDED_OVER = auto()  #: a successor


class ParentHooks(NamedTuple):
    """What the parent's side reads from its node, and calls on it."""

    handover_state: Callable[[], HandoverState]
    resource_usage: Callable[[], ProcessUsage]
    is_stopping: Callable[[], bool]
    stop_accepting: Callable[[], None]  #: a successor accepts the clients from now on
    resume_accepting: Callable[[], None]  #: the successor has ended
    log: LogSink


class HotRestartParent:
    """Hands the node over to the first successor that serves, and takes it back if that one ends."""

    def __init__(self, hooks: ParentHooks, timers: TimerWheel) -> None:
        self.phase = ParentPhase.SERVING
        self.connections: list[SuccessorConnection] = []  # of all processes that have asked to take over
        self._hooks = hooks
        self._timers = timers
        self._successor: SuccessorConnection | None = None
        self._sent_usage = ProcessUsage(0, {})

    def state_line(self) -> bytes:
        """Return the line that a process gets as soon as it has connected."""
        return format_handover_state(self._hooks.handover_state())

    def announce(self, message: ParentMessage) -> None:
        """Send a message to all that have asked to take over."""
        for connection in self.connections:
            connection.send(message)

    def announce_request(self, request_id: int) -> None:
        """Announce the id of a request that this process has accepted."""
        if self.connections:
            self.announce(RequestAccepted(request_id))

    def successor_connected(self, connection: SuccessorConnection) -> None:
        """Record a process that asks to take over; it has been sent the state line."""
        self.connections.append(connection)
        self._hooks.log(LogKind.HANDOVER, "node: another process has asked to take over")
        if self._hooks.is_stopping():
            connection.send(ParentStopping())

    def successor_serving(self, connection: SuccessorConnection, now_us: int) -> None:
        """Stop accepting clients: the successor accepts them. This process serves all that it has."""
        if self.phase is ParentPhase.HANDED_OVER:
            return
        self.phase = ParentPhase.HANDED_OVER
        self._successor = connection
        self._hooks.log(LogKind.HANDOVER, "node: another process accepts clients from now on")
        self._hooks.stop_accepting()
        self._send_usage(now_us)

    def successor_lost(self, connection: SuccessorConnection) -> None:
        """Forget a process that has ended; accept clients again if it had taken over.

        A node that is stopping then goes on as one without a successor.
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
        """Tell the successor what this process holds, now and at intervals, if it has changed."""
        if self._successor is None:
            return
        self._timers.schedule(now_us + USAGE_INTERVAL_US, self._send_usage)
        usage = self._hooks.resource_usage()
        if usage != self._sent_usage:
            self._sent_usage = usage
            self._successor.send(UsageChanged(usage))


class SuccessorConnection(LineConnection):
    """The connection of a process that asks to take over, as the parent drives it."""

    def __init__(self, parent: HotRestartParent) -> None:
        super().__init__()
        self._parent = parent

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Announce the process to the parent's side; the state line has been sent."""
        super().connection_made(transport, now_us)
        self._parent.successor_connected(self)

    def line_received(self, line: str, now_us: int) -> None:
        """Pass on that the successor serves."""
        if isinstance(parse_successor_message(line), SuccessorServing):
            self._parent.successor_serving(self, now_us)

    def connection_lost(self, now_us: int) -> None:
        """Pass on that the process has ended, or closed the connection."""
        super().connection_lost(now_us)
        self._parent.successor_lost(self)
