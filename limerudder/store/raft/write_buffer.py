"""Collects changes that must become durable, and tracks which writes are durable."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from limerudder.store.raft.errors import LostWriteError
from limerudder.store.raft.messages import Entry, SnapshotMeta
from limerudder.store.raft.persistence import HardState, RaftWrite, SnapshotChunk

NO_VOTE = 0  #: Reserved term without an election


@dataclass(slots=True)
class PendingWrite:
    """A write that is not durable yet."""

    number: int
    last_index: int  # last index of the log once the write is durable
    self_vote_term: int  # term of the vote for itself that the write records, or NO_VOTE
    started_us: int


class WriteBuffer:
    """Changes since the last write, and the writes that are not durable yet.

    Every change of the log must be reported here, to keep track of the durable index.
    """

    def __init__(self, hard_state: HardState, durable_index: int) -> None:
        self.durable_index = durable_index  # last durable index of the log
        self._written_hard_state = hard_state  # hard state in the last write, durable or not
        self._last_number = 0
        self._pending: deque[PendingWrite] = deque()
        self._has_changes = False
        self._entries: list[Entry] = []
        self._truncate_from: int | None = None
        self._snapshot_chunks: list[SnapshotChunk] = []
        self._install_snapshot: SnapshotMeta | None = None
        self._keep_log_suffix = False

    # changes

    def append(self, entries: Sequence[Entry]) -> None:
        """Record that entries have been added to the log."""
        if not entries:
            return
        self._has_changes = True
        self._entries.extend(entries)

    def truncate(self, first_index: int) -> None:
        """Record that the log's entries from `first_index` on have been deleted."""
        self._has_changes = True
        self.durable_index = min(self.durable_index, first_index - 1)
        self._limit_pending(first_index - 1)
        self._entries = [entry for entry in self._entries if entry.index < first_index]
        if self._truncate_from is None:
            self._truncate_from = first_index
        else:
            self._truncate_from = min(first_index, self._truncate_from)

    def add_chunk(self, chunk: SnapshotChunk) -> None:
        """Record that a chunk of a snapshot has been received."""
        self._has_changes = True
        self._snapshot_chunks.append(chunk)

    def install_snapshot(self, meta: SnapshotMeta, keep_log_suffix: bool) -> None:
        """Record that a complete snapshot replaces the log, or only the part of it that it covers."""
        self._has_changes = True
        if keep_log_suffix:
            self._entries = [entry for entry in self._entries if entry.index > meta.index]
        else:
            self._entries = []
            self._truncate_from = None
            self.durable_index = meta.index
            self._limit_pending(meta.index)
        self._install_snapshot = meta
        self._keep_log_suffix = keep_log_suffix

    def _limit_pending(self, last_index: int) -> None:
        for write in self._pending:
            write.last_index = min(write.last_index, last_index)

    # writes

    def next_write(
        self, hard_state: HardState, member_id: int, last_index: int, now_us: int
    ) -> RaftWrite | None:
        """Return the next write, or None if nothing has changed since the last one."""
        hard_state_changed = hard_state != self._written_hard_state
        if not (hard_state_changed or self._has_changes):
            return None
        self._last_number += 1
        write = RaftWrite(
            self._last_number,
            hard_state if hard_state_changed else None,
            self._truncate_from,
            tuple(self._entries),
            tuple(self._snapshot_chunks),
            self._install_snapshot,
            self._keep_log_suffix,
        )
        self._clear_changes()
        self._written_hard_state = hard_state
        votes_for_self = hard_state_changed and hard_state.voted_for == member_id
        self_vote_term = hard_state.term if votes_for_self else NO_VOTE
        self._pending.append(PendingWrite(self._last_number, last_index, self_vote_term, now_us))
        return write

    def _clear_changes(self) -> None:
        self._has_changes = False
        self._entries = []
        self._truncate_from = None
        self._snapshot_chunks = []
        self._install_snapshot = None
        self._keep_log_suffix = False

    def complete(self, number: int, last_index: int) -> PendingWrite:
        """Mark the oldest pending write durable and return it.

        Raises LostWriteError if `number` is not its number: nothing must count as durable then.
        """
        oldest = self._pending[0].number if self._pending else None
        if oldest != number:
            raise LostWriteError(f"write {number} is durable, but the oldest pending one is {oldest}")
        write = self._pending.popleft()
        self.durable_index = max(self.durable_index, min(write.last_index, last_index))
        return write

    def is_stalled(self, now_us: int, timeout_us: int) -> bool:
        """Whether the oldest pending write has been pending for longer than `timeout_us`."""
        return bool(self._pending) and now_us - self._pending[0].started_us > timeout_us
