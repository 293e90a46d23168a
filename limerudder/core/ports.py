"""The interface between a client protocol and the node, independent of protocol syntax.

A protocol converts client input to `ConnectRequest` and upstream input to calls of `AttemptObserver`.
Another protocol needs only its own `ClientSession` and `Attempt` to use the same node.
Times are microseconds of the node's clock.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from limerudder.core.transport import OutboundMachine, Transport
from limerudder.policy.events import AttemptOutcome


class ConnectRequest(NamedTuple):
    """A client's request for a connection. Names are as in the settings and in discovery's list."""

    id: int  # chosen by the client, unique for every request
    class_name: str
    tenant: str
    key: int
    time_left_us: int | None
    hint: int | None
    group: int
    is_retry: bool
    is_reconnect: bool
    pinned_upstream: str | None  # upstream that has served this connection since before the node started


class ClientSession(Protocol):
    """The client's side of one request."""

    def new_attempt(self, observer: AttemptObserver, timeout_us: int | None) -> Attempt:
        """Return a new attempt for this request, not yet dialled.

        If `timeout_us` is given, the attempt sends the upstream this limit on the time to answer.
        """

    def start_proxying(self, attempt: Attempt, now_us: int) -> None:
        """Send the upstream's answer as the final one, and start relaying between client and upstream."""

    def reject(self, retry_after_us: int, now_us: int) -> None:
        """Send the final answer: rejected, with a retry delay if `retry_after_us` is not 0."""

    def fail(self, now_us: int) -> None:
        """Send the final answer: failed."""

    def migrate(self, now_us: int) -> None:
        """Make the client of an established connection reconnect, and close this connection."""

    def check_disconnected(self, now_us: int) -> None:
        """Report a disconnect of the client at once, even if bytes before it are still unread."""


class Attempt(OutboundMachine, Protocol):
    """One attempt at an upstream."""

    transport: Transport | None
    ended: bool
    sent: bool  # the request is completely written; the upstream may have executed it
    oldest_unanswered_us: int | None  # time at which the oldest unanswered client message was relayed
    last_received_us: int  # time of the latest bytes from the upstream

    def end_unresponsive(self, now_us: int) -> None:
        """End the attempt because its upstream is silent: migrate the client and report the end."""

    def close(self) -> None:
        """Close the connection; the observer receives no further reports."""


class AttemptObserver(Protocol):
    """Receives the progress of an attempt: the node's side of one request."""

    def attempt_ready(self, now_us: int) -> bool:
        """Return whether the request may be written to the connected upstream; if not, close the attempt."""

    def attempt_sent(self, now_us: int) -> None:
        """The request has been completely written."""

    def attempt_established(self, now_us: int) -> None:
        """The upstream has accepted the connection."""

    def attempt_ended(self, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int) -> None:
        """The attempt has ended and its connection is closed."""

    def attempt_load_reported(self, load: float, now_us: int) -> None:
        """The upstream has reported the load of the connection."""

    def attempt_latency_measured(self, latency_us: int, now_us: int) -> None:
        """The upstream has answered a message after this time."""
