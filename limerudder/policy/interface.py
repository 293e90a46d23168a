"""The interface between a connection policy and the node, or the simulator, that hosts it."""

from __future__ import annotations

from typing import Protocol

from limerudder.policy.actions import Action
from limerudder.policy.events import Event


class ConnectionPolicy(Protocol):
    """What a host may ask of a connection policy. Times are whole microseconds."""

    def handle(self, event: Event, now_us: int, /) -> list[Action]:
        """Decide on one event; the actions are to be carried out in order."""

    def avoided_servers(self, now_us: int) -> set[int]:
        """Return the ids of the ready servers that new connections avoid, whatever the endpoint list says."""

    def confirm_send(self, request_id: int, server_id: int, now_us: int) -> bool:
        """Return whether a request may be written to a server now; asked directly before it is written."""

    def malformed_peer_messages(self) -> int:
        """Return how many datagrams of peers were dropped because they are of no known form."""
