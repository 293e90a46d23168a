"""Who is connected, and who of them makes place when descriptors run short."""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol


class Guest(Protocol):
    """A client's connection, as the lobby sees it."""

    def put_out(self) -> None:
        """Close it now; it has no req."""


class Lobby:
    """All client connections; those without a req in the order of their last sign of life."""

    def __init__(self, room: int, fetches: Sized) -> None:
        # descriptors for clients and fetches; the fetches that are out
        self.room, self.all, self.fetches = room, room, fetches
        self.guests: set[Guest] = set()
        self.idle: dict[Guest, None] = {}  # before their first line, after a PING, or after their last line

    def in_use(self) -> int:
        """Descriptors of clients and fetches."""
        return len(self.guests) + len(self.fetches)

    def share(self, others: int) -> None:
        """Another process of this node holds so many: only the rest is here."""
        self.room = max(self.all - others, 0)

    def enter(self, guest: Guest) -> bool:
        """Let a new client in; False where that leaves too few descriptors though nobody idle is left."""
        self.guests.add(guest)
        self.rest(guest)
        return self.make_room()

    def rest(self, guest: Guest) -> None:
        """A sign of life from a client without a req: all others make place before it."""
        self.idle.pop(guest, None)
        self.idle[guest] = None

    def seat(self, guest: Guest) -> None:
        """The client has a req: it stays."""
        self.idle.pop(guest, None)

    def gone(self, guest: Guest) -> None:
        """Its connection is closed."""
        self.idle.pop(guest, None)
        self.guests.discard(guest)

    def make_room(self) -> bool:
        """Close idle connections until the rest has the descriptors it needs."""
        # guards usual clients and their fetches against hundreds that connect and say nothing: the longest
        # idle goes first, and a usual client says its first line soon after it has come
        while self.in_use() > self.room:
            oldest = next(iter(self.idle), None)
            if oldest is None or len(self.idle) == 1:
                return False
            oldest.put_out()
        return True
