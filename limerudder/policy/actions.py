"""Actions that a connection policy requests from its node, which executes them in order.

Times are integer microseconds. The simulator's protocol packs the fields by position, so their order is part
of the interface.
"""

from __future__ import annotations

from typing import NamedTuple

ALL_PEERS = 0xFFFFFFFF  #: Value of `SendPeerMessage.peer` for every other node of the tier


class StartAttempt(NamedTuple):
    """Start an attempt to connect a request to a server; the attempt is aborted after the timeout."""

    request_id: int
    server_id: int
    timeout_us: int


class RejectRequest(NamedTuple):
    """Final answer: rejected; the client may safely retry, after `retry_after_us` if that is not 0."""

    request_id: int
    retry_after_us: int


class FailRequest(NamedTuple):
    """Final answer: failed; the request may have been executed, so a retry may be unsafe."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for the result of one attempt."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a TimerFired event with this token at the given clock time."""

    due_at_us: int
    token: int


class CheckHealth(NamedTuple):
    """Send a health check to one server; its result includes a load report."""

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
    """Request the complete endpoint list once."""


class MigrateClient(NamedTuple):
    """Close an open connection gracefully so that its client reconnects."""

    request_id: int


class PolicyError(NamedTuple):
    """The policy raised an exception; created by the code that runs a Balancer, never by the Balancer."""

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
