"""Log replication (3.5): the leader's appends, heartbeats and commits, and the follower's replies."""

from __future__ import annotations

from collections.abc import Sequence

from limerudder.store.raft.messages import AppendEntries, AppendEntriesReply, Entry
from limerudder.store.raft.progress import Progress, ProgressMode
from limerudder.store.raft.snapshots import SnapshotSender
from limerudder.store.raft.state import RaftState

MAX_APPEND_BYTES = 256 * 1024  #: Maximum size of the entries in one message; a larger entry is sent alone
MAX_APPEND_ENTRIES = 1024  #: Maximum number of entries in one message


class Replicator:
    """Leader side: replicates the log to the other members and commits entries stored by a majority."""

    def __init__(self, state: RaftState, snapshot_sender: SnapshotSender) -> None:
        self._state = state
        self._snapshot_sender = snapshot_sender

    # entries

    def send_entries_to_all(self, now_us: int) -> None:
        """Send every member its missing entries, within the limits of flow control."""
        last_index = self._state.log.last_index
        for member_id, progress in self._state.progress.items():
            if progress.mode == ProgressMode.SNAPSHOT:
                self._snapshot_sender.send_chunks(member_id, progress, now_us)
                continue
            while progress.next_index <= last_index and not progress.is_full():
                if not self._send_entries(member_id, progress, now_us):
                    break

    def _send_entries(self, member_id: int, progress: Progress, now_us: int) -> bool:
        """Send one append; returns False if the member needs a snapshot instead."""
        state = self._state
        prev_log_index = progress.next_index - 1
        prev_log_term = state.log.term_at(prev_log_index)
        if prev_log_term is None:
            self._snapshot_sender.start(member_id, progress, now_us)
            return False
        entries = state.log.entries_from(progress.next_index, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES)
        self._send_append(member_id, prev_log_index, prev_log_term, entries)
        progress.last_sent_us = now_us
        progress.record_append_sent(entries[-1].index)
        return True

    def _send_append(
        self, member_id: int, prev_log_index: int, prev_log_term: int, entries: tuple[Entry, ...]
    ) -> None:
        state = self._state
        message = AppendEntries(
            state.term, prev_log_index, prev_log_term, entries, state.commit_index, state.read_round
        )
        state.send(member_id, message)

    # heartbeats

    def send_heartbeats(self, now_us: int) -> None:
        """Send a heartbeat to every member."""
        for member_id, progress in self._state.progress.items():
            self._send_heartbeat(member_id, progress, now_us)

    def send_due_heartbeats(self, now_us: int) -> None:
        """Send a heartbeat to each member without a message in the last heartbeat interval."""
        for member_id, progress in self._state.progress.items():
            if now_us >= progress.last_sent_us + self._state.timing.heartbeat_interval_us:
                progress.resume()
                self._send_heartbeat(member_id, progress, now_us)

    def _send_heartbeat(self, member_id: int, progress: Progress, now_us: int) -> None:
        """Send an append without entries, which also detects the loss of earlier appends."""
        state = self._state
        progress.last_sent_us = now_us
        if progress.mode == ProgressMode.SNAPSHOT and progress.snapshot:
            self._snapshot_sender.send_heartbeat(member_id, progress)
            return
        prev_log_index = progress.next_index - 1
        prev_log_term = state.log.term_at(prev_log_index)
        if prev_log_term is not None:
            self._send_append(member_id, prev_log_index, prev_log_term, ())
        elif state.snapshot:
            progress.become_snapshot(state.snapshot)
            self._snapshot_sender.send_heartbeat(member_id, progress)

    def next_heartbeat_us(self) -> int | None:
        """The due time of the next heartbeat, or None if there are no other members."""
        last_sent = [progress.last_sent_us for progress in self._state.progress.values()]
        return min(last_sent) + self._state.timing.heartbeat_interval_us if last_sent else None

    # replies

    def on_reply(self, progress: Progress, message: AppendEntriesReply) -> bool:
        """Record a member's reply; returns whether its match index has advanced."""
        if not message.success:
            self._on_mismatch(progress, message)
            return False
        has_advanced = progress.record_match(message.index)
        if progress.mode != ProgressMode.REPLICATE:
            progress.become_replicate()
        return has_advanced

    def _on_mismatch(self, progress: Progress, message: AppendEntriesReply) -> None:
        if message.index <= progress.match_index or progress.mode == ProgressMode.SNAPSHOT:
            return  # outdated reply
        if progress.mode == ProgressMode.PROBE and message.index != progress.next_index - 1:
            return
        conflict_index = self._state.log.find_conflict_by_term(message.hint_index, message.hint_term)
        progress.become_probe(min(conflict_index, message.index - 1) + 1)

    def advance_commit(self) -> bool:
        """Commit the entries that a majority has made durable; returns whether the commit index has advanced.

        Only entries of the leader's own term are committed by counting replicas (3.6.2), which commits all
        earlier entries as well.
        """
        state = self._state
        voters = state.log.config.voter_ids()
        match_indexes = sorted(self._durable_index_of(voter_id) for voter_id in voters)
        index = match_indexes[(len(match_indexes) - 1) // 2]
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return False
        state.advance_commit_to(index)
        return True

    def _durable_index_of(self, voter_id: int) -> int:
        state = self._state
        if voter_id == state.member_id:
            return state.writes.durable_index
        return state.progress[voter_id].match_index


class AppendEntriesHandler:
    """Follower side: appends the leader's entries to the log."""

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def handle(self, sender: int, message: AppendEntries) -> None:
        """Append the entries if the log matches at `prev_log_index`, and reply."""
        state = self._state
        entries = message.entries
        if message.prev_log_index < state.log.base_index:  # a snapshot covers it, so it is committed
            entries = tuple(entry for entry in entries if entry.index > state.log.base_index)
            matches = True
        else:
            matches = state.log.term_at(message.prev_log_index) == message.prev_log_term
        if not matches:
            self._reply_mismatch(sender, message)
            return
        self._merge(entries)
        match_index = max(message.prev_log_index + len(message.entries), state.log.base_index)
        # Entries beyond `match_index` may conflict with the leader's log.
        state.advance_commit_to(min(message.leader_commit, match_index))
        reply = AppendEntriesReply(state.term, True, match_index, 0, 0, message.read_round)
        state.send_after_write(sender, reply)

    def _reply_mismatch(self, sender: int, message: AppendEntries) -> None:
        state = self._state
        index = message.prev_log_index
        hint_index = state.log.find_conflict_by_term(index, message.prev_log_term)
        hint_term = state.log.term_at(hint_index) or 0
        reply = AppendEntriesReply(state.term, False, index, hint_index, hint_term, message.read_round)
        state.send_after_write(sender, reply)

    def _merge(self, entries: Sequence[Entry]) -> None:
        """Append the missing entries, after deleting the first conflicting entry and all that follow it."""
        state = self._state
        for position, entry in enumerate(entries):
            term = state.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                state.truncate_log(entry.index)
            state.append_entries(entries[position:])
            return
