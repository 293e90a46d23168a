"""The new process's side of a hot restart."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from functools import partial
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError
from limerudder.core.lifecycle.hot_restart.handover_state import HandoverState, ProcessUsage
from limerudder.core.lifecycle.hot_restart.line_connection import LineConnection
from limerudder.core.lifecycle.hot_restart.messages import (
    ConfigReloaded,
    EndpointDrained,
    ParentMessage,
    ParentStopping,
    RequestAccepted,
    SuccessorServing,
    UsageChanged,
    parse_parent_message,
)
from limerudder.core.timer_wheel import TimerWheel

READINESS_CHECK_INTERVAL_US = 50_000
#: Maximum wait for discovery's first list and the first health checks; then the parent's list is used.
MAX_PREPARATION_US = 2_000_000


class SuccessorPhase(Enum):
    """Whether the successor has called `start_serving`."""

    PREPARING = auto()  #: Polls discovery and checks upstreams, while the parent accepts clients.
    SERVING = auto()  #: `start_serving` has been called, which happens only once.


class SuccessorHooks(NamedTuple):
    """The node state and callbacks that the successor's side uses."""

    is_ready_to_serve: Callable[[], bool]  #: Discovery has answered, and no first health check is pending.
    set_parent_usage: Callable[[ProcessUsage, int], None]
    apply_return_to_service_times: Callable[[dict[str, int], int], None]
    record_request: Callable[[int], None]  #: Records the id of a request that the parent has accepted.
    record_drain: Callable[[str, int, int], None]  #: Arguments: upstream name, its start (ms), time (us).
    start_serving: Callable[[], None]
    parent_ended: Callable[[], None]
    reload_config: Callable[[], None] = lambda: None  #: Reads the configuration file again.


class HotRestartSuccessor(LineConnection):
    """Prepares to serve using the parent's state, then calls `start_serving` once."""

    def __init__(self, hooks: SuccessorHooks, timers: TimerWheel, state: HandoverState, now_us: int) -> None:
        super().__init__(timers)
        self.phase = SuccessorPhase.PREPARING
        self._hooks = hooks
        self._timers = timers
        self._started_at_us = now_us
        hooks.set_parent_usage(state.usage, now_us)
        hooks.apply_return_to_service_times(state.return_to_service_times, now_us)
        for request_id in state.request_ids:
            hooks.record_request(request_id)
        timers.schedule(now_us + READINESS_CHECK_INTERVAL_US, self._check_readiness)

    def announce_serving(self) -> None:
        """Notify the parent that this process accepts clients."""
        self.send(SuccessorServing())

    def announce_request(self, request_id: int) -> None:
        """Notify the parent of the id of a request that this process has accepted.

        The parent may still accept requests of the clients that are connected to it.
        """
        self.send(RequestAccepted(request_id))

    def line_received(self, line: str, now_us: int) -> None:
        """Handle a line from the parent; malformed lines are ignored."""
        try:
            message = parse_parent_message(line)
        except HandoverFormatError:  # the parent may run another release
            return
        if message is not None:
            self._handle(message, now_us)

    def connection_lost(self, now_us: int) -> None:
        """Serve alone: the parent has ended, and its resources are free."""
        super().connection_lost(now_us)
        call = self._timers.call  # each of these must happen, whatever becomes of the others
        call(partial(self._hooks.set_parent_usage, ProcessUsage(0, {})), now_us)
        call(lambda _: self._start_serving(), now_us)
        call(lambda _: self._hooks.parent_ended(), now_us)

    def _handle(self, message: ParentMessage, now_us: int) -> None:
        match message:
            case UsageChanged(usage):
                self._hooks.set_parent_usage(usage, now_us)
            case RequestAccepted(request_id):
                self._hooks.record_request(request_id)
            case EndpointDrained(name, started_ms):
                self._hooks.record_drain(name, started_ms, now_us)
            case ParentStopping():
                self._start_serving()
            case ConfigReloaded():
                self._hooks.reload_config()

    def _check_readiness(self, now_us: int) -> None:
        # without an endpoint list and health checks it would serve clients badly; until then the parent does
        if self.phase is SuccessorPhase.SERVING:
            return
        self._timers.schedule(now_us + READINESS_CHECK_INTERVAL_US, self._check_readiness)
        if self._hooks.is_ready_to_serve() or now_us >= self._started_at_us + MAX_PREPARATION_US:
            self._start_serving()

    def _start_serving(self) -> None:
        if self.phase is SuccessorPhase.PREPARING:
            self.phase = SuccessorPhase.SERVING
            self._hooks.start_serving()
