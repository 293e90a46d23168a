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
    FOLLOW = 1  #: append after append, without waiting (10.2.1)
    SNAPSHOT = 2  #: what it lacks is no longer in the log


class Progress:
    """One member, as its leader sees it."""

    def __init__(self, next_index: int, now: int) -> None:
        self.match = 0  # its log agrees with ours up to here, durably
        self.next = next_index
        self.mode = ProgressMode.PROBE
        self.under_way: deque[int] = deque()  # the last index of each append that is not answered
        self.waits = False  # a probe, or an offer of a snapshot, is out
        self.sent = now  # when anything last went to it
        self.heard = now  # when it last answered
        self.active = True  # it has answered since the last look at the quorum
        self.round = 0  # the last round it has answered
        self.snapshot: Snapshot | None = None  # that is being sent
        self.held = self.sent_pieces = 0  # pieces it has, and pieces sent

    def probe(self, next_index: int) -> None:
        """Find out where the logs agree, from here downwards."""
        self.mode, self.next, self.waits = ProgressMode.PROBE, max(next_index, self.match + 1), False
        self.under_way.clear()
        self.snapshot = None

    def follow(self) -> None:
        """It agrees: send on without waiting."""
        self.mode, self.next, self.waits = ProgressMode.FOLLOW, self.match + 1, False
        self.under_way.clear()
        self.snapshot = None

    def send_snapshot(self, snapshot: Snapshot) -> None:
        """Begin with a snapshot: first ask what it has of it."""
        self.mode, self.snapshot, self.waits = ProgressMode.SNAPSHOT, snapshot, False
        self.held = self.sent_pieces = -1
        self.under_way.clear()

    def agreed(self, index: int) -> bool:
        """Its log agrees up to `index`; whether that is news."""
        news = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        while self.under_way and self.under_way[0] <= index:
            self.under_way.popleft()
        return news

    def full(self) -> bool:
        """Nothing more may go to it before it has answered."""
        if self.mode == ProgressMode.FOLLOW:
            return len(self.under_way) >= MAX_INFLIGHT_APPENDS
        return self.waits
