"""Log lines for tracing a request, or a host's slow start, through the logs of all nodes.

Requests are identified by the id that their client chose, which is the same at every node. Lines about one
host share a rate limit, so that a failing host does not suppress lines about others.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.policy.events import AttemptOutcome, ServerState

MICROSECONDS_PER_MILLISECOND = 1000

MAX_HOST_LINES = 10  #: Maximum number of lines per endpoint list; more changes are counted in one line.

#: Outcomes of attempts and connections that ended without a failure.
EXPECTED_OUTCOMES = frozenset({AttemptOutcome.OK, AttemptOutcome.CANCELLED})


class HostChange(NamedTuple):
    """A host whose state, or whose last start, has changed. Times are microseconds."""

    host: str
    state: ServerState
    ready_since_us: int  #: 0 if long ago.


class TrafficLog:
    """Logs events of requests and hosts. Times are microseconds."""

    def __init__(self, log: LogSink, warm_up_us: int) -> None:
        self._log = log
        self._warm_up_us = warm_up_us

    def hosts_changed(self, changes: Sequence[HostChange], now_us: int) -> None:
        """Log the current states of hosts and the time since their start.

        A host that is ready and warm is the normal case, and not logged. Many changes at once, as in the
        first list, are counted in one line.
        """
        logged = [change for change in changes if not self._is_ready_and_warm(change, now_us)]
        if len(logged) > MAX_HOST_LINES:
            counts = Counter(change.state.name.lower() for change in logged)
            text = ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
            self._log(LogKind.HOST_STATE, f"hosts: {len(logged)} draining, gone or in slow start: {text}")
            return
        for change in logged:
            self._host_changed(change, now_us)

    def _is_ready_and_warm(self, change: HostChange, now_us: int) -> bool:
        is_warm = now_us - change.ready_since_us >= self._warm_up_us
        return change.state == ServerState.READY and is_warm

    def _host_changed(self, change: HostChange, now_us: int) -> None:
        host, state, ready_since_us = change
        text = f"host {host}: {state.name.lower()}"
        if ready_since_us:
            text += f", started {_milliseconds(now_us - ready_since_us)} ms ago"
        self._log(LogKind.HOST_STATE, text, host)

    def request_sent(self, request_id: int, host: str, ready_since_us: int, now_us: int) -> None:
        """Log a request written to a host in slow start; requests to other hosts are not logged."""
        age_us = now_us - ready_since_us
        if ready_since_us and age_us < self._warm_up_us:
            text = f"request {request_id:016x}: sent to {host}, {_milliseconds(age_us)} ms after its start"
            self._log(LogKind.SLOW_START_REQUEST, text, host)

    def attempt_ended(self, request_id: int, host: str, outcome: AttemptOutcome, duration_us: int) -> None:
        """Log an attempt or connection that ended in a failure."""
        if outcome not in EXPECTED_OUTCOMES:
            name = outcome.name.lower()
            text = f"request {request_id:016x}: {name} at {host} after {_milliseconds(duration_us)} ms"
            self._log(LogKind.ATTEMPT_FAILED, text, host)

    def request_answered(self, request_id: int, answer: str, attempts: int) -> None:
        """Log a final answer that this node gave without an upstream."""
        text = f"request {request_id:016x}: {answer} after {attempts} attempts"
        self._log(LogKind.REQUEST_ANSWERED, text, answer)


def _milliseconds(duration_us: int) -> int:
    return duration_us // MICROSECONDS_PER_MILLISECOND
