"""Applies committed log entries to the replicated state, and notifies callers that wait for an entry."""

from __future__ import annotations

from typing import NamedTuple

from limerudder.store.calls import TimeCallback
from limerudder.store.commands import CommandResult
from limerudder.store.persisted_values import PersistedValues
from limerudder.store.raft.messages import Entry, EntryKind, Snapshot
from limerudder.store.state_machine import KeyValueState


class _Waiter(NamedTuple):
    entry_index: int
    callback: TimeCallback


class LogApplier:
    """Keeps the replicated state and the locally persisted values up to date with the committed log."""

    def __init__(self, state: KeyValueState, persisted_values: PersistedValues) -> None:
        self._state = state
        self._persisted_values = persisted_values
        self._waiters: list[_Waiter] = []

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the replicated state with a snapshot; raises SnapshotError if it cannot be decoded."""
        self._state.restore(snapshot.chunks)
        self._persisted_values.refresh()

    def apply(self, entry: Entry) -> CommandResult | None:
        """Applies an entry; returns the result of its command, or None if it has no command."""
        if entry.kind != EntryKind.DATA:
            self._state.applied_index = entry.index
            return None
        previous_revision = self._state.revision
        result = self._state.apply(entry.index, entry.data)
        if self._state.revision != previous_revision:
            self._persisted_values.refresh_changes(previous_revision)
        return result

    def when_applied(self, index: int, callback: TimeCallback, now_us: int) -> None:
        """Calls back once the entry at this index has been applied locally; immediately if it already has."""
        if self._state.applied_index >= index:
            callback(now_us)
        else:
            self._waiters.append(_Waiter(index, callback))

    def notify_waiters(self, now_us: int) -> None:
        """Runs the callbacks that wait for entries applied by now."""
        applied_index = self._state.applied_index
        due = [waiter for waiter in self._waiters if waiter.entry_index <= applied_index]
        self._waiters = [waiter for waiter in self._waiters if waiter.entry_index > applied_index]
        for waiter in due:
            waiter.callback(now_us)
