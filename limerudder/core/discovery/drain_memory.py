"""What outlives a list: drains that were heard, whatever discovery lists now."""

from __future__ import annotations

from typing import Protocol

from limerudder.core.discovery.endpoint_list import Endpoint
from limerudder.policy.events import ServerState


class DrainMemory(Protocol):
    """Who remembers."""

    def out(self, host: Endpoint) -> bool:
        """Whether this host, as discovery lists it now, gets nothing new; hears that it drains, too."""

    def drained(self) -> dict[str, int]:
        """By host, the last start that is known to drain, in ms since 1970."""


class InheritedDrains:
    """What the process before this one remembers, until this one can ask the store itself."""

    def __init__(self, drained: dict[str, int]) -> None:
        self.starts = dict(drained)
        self.heard: dict[str, int] = {}  # here, and not by the other process

    def out(self, host: Endpoint) -> bool:
        """A host whose start was drained, or is."""
        if host.state == ServerState.DRAINING and self.starts.get(host.name, -1) < host.started_ms:
            self.starts[host.name] = self.heard[host.name] = host.started_ms
        return host.started_ms <= self.starts.get(host.name, -1)

    def drained(self) -> dict[str, int]:
        """All that is known here."""
        return dict(self.starts)

    def told(self, name: str, started_ms: int) -> None:
        """The other process has heard of one."""
        self.starts[name] = max(started_ms, self.starts.get(name, -1))
