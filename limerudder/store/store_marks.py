"""Maintenance marks that apply to the whole tier."""

from __future__ import annotations

from limerudder.core.operations.maintenance import SharedMarks
from limerudder.store.node_bridge import NodeStoreBridge


class StoreMarks:
    """Records the hosts in maintenance in the store's drain log, and synchronizes this node's local marks.

    Other processes of this node can access only the local marks. Changes that they make there are recorded in
    the drain log.
    """

    def __init__(self, bridge: NodeStoreBridge, local_marks: SharedMarks) -> None:
        self._bridge = bridge
        self._local_marks = local_marks
        #: Hosts that both sides have marked, as far as this process knows. It follows each single change: if
        #: a later one fails, those before it must not be made again. What this process has marked before it
        #: had the store is recorded anew, even if the host is held already.
        local = _read_if_possible(local_marks)
        self._synchronized = (bridge.held_hosts() & local) - local_marks.marked_here()

    def read(self) -> set[str]:
        """Return all hosts in maintenance, after synchronizing changes on either side."""
        local = self._local_marks.read()
        for name in (local - self._synchronized) | (local & self._local_marks.take_renewed()):
            self._bridge.hold_host(name)
            self._synchronized.add(name)
        for name in self._synchronized - local:
            self._bridge.return_host(name)
            self._synchronized.discard(name)
        held = self._bridge.held_hosts()
        for name in held - local:
            self._local_marks.add(name)
            self._synchronized.add(name)
        for name in local - held:
            self._local_marks.remove(name)
            self._synchronized.discard(name)
        return held

    def add(self, name: str) -> None:
        """Hold a host out of service."""
        self._local_marks.add(name)
        self._synchronized.add(name)
        self._bridge.hold_host(name)

    def remove(self, name: str) -> None:
        """Return a host to service; this also ends a recorded drain."""
        self._local_marks.remove(name)
        self._synchronized.discard(name)
        self._bridge.return_host(name)


def _read_if_possible(marks: SharedMarks) -> set[str]:
    try:
        return marks.read()
    except OSError:  # the first synchronization reads them again
        return set()
