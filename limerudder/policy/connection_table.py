"""The node's requests and connections, and the servers that they are attached to."""

from __future__ import annotations

from limerudder.policy.events import (
    AttemptEnded,
    ConnectionEstablished,
    LatencySample,
    LoadSample,
)
from limerudder.policy.records import Connection, GroupIndex, Server

AttemptEvent = ConnectionEstablished | AttemptEnded | LoadSample | LatencySample


class ConnectionTable:
    """All unanswered requests and all connections, by request id."""

    def __init__(self) -> None:
        self.by_id: dict[int, Connection] = {}
        self.index = GroupIndex()

    def find_attempt(self, event: AttemptEvent) -> Connection | None:
        """Return the connection whose current attempt the event is about.

        Late or repeated events return None; handling them would detach the connection twice.
        """
        connection = self.by_id.get(event.request_id)
        if connection is None or connection.server is None:
            return None
        if connection.attempts_started - 1 != event.attempt:
            return None
        return connection if connection.server.id == event.server_id else None

    def attach(self, connection: Connection, server: Server) -> None:
        """Assign an attempt, or an established connection, to a server."""
        connection.server = server
        server.pending_attempts += not connection.established
        server.connections[connection.id] = connection
        self.index.add(connection, server)

    def establish(self, connection: Connection, server: Server, now_us: int) -> None:
        """Mark a connection established after its attempt has succeeded."""
        server.pending_attempts -= not connection.established
        connection.is_migratable = True
        connection.established = True
        connection.established_at_us = now_us
        connection.answered = True

    def detach(self, connection: Connection, server: Server) -> None:
        """Remove an ended attempt or connection from its server."""
        connection.server = None
        server.pending_attempts -= not connection.established
        del server.connections[connection.id]
        self.index.remove(connection, server)

    def conclude(self, connection: Connection) -> None:
        """Mark a request answered, and remove it unless an attempt is still pending."""
        connection.answered = True
        if connection.server is None:
            self.by_id.pop(connection.id, None)
