"""An in-memory disk with the same data as `limerudder.store.disk`; only applied jobs survive a crash."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from limerudder.store.drain_log import decode_fact, encode_fact
from limerudder.store.durability import DurabilityJob, DurableState, PersistedValue
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import ClusterConfig, Entry, Snapshot
from limerudder.store.raft.persistence import (
    HardState,
    IncomingSnapshot,
    PersistentState,
    RaftWrite,
    SnapshotChunk,
)


@dataclass
class MemoryDisk:
    """The durable data of a member."""

    config: ClusterConfig
    hard_state: HardState = field(default_factory=lambda: HardState(0, 0))
    log: dict[int, Entry] = field(default_factory=dict)  # entries by index
    snapshot: Snapshot | None = None
    incoming_snapshot: IncomingSnapshot | None = None
    facts: dict[int, bytes] = field(default_factory=dict)  # encoded facts of the drain log by number
    known: dict[str, PersistedValue] = field(default_factory=dict)  # persisted values by store key
    incarnation: Incarnation = field(default_factory=lambda: Incarnation(0, 0))
    proofs: dict[int, DurabilityProof] = field(default_factory=dict)  # proofs by member

    def copy(self) -> MemoryDisk:
        """Return a copy that later jobs do not change."""
        return replace(
            self, log=dict(self.log), facts=dict(self.facts), known=dict(self.known), proofs=dict(self.proofs)
        )

    def load(self) -> DurableState:
        """Return the state that a member loads at its start."""
        entries = [self.log[index] for index in sorted(self.log)]
        facts = {number: decode_fact(data) for number, data in self.facts.items()}
        saved = PersistentState(self.hard_state, self.snapshot, entries, self.config, self.incoming_snapshot)
        return DurableState(saved, facts, dict(self.known))

    def apply(self, job: DurabilityJob) -> Snapshot | None:
        """Make a job durable; returns the snapshot that was built for it."""
        if job.raft_write:
            self._apply_raft_write(job.raft_write)
        built_snapshot = None
        if job.snapshot:
            built_snapshot = job.snapshot.build()
            self.snapshot = built_snapshot
            keep_from = job.snapshot.keep_from_index
            self._delete_entries(lambda index: index < keep_from)
        for fact_number, fact in job.new_facts:
            self.facts[fact_number] = encode_fact(fact)
        for fact_number in job.deleted_facts:
            self.facts.pop(fact_number, None)
        for key, persisted_value in job.persisted_values.items():
            self.known[key] = persisted_value
        self.proofs.update(job.proofs)
        return built_snapshot

    def _apply_raft_write(self, write: RaftWrite) -> None:
        if write.hard_state:
            self.hard_state = write.hard_state
        if write.truncate_from is not None:
            first_deleted = write.truncate_from
            self._delete_entries(lambda index: index >= first_deleted)
        for chunk in write.snapshot_chunks:
            self._add_chunk(chunk)
        if write.install_snapshot:
            assert self.incoming_snapshot and self.incoming_snapshot.meta == write.install_snapshot
            self._install_incoming_snapshot(self.incoming_snapshot, write.keep_log_suffix)
        for entry in write.entries:
            assert entry.index not in self.log, "entry overwritten without truncation"
            self.log[entry.index] = entry

    def _add_chunk(self, chunk: SnapshotChunk) -> None:
        incoming = self.incoming_snapshot
        is_continued = incoming is not None and incoming.meta == chunk.meta and chunk.number > 0
        chunks = incoming.chunks if incoming and is_continued else ()
        assert chunk.number == len(chunks), "snapshot chunk out of order"
        self.incoming_snapshot = IncomingSnapshot(chunk.meta, (*chunks, chunk.data))

    def _install_incoming_snapshot(self, incoming: IncomingSnapshot, keep_log_suffix: bool) -> None:
        self.snapshot = Snapshot(incoming.meta, incoming.chunks)
        self.incoming_snapshot = None
        if keep_log_suffix:
            self._delete_entries(lambda index: index <= incoming.meta.index)
        else:
            self.log.clear()

    def _delete_entries(self, is_deleted: Callable[[int], bool]) -> None:
        for index in [index for index in self.log if is_deleted(index)]:
            del self.log[index]
