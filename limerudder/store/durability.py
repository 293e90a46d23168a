"""Data types of a member's durable state, and of the jobs that change it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from limerudder.store.drain_log import DrainFact, NumberedFact
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.raft.messages import ClusterConfig, Snapshot, SnapshotMeta, snapshot_digest
from limerudder.store.raft.persistence import PersistentState, RaftWrite
from limerudder.store.snapshots import SnapshotView


class PersistedValue(NamedTuple):
    """A member's persisted copy of a replicated key; `value` is None if the key was removed."""

    modified_revision: int
    value: bytes | None


@dataclass(slots=True)
class SnapshotJob:
    """A snapshot to be encoded and stored; `build` can run in another thread, since the view is a copy."""

    index: int
    term: int
    config: ClusterConfig
    view: SnapshotView
    keep_from_index: int  # log entries before this one may be deleted once the snapshot is stored

    def build(self) -> Snapshot:
        """Encodes the snapshot."""
        chunks = tuple(self.view.chunks())
        meta = SnapshotMeta(self.index, self.term, self.config, len(chunks), snapshot_digest(chunks))
        return Snapshot(meta, chunks)


@dataclass(slots=True)
class DurabilityJob:
    """Changes that are made durable together, in one transaction."""

    number: int
    raft_write: RaftWrite | None = None
    snapshot: SnapshotJob | None = None
    new_facts: tuple[NumberedFact, ...] = ()
    deleted_facts: tuple[int, ...] = ()
    persisted_values: Mapping[str, PersistedValue] = field(default_factory=dict)  # key -> value
    proofs: Mapping[int, DurabilityProof] = field(default_factory=dict)  # member id -> proof


class DurableState(NamedTuple):
    """The durable state that a member starts with."""

    raft_state: PersistentState
    drain_facts: Mapping[int, DrainFact]  # fact number -> fact
    persisted_values: Mapping[str, PersistedValue]  # key -> value
