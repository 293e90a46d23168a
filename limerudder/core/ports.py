"""The interface between a client protocol and the node, free of any protocol's syntax.

A protocol turns what its clients send into a `ConnectRequest`, and what its upstreams send into calls of
`AttemptObserver`. A second protocol would bring its own `ClientSession` and `Attempt` and use the same node.
Times are microseconds of the node's clock.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from limerudder.core.transport import OutboundMachine, Transport
from limerudder.policy.events import AttemptOutcome


class ConnectRequest(NamedTuple):
    """A client's request for a connection. Names are those of the settings and of discovery."""

    id: int  # chosen by the client, new for every request
    class_name: str
    tenant: str
    key: int
    time_left_us: int | None
    hint: int | None
    group: int
    is_retry: bool
    is_reconnect: bool
    pinned_upstream: str | None  # the upstream that holds this connection since before the node started


class ClientSession(Protocol):
    """The client's side of one request, as the node uses it."""

    def new_attempt(self, observer: AttemptObserver, timeout_us: int | None) -> Attempt:
        """Return a new attempt for this request, not yet dialled.

        It tells the upstream how long the node waits for the answer, where `timeout_us` is given.
        """

    def start_proxying(self, attempt: Attempt, now_us: int) -> None:
        """Give the upstream's answer as the final one, and relay between the two sides from now on."""

    def reject(self, retry_after_us: int, now_us: int) -> None:
        """Give the final answer: rejected, to be retried after this time if it is not 0."""

    def fail(self, now_us: int) -> None:
        """Give the final answer: failed."""

    def migrate(self, now_us: int) -> None:
        """Ask the client of an established connection to reconnect, and end this connection."""

    def check_disconnected(self, now_us: int) -> None:
        """Report the client as disconnected now if it is, even if what it sent before is unread."""


class Attempt(OutboundMachine, Protocol):
    """One attempt at an upstream, as the node uses it."""

    transport: Transport | None
    ended: bool
    sent: bool  # the last byte of the request is written: from here on the upstream may have executed it
    oldest_unanswered_us: int | None  # when the client's oldest unanswered message was relayed
    last_received_us: int  # when the upstream sent something last

    def upstream_silent(self, now_us: int) -> None:
        """End the attempt because its upstream is silent: migrate the client, report the end."""

    def close(self) -> None:
        """Close the connection; nothing more is reported to the observer."""


class AttemptObserver(Protocol):
    """Receives an attempt's progress: the node's side of one request."""

    def attempt_ready(self, now_us: int) -> bool:
        """Return whether the request may be written to the connected upstream; else close the attempt."""

    def attempt_sent(self, now_us: int) -> None:
        """The last byte of the request is written."""

    def attempt_established(self, now_us: int) -> None:
        """The upstream has accepted the connection."""

    def attempt_ended(self, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int) -> None:
        """The attempt has ended and its connection is closed."""

    def attempt_load_reported(self, load: float, now_us: int) -> None:
        """The upstream has reported the load of the connection."""

    def attempt_latency_measured(self, latency_us: int, now_us: int) -> None:
        """The upstream has answered a message after this time."""
