"""Actions that a connection policy asks its node to carry out, in order.

Times are whole microseconds.
"""

from __future__ import annotations

from typing import NamedTuple

ALL_PEERS = 0xFFFFFFFF


class StartAttempt(NamedTuple):
    """Start an attempt at a server."""

    id: int
    server: int
    timeout: int


class RejectRequest(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    id: int
    retry_after: int


class FailRequest(NamedTuple):
    """Final answer: failure, nothing promised."""

    id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a Timer event at a clock time."""

    at: int
    token: int


class CheckHealth(NamedTuple):
    """Ask one server how it fares."""

    server: int


class CloseIdleConnections(NamedTuple):
    """Close idle connections to a server."""

    server: int


class SendPeerMessage(NamedTuple):
    """Send a short message to a peer, or to ALL_PEERS."""

    peer: int
    data: bytes


class LogMessage(NamedTuple):
    """A line for whoever is on call."""

    text: str


class WatchEndpoints(NamedTuple):
    """Subscribe to changes of the list, or unsubscribe."""

    on: bool


class PollEndpoints(NamedTuple):
    """Ask once for the whole list."""


class MigrateClient(NamedTuple):
    """End an open connection politely; its client comes again."""

    id: int


class PolicyError(NamedTuple):
    """The decision code has failed; written by the host of a Balancer, never by the Balancer itself."""

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
