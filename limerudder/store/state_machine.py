"""The replicated state machine: a versioned key-value store that each member builds from the same log.

Each change gets a revision. Applying a command depends only on the state and the command, so all members that
have applied the same log have the same state. This module uses no I/O, clock or randomness.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator, Sequence

import msgspec

from limerudder.store.commands import (
    CloseSession,
    CommandResult,
    Compare,
    CompareTarget,
    Delete,
    Get,
    Item,
    OpenSession,
    Operation,
    Put,
    SessionWrite,
    Transaction,
    decode_command,
)
from limerudder.store.sessions import Session
from limerudder.store.snapshots import SNAPSHOT_CHUNK_BYTES, SnapshotView, decode_snapshot

MAX_SESSIONS = 4096  #: Maximum number of open sessions; opening another closes the least recently used
MAX_UNACKNOWLEDGED_RESULTS = 512  #: Maximum number of results kept, and so of writes in flight, per session
MAX_HISTORY_EVENTS = 10_000  #: Default number of changes kept for watches
MAX_CHANGES = 1000  #: Default maximum number of changes returned by a call


class ChangeEvent(msgspec.Struct, frozen=True, array_like=True):
    """A change of a key; `item` is None if the key was removed."""

    revision: int
    key: str
    item: Item | None


class CompactedError(Exception):
    """The requested changes have been discarded; `revision` is the last discarded one."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"changes up to revision {revision} are no longer kept")
        self.revision = revision


class KeyValueState:
    """The keys, the client sessions, and a bounded history of changes."""

    def __init__(self, max_history_events: int = MAX_HISTORY_EVENTS) -> None:
        self.items: dict[str, Item] = {}
        self.sessions: dict[int, Session] = {}  # least recently used first
        self.revision = 0
        self.applied_index = 0  # index of the last applied log entry
        self.history: deque[ChangeEvent] = deque()
        self.compacted_revision = 0  # changes up to this revision have been discarded
        self._sorted_keys: list[str] = []
        self._max_history_events = max_history_events

    def apply(self, index: int, data: bytes) -> CommandResult:
        """Applies the command of the log entry at this index."""
        assert index > self.applied_index, "each entry is applied once, in order"
        self.applied_index = index
        try:
            command = decode_command(data)
        except msgspec.DecodeError as exc:  # deterministic on every member; the entry changes nothing
            return self._rejection(f"a command that cannot be read: {exc}")
        match command:
            case OpenSession():
                return self._open_session()
            case CloseSession(session_id):
                self.sessions.pop(session_id, None)
                return CommandResult(index, self.revision)
            case SessionWrite():
                return self._write(command)
        raise AssertionError("every type of command is handled above")

    def _rejection(self, error: str) -> CommandResult:
        return CommandResult(self.applied_index, self.revision, False, (), error)

    def _open_session(self) -> CommandResult:
        while len(self.sessions) >= MAX_SESSIONS:
            least_recently_used = next(iter(self.sessions))
            del self.sessions[least_recently_used]
        self.sessions[self.applied_index] = Session()
        return CommandResult(self.applied_index, self.revision)

    def _write(self, command: SessionWrite) -> CommandResult:
        session = self.sessions.pop(command.session_id, None)
        if session is None:
            return self._rejection("the session has ended")
        self.sessions[command.session_id] = session  # now the most recently used
        session.acknowledge(command.acknowledged_serial)
        if command.serial in session.results:
            return session.results[command.serial]
        if command.serial <= session.acknowledged_serial:
            return self._rejection("the session has passed this serial")
        if len(session.results) >= MAX_UNACKNOWLEDGED_RESULTS:
            return self._rejection("too many results of the session are not seen")
        result = self._run(command.transaction)
        session.results[command.serial] = result
        return result

    def _run(self, transaction: Transaction) -> CommandResult:
        succeeded = all(map(self._is_true, transaction.comparisons))
        operations = transaction.on_success if succeeded else transaction.on_failure
        items = self._execute(operations)
        while len(self.history) > self._max_history_events:
            self.compacted_revision = self.history.popleft().revision
        return CommandResult(self.applied_index, self.revision, succeeded, items)

    def _execute(self, operations: Sequence[Operation]) -> tuple[Item | None, ...]:
        """Executes the operations at one new revision, or at the current one if none changes the state."""
        revision = self.revision + 1
        changed = False
        items: list[Item | None] = []
        for operation in operations:
            match operation:
                case Put(key, value):
                    self._set(key, value, revision)
                    changed = True
                case Delete(key):
                    removed = self._remove(key, revision)
                    changed = changed or removed
                case Get(key):
                    items.append(self.items.get(key))
        if changed:
            self.revision = revision
        return tuple(items)

    def _is_true(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        match compare.target:
            case CompareTarget.VALUE:
                return item is not None and item.value == compare.value
            case CompareTarget.MODIFIED:
                return (item.modified_revision if item else 0) == compare.number
            case CompareTarget.VERSION:
                return (item.version if item else 0) == compare.number

    def _set(self, key: str, value: bytes, revision: int) -> None:
        previous = self.items.get(key)
        if previous is None:
            insort(self._sorted_keys, key)
            item = Item(value, revision, revision, 1)
        else:
            item = Item(value, previous.created_revision, revision, previous.version + 1)
        self.items[key] = item
        self.history.append(ChangeEvent(revision, key, item))

    def _remove(self, key: str, revision: int) -> bool:
        if self.items.pop(key, None) is None:
            return False
        del self._sorted_keys[bisect_left(self._sorted_keys, key)]
        self.history.append(ChangeEvent(revision, key, None))
        return True

    def get(self, key: str) -> Item | None:
        """Returns the item of a key, or None if the key does not exist."""
        return self.items.get(key)

    def list_prefix(self, prefix: str, max_items: int | None = None) -> list[tuple[str, Item]]:
        """Returns the keys with this prefix and their items, sorted by key."""
        found: list[tuple[str, Item]] = []
        for position in range(bisect_left(self._sorted_keys, prefix), len(self._sorted_keys)):
            key = self._sorted_keys[position]
            if not key.startswith(prefix) or len(found) == max_items:
                break
            found.append((key, self.items[key]))
        return found

    def changes_since(
        self, revision: int, prefix: str = "", max_changes: int = MAX_CHANGES
    ) -> tuple[list[ChangeEvent], int]:
        """Returns the changes after a revision, and the revision up to which they are complete.

        All changes of a transaction are returned together, so that a watch never receives only some of them.
        Raises CompactedError if some of the changes have been discarded.
        """
        if revision < self.compacted_revision:
            raise CompactedError(self.compacted_revision)
        found: list[ChangeEvent] = []
        complete_revision = self.revision
        for event in self._events_after(revision):
            if len(found) >= max_changes and event.revision != found[-1].revision:
                complete_revision = event.revision - 1
                break
            if event.key.startswith(prefix):
                found.append(event)
        return found, complete_revision

    def _events_after(self, revision: int) -> Iterator[ChangeEvent]:
        newest_first: list[ChangeEvent] = []
        for event in reversed(self.history):
            if event.revision <= revision:
                break
            newest_first.append(event)
        return reversed(newest_first)

    def snapshot_view(self, chunk_bytes: int = SNAPSHOT_CHUNK_BYTES) -> SnapshotView:
        """Returns a copy of the state that can be encoded later, in chunks of about this size."""
        return SnapshotView(self.applied_index, self.revision, self.items, self.sessions, chunk_bytes)

    def restore(self, chunks: Sequence[bytes]) -> None:
        """Replaces the state with a snapshot; raises SnapshotError without changes if it is malformed."""
        header, items, sessions = decode_snapshot(chunks)
        self.items = items
        self.sessions = sessions
        self.revision = header.revision
        self.applied_index = header.applied_index
        self._sorted_keys = sorted(items)
        self.history.clear()
        self.compacted_revision = header.revision  # snapshots contain no change history
