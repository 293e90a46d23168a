"""Events that a node reports to its connection policy: what has happened.

Times are whole microseconds. Events are NamedTuples: they are made by the thousand, and a tuple is the
cheapest immutable record Python has. The simulator's protocol fills them by position, so the order of the
fields is part of the interface.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class ServerState(IntEnum):
    """The state in which discovery lists a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How an EndpointUpdate relates to the endpoint list that the policy holds."""

    DELTA = 0  #: only the entries that have changed
    FAILED = 1  #: discovery could not be read
    FULL = 2  #: the complete list
    CACHED = 3  #: the complete list as this node stored it before it started
    OPERATOR = 4  #: entries that operators have taken out of service or put back, not discovery


class AttemptOutcome(IntEnum):
    """How an attempt, or a health check, ended."""

    OK = 200
    FULL = 429
    OBSOLETE = 409
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


#: Outcomes that prove that the server has not executed the attempt.
NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.FULL, AttemptOutcome.OBSOLETE, AttemptOutcome.CONNECT_FAILED}
)

FLAG_MID_CONNECTION = 8  #: request flag: packets of an open connection have reached this node
FLAG_RECONNECT = 16  #: request flag: the client reconnects after its connection broke or was migrated


class ServerEntry(NamedTuple):
    """One line of the endpoint list."""

    server_id: int
    zone: int
    kind: int
    cell: int
    state: int
    weight: float
    ready_since_us: int


class EndpointUpdate(NamedTuple):
    """The endpoint list has changed, or could not be read; `kind` is an UpdateKind."""

    kind: int
    version: int
    entries: Sequence[ServerEntry]


class NewRequest(NamedTuple):
    """A client requests a connection; exactly one final answer is owed.

    `traffic_class` is the index of the class in the settings.
    """

    request_id: int
    traffic_class: int
    tenant: int
    key: int
    time_left_us: int
    hint: int
    group: int
    flags: int


class ExistingConnection(NamedTuple):
    """A connection that already ran through this node when the policy started."""

    request_id: int
    traffic_class: int
    tenant: int
    key: int
    time_left_us: int
    hint: int
    group: int
    flags: int
    server_id: int


class ConnectionEstablished(NamedTuple):
    """The attempt's connection is established and lasts until an AttemptEnded ends it."""

    request_id: int
    server_id: int
    attempt: int
    latency_us: int


class AttemptEnded(NamedTuple):
    """One attempt, or the connection it established, has ended.

    `outcome` is an AttemptOutcome; `request_closed` says that no further answer is owed.
    """

    request_id: int
    attempt: int
    server_id: int
    outcome: int
    latency_us: int
    request_closed: int
    load_report: Sequence[float]


class ClientDisconnected(NamedTuple):
    """The client has disconnected; no answer is owed any more."""

    request_id: int


class LoadSample(NamedTuple):
    """The load of an open connection has changed; in microseconds of work a second."""

    request_id: int
    server_id: int
    load_us_per_second: float
    attempt: int


class LatencySample(NamedTuple):
    """How long a message took on an open connection, in milliseconds."""

    request_id: int
    server_id: int
    latency_ms: float
    attempt: int


class PredecessorConnections(NamedTuple):
    """How many connections at a server the process that this one replaces still holds."""

    server_id: int
    connections: int


class TurnOwnership(NamedTuple):
    """Whether this process, and no other one of the same node, uses the node's turns (see slow_start)."""

    is_own: bool


class TimerFired(NamedTuple):
    """A timer that the policy has set is due."""

    token: int


class HealthCheckResult(NamedTuple):
    """A health check has ended; `load_report` holds the values of the settings' report fields."""

    server_id: int
    latency_us: int
    outcome: int
    load_report: Sequence[float]


class PeerMessage(NamedTuple):
    """A datagram from another node of the tier."""

    sender: int
    data: bytes


Event = (
    EndpointUpdate
    | NewRequest
    | ExistingConnection
    | ConnectionEstablished
    | AttemptEnded
    | ClientDisconnected
    | LoadSample
    | LatencySample
    | TimerFired
    | HealthCheckResult
    | PeerMessage
    | PredecessorConnections
    | TurnOwnership
)
