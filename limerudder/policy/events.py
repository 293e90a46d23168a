"""Events that a node reports to its connection policy: what has happened.

Times are whole microseconds. Events are NamedTuples: they are made by the thousand, and a tuple is the
cheapest immutable record Python has.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class ServerState(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How a Members event relates to the list the balancer holds."""

    DELTA = 0
    FAILED = 1
    FULL = 2
    CACHED = 3
    OPERATOR = 4  # not discovery's word: staff have taken these out or put them back


class AttemptOutcome(IntEnum):
    """How an attempt, or a probe, ended."""

    OK = 200
    FULL = 429
    OBSOLETE = 409
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


#: Endings that prove that the attempt never ran.
NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.FULL, AttemptOutcome.OBSOLETE, AttemptOutcome.CONNECT_FAILED}
)


FLAG_MID_CONNECTION = 8  #: request flag: packets of an open connection have reached this node


FLAG_RECONNECT = 16  #: request flag: the client came again after a break or a move


class ServerEntry(NamedTuple):
    """One line of the list of servers."""

    server: int
    zone: int
    kind: int
    cell: int
    state: int
    weight: float
    since: int


class EndpointUpdate(NamedTuple):
    """Discovery's word on the servers."""

    kind: int
    version: int
    entries: Sequence[ServerEntry]


class NewRequest(NamedTuple):
    """A client wants a connection; exactly one final answer is owed."""

    id: int
    cls: int
    tenant: int
    key: int
    time_left: int
    hint: int
    group: int
    flags: int


class ExistingConnection(NamedTuple):
    """A connection that already ran through this node when it started."""

    id: int
    cls: int
    tenant: int
    key: int
    time_left: int
    hint: int
    group: int
    flags: int
    server: int


class ConnectionEstablished(NamedTuple):
    """The connection stands and lasts until an Outcome ends it."""

    id: int
    server: int
    attempt: int
    latency: int


class AttemptEnded(NamedTuple):
    """How one attempt ended; `closed` says that no further answer is owed."""

    id: int
    attempt: int
    server: int
    ending: int
    latency: int
    closed: int
    report: Sequence[float]


class ClientDisconnected(NamedTuple):
    """The client has left; nothing more is owed."""

    id: int


class LoadSample(NamedTuple):
    """The load of an open connection has changed; in microseconds of work a second."""

    id: int
    server: int
    load: float
    attempt: int


class LatencySample(NamedTuple):
    """How long a message took on an open connection, in milliseconds."""

    id: int
    server: int
    latency_ms: float
    attempt: int


class PredecessorConnections(NamedTuple):
    """Another process of this node, which it replaces, holds so many of its connections at a server."""

    server: int
    many: int


class TimerFired(NamedTuple):
    """A timer set by this balancer is due."""

    token: int


class HealthCheckResult(NamedTuple):
    """The answer to a probe."""

    server: int
    latency: int
    ending: int
    report: Sequence[float]


class PeerMessage(NamedTuple):
    """A message from another node of the tier."""

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
)
