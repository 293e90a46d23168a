"""The interface between a connection policy and the node, or the simulator, that runs it."""

from __future__ import annotations

from typing import Protocol

from limerudder.policy.actions import Action
from limerudder.policy.events import Event


class ConnectionPolicy(Protocol):
    """Methods that a connection policy provides to the code that runs it. Times are whole microseconds."""

    def handle(self, event: Event, now_us: int, /) -> list[Action]:
        """Handle one event and return the actions, to be executed in order."""

    def avoided_servers(self, now_us: int) -> set[int]:
        """Return the ids of the servers that are listed as ready but avoided by new connections."""

    def confirm_send(self, request_id: int, server_id: int, now_us: int) -> bool:
        """Return whether a request may be written to a server now; called directly before the write."""

    def malformed_peer_messages(self) -> int:
        """Return the number of peer datagrams dropped because their format is invalid."""
