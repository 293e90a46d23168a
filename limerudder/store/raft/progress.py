"""What a leader knows of a member: how far its log agrees, and how much is under way to it."""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from limerudder.store.raft.messages import Snapshot

MAX_INFLIGHT_APPENDS = 32  #: appends under way to a member that follows
MAX_INFLIGHT_CHUNKS = 4  #: pieces of a snapshot under way


class ProgressMode(IntEnum):
    """How entries go to a member."""

    PROBE = 0  #: one append at a time, until it is known where the logs agree
    REPLICATE = 1  #: append after append, without waiting (10.2.1)
    SNAPSHOT = 2  #: what it lacks is no longer in the log


class Progress:
    """One member, as its leader sees it."""

    def __init__(self, next_index: int, now: int) -> None:
        self.match_index = 0  # its log agrees with ours up to here, durably
        self.next_index = next_index
        self.mode = ProgressMode.PROBE
        self.inflight: deque[int] = deque()  # the last index of each append that is not answered
        self.is_paused = False  # a probe, or an offer of a snapshot, is out
        self.last_sent_us = now  # when anything last went to it
        self.last_heard_us = now  # when it last answered
        self.recently_active = True  # it has answered since the last look at the quorum
        self.acked_read_round = 0  # the last round it has answered
        self.snapshot: Snapshot | None = None  # that is being sent
        self.chunks_held = self.chunks_sent = 0  # pieces it has, and pieces sent

    def become_probe(self, next_index: int) -> None:
        """Find out where the logs agree, from here downwards."""
        self.mode, self.next_index, self.is_paused = (
            ProgressMode.PROBE,
            max(next_index, self.match_index + 1),
            False,
        )
        self.inflight.clear()
        self.snapshot = None

    def become_replicate(self) -> None:
        """It agrees: send on without waiting."""
        self.mode, self.next_index, self.is_paused = ProgressMode.REPLICATE, self.match_index + 1, False
        self.inflight.clear()
        self.snapshot = None

    def become_snapshot(self, snapshot: Snapshot) -> None:
        """Begin with a snapshot: first ask what it has of it."""
        self.mode, self.snapshot, self.is_paused = ProgressMode.SNAPSHOT, snapshot, False
        self.chunks_held = self.chunks_sent = -1
        self.inflight.clear()

    def record_match(self, index: int) -> bool:
        """Its log agrees up to `index`; whether that is news."""
        news = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()
        return news

    def is_full(self) -> bool:
        """Nothing more may go to it before it has answered."""
        if self.mode == ProgressMode.REPLICATE:
            return len(self.inflight) >= MAX_INFLIGHT_APPENDS
        return self.is_paused
