"""Events that a node reports to its connection policy.

Times are integer microseconds. Events are NamedTuples because they are created in large numbers and a tuple
is the cheapest immutable record in Python. The simulator's protocol fills them by position, so the order of
the fields is part of the interface.
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
    """How an EndpointUpdate relates to the endpoint list of the policy."""

    DELTA = 0  #: Only the entries that have changed
    FAILED = 1  #: Discovery could not be read
    FULL = 2  #: The complete list
    CACHED = 3  #: The complete list that this node stored before it started
    OPERATOR = 4  #: Entries taken out of service or returned to it by operators, not by discovery


class AttemptOutcome(IntEnum):
    """The outcome of an attempt or a health check."""

    OK = 200
    FULL = 429
    OBSOLETE = 409
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


#: Outcomes that guarantee that the server has not executed the request.
NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.FULL, AttemptOutcome.OBSOLETE, AttemptOutcome.CONNECT_FAILED}
)

FLAG_MID_CONNECTION = 8  #: Request flag: packets of an open connection have reached this node
FLAG_RECONNECT = 16  #: Request flag: the client reconnects after its connection broke or was migrated


class ServerEntry(NamedTuple):
    """One entry of the endpoint list."""

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
    """A client requests a connection; exactly one final answer is required.

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
    """A connection that was already established through this node when the policy started."""

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

    `outcome` is an AttemptOutcome; `request_closed` means that no further answer is required.
    """

    request_id: int
    attempt: int
    server_id: int
    outcome: int
    latency_us: int
    request_closed: int
    load_report: Sequence[float]


class ClientDisconnected(NamedTuple):
    """The client has disconnected; its request requires no further answer."""

    request_id: int


class LoadSample(NamedTuple):
    """The load of an open connection has changed; the unit is microseconds of work per second."""

    request_id: int
    server_id: int
    load_us_per_second: float
    attempt: int


class LatencySample(NamedTuple):
    """The latency of one message on an open connection, in milliseconds."""

    request_id: int
    server_id: int
    latency_ms: float
    attempt: int


class PredecessorConnections(NamedTuple):
    """The number of connections to a server that are still open in the predecessor process."""

    server_id: int
    connections: int


class TurnOwnership(NamedTuple):
    """Whether this process is the one of its node that uses the node's turns (see slow_start)."""

    is_own: bool


class TimerFired(NamedTuple):
    """A timer set by the policy has expired."""

    token: int


class HealthCheckResult(NamedTuple):
    """A health check has ended; `load_report` contains the values of the settings' report fields."""

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
