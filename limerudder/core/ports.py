"""What the node and a protocol say to each other, in neither's syntax.

A protocol turns its clients' words into a request and its upstreams' words into calls of FetchOwner. A second
protocol brings its own ClientSession and Fetch and goes through the same node.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from limerudder.core.transport import OutboundMachine, Transport
from limerudder.policy.events import AttemptOutcome


class ConnectRequest(NamedTuple):
    """A client wants a connection. Names are the settings' and discovery's; times are microseconds."""

    id: int  # new for every request
    cls: str
    tenant: str
    key: int
    time_left: int | None
    hint: int | None
    group: int
    retry: bool
    came_back: bool
    at: str | None  # the upstream that holds this connection since before the node started


class ClientSession(Protocol):
    """The client's side of one request, as the node uses it."""

    def new_attempt(self, owner: AttemptObserver, wait: int | None) -> Attempt:
        """A new attempt for this request, to be dialled; the upstream is told how long it is waited for."""

    def serve(self, attempt: Attempt, now: int) -> None:
        """The final answer: the upstream's own; the two sides pass on what comes from now on."""

    def refuse(self, wait: int, now: int) -> None:
        """The final answer: turned away, to come again after `wait` microseconds if not 0."""

    def fail(self, now: int) -> None:
        """The final answer: failed."""

    def move(self, now: int) -> None:
        """Send a served client away politely; it will come again."""

    def look(self, now: int) -> None:
        """Tell the owner now if the client has gone, though what it sent before is not read yet."""


class Attempt(OutboundMachine, Protocol):
    """One attempt at an upstream, as the node uses it."""

    link: Transport | None
    done: bool  # it has ended
    out: bool  # its last byte is written: from here on the upstream may have it
    asked: int | None  # when the client's oldest unanswered message was passed on
    heard: int  # when the upstream's last word came

    def vanish(self, now: int) -> None:
        """Its upstream is silent: move its client, end it and tell its owner."""

    def close(self) -> None:
        """Give the attempt up; its owner hears no more of it."""


class AttemptObserver(Protocol):
    """Who hears how an attempt fares: the node."""

    def attempt_ready(self, now: int) -> bool:
        """Whether the request's line may be written to the connected upstream; else the attempt is closed."""

    def attempt_sent(self) -> None:
        """The last byte of the request's line is written."""

    def attempt_established(self, now: int) -> None:
        """The upstream has taken the connection."""

    def attempt_ended(self, ending: AttemptOutcome, report: tuple[float, ...], now: int) -> None:
        """The attempt has ended and its connection is closed."""

    def attempt_load_reported(self, load: float, now: int) -> None:
        """The upstream tells the connection's load."""

    def attempt_latency_measured(self, took: int, now: int) -> None:
        """The upstream has answered a message after this long."""
