"""Actions that a connection policy asks its node to carry out, in order.

Times are whole microseconds. The simulator's protocol packs the fields by position, so their order is part
of the interface.
"""

from __future__ import annotations

from typing import NamedTuple

ALL_PEERS = 0xFFFFFFFF  #: in place of one peer's number: every other node of the tier


class StartAttempt(NamedTuple):
    """Start an attempt to connect a request to a server, and give it up after the timeout."""

    request_id: int
    server_id: int
    timeout_us: int


class RejectRequest(NamedTuple):
    """Final answer: rejected; the client may safely retry, after `retry_after_us` where that is not 0."""

    request_id: int
    retry_after_us: int


class FailRequest(NamedTuple):
    """Final answer: failed; the request may have been executed, so a retry is not known to be safe."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a TimerFired event with this token at a clock time."""

    due_at_us: int
    token: int


class CheckHealth(NamedTuple):
    """Send a health check, which brings a load report, to one server."""

    server_id: int


class CloseIdleConnections(NamedTuple):
    """Close idle connections to a server."""

    server_id: int


class SendPeerMessage(NamedTuple):
    """Send a datagram to a peer, or to ALL_PEERS."""

    peer: int
    data: bytes


class LogMessage(NamedTuple):
    """Write a line to the node's log."""

    text: str


class WatchEndpoints(NamedTuple):
    """Subscribe to changes of the endpoint list, or unsubscribe."""

    enabled: bool


class PollEndpoints(NamedTuple):
    """Ask once for the complete endpoint list."""


class MigrateClient(NamedTuple):
    """Close an open connection gracefully so that its client reconnects."""

    request_id: int


class PolicyError(NamedTuple):
    """The policy raised an exception; made by the host of a Balancer, never by the Balancer itself."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendPeerMessage
    | LogMessage
    | WatchEndpoints
    | PollEndpoints
    | MigrateClient
    | PolicyError
)
