"""Helpers of the tests of data directories."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from limerudder.store.disk import Disk, MemberIdentity
from limerudder.store.durability import DurabilityJob
from limerudder.store.raft.messages import (
    ClusterConfig,
    Entry,
    EntryKind,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.persistence import PersistentState, RaftWrite

CONFIG = ClusterConfig((MemberEntry(5, "n0", "127.0.0.1:7000"),))
IDENTITY = MemberIdentity(9, 5, "n0")


def create_disk(folder: Path) -> Disk:
    """Create the data directory `s` of one member."""
    return Disk(str(folder / "s"), IDENTITY, CONFIG)


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    """Return log entries with distinct data."""
    return tuple(Entry(n, term, EntryKind.DATA, f"{n}.{term}".encode()) for n in range(first, last + 1))


def write_job(number: int, **changes: Any) -> DurabilityJob:
    """Return a job that makes changes of the Raft state durable."""
    return DurabilityJob(number, RaftWrite(number, **changes))


def load_raft_state(folder: Path) -> PersistentState:
    """Return the Raft state in the data directory `s`."""
    with Disk(str(folder / "s")) as disk:
        return disk.load(begin_incarnation=False).durable_state.raft_state
