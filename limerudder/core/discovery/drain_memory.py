"""Drains that are remembered beyond the endpoint list, whatever discovery lists now."""

from __future__ import annotations

from typing import Protocol

from limerudder.core.discovery.endpoint_list import Endpoint
from limerudder.policy.events import ServerState

NEVER_STARTED_MS = -1  #: earlier than any start


class DrainMemory(Protocol):
    """Remembers which start of each host is draining. Once drained, a start never serves again."""

    def observe(self, endpoint: Endpoint) -> bool:
        """Remember the endpoint's drain, if discovery lists one; whether this start is to get nothing new."""

    def drained_starts(self) -> dict[str, int]:
        """By host, the last start that is known to drain, in ms since 1970."""


class InheritedDrains:
    """What the previous process of this node remembers, until this one can read the store itself."""

    def __init__(self, drained_starts: dict[str, int]) -> None:
        self.observed_here: dict[str, int] = {}  # drains that the parent process has not announced
        self._drained_starts = dict(drained_starts)

    def observe(self, endpoint: Endpoint) -> bool:
        """Remember the endpoint's drain, if discovery lists one; whether this start is to get nothing new."""
        last_drained_ms = self._drained_starts.get(endpoint.name, NEVER_STARTED_MS)
        if endpoint.state == ServerState.DRAINING and last_drained_ms < endpoint.started_ms:
            self._drained_starts[endpoint.name] = endpoint.started_ms
            self.observed_here[endpoint.name] = endpoint.started_ms
            return True
        return endpoint.started_ms <= last_drained_ms

    def drained_starts(self) -> dict[str, int]:
        """By host, the last start that is known to drain, in ms since 1970."""
        return dict(self._drained_starts)

    def record_drain(self, name: str, started_ms: int) -> None:
        """The previous process has learned of a drain."""
        self._drained_starts[name] = max(started_ms, self._drained_starts.get(name, NEVER_STARTED_MS))
