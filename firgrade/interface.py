"""What goes into a Balancer and what comes out of it.

Times are whole microseconds. Events and actions are NamedTuples: they are made by the thousand, and a
tuple is the cheapest immutable record Python has.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, Protocol

ALL_PEERS = 0xFFFFFFFF


class State(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a Members event relates to the list the balancer holds."""

    DELTA = 0
    FAILED = 1
    FULL = 2
    CACHED = 3
    HAND = 4  # not discovery's word: staff have taken these out or put them back


class Ending(IntEnum):
    """How an attempt, or a probe, ended."""

    OK = 200
    FULL = 429
    MOOT = 409
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


#: Endings that prove that the attempt never ran.
NEVER_RAN = frozenset({Ending.FULL, Ending.MOOT, Ending.CONNECT_FAILED})

MID_FLOW = 8  #: request flag: packets of an open connection have reached this node
CAME_BACK = 16  #: request flag: the client came again after a break or a move

NOTE_LOAD = 1  #: the connection's load has changed
NOTE_DELAY = 2  #: what a message takes at the connection's server, in milliseconds


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """What is promised to, and known of, one class of requests."""

    aim: int
    deadline: int
    effect: str = "unsafe"
    key_scope: str = "cell"
    repeat_window: int = 0
    worth: float = 1.0
    message_aim: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told when it starts. Defaults are the cautious reading of silence."""

    balancers: int
    zone: int
    classes: Sequence[TrafficClass]
    discovery: str
    ask_every: int
    drain_grace: int
    start_capacity: float
    warm_up: int
    overload_factor: float
    overload_for: int
    me: int = 0
    answer_slack: int = 0
    try_limit: int = 1
    parallel_tries: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    connect_timeout: int = 0
    tick: int = 1000
    groups: bool = False
    tells_delay: bool = False
    mode: str = "proxy"
    park: int = 0
    report_fields: Sequence[str] = ()
    report_via: str = "none"
    tenant_quotas: Sequence[float] = ()
    over_share_worth: float = 1.0
    prices: dict[str, float] = field(default_factory=dict)
    goal: dict[str, float] = field(default_factory=dict)


class ServerEntry(NamedTuple):
    """One line of the list of servers."""

    server: int
    zone: int
    kind: int
    cell: int
    state: int
    weight: float
    since: int


class Members(NamedTuple):
    """Discovery's word on the servers."""

    kind: int
    version: int
    entries: Sequence[ServerEntry]


class Request(NamedTuple):
    """A client wants a connection; exactly one final answer is owed."""

    id: int
    cls: int
    tenant: int
    key: int
    time_left: int
    hint: int
    group: int
    flags: int


class Open(NamedTuple):
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


class Established(NamedTuple):
    """The connection stands and lasts until an Outcome ends it."""

    id: int
    server: int
    attempt: int
    latency: int


class Outcome(NamedTuple):
    """How one attempt ended; `closed` says that no further answer is owed."""

    id: int
    attempt: int
    server: int
    ending: int
    latency: int
    closed: int
    report: Sequence[float]


class Gone(NamedTuple):
    """The client has left; nothing more is owed."""

    id: int


class Note(NamedTuple):
    """Word on an attempt that is still out."""

    id: int
    server: int
    value: float
    attempt: int
    kind: int


class Elsewhere(NamedTuple):
    """Another process of this node, which it replaces, holds so many of its connections at a server."""

    server: int
    many: int


class Timer(NamedTuple):
    """A timer set by this balancer is due."""

    token: int


class Probed(NamedTuple):
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
    Members | Request | Open | Established | Outcome | Gone | Note | Timer | Probed | PeerMessage | Elsewhere
)


class Send(NamedTuple):
    """Start an attempt at a server."""

    id: int
    server: int
    timeout: int


class Refuse(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    id: int
    retry_after: int


class Fail(NamedTuple):
    """Final answer: failure, nothing promised."""

    id: int


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a Timer event at a clock time."""

    at: int
    token: int


class Probe(NamedTuple):
    """Ask one server how it fares."""

    server: int


class CloseIdle(NamedTuple):
    """Close idle connections to a server."""

    server: int


class Tell(NamedTuple):
    """Send a short message to a peer, or to ALL_PEERS."""

    peer: int
    data: bytes


class Log(NamedTuple):
    """A line for whoever is on call."""

    text: str


class Watch(NamedTuple):
    """Subscribe to changes of the list, or unsubscribe."""

    on: bool


class Fetch(NamedTuple):
    """Ask once for the whole list."""


class Move(NamedTuple):
    """End an open connection politely; its client comes again."""

    id: int


class Fault(NamedTuple):
    """The decision code has failed; written by the host of a Balancer, never by the Balancer itself."""

    text: str


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | Fetch | Move | Fault
)


class Decisions(Protocol):
    """What a host of a Balancer may ask of it."""

    def handle(self, event: Event, now: int) -> list[Action]:
        """Decide on one event; the actions are to be carried out in order."""

    def avoided(self, now: int) -> set[int]:
        """The listed servers that new connections are kept from by choice, whatever the list says."""

    def strange(self) -> int:
        """How many datagrams of peers were passed over, since they are of no known form."""
