"""The end of leadership: the quorum check (6.2) and the transfer to another member (3.10)."""

from __future__ import annotations

from limerudder.store.raft.messages import TimeoutNow
from limerudder.store.raft.state import NO_LEADER, RaftState


class QuorumCheck:
    """Makes a leader step down if no majority has replied within an election timeout (6.2).

    Clients of a partitioned leader would otherwise wait until their requests time out.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self.deadline_us = 0

    def start(self, now_us: int) -> None:
        """Begin a new period of one election timeout."""
        self.deadline_us = now_us + self._state.timing.election_timeout_us

    def has_failed(self, now_us: int) -> bool:
        """Whether the period ended without replies from a majority; begins the next period when one ends."""
        if now_us < self.deadline_us:
            return False
        self.start(now_us)
        state = self._state
        active = {member_id for member_id, progress in state.progress.items() if progress.recently_active}
        for progress in state.progress.values():
            progress.recently_active = False
        return not state.is_majority(active | {state.member_id})


class LeadershipTransfer:
    """A transfer of leadership to a voter. The leader rejects proposals during the transfer (3.10)."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self.target_id = NO_LEADER
        self._deadline_us = 0

    @property
    def in_progress(self) -> bool:
        """Whether leadership is being transferred."""
        return self.target_id != NO_LEADER

    def start(self, target_id: int, now_us: int) -> None:
        """Transfer leadership to `target_id` as soon as its log is complete."""
        self.target_id = target_id
        self._deadline_us = now_us + self._state.timing.election_timeout_us
        self.complete_if_caught_up()

    def cancel(self) -> None:
        """Cancel the transfer, to remain the leader or because the term has ended."""
        self.target_id = NO_LEADER

    def cancel_if_expired(self, now_us: int) -> None:
        """Cancel the transfer if the target has not become leader within an election timeout."""
        if self.in_progress and now_us >= self._deadline_us:
            self.cancel()

    def complete_if_caught_up(self) -> None:
        """Request an election from the target if its log is complete."""
        state = self._state
        progress = state.progress.get(self.target_id)
        if progress and progress.match_index == state.log.last_index:
            state.send(self.target_id, TimeoutNow(state.term))

    def best_target(self) -> int:
        """The responsive voter with the longest log, or NO_LEADER if there is none."""
        state = self._state
        voters = state.log.config.voter_ids()
        candidates = [
            (progress.match_index, member_id)
            for member_id, progress in state.progress.items()
            if progress.recently_active and member_id in voters
        ]
        return max(candidates)[1] if candidates else NO_LEADER


def request_successor_election(state: RaftState) -> None:
    """Request an immediate election from a voter with a complete log, if there is one.

    Called by a leader that has been removed from the configuration, to save the election timeout.
    """
    voters = state.log.config.voter_ids()
    candidates = [
        (progress.match_index, member_id)
        for member_id, progress in state.progress.items()
        if member_id in voters
    ]
    if not candidates:
        return
    match_index, member_id = max(candidates)
    if match_index == state.log.last_index:
        state.send(member_id, TimeoutNow(state.term))
