"""Client sessions, which make retried writes idempotent (Ongaro's dissertation, section 6.3).

A client numbers its writes within a session. The state machine keeps each result until the client has
acknowledged it, and answers a repeated serial number with the stored result.
"""

from __future__ import annotations

from limerudder.store.commands import CommandResult


class Session:
    """The state machine's side of a session: the results that the client may not have received yet."""

    __slots__ = ("acknowledged_serial", "results")

    def __init__(self, acknowledged_serial: int = 0, results: dict[int, CommandResult] | None = None) -> None:
        self.acknowledged_serial = acknowledged_serial
        self.results = results or {}  # Results by serial number

    def acknowledge(self, serial: int) -> None:
        """Discards the results up to this serial number, which the client has received."""
        if serial <= self.acknowledged_serial:
            return
        self.acknowledged_serial = serial
        for received in [number for number in self.results if number <= serial]:
            del self.results[received]


class RequestSequence:
    """The client's side of a session: assigns serial numbers and tracks which have been answered."""

    def __init__(self) -> None:
        self.last_serial = 0
        self.acknowledged_serial = 0  # All requests up to this one have been answered
        self._answered: set[int] = set()  # Answered requests after `acknowledged_serial`

    def next_serial(self) -> int:
        """Returns the serial number for a new request."""
        self.last_serial += 1
        return self.last_serial

    def mark_answered(self, serial: int) -> None:
        """Records that a request has been answered or will not be retried."""
        self._answered.add(serial)
        while self.acknowledged_serial + 1 in self._answered:
            self.acknowledged_serial += 1
            self._answered.discard(self.acknowledged_serial)
