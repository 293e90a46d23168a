"""Linearizable reads without log entries: the ReadIndex protocol (6.4)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from limerudder.store.raft.output import ConfirmedRead
from limerudder.store.raft.state import RaftState


class _PendingRead(NamedTuple):
    read_id: int
    read_index: int  # the commit index when the read was requested
    round: int  # a majority must reply to a message of this round or a later one


class ReadIndex:
    """Reads that wait until a majority has confirmed this member's leadership.

    Every message to a follower carries the number of the current round, which the follower echoes. A read is
    assigned to a round of which no message has been sent yet: replies of a majority to that round prove that
    no later leader had committed anything before the read was requested.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._next_id = 1
        self._round_is_unsent = False
        self._pending: deque[_PendingRead] = deque()  # ordered by round
        self._waiting_for_commit: list[int] = []  # ids of reads until this leader's first commit

    def request(self) -> int:
        """Start a read and return its id; the output reports it as confirmed or aborted."""
        read_id = self._next_id
        self._next_id += 1
        if not self._state.has_committed_in_term:
            # An earlier leader may have committed entries beyond this leader's commit index.
            self._waiting_for_commit.append(read_id)
        else:
            self._start(read_id)
        return read_id

    def _start(self, read_id: int) -> None:
        state = self._state
        if not self._round_is_unsent:  # all reads before the next heartbeat share one round
            state.read_round += 1
            self._round_is_unsent = True
            state.heartbeat_requested = True
        self._pending.append(_PendingRead(read_id, state.commit_index, state.read_round))

    def start_waiting(self) -> None:
        """Start the waiting reads after the commit of the leader's first entry."""
        for read_id in self._waiting_for_commit:
            self._start(read_id)
        self._waiting_for_commit = []

    def mark_round_sent(self) -> None:
        """Record that messages of the current round are being sent; later reads need a new round."""
        self._round_is_unsent = False

    def confirm(self) -> None:
        """Report the reads whose round has replies from a majority."""
        state = self._state
        while self._pending:
            read = self._pending[0]
            confirming = {
                member_id
                for member_id, progress in state.progress.items()
                if progress.acked_read_round >= read.round
            }
            if not state.is_majority(confirming | {state.member_id}):
                return
            self._pending.popleft()
            state.output.confirmed_reads.append(ConfirmedRead(read.read_id, read.read_index))

    def abort_all(self) -> None:
        """Report all reads as aborted after the loss of leadership."""
        aborted = self._state.output.aborted_reads
        aborted.extend(read.read_id for read in self._pending)
        aborted.extend(self._waiting_for_commit)
        self._pending.clear()
        self._waiting_for_commit = []
