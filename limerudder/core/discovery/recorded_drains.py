"""Records of drains, which remain valid regardless of later endpoint lists."""

from __future__ import annotations

from typing import Protocol

from limerudder.core.discovery.endpoint_list import Endpoint
from limerudder.policy.events import ServerState

NEVER_STARTED_MS = -1  #: Time before any start


class RecordedDrains(Protocol):
    """Records which start of each upstream is draining; once drained, it serves only after a new start."""

    def observe(self, endpoint: Endpoint) -> bool:
        """Record the endpoint's drain if one is listed; return whether it must get no new attempts."""

    def drained_starts(self) -> dict[str, int]:
        """Return the last draining start of each upstream, by name, in ms since 1970."""


class InheritedDrains:
    """Drains recorded by the parent process, used until this process can read the store itself."""

    def __init__(self, drained_starts: dict[str, int]) -> None:
        self.unreported_drains: dict[str, int] = {}  # Drains observed here that the parent has not reported
        self._drained_starts = dict(drained_starts)

    def observe(self, endpoint: Endpoint) -> bool:
        """Record the endpoint's drain if one is listed; return whether it must get no new attempts."""
        last_drained_ms = self._drained_starts.get(endpoint.name, NEVER_STARTED_MS)
        if endpoint.state == ServerState.DRAINING and last_drained_ms < endpoint.started_ms:
            self._drained_starts[endpoint.name] = endpoint.started_ms
            self.unreported_drains[endpoint.name] = endpoint.started_ms
            return True
        return endpoint.started_ms <= last_drained_ms

    def drained_starts(self) -> dict[str, int]:
        """Return the last draining start of each upstream, by name, in ms since 1970."""
        return dict(self._drained_starts)

    def record_drain(self, name: str, started_ms: int) -> None:
        """The parent process has reported a drain."""
        self._drained_starts[name] = max(started_ms, self._drained_starts.get(name, NEVER_STARTED_MS))
