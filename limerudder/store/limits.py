"""Limits on the data that a member stores and accepts."""

from __future__ import annotations

from typing import NamedTuple

from limerudder.store.snapshots import SNAPSHOT_CHUNK_BYTES
from limerudder.store.state_machine import MAX_HISTORY_EVENTS


class MemberLimits(NamedTuple):
    """The limits of one member."""

    snapshot_after_entries: int = 20_000  # entries applied since the last snapshot that trigger a new one
    snapshot_after_bytes: int = 16 << 20  # size of the log in memory that triggers a new snapshot
    retained_entries: int = 1000  # number of log entries before a snapshot, for slightly lagging followers
    max_pending_requests: int = 4096  # client requests of this member; at the leader, writes of all members
    max_value_bytes: int = 64 << 10
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    max_history_events: int = MAX_HISTORY_EVENTS  # changes retained for watches
