"""Collects changes that are to be made durable into jobs, and notifies the callers that wait for them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from limerudder.store.calls import TimeCallback
from limerudder.store.drain_log import DrainLog
from limerudder.store.durability import DurabilityJob, SnapshotJob
from limerudder.store.limits import MemberLimits
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.persisted_values import PersistedValues
from limerudder.store.raft.messages import Snapshot
from limerudder.store.raft.persistence import RaftWrite
from limerudder.store.raft.raft import Raft
from limerudder.store.state_machine import KeyValueState


class _FactWaiter(NamedTuple):
    fact_number: int
    callback: TimeCallback


class DurabilityScheduler:
    """Numbers the jobs, schedules snapshots, and tracks which jobs have completed."""

    def __init__(
        self,
        raft: Raft,
        state: KeyValueState,
        drain_log: DrainLog,
        persisted_values: PersistedValues,
        limits: MemberLimits,
    ) -> None:
        self._raft = raft
        self._state = state
        self._drain_log = drain_log
        self._persisted_values = persisted_values
        self._limits = limits
        self._last_job_number = 0
        self._unsaved_raft_write: RaftWrite | None = None
        self._raft_writes: dict[int, int] = {}  # job number -> Raft's number of its write
        self._facts_in_jobs: dict[int, list[int]] = {}  # job number -> numbers of its facts
        self._fact_waiters: list[_FactWaiter] = []
        self._unsaved_proofs: dict[int, DurabilityProof] = {}  # member id -> proof
        self._snapshot_in_progress = False
        self._checked_snapshot: Snapshot | None = None  # Checked once, since a snapshot may have many chunks
        self._checked_snapshot_is_oversized = False

    def record_proofs(self, proofs: Mapping[int, DurabilityProof]) -> None:
        """Adds other members' durability proofs to the next job."""
        self._unsaved_proofs.update(proofs)

    @property
    def has_raft_write(self) -> bool:
        """Whether Raft's last write is in no job yet; the next one must wait until it is."""
        return self._unsaved_raft_write is not None

    def add_raft_write(self, raft_write: RaftWrite | None) -> None:
        """Adds Raft's write to the next job."""
        self._unsaved_raft_write = raft_write

    def next_job(self) -> DurabilityJob | None:
        """Returns a job with all changes since the last one, or None if there are none."""
        raft_write = self._unsaved_raft_write
        snapshot = self._due_snapshot()
        unsaved = (
            self._drain_log.has_unsaved() or self._persisted_values.has_unsaved() or self._unsaved_proofs
        )
        if not (raft_write or snapshot or unsaved):
            return None
        self._last_job_number += 1
        facts = self._drain_log.take_unsaved()
        job = DurabilityJob(
            self._last_job_number,
            raft_write,
            snapshot,
            facts.added,
            facts.deleted,
            self._persisted_values.take_unsaved(),
            self._unsaved_proofs,
        )
        self._unsaved_proofs = {}
        self._unsaved_raft_write = None
        if raft_write:
            self._raft_writes[job.number] = raft_write.number
        if facts.added:
            self._facts_in_jobs[job.number] = [added.number for added in facts.added]
        return job

    def on_job_durable(self, job_number: int, snapshot: Snapshot | None, now_us: int) -> None:
        """Handles the completion of a job; `snapshot` is the one built for it, if any."""
        write_number = self._raft_writes.pop(job_number, None)
        if write_number is not None:
            self._raft.on_write_durable(write_number, now_us)
        if snapshot:
            self._snapshot_in_progress = False
            self._raft.compact(snapshot, self._limits.retained_entries)
        self._notify_fact_waiters(self._facts_in_jobs.pop(job_number, []), now_us)

    def when_durable(self, fact_number: int, callback: TimeCallback, now_us: int) -> None:
        """Calls back once a fact of the drain log is durable, immediately if it is already."""
        in_job = any(fact_number in numbers for numbers in self._facts_in_jobs.values())
        if in_job or self._drain_log.is_unsaved(fact_number):
            self._fact_waiters.append(_FactWaiter(fact_number, callback))
        else:
            callback(now_us)

    def _notify_fact_waiters(self, durable_facts: list[int], now_us: int) -> None:
        due = [waiter for waiter in self._fact_waiters if waiter.fact_number in durable_facts]
        self._fact_waiters = [
            waiter for waiter in self._fact_waiters if waiter.fact_number not in durable_facts
        ]
        for waiter in due:
            waiter.callback(now_us)

    def _due_snapshot(self) -> SnapshotJob | None:
        if self._snapshot_in_progress or not self._is_snapshot_due():
            return None
        self._snapshot_in_progress = True
        return self.capture_snapshot()

    def _is_snapshot_due(self) -> bool:
        applied_index = self._state.applied_index
        last_snapshot = self._raft.snapshot
        entries_since = applied_index - (last_snapshot.meta.index if last_snapshot else 0)
        if entries_since >= self._limits.snapshot_after_entries:
            return True
        if entries_since > 0 and last_snapshot and self._is_oversized(last_snapshot):
            return True
        return self._raft.log.size_bytes >= self._limits.snapshot_after_bytes and entries_since > 0

    def _is_oversized(self, snapshot: Snapshot) -> bool:
        if snapshot is not self._checked_snapshot:
            self._checked_snapshot = snapshot
            self._checked_snapshot_is_oversized = snapshot.has_oversized_chunk()
        return self._checked_snapshot_is_oversized

    def capture_snapshot(self) -> SnapshotJob:
        """Returns a job to encode and store the current replicated state."""
        log = self._raft.log
        applied_index = self._state.applied_index
        term = log.term_at(applied_index)
        assert term is not None, "the last applied entry is in the log or at its base"
        return SnapshotJob(
            index=applied_index,
            term=term,
            config=log.config_at(applied_index),
            view=self._state.snapshot_view(self._limits.snapshot_chunk_bytes),
            keep_from_index=max(applied_index - self._limits.retained_entries, log.base_index) + 1,
        )
