"""Answers of the control calls `status` and `members`; the names of the JSON fields must not change."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limerudder.store.raft.messages import Member as MemberEntry

if TYPE_CHECKING:
    from limerudder.store.member import Member
    from limerudder.store.store import Store

MICROSECONDS_PER_MILLISECOND = 1000


class StoreStatus(msgspec.Struct, frozen=True):
    """The state of one member."""

    cluster: str
    name: str
    member: str
    role: str = msgspec.field(name="standing")
    leader: str  # Empty if there is no leader
    term: int
    revision: int
    committed_index: int = msgspec.field(name="committed")
    applied_index: int = msgspec.field(name="applied")
    first_log_index: int = msgspec.field(name="log_from")
    last_log_index: int = msgspec.field(name="log_to")
    max_staleness_ms: int = msgspec.field(name="age_ms")
    keys: int
    sessions: int
    pending_calls: int = msgspec.field(name="waiting")
    pending_facts: int = msgspec.field(name="facts_waiting")
    disk_error: str = msgspec.field(name="disk_failing")  # Error of the write that is being retried
    is_disk_stalled: bool = msgspec.field(name="disk_stuck")
    dropped_messages: int = msgspec.field(name="dropped")
    starts: int = msgspec.field(name="start")


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the cluster, and its replication progress as recorded by the answering member."""

    name: str
    member: str
    address: str
    role: str
    is_leader: bool = msgspec.field(name="leads")
    is_connected: bool = msgspec.field(name="connected")
    # None unless the answering member is the leader or this member
    match_index: int | None = msgspec.field(name="match")
    # Time since this member's last reply to the leader; None for the leader, and in answers of followers
    last_heard_ms: int | None = msgspec.field(name="heard_ms")


def store_status(store: Store) -> StoreStatus:
    """Return the state of a member."""
    member = store.member
    raft = member.raft
    now_us = store.now_us()
    leader = member.config.find_by_id(raft.leader_id)
    return StoreStatus(
        cluster=f"{store.identity.cluster_id:016x}",
        name=store.identity.name,
        member=f"{member.member_id:016x}",
        role=raft.role.status_text,
        leader=leader.name if leader else "",
        term=raft.term,
        revision=member.state.revision,
        committed_index=raft.commit_index,
        applied_index=member.state.applied_index,
        first_log_index=raft.log.base_index + 1,
        last_log_index=raft.log.last_index,
        max_staleness_ms=member.max_staleness_us(now_us) // MICROSECONDS_PER_MILLISECOND,
        keys=len(member.state.items),
        sessions=len(member.state.sessions),
        pending_calls=len(member.pending_calls),
        pending_facts=len(member.drain_log.pending_facts),
        disk_error=store.disk_error,
        is_disk_stalled=raft.is_disk_stalled(now_us),
        dropped_messages=store.transport.dropped_messages,
        starts=store.incarnation.number,
    )


def member_statuses(store: Store) -> list[MemberStatus]:
    """Return the members of the cluster according to this member."""
    return [_member_status(store, entry) for entry in store.member.config.members]


def _member_status(store: Store, entry: MemberEntry) -> MemberStatus:
    member = store.member
    is_self = entry.id == member.member_id
    return MemberStatus(
        name=entry.name,
        member=f"{entry.id:016x}",
        address=entry.address,
        role=entry.role.name.lower(),
        is_leader=entry.id == member.raft.leader_id,
        is_connected=is_self or store.transport.is_connected_to(entry.id),
        match_index=_match_index(member, entry.id),
        last_heard_ms=_last_heard_ms(member, entry.id, store.now_us()),
    )


def _match_index(member: Member, peer_id: int) -> int | None:
    progress = member.raft.progress.get(peer_id)
    if progress:
        return progress.match_index
    return member.raft.durable_index if peer_id == member.member_id else None


def _last_heard_ms(member: Member, peer_id: int, now_us: int) -> int | None:
    progress = member.raft.progress.get(peer_id)
    if progress is None:
        return None
    return (now_us - progress.last_reply_us) // MICROSECONDS_PER_MILLISECOND
