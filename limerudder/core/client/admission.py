"""Admission control: limits client connections to the available file descriptors."""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol


class AdmittedConnection(Protocol):
    """The interface of a client connection that admission control uses."""

    def evict(self, now_us: int) -> None:
        """Send the final response and start to close; the client has no request in progress."""

    def has_undelivered_data(self) -> bool:
        """Return whether the client has not yet received everything that was sent to it."""

    def force_close(self) -> None:
        """Close immediately; the final response has been sent."""


class AdmissionControl:
    """Tracks all client connections; when descriptors run short, closes idle ones, the longest idle first.

    A connection is idle while it has no request: before its first line, or after a PING. It is closing from
    its final response until it is closed; this gives the client time to read the response.
    """

    def __init__(self, max_descriptors: int, reserved: int, attempts: Sized) -> None:
        self.max_descriptors = max_descriptors
        self.reserved = reserved  # reserve for discovery, health checks, peers and closing connections
        self.attempts = attempts  # requests that have, or may need, an upstream connection
        self.other_process_descriptors = 0  # descriptors used by this node's other process in a hot restart
        self.listed_upstreams = 0  # number of listed upstreams; each may have one health check connection
        self.connections: set[AdmittedConnection] = set()
        self.idle: dict[AdmittedConnection, None] = {}  # idle connections, longest idle first
        self.closing: dict[AdmittedConnection, None] = {}  # closing connections, oldest first

    @property
    def capacity(self) -> int:
        """Descriptors available to clients and attempts."""
        # Each listed upstream may have one health check connection in addition to its attempts. These are
        # reserved too, but a long endpoint list must not reserve more than half of all descriptors.
        max_reserved = max(self.max_descriptors // 2, self.reserved)
        reserved = min(self.reserved + self.listed_upstreams, max_reserved)
        return max(self.max_descriptors - reserved - self.other_process_descriptors, 0)

    @property
    def max_health_checks(self) -> int:
        """Maximum number of health check connections covered by the reserve."""
        reserved_for_listed = min(self.listed_upstreams, max(self.max_descriptors // 2 - self.reserved, 0))
        return max(reserved_for_listed, self.reserved // 4)

    @property
    def max_closing(self) -> int:
        """Maximum number of closing connections covered by the reserve."""
        return self.reserved // 4

    def descriptors_in_use(self) -> int:
        """Return the descriptors of clients and attempts, except closing ones covered by the reserve."""
        return len(self.connections) - min(len(self.closing), self.max_closing) + len(self.attempts)

    def set_other_process_descriptors(self, descriptors: int) -> None:
        """Set the number of descriptors to leave to this node's other process."""
        self.other_process_descriptors = descriptors

    def admit(self, connection: AdmittedConnection, now_us: int) -> bool:
        """Track a new connection; return False if descriptors are short and no other connection is idle."""
        self.connections.add(connection)
        self.mark_idle(connection)
        return self.free_descriptors(now_us)

    def mark_idle(self, connection: AdmittedConnection) -> None:
        """Record activity of a connection without a request; it moves to the end of the eviction order."""
        self.idle.pop(connection, None)
        self.idle[connection] = None

    def mark_active(self, connection: AdmittedConnection) -> None:
        """Exempt a connection that has a request from eviction."""
        self.idle.pop(connection, None)

    def mark_closing(self, connection: AdmittedConnection) -> None:
        """Record that a connection has received its final response."""
        self.idle.pop(connection, None)
        self.closing[connection] = None

    def remove(self, connection: AdmittedConnection) -> None:
        """Stop tracking a closed connection."""
        self.idle.pop(connection, None)
        self.closing.pop(connection, None)
        self.connections.discard(connection)

    def _next_to_force_close(self) -> AdmittedConnection:
        """Return the oldest closing connection that has received everything, or else the oldest."""
        delivered = (each for each in self.closing if not each.has_undelivered_data())
        return next(delivered, next(iter(self.closing)))

    def free_descriptors(self, now_us: int) -> bool:
        """Close idle and closing connections until usage fits the capacity; return False if it does not."""
        # Hundreds of connections that never send anything must not starve ordinary clients and their
        # attempts. The longest idle connection is evicted first, because an ordinary client sends its first
        # line soon after connecting.
        while self.descriptors_in_use() > self.capacity:
            if len(self.closing) > self.max_closing:
                self._next_to_force_close().force_close()
            elif len(self.idle) > 1:
                next(iter(self.idle)).evict(now_us)
            else:
                return False
        return True
