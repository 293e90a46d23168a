"""Durable copies of the replicated keys that the node needs at startup.

A restarted member has no leader or quorum yet, and its replicated state may lag far behind the cluster's.
The node therefore starts with the last values that this member received.
"""

from __future__ import annotations

from collections.abc import Mapping

from limerudder.store.drain_log import HOST_KEY_PREFIX, DrainLog
from limerudder.store.durability import PersistedValue
from limerudder.store.state_machine import KeyValueState

COPIED_PREFIXES = (HOST_KEY_PREFIX, "config/", "list/")  #: Prefixes of the keys that are copied
NO_PERSISTED_VALUE = PersistedValue(0, None)


class PersistedValues:
    """Tracks the copied keys of the replicated state, and passes agreed host records to the drain log."""

    def __init__(
        self, persisted: Mapping[str, PersistedValue], state: KeyValueState, drain_log: DrainLog
    ) -> None:
        self._persisted = dict(persisted)
        self._unsaved: dict[str, PersistedValue] = {}
        self._state = state
        self._drain_log = drain_log
        for key, value in persisted.items():
            self._update_host(key, value)

    def get(self, key: str) -> PersistedValue:
        """Returns a key's value from the replicated state, or the persisted one if that is newer."""
        persisted = self._persisted.get(key, NO_PERSISTED_VALUE)
        item = self._state.get(key)
        if item and item.modified_revision >= persisted.modified_revision:
            return PersistedValue(item.modified_revision, item.value)
        return persisted

    def refresh(self) -> None:
        """Copies all keys from the replicated state, after a snapshot has replaced it.

        A snapshot does not tell which keys were removed: a copy that is not newer than the state and that the
        state lacks is one of them. At a start the copies may be newer than the last snapshot.
        """
        for prefix in COPIED_PREFIXES:
            for key, item in self._state.list_prefix(prefix):
                self._update(key, PersistedValue(item.modified_revision, item.value))
        for key, copy in list(self._persisted.items()):
            if copy.value is not None and self._state.get(key) is None:
                self._update(key, PersistedValue(self._state.revision, None))

    def refresh_changes(self, since_revision: int) -> None:
        """Copies the keys changed after a revision."""
        changes, _ = self._state.changes_since(since_revision)
        for change in changes:
            if change.key.startswith(COPIED_PREFIXES):
                value = change.item.value if change.item else None
                self._update(change.key, PersistedValue(change.revision, value))

    def _update(self, key: str, value: PersistedValue) -> None:
        persisted = self._persisted.get(key, NO_PERSISTED_VALUE)
        if persisted.modified_revision > value.modified_revision or persisted == value:
            return
        self._persisted[key] = value
        self._unsaved[key] = value
        self._update_host(key, value)

    def _update_host(self, key: str, value: PersistedValue) -> None:
        if key.startswith(HOST_KEY_PREFIX):
            host = key.removeprefix(HOST_KEY_PREFIX)
            self._drain_log.update_agreed(host, value.modified_revision, value.value)

    def has_unsaved(self) -> bool:
        """Whether there are changed values that `take_unsaved` has not returned yet."""
        return bool(self._unsaved)

    def take_unsaved(self) -> dict[str, PersistedValue]:
        """Returns the unsaved values; each change is returned only once."""
        unsaved = self._unsaved
        self._unsaved = {}
        return unsaved
