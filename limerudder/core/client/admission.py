"""Admission control: which client connections may stay open when file descriptors run short."""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol


class AdmittedConnection(Protocol):
    """A client's connection, as admission control sees it."""

    def evict(self, now_us: int) -> None:
        """Send the final response and begin to close; the client has no request in progress."""

    def force_close(self) -> None:
        """Close at once; the final response has been sent."""


class AdmissionControl:
    """Tracks all client connections; when descriptors run short, closes idle ones, the longest idle first.

    A connection is idle while it has no request: before its first line, or after a PING. It is closing once
    it has its final response and is given a moment to read it.
    """

    def __init__(self, max_descriptors: int, reserved: int, attempts: Sized) -> None:
        self.max_descriptors = max_descriptors
        self.reserved = reserved  # for discovery, health checks, peers and closing connections
        self.attempts = attempts  # the requests that hold, or may need, an upstream connection
        self.other_process_descriptors = 0  # of this node's other process during a hot restart
        self.listed_hosts = 0  # hosts that may each hold one health check connection
        self.connections: set[AdmittedConnection] = set()
        self.idle: dict[AdmittedConnection, None] = {}  # the longest idle first
        self.closing: dict[AdmittedConnection, None] = {}  # the first to begin closing first

    @property
    def capacity(self) -> int:
        """Descriptors available to clients and attempts."""
        # Each listed host may hold one health check connection of this node beside its attempts. A long list
        # must leave descriptors for those, but may not take more than half of all.
        max_reserved = max(self.max_descriptors // 2, self.reserved)
        reserved = min(self.reserved + self.listed_hosts, max_reserved)
        return max(self.max_descriptors - reserved - self.other_process_descriptors, 0)

    @property
    def max_health_checks(self) -> int:
        """How many health check connections are paid for by the reserve."""
        beyond_base = min(self.listed_hosts, max(self.max_descriptors // 2 - self.reserved, 0))
        return max(beyond_base, self.reserved // 4)

    @property
    def max_closing(self) -> int:
        """How many closing connections are paid for by the reserve."""
        return self.reserved // 4

    def descriptors_in_use(self) -> int:
        """Descriptors that clients and attempts hold, without the closing ones that the reserve pays for."""
        return len(self.connections) - min(len(self.closing), self.max_closing) + len(self.attempts)

    def set_other_process_descriptors(self, descriptors: int) -> None:
        """Leave this many to this node's other process."""
        self.other_process_descriptors = descriptors

    def admit(self, connection: AdmittedConnection, now_us: int) -> bool:
        """Track a new connection; False if descriptors are short though no other idle connection is left."""
        self.connections.add(connection)
        self.mark_idle(connection)
        return self.free_descriptors(now_us)

    def mark_idle(self, connection: AdmittedConnection) -> None:
        """Record activity of a connection without a request: it becomes the last to be evicted."""
        self.idle.pop(connection, None)
        self.idle[connection] = None

    def mark_active(self, connection: AdmittedConnection) -> None:
        """The connection has a request: it is not evicted."""
        self.idle.pop(connection, None)

    def mark_closing(self, connection: AdmittedConnection) -> None:
        """The connection has its final response."""
        self.idle.pop(connection, None)
        self.closing[connection] = None

    def remove(self, connection: AdmittedConnection) -> None:
        """The connection is closed."""
        self.idle.pop(connection, None)
        self.closing.pop(connection, None)
        self.connections.discard(connection)

    def free_descriptors(self, now_us: int) -> bool:
        """Close idle and closing connections until usage fits the capacity; False if it still does not."""
        # Hundreds of connections that never send anything must not starve ordinary clients and their
        # attempts. The longest idle goes first: an ordinary client sends its first line soon after it has
        # connected.
        while self.descriptors_in_use() > self.capacity:
            if len(self.closing) > self.max_closing:
                next(iter(self.closing)).force_close()
            elif len(self.idle) > 1:
                next(iter(self.idle)).evict(now_us)
            else:
                return False
        return True

    def evict_all(self, now_us: int) -> None:
        """Evict every idle connection, as the node shuts down."""
        for connection in list(self.idle):
            connection.evict(now_us)
