"""The open requests of a node, and the ids that new requests must not use."""

from __future__ import annotations

from collections.abc import ValuesView

from limerudder.core.requests.proxied_connection import ProxiedConnection

MAX_RECENT_IDS = 4096  #: Number of recent ids that are kept to reject late copies of requests


class RequestTable:
    """Requests by number, the ids in use, and the ids that were used recently.

    Clients use a new id for every request. A second request with the id of an open or recent one is a copy,
    which would interfere with the first one and with the upstreams' own records of ids.
    """

    def __init__(self) -> None:
        self.by_number: dict[int, ProxiedConnection] = {}
        self.open_ids: set[int] = set()
        self.recent_ids: dict[int, None] = {}  # ids of ended requests and of another process, oldest first
        self._next_number = 1

    def __len__(self) -> int:
        return len(self.by_number)

    def values(self) -> ValuesView[ProxiedConnection]:
        """Return all requests, oldest first."""
        return self.by_number.values()

    def next_number(self) -> int:
        """Return a new, unique request number."""
        number = self._next_number
        self._next_number += 1
        return number

    def is_id_used(self, request_id: int) -> bool:
        """Return whether a request with this id is open, or was recently."""
        return request_id in self.open_ids or request_id in self.recent_ids

    def add(self, connection: ProxiedConnection) -> None:
        """Add a request that has been accepted."""
        self.by_number[connection.number] = connection
        self.open_ids.add(connection.request.id)

    def remove(self, connection: ProxiedConnection) -> None:
        """Remove a request and record its id as recent; does nothing if it is not in the table."""
        if self.by_number.pop(connection.number, None):
            self.open_ids.discard(connection.request.id)
            self.add_recent_id(connection.request.id)

    def add_recent_id(self, request_id: int) -> None:
        """Record an id to be rejected until MAX_RECENT_IDS further ones have been added."""
        self.recent_ids[request_id] = None
        if len(self.recent_ids) > MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]

    def used_ids(self) -> list[int]:
        """Return the ids that are recent or in use."""
        return [*self.recent_ids, *self.open_ids]
