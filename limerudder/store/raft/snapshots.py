"""Snapshots: log compaction (5.1), and transfer to a member that lacks deleted entries (5.3, 5.4)."""

from __future__ import annotations

from limerudder.store.raft.log import RaftLog
from limerudder.store.raft.messages import (
    AppendEntriesReply,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Snapshot,
    SnapshotMeta,
    snapshot_digest,
)
from limerudder.store.raft.persistence import IncomingSnapshot, SnapshotChunk
from limerudder.store.raft.progress import CHUNKS_UNKNOWN, MAX_INFLIGHT_CHUNKS, Progress
from limerudder.store.raft.state import RaftState


def compact_log(state: RaftState, snapshot: Snapshot, retained_entries: int) -> None:
    """Delete entries that a durable snapshot of this member covers, except the last `retained_entries`."""
    meta = snapshot.meta
    if meta.index <= state.log.base_index:
        return
    assert meta.index <= state.commit_index, "a snapshot covers only committed entries"
    state.snapshot = snapshot
    # The retained entries allow a slightly lagging member to catch up without a snapshot.
    compact_up_to = max(meta.index - retained_entries, state.log.base_index)
    state.log.compact(min(compact_up_to, state.delivered_index))


class SnapshotSender:
    """Leader side: sends a snapshot in chunks, and resumes an interrupted transfer."""

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def start(self, member_id: int, progress: Progress, now_us: int) -> None:
        """Start to send the current snapshot, if there is one."""
        if self._state.snapshot:
            progress.become_snapshot(self._state.snapshot)
            self.send_chunks(member_id, progress, now_us)

    def send_chunks(self, member_id: int, progress: Progress, now_us: int) -> None:
        """Query the number of received chunks first; then send chunks up to the in-flight limit."""
        snapshot = progress.snapshot
        assert snapshot
        if progress.chunks_received == CHUNKS_UNKNOWN:
            if not progress.is_paused:
                progress.is_paused = True
                progress.last_sent_us = now_us
                self._send_chunk(member_id, snapshot.meta, 0, b"")
            return
        while progress.chunks_sent < min(
            progress.chunks_received + MAX_INFLIGHT_CHUNKS, snapshot.meta.chunk_count
        ):
            number = progress.chunks_sent
            self._send_chunk(member_id, snapshot.meta, number, snapshot.chunks[number])
            progress.chunks_sent += 1
            progress.last_sent_us = now_us

    def send_heartbeat(self, member_id: int, progress: Progress) -> None:
        """Query the number of received chunks, to detect lost ones."""
        assert progress.snapshot
        replacement = self._state.snapshot
        if replacement is not progress.snapshot and replacement and progress.snapshot.has_oversized_chunk():
            progress.become_snapshot(replacement)  # the one being sent can never arrive
        assert progress.snapshot
        self._send_chunk(member_id, progress.snapshot.meta, max(progress.chunks_received, 0), b"")

    def _send_chunk(self, member_id: int, meta: SnapshotMeta, number: int, data: bytes) -> None:
        state = self._state
        state.send(member_id, InstallSnapshotChunk(state.term, meta, number, data, state.read_round))

    def on_reply(self, progress: Progress, message: InstallSnapshotReply) -> None:
        """Record the number of chunks that the receiver reports, if it is for the current snapshot."""
        meta = progress.snapshot.meta if progress.snapshot else None
        if meta is None or (meta.index, meta.digest) != (message.snapshot_index, message.snapshot_digest):
            return
        progress.record_chunks_received(message.chunks_received)


class SnapshotReceiver:
    """Follower side: collects the chunks and installs the snapshot when it is complete."""

    def __init__(self, state: RaftState, incoming: IncomingSnapshot | None) -> None:
        self._state = state
        self._meta: SnapshotMeta | None = None
        self._chunks: list[bytes] = []
        if incoming:
            self._meta = incoming.meta
            self._chunks = list(incoming.chunks)

    @property
    def incoming(self) -> IncomingSnapshot | None:
        """The partially received snapshot, or None."""
        return IncomingSnapshot(self._meta, tuple(self._chunks)) if self._meta else None

    def on_chunk(self, sender: int, message: InstallSnapshotChunk) -> None:
        """Add a chunk, and install the snapshot once it is complete."""
        state = self._state
        meta = message.meta
        if meta.index <= state.commit_index:  # the snapshot covers only entries that are committed here
            self._reply_installed(sender, state.commit_index, message.read_round)
            return
        if self._meta is None or self._meta != meta:
            self._meta = meta
            self._chunks = []
        if message.chunk_number == len(self._chunks) and message.data:
            self._chunks.append(message.data)
            state.writes.add_chunk(SnapshotChunk(meta, message.chunk_number, message.data))
        if len(self._chunks) < meta.chunk_count:
            self._reply_chunks_received(sender, meta, len(self._chunks), message.read_round)
            return
        chunks = self._chunks
        self._meta = None
        self._chunks = []
        if snapshot_digest(chunks) != meta.digest:  # corrupted in transit: restart the transfer
            self._reply_chunks_received(sender, meta, 0, message.read_round)
            return
        self._install(Snapshot(meta, tuple(chunks)))
        self._reply_installed(sender, meta.index, message.read_round)

    def _reply_chunks_received(
        self, sender: int, meta: SnapshotMeta, chunks_received: int, read_round: int
    ) -> None:
        reply = InstallSnapshotReply(self._state.term, meta.index, meta.digest, chunks_received, read_round)
        self._state.send_after_write(sender, reply)

    def _reply_installed(self, sender: int, index: int, read_round: int) -> None:
        """Reply that the log matches up to `index`, as after an append."""
        reply = AppendEntriesReply(self._state.term, True, index, 0, 0, read_round)
        self._state.send_after_write(sender, reply)

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        meta = snapshot.meta
        keep_log_suffix = state.log.term_at(meta.index) == meta.term  # entries after the snapshot are valid
        if keep_log_suffix:
            state.log.compact(meta.index)
        else:
            state.log = RaftLog(meta.index, meta.term, meta.config)
        state.writes.install_snapshot(meta, keep_log_suffix)
        state.snapshot = snapshot
        state.commit_index = meta.index
        state.delivered_index = meta.index
        state.output.installed_snapshot = snapshot
        state.output.committed_entries = []
