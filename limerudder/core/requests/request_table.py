"""The open requests of a node, and the ids that new requests must not use."""

from __future__ import annotations

from collections.abc import ValuesView
from itertools import takewhile

from limerudder.core.requests.proxied_connection import ProxiedConnection
from limerudder.policy.settings import Settings

#: Time for which the id of an ended request is rejected, unless the settings need a longer one. Copies of a
#: request come from clients and networks that repeat it, long before that.
RECENT_ID_LIFETIME_US = 300_000_000
MAX_RECENT_IDS = 65_536  #: Bound of the memory for recent ids, about 7 MB


class RequestTable:
    """Requests by number, the ids in use, and the ids that were used recently.

    Clients use a new id for every request. A second request with the id of an open or recent one is a copy,
    which would interfere with the first one and with the upstreams' own records of ids. Ids of requests that
    never reached an upstream are not kept: a flood of such requests must not displace the others.
    """

    def __init__(self, recent_id_lifetime_us: int = RECENT_ID_LIFETIME_US) -> None:
        self.by_number: dict[int, ProxiedConnection] = {}
        self.open_ids: set[int] = set()
        #: Ids of ended requests and of another process, oldest first, with the time at which each was added
        self.recent_ids: dict[int, int] = {}
        self._recent_id_lifetime_us = recent_id_lifetime_us
        self._now_us = 0  # time of the last call of `expire_recent_ids`
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
        """Remove a request, and record its id as recent if an upstream may have received it.

        Does nothing if it is not in the table.
        """
        if self.by_number.pop(connection.number, None):
            self.open_ids.discard(connection.request.id)
            if connection.was_sent:
                self.add_recent_id(connection.request.id)

    def add_recent_id(self, request_id: int) -> None:
        """Record an id to be rejected for its lifetime, or until MAX_RECENT_IDS others have been added."""
        self.recent_ids.pop(request_id, None)
        self.recent_ids[request_id] = self._now_us
        if len(self.recent_ids) > MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]

    def expire_recent_ids(self, now_us: int) -> None:
        """Forget the ids whose lifetime is over; to be called at intervals well below it."""
        self._now_us = now_us
        expired = takewhile(
            lambda request_id: self.recent_ids[request_id] <= now_us - self._recent_id_lifetime_us,
            self.recent_ids,
        )
        for request_id in list(expired):
            del self.recent_ids[request_id]

    def used_ids(self) -> list[int]:
        """Return the ids that are recent or in use."""
        return [*self.recent_ids, *self.open_ids]


def recent_id_lifetime_us(settings: Settings) -> int:
    """Return how long ids of ended requests are rejected: beyond any time in which they may be repeated."""
    classes = settings.classes
    return max(RECENT_ID_LIFETIME_US, *(each.idempotency_window_us + each.deadline_us for each in classes))
