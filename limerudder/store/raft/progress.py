"""What a leader knows about another member: how far the logs match, and what is in flight to it."""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from limerudder.store.raft.messages import Snapshot

MAX_INFLIGHT_APPENDS = 32  #: unanswered appends to a member in REPLICATE mode
MAX_INFLIGHT_CHUNKS = 4  #: unanswered chunks of a snapshot
CHUNKS_UNKNOWN = -1  #: the member has not said yet how many chunks it holds


class ProgressMode(IntEnum):
    """How entries are sent to a member, as in etcd's raft."""

    PROBE = 0  #: one append at a time, until it is known where the logs match
    REPLICATE = 1  #: append after append, without waiting for the answers (10.2.1)
    SNAPSHOT = 2  #: the entries that the member needs are no longer in the log


class Progress:
    """The leader's view of one other member."""

    def __init__(self, next_index: int, now_us: int) -> None:
        self.match_index = 0  # the logs match up to here, durably
        self.next_index = next_index
        self.mode = ProgressMode.PROBE
        self.inflight: deque[int] = deque()  # the last index of each unanswered append
        self.is_paused = False  # a probe, or the question which chunks the member holds, is unanswered
        self.last_sent_us = now_us
        self.last_heard_us = now_us
        self.recently_active = True  # has answered since the last quorum check
        self.acked_read_round = 0
        self.snapshot: Snapshot | None = None  # the one that is being sent
        self.chunks_held = 0
        self.chunks_sent = 0

    def become_probe(self, next_index: int) -> None:
        """Find out where the logs match, from `next_index` downwards."""
        self.mode = ProgressMode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self._reset_flow()

    def become_replicate(self) -> None:
        """The logs match: send entries without waiting for answers."""
        self.mode = ProgressMode.REPLICATE
        self.next_index = self.match_index + 1
        self._reset_flow()

    def become_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot, beginning with the question how much of it the member holds."""
        self.mode = ProgressMode.SNAPSHOT
        self._reset_flow()
        self.snapshot = snapshot
        self.chunks_held = CHUNKS_UNKNOWN
        self.chunks_sent = CHUNKS_UNKNOWN

    def _reset_flow(self) -> None:
        self.is_paused = False
        self.inflight.clear()
        self.snapshot = None

    def record_match(self, index: int) -> bool:
        """The logs match up to `index`; returns whether this is further than known."""
        is_further = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()
        return is_further

    def record_append_sent(self, last_index: int) -> None:
        """An append that ends with `last_index` has been sent."""
        if self.mode == ProgressMode.REPLICATE:
            self.next_index = last_index + 1
            self.inflight.append(last_index)
        else:
            self.is_paused = True

    def record_chunks_held(self, chunks_held: int) -> None:
        """The member holds this many chunks of the snapshot that is being sent."""
        has_lost_chunks = chunks_held < self.chunks_held
        if self.chunks_held == CHUNKS_UNKNOWN or has_lost_chunks:
            self.chunks_sent = chunks_held
        self.chunks_held = chunks_held
        self.chunks_sent = max(self.chunks_sent, chunks_held)
        self.is_paused = False

    def resume(self) -> None:
        """Take what is in flight for lost, and allow it to be sent again."""
        self.is_paused = False
        if self.mode == ProgressMode.SNAPSHOT:
            self.chunks_sent = self.chunks_held

    def is_full(self) -> bool:
        """Whether the member has to answer before more entries are sent."""
        if self.mode == ProgressMode.REPLICATE:
            return len(self.inflight) >= MAX_INFLIGHT_APPENDS
        return self.is_paused
