"""Durable copies of the replicated keys that the node needs at startup.

A restarted member has no leader or quorum yet, and its replicated state may lag far behind the cluster's.
The node therefore starts with the last values that this member received.
"""

from __future__ import annotations

from collections.abc import Mapping

from limerudder.store.drain_log import HOST_KEY_PREFIX, DrainLog
from limerudder.store.durability import KnownValue
from limerudder.store.state_machine import KeyValueState

COPIED_PREFIXES = (HOST_KEY_PREFIX, "config/", "list/")  #: Prefixes of the keys that are copied
UNKNOWN_VALUE = KnownValue(0, None)


class KnownValues:
    """Tracks the copied keys of the replicated state, and passes agreed host records to the drain log."""

    def __init__(self, known: Mapping[str, KnownValue], state: KeyValueState, drain_log: DrainLog) -> None:
        self._known = dict(known)
        self._unsaved: dict[str, KnownValue] = {}
        self._state = state
        self._drain_log = drain_log
        for key, value in known.items():
            self._update_host(key, value)

    def get(self, key: str) -> KnownValue:
        """Returns a key's value from the replicated state, or the last known one if that is newer."""
        known = self._known.get(key, UNKNOWN_VALUE)
        item = self._state.get(key)
        if item and item.modified_revision >= known.modified_revision:
            return KnownValue(item.modified_revision, item.value)
        return known

    def refresh(self) -> None:
        """Copies all keys from the replicated state, after a snapshot has replaced it."""
        for prefix in COPIED_PREFIXES:
            for key, item in self._state.list_prefix(prefix):
                self._update(key, KnownValue(item.modified_revision, item.value))

    def refresh_changes(self, since_revision: int) -> None:
        """Copies the keys changed after a revision."""
        changes, _ = self._state.changes_since(since_revision)
        for change in changes:
            if change.key.startswith(COPIED_PREFIXES):
                value = change.item.value if change.item else None
                self._update(change.key, KnownValue(change.revision, value))

    def _update(self, key: str, value: KnownValue) -> None:
        known = self._known.get(key, UNKNOWN_VALUE)
        if known.modified_revision >= value.modified_revision:
            return
        self._known[key] = value
        self._unsaved[key] = value
        self._update_host(key, value)

    def _update_host(self, key: str, value: KnownValue) -> None:
        if key.startswith(HOST_KEY_PREFIX):
            host = key.removeprefix(HOST_KEY_PREFIX)
            self._drain_log.update_agreed(host, value.modified_revision, value.value)

    def has_unsaved(self) -> bool:
        """Whether there are changed values that `take_unsaved` has not returned yet."""
        return bool(self._unsaved)

    def take_unsaved(self) -> dict[str, KnownValue]:
        """Returns the unsaved values; each change is returned only once."""
        unsaved = self._unsaved
        self._unsaved = {}
        return unsaved
