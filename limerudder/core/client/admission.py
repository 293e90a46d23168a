"""Who is connected, and who of them makes place when descriptors run short."""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol


class AdmittedConnection(Protocol):
    """A client's connection, as the admission sees it."""

    def evict(self, now: int) -> None:
        """Give it its last word; it has no request."""

    def force_close(self) -> None:
        """Close it at once; it has had its last word."""


class AdmissionControl:
    """All client connections; those without a request in the order of their last sign of life."""

    def __init__(self, sockets: int, spare: int, attempts: Sized) -> None:
        # descriptors for clients and attempts, with and without a second process; the attempts that are out
        self.sockets, self.spare, self.attempts = sockets, spare, attempts
        self.others = self.hosts = 0
        self.guests: set[AdmittedConnection] = set()
        self.idle: dict[AdmittedConnection, None] = {}  # before their first line, or after a PING
        self.ended: dict[
            AdmittedConnection, None
        ] = {}  # that have their last word and are given a moment to read it

    @property
    def room(self) -> int:
        """Descriptors for clients and attempts; the rest is for discovery, probes, peers and last words."""
        # guards probes of a large list: each host may hold one connection of this node beside its attempts
        kept = min(self.spare + self.hosts, max(self.sockets // 2, self.spare))
        return max(self.sockets - kept - self.others, 0)

    def in_use(self) -> int:
        """Descriptors of clients and attempts. Of those that are ending, a part is what was spared."""
        return len(self.guests) - min(len(self.ended), self.spare // 4) + len(self.attempts)

    def share(self, others: int) -> None:
        """Another process of this node holds so many: only the rest is here."""
        self.others = others

    def enter(self, guest: AdmittedConnection, now: int) -> bool:
        """Let a new client in; False where that leaves too few descriptors though nobody idle is left."""
        self.guests.add(guest)
        self.rest(guest)
        return self.make_room(now)

    def rest(self, guest: AdmittedConnection) -> None:
        """A sign of life from a client without a request: all others make place before it."""
        self.idle.pop(guest, None)
        self.idle[guest] = None

    def seat(self, guest: AdmittedConnection) -> None:
        """The client has a request: it stays."""
        self.idle.pop(guest, None)

    def ending(self, guest: AdmittedConnection) -> None:
        """It has its last word."""
        self.idle.pop(guest, None)
        self.ended[guest] = None

    def gone(self, guest: AdmittedConnection) -> None:
        """Its connection is closed."""
        self.idle.pop(guest, None)
        self.ended.pop(guest, None)
        self.guests.discard(guest)

    def make_room(self, now: int) -> bool:
        """End idle connections until the rest has the descriptors it needs."""
        # guards usual clients and their attempts against hundreds that connect and say nothing: the longest
        # idle goes first, and a usual client says its first line soon after it has come
        while self.in_use() > self.room:
            if len(self.ended) > self.spare // 4:
                next(iter(self.ended)).force_close()
            elif len(self.idle) > 1:
                next(iter(self.idle)).evict(now)
            else:
                return False
        return True

    def evict_all(self, now: int) -> None:
        """The node stops: nobody rests here any more."""
        for guest in list(self.idle):
            guest.evict(now)
