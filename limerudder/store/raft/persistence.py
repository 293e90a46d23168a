"""Records of what a member keeps on its disk: what it starts from, and the writes that it asks for."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from limerudder.store.raft.messages import ClusterConfig, Entry, Snapshot, SnapshotMeta


class HardState(NamedTuple):
    """The term and the vote in it, which must be durable before any message that depends on them leaves."""

    term: int
    voted_for: int


class SnapshotChunk(NamedTuple):
    """One chunk of a snapshot that is being received."""

    meta: SnapshotMeta
    number: int
    data: bytes


class IncomingSnapshot(NamedTuple):
    """A snapshot that has been received in part: its chunks from the first on, without a gap."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]


@dataclass(slots=True)
class RaftWrite:
    """Changes that must become durable together."""

    number: int
    hard_state: HardState | None = None
    truncate_from: int | None = None  # entries from here on are deleted before `entries` are added
    entries: tuple[Entry, ...] = ()
    snapshot_chunks: tuple[SnapshotChunk, ...] = ()
    install_snapshot: SnapshotMeta | None = None  # all its chunks are written: it replaces the snapshot
    keep_log_suffix: bool = False  # entries after the installed snapshot are kept


@dataclass(slots=True)
class PersistentState:
    """Everything durable that a member starts with."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    initial_config: ClusterConfig  # used only where there is no snapshot, which holds its own
    incoming_snapshot: IncomingSnapshot | None = None
