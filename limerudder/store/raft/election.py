"""Elections: the randomized timeout (3.4), the pre-vote (9.6), and the votes."""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from limerudder.store.raft.messages import RequestVote, RequestVoteReply
from limerudder.store.raft.state import NO_LEADER, RaftRole, RaftState


class ElectionResult(Enum):
    """The state of an election or pre-vote."""

    UNDECIDED = auto()
    WON = auto()
    LOST = auto()


class Election:
    """A member's election timer, its own candidacy, and its replies to other candidates."""

    def __init__(self, state: RaftState, random: Random, now_us: int) -> None:
        self._state = state
        self._random = random
        self._votes: dict[int, bool] = {}  # voter id -> whether the vote was granted
        # Older than the leader lease, so that a vote may be granted immediately.
        self.last_leader_contact_us = now_us - 2 * state.timing.election_timeout_us
        self.deadline_us = 0
        self.reset_timer(now_us)

    def reset_timer(self, now_us: int) -> None:
        """Set the deadline to a random time, one to two election timeouts from now (3.4)."""
        timeout_us = self._state.timing.election_timeout_us
        self.deadline_us = now_us + timeout_us + self._random.randrange(timeout_us)

    # this member's candidacy

    def start_pre_vote(self, now_us: int) -> None:
        """Poll the other voters on whether they would vote for this member.

        A partitioned member keeps its term this way and does not disturb the leader when it reconnects
        (9.6). The caller records the member's own vote.
        """
        state = self._state
        state.set_role(RaftRole.PRE_CANDIDATE, NO_LEADER)
        self._votes = {}
        self.reset_timer(now_us)
        self._request_votes(state.term + 1, is_pre_vote=True, is_leader_transfer=False)

    def campaign(self, now_us: int, is_leader_transfer: bool = False) -> None:
        """Start an election in a new term. The member's own vote counts once it is durable."""
        state = self._state
        state.set_role(RaftRole.CANDIDATE, NO_LEADER)
        state.term += 1
        state.voted_for = state.member_id
        self._votes = {}
        self.reset_timer(now_us)
        self._request_votes(state.term, is_pre_vote=False, is_leader_transfer=is_leader_transfer)

    def _request_votes(self, term: int, is_pre_vote: bool, is_leader_transfer: bool) -> None:
        state = self._state
        log = state.log
        request = RequestVote(term, log.last_index, log.last_term, is_pre_vote, is_leader_transfer)
        for voter_id in sorted(log.config.voter_ids() - {state.member_id}):
            state.send_after_write(voter_id, request)

    def accepts_reply(self, sender: int, message: RequestVoteReply) -> bool:
        """Whether a reply belongs to the current election or pre-vote."""
        state = self._state
        expected_role = RaftRole.PRE_CANDIDATE if message.is_pre_vote else RaftRole.CANDIDATE
        if state.role != expected_role or sender not in state.log.config.voter_ids():
            return False
        # A granted pre-vote carries the term of the election that would follow.
        return not (message.is_pre_vote and message.granted and message.term != state.term + 1)

    def record_vote(self, voter_id: int, granted: bool) -> ElectionResult:
        """Count a granted or rejected vote."""
        self._votes[voter_id] = granted
        if self._state.is_majority(voter for voter, is_granted in self._votes.items() if is_granted):
            return ElectionResult.WON
        if self._state.is_majority(voter for voter, is_granted in self._votes.items() if not is_granted):
            return ElectionResult.LOST
        return ElectionResult.UNDECIDED

    # other candidates

    def ignores_request(self, message: RequestVote, now_us: int) -> bool:
        """Whether to ignore a candidate because there is a leader.

        This keeps members that receive no heartbeats from deposing the leader (4.2.3).
        """
        state = self._state
        lease_end_us = self.last_leader_contact_us + state.timing.election_timeout_us
        has_leader = state.is_leader or now_us < lease_end_us
        return has_leader and not message.is_leader_transfer and message.term > state.term

    def reply_to_pre_vote(self, sender: int, message: RequestVote) -> None:
        """Reply whether this member would vote for the sender."""
        state = self._state
        granted = message.term > state.term and self._is_up_to_date(message)
        term = message.term if granted else state.term
        state.send_after_write(sender, RequestVoteReply(term, granted, is_pre_vote=True))

    def reply_to_vote_request(self, sender: int, message: RequestVote, now_us: int) -> None:
        """Grant or reject a vote. The caller has already adopted a newer term."""
        state = self._state
        can_vote = state.voted_for in (NO_LEADER, sender) and state.leader_id == NO_LEADER
        granted = message.term == state.term and can_vote and self._is_up_to_date(message)
        if granted:
            state.voted_for = sender
            self.reset_timer(now_us)
        state.send_after_write(sender, RequestVoteReply(state.term, granted, is_pre_vote=False))

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this member's (3.6.1)."""
        log = self._state.log
        candidate_log = (message.last_log_term, message.last_log_index)
        return candidate_log >= (log.last_term, log.last_index)
