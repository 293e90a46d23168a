"""Linearizable reads without log entries: the ReadIndex protocol (6.4)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from limerudder.store.raft.output import ConfirmedRead
from limerudder.store.raft.state import RaftState


class _PendingRead(NamedTuple):
    read_id: int
    read_index: int  # the commit index when the read was requested
    round: int  # a majority has to answer a message of this round or a later one


class ReadIndex:
    """The leader's reads that wait until a majority has confirmed its leadership.

    Every message to a follower carries the number of the current round, and the follower returns it. A read
    belongs to a round of which nothing had been sent when the read was requested: a majority's answers to
    that round prove that no later leader had committed anything before the request.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._next_id = 1
        self._round_is_unsent = False
        self._pending: deque[_PendingRead] = deque()  # in the order of their rounds
        self._waiting_for_commit: list[int] = []  # ids of reads before the leader's first entry is committed

    def request(self) -> int:
        """Begin a read and return its id; the output reports it as confirmed or aborted."""
        read_id = self._next_id
        self._next_id += 1
        if not self._state.has_committed_in_term:
            # An earlier leader may have committed entries that this one does not know to be committed.
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
        """Start the reads that waited for the leader's first entry, which is committed now."""
        for read_id in self._waiting_for_commit:
            self._start(read_id)
        self._waiting_for_commit = []

    def mark_round_sent(self) -> None:
        """Messages of the current round are being sent: later reads need another round."""
        self._round_is_unsent = False

    def confirm(self) -> None:
        """Report the reads whose round a majority has answered."""
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
        """Report all reads as aborted: this member does not lead any more."""
        aborted = self._state.output.aborted_reads
        aborted.extend(read.read_id for read in self._pending)
        aborted.extend(self._waiting_for_commit)
        self._pending.clear()
        self._waiting_for_commit = []
