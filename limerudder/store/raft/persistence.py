"""Data types of a member's durable state: the state that it starts from, and the writes that it requests."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from limerudder.store.raft.messages import ClusterConfig, Entry, Snapshot, SnapshotMeta


class HardState(NamedTuple):
    """The term and the vote in it; both must be durable before a message that depends on them is sent."""

    term: int
    voted_for: int


class SnapshotChunk(NamedTuple):
    """One received chunk of an incomplete snapshot."""

    meta: SnapshotMeta
    number: int
    data: bytes


class IncomingSnapshot(NamedTuple):
    """A partially received snapshot: its chunks from the first one on, without gaps."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]


@dataclass(slots=True)
class RaftWrite:
    """Changes that must become durable atomically."""

    number: int
    hard_state: HardState | None = None
    truncate_from: int | None = None  # first index to delete before `entries` are added
    entries: tuple[Entry, ...] = ()
    snapshot_chunks: tuple[SnapshotChunk, ...] = ()
    install_snapshot: SnapshotMeta | None = None  # snapshot with all chunks written; replaces the old one
    keep_log_suffix: bool = False  # entries after the installed snapshot are retained


@dataclass(slots=True)
class PersistentState:
    """The durable state that a member starts from."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    initial_config: ClusterConfig  # used only without a snapshot, which contains its own
    incoming_snapshot: IncomingSnapshot | None = None
