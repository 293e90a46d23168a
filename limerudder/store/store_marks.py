"""Maintenance marks that hold for the whole tier."""

from __future__ import annotations

from limerudder.core.operations.maintenance import MaintenanceMarks
from limerudder.store.node_bridge import NodeStoreBridge


class StoreMarks:
    """Keeps the hosts in maintenance in the store's drain log, and this node's local marks equal to it.

    Other processes of this node have only the local marks. What one of them changes there is recorded in
    the drain log.
    """

    def __init__(self, bridge: NodeStoreBridge, local_marks: MaintenanceMarks) -> None:
        self._bridge = bridge
        self._local_marks = local_marks
        self._last_synchronized = bridge.held_hosts()  # the local marks as this process has left them
        for name in self._last_synchronized - local_marks.read():
            local_marks.add(name)

    def read(self) -> set[str]:
        """Return all hosts in maintenance, after taking over what has changed on either side."""
        local = self._local_marks.read()
        for name in local - self._last_synchronized:
            self._bridge.hold_host(name)
        for name in self._last_synchronized - local:
            self._bridge.return_host(name)
        held = self._bridge.held_hosts()
        for name in held - local:
            self._local_marks.add(name)
        for name in local - held:
            self._local_marks.remove(name)
        self._last_synchronized = held
        return held

    def add(self, name: str) -> None:
        """Hold a host out of service."""
        self._local_marks.add(name)
        self._last_synchronized = self._last_synchronized | {name}
        self._bridge.hold_host(name)

    def remove(self, name: str) -> None:
        """Return a host to service; that also lifts a drain that is remembered."""
        self._local_marks.remove(name)
        self._last_synchronized = self._last_synchronized - {name}
        self._bridge.return_host(name)
