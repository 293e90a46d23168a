"""Graceful shutdown: migrates established connections in steps, and ends before the earliest SIGKILL.

New requests are rejected during the shutdown, unless a successor process accepts this node's clients.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Generic, NamedTuple, Protocol, TypeVar

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.timer_wheel import TimerWheel

# The platform guarantees a minimum time between the signal to stop and SIGKILL: the longest request deadline,
# counted as at most MAX_DEADLINE_US, plus KILL_MARGIN_US.
MAX_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 700_000

#: Delay after the signal to stop; earlier, the platform's front end may send clients back to this node.
MIN_MIGRATION_DELAY_US = 450_000
#: Time over which migrations are spread; the period starts as late as possible.
MIGRATION_DURATION_US = 1_200_000

# Margins before the earliest SIGKILL:
MIGRATION_END_MARGIN_US = 700_000  #: Margin after the end of migrations.
FINAL_ANSWER_MARGIN_US = 400_000  #: Margin after waiting requests are answered as failed.
COMPLETION_MARGIN_US = KILL_MARGIN_US // 4  #: Margin after the shutdown ends, even with open connections.

MIN_STEP_INTERVAL_US = 20_000
MAX_STEP_INTERVAL_US = 200_000  #: Upper limit of the step interval if a successor accepts clients.


class ShutdownRequest(Protocol):
    """The properties of a request that a shutdown uses."""

    @property
    def is_established(self) -> bool:
        """Whether an upstream serves the connection."""

    @property
    def is_concluded(self) -> bool:
        """Whether the request has been answered or its client has disconnected."""


RequestT = TypeVar("RequestT", bound=ShutdownRequest)


class ShutdownHooks(NamedTuple, Generic[RequestT]):
    """The node state and callbacks that a shutdown uses."""

    has_successor: Callable[[], bool]
    migrate_client: Callable[[RequestT, int], None]
    fail_request: Callable[[RequestT, int], None]
    on_complete: Callable[[], None]
    log: LogSink


def earliest_kill_time_us(longest_deadline_us: int, now_us: int) -> int:
    """Return the earliest time of SIGKILL if the signal to stop is received now."""
    return now_us + min(longest_deadline_us, MAX_DEADLINE_US) + KILL_MARGIN_US


class GracefulShutdown(Generic[RequestT]):
    """Runs one shutdown of a node, from the signal to stop until its process may end."""

    def __init__(
        self,
        requests: Mapping[int, RequestT],
        admission: AdmissionControl,
        timers: TimerWheel,
        hooks: ShutdownHooks[RequestT],
        kill_time_us: int,
    ) -> None:
        self._requests = requests
        self._admission = admission
        self._timers = timers
        self._hooks = hooks
        self._kill_time_us = kill_time_us
        self._migration_end_us = kill_time_us - MIGRATION_END_MARGIN_US

    def start(self, now_us: int) -> None:
        """Start the shutdown; migrations start later, unless a successor already accepts clients."""
        established_count = len(self._established())
        self._hooks.log(LogKind.STOPPING, f"node: shutting down; migrating {established_count} connections")
        if self._hooks.has_successor():
            # clients reconnect to the successor, so migrations start now to allow small steps
            first_step_us = now_us
        else:
            # the tier's other nodes may be stopping too: waiting does not affect established connections, and
            # a node that was stopped before this one may have restarted by then
            latest_us = self._migration_end_us - MIGRATION_DURATION_US
            first_step_us = max(now_us + MIN_MIGRATION_DELAY_US, latest_us)
        self._timers.schedule(first_step_us, self._run_step)

    def _run_step(self, now_us: int) -> None:
        """Run a step; an exception about one client must affect neither the others nor the later steps."""
        established = self._established()
        self._migrate_share(established, now_us)
        if now_us >= self._migration_end_us:
            # a line sent by an idle client would be lost once the process has ended
            for connection in list(self._admission.idle):
                self._timers.call(connection.evict, now_us)
        if now_us >= self._kill_time_us - FINAL_ANSWER_MARGIN_US:
            self._fail_waiting_requests(now_us)
        if self._is_complete(now_us):
            self._hooks.on_complete()
        else:
            self._timers.schedule(now_us + self._step_interval_us(len(established), now_us), self._run_step)

    def _established(self) -> list[RequestT]:
        return [request for request in self._requests.values() if request.is_established]

    def _migrate_share(self, established: list[RequestT], now_us: int) -> None:
        """Migrate the share of the connections needed to migrate all in the remaining steps."""
        steps_left = max((self._migration_end_us - now_us) // MIN_STEP_INTERVAL_US, 1)
        share = -(-len(established) // steps_left)
        for request in established[:share]:
            self._timers.call(partial(self._hooks.migrate_client, request), now_us)

    def _fail_waiting_requests(self, now_us: int) -> None:
        """Answer waiting requests as failed; their deadlines are after the end of this process."""
        waiting = [request for request in self._requests.values() if not request.is_concluded]
        for request in waiting:
            self._timers.call(partial(self._hooks.fail_request, request), now_us)

    def _is_complete(self, now_us: int) -> bool:
        if now_us >= self._kill_time_us - COMPLETION_MARGIN_US:
            return True
        # waits until all clients have closed: closing sockets at process exit discards data that clients
        # have not read yet, such as a MOVE
        everything_closed = not self._requests and not self._admission.connections
        return everything_closed and (now_us >= self._migration_end_us or self._hooks.has_successor())

    def _step_interval_us(self, established_count: int, now_us: int) -> int:
        if not self._hooks.has_successor():
            return MIN_STEP_INTERVAL_US
        # spread over the remaining time: if all clients reconnected to the successor at once, they would load
        # the upstreams before it has load measurements
        time_left_us = max(self._migration_end_us - now_us, 0)
        interval_us = time_left_us // max(established_count, 1)
        return max(MIN_STEP_INTERVAL_US, min(interval_us, MAX_STEP_INTERVAL_US))
