"""Cluster configuration changes, one voter at a time (chapter 4)."""

from __future__ import annotations

from limerudder.store.raft.errors import LeaderNotReadyError, MembershipChangeError
from limerudder.store.raft.messages import ClusterConfig, Member, MemberRole
from limerudder.store.raft.progress import Progress, ProgressMode
from limerudder.store.raft.state import RaftState


def check_change(state: RaftState, config: ClusterConfig) -> None:
    """Raise MembershipChangeError if the leader must not propose this configuration at present."""
    voters_before = state.log.config.voter_ids()
    voters_after = config.voter_ids()
    if state.log.config_index > state.commit_index:
        raise MembershipChangeError("another change is under way")
    if not state.has_committed_in_term:
        # An earlier leader's uncommitted change could be lost otherwise (Ongaro, raft-dev, 10 July 2015).
        raise LeaderNotReadyError("this leader has committed nothing yet")
    if len(voters_before ^ voters_after) > 1:
        raise MembershipChangeError("one voter at a time may come or go")
    if not voters_after:
        raise MembershipChangeError("the last voter cannot go")


def update_peers(state: RaftState, now_us: int) -> None:
    """Synchronize the tracked progress with the other members of the leader's configuration."""
    member_ids = {member.id for member in state.log.config.members}
    one_interval_ago_us = now_us - state.timing.heartbeat_interval_us
    for member_id in member_ids - state.progress.keys() - {state.member_id}:
        state.progress[member_id] = Progress(state.log.last_index + 1, one_interval_ago_us)
    for member_id in state.progress.keys() - member_ids:
        del state.progress[member_id]


def promote_caught_up_member(state: RaftState) -> ClusterConfig | None:
    """The configuration that promotes a caught-up joining member to voter (4.2.1), or None."""
    is_change_allowed = state.log.config_index <= state.commit_index and state.has_committed_in_term
    if not is_change_allowed:
        return None
    for member in state.log.config.members:
        if member.role == MemberRole.JOINING and _has_caught_up(state, member.id):
            return _with_voter(state.log.config, member)
    return None


def _has_caught_up(state: RaftState, member_id: int) -> bool:
    progress = state.progress.get(member_id)
    return (
        progress is not None
        and progress.match_index >= state.commit_index
        and progress.recently_active
        and progress.mode == ProgressMode.REPLICATE
    )


def _with_voter(config: ClusterConfig, joining: Member) -> ClusterConfig:
    voter = Member(joining.id, joining.name, joining.address, MemberRole.VOTER)
    return ClusterConfig(tuple(voter if member.id == joining.id else member for member in config.members))
