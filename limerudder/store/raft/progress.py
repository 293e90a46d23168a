"""A leader's view of another member: how far the logs match, and which messages are in flight."""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from limerudder.store.raft.messages import Snapshot

MAX_INFLIGHT_APPENDS = 32  #: Maximum number of unanswered appends to a member in REPLICATE mode
MAX_INFLIGHT_CHUNKS = 4  #: Maximum number of unanswered snapshot chunks per member
CHUNKS_UNKNOWN = -1  #: The member has not yet reported its number of received chunks


class ProgressMode(IntEnum):
    """The replication mode of a member, as in etcd's raft."""

    PROBE = 0  #: One append at a time, until the matching index is found
    REPLICATE = 1  #: Pipelined appends, without waiting for replies (10.2.1)
    SNAPSHOT = 2  #: A snapshot, because the required entries are no longer in the log


class Progress:
    """The leader's view of one other member."""

    def __init__(self, next_index: int, now_us: int) -> None:
        self.match_index = 0  # last index up to which the member's durable log matches
        self.next_index = next_index
        self.mode = ProgressMode.PROBE
        self.inflight: deque[int] = deque()  # last index of each unanswered append
        self.is_paused = False  # a probe or a query for the received chunks is unanswered
        self.last_sent_us = now_us
        self.last_reply_us = now_us
        self.recently_active = True  # the member has replied since the last quorum check
        self.acked_read_round = 0
        self.snapshot: Snapshot | None = None  # snapshot that is being sent
        self.chunks_received = 0
        self.chunks_sent = 0

    def become_probe(self, next_index: int) -> None:
        """Search for the last matching index, from `next_index` downwards."""
        self.mode = ProgressMode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self._reset_flow()

    def become_replicate(self) -> None:
        """Start to pipeline entries, as the logs match."""
        self.mode = ProgressMode.REPLICATE
        self.next_index = self.match_index + 1
        self._reset_flow()

    def become_snapshot(self, snapshot: Snapshot) -> None:
        """Start to send a snapshot; the first message queries the chunks that the member has received."""
        self.mode = ProgressMode.SNAPSHOT
        self._reset_flow()
        self.snapshot = snapshot
        self.chunks_received = CHUNKS_UNKNOWN
        self.chunks_sent = CHUNKS_UNKNOWN

    def _reset_flow(self) -> None:
        self.is_paused = False
        self.inflight.clear()
        self.snapshot = None

    def record_match(self, index: int) -> bool:
        """Record that the logs match up to `index`; returns whether this raises the match index."""
        has_advanced = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()
        return has_advanced

    def record_append_sent(self, last_index: int) -> None:
        """Record that an append ending with `last_index` has been sent."""
        if self.mode == ProgressMode.REPLICATE:
            self.next_index = last_index + 1
            self.inflight.append(last_index)
        else:
            self.is_paused = True

    def record_chunks_received(self, chunks_received: int) -> None:
        """Record the number of chunks that the member has received of the current snapshot."""
        has_lost_chunks = chunks_received < self.chunks_received
        if self.chunks_received == CHUNKS_UNKNOWN or has_lost_chunks:
            self.chunks_sent = chunks_received
        self.chunks_received = chunks_received
        self.chunks_sent = max(self.chunks_sent, chunks_received)
        self.is_paused = False

    def resume(self) -> None:
        """Treat an unanswered probe, query or snapshot chunk as lost, and allow it to be sent again."""
        self.is_paused = False
        if self.mode == ProgressMode.SNAPSHOT:
            self.chunks_sent = self.chunks_received

    def is_full(self) -> bool:
        """Whether the flow control window is full: no entries are sent until the member replies."""
        if self.mode == ProgressMode.REPLICATE:
            return len(self.inflight) >= MAX_INFLIGHT_APPENDS
        return self.is_paused
