"""Limits on what a member keeps and accepts."""

from __future__ import annotations

from typing import NamedTuple

from limerudder.store.snapshots import SNAPSHOT_CHUNK_BYTES
from limerudder.store.state_machine import MAX_HISTORY_EVENTS


class MemberLimits(NamedTuple):
    """The limits of one member."""

    snapshot_after_entries: int = 20_000  # applied since the last snapshot: a new one is due
    snapshot_after_bytes: int = 16 << 20  # or once the log in memory has this size
    kept_entries: int = 1000  # behind a snapshot, for followers that are a little late
    max_pending_requests: int = 4096  # of this member's clients, and of all members at the leader
    max_value_bytes: int = 64 << 10
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    max_history_events: int = MAX_HISTORY_EVENTS  # changes kept for watches
