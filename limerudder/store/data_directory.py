"""What is done to members' folders while no process has them: begin a cluster, join, restore, recover."""

from __future__ import annotations

import base64
import os
import secrets
from collections.abc import Sequence

import msgspec

from limerudder.store.backup import read_backup
from limerudder.store.disk import Disk, DiskError, MemberIdentity
from limerudder.store.raft.messages import (
    ClusterConfig,
    EntryKind,
    Member,
    MemberRole,
    Snapshot,
    SnapshotMeta,
)
from limerudder.store.raft.raft import HardState, snapshot_digest
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import KeyValueState


class JoinToken(msgspec.Struct, frozen=True, array_like=True):
    """What a new member's folder is made from."""

    cluster: int
    member: Member


_encode = msgspec.msgpack.Encoder().encode


def random_id() -> int:
    """A member's or a cluster's number."""
    return secrets.randbits(63) | 1


def init_cluster(folder: str, members: Sequence[tuple[str, str]]) -> list[str]:
    """Begin a cluster: a folder for each member, to be taken to its machine; gives them."""
    names = [name for name, _ in members]
    addresses = [address for _, address in members]
    if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
        raise DiskError("each member needs a name and an address of its own")
    cluster = random_id()
    config = ClusterConfig(tuple(Member(random_id(), name, address) for name, address in members))
    made = []
    for one in config.members:
        path = os.path.join(folder, one.name)
        Disk(path, MemberIdentity(cluster, one.id, one.name), config).close()
        made.append(path)
    return made


def encode_join_token(cluster: int, member: Member) -> str:
    """A ticket as a word."""
    return base64.urlsafe_b64encode(_encode(JoinToken(cluster, member))).decode()


def join_cluster(folder: str, ticket: str) -> Member:
    """Make a new member's folder from its ticket."""
    try:
        told: JoinToken = msgspec.msgpack.decode(base64.urlsafe_b64decode(ticket.encode()), type=JoinToken)
    except (ValueError, msgspec.DecodeError) as exc:
        raise DiskError(f"that is no ticket: {exc}") from None
    Disk(folder, MemberIdentity(told.cluster, told.member.id, told.member.name), ClusterConfig(())).close()
    return told.member


def restore_backup(folder: str, backup: str, members: Sequence[tuple[str, str]]) -> list[str]:
    """Begin a new cluster with a backup's records."""
    _, old = read_backup(backup)
    records = KeyValueState()
    try:
        records.restore(old.pieces)
    except SnapshotError as exc:
        raise DiskError(f"{backup}: {exc}") from None
    made = init_cluster(folder, members)
    for path in made:
        disk = Disk(path)
        try:
            opened = disk.load(count_start=False)
            config: ClusterConfig = opened.member_start.raft_state.config
            meta = SnapshotMeta(old.meta.index, 1, config, old.meta.pieces, old.meta.digest)
            disk.start_new_cluster(opened.identity, HardState(1, 0), Snapshot(meta, old.pieces))
        finally:
            disk.close()
    return made


class DataLoss(msgspec.Struct, frozen=True):
    """What a recovery found, and what it cannot know."""

    name: str
    last: int  # the last entry here
    snapshot: int
    unknown: int  # entries here that may never have been agreed on, and are taken as if they had
    others: tuple[str, ...]  # members that may have had more


def recover_single_member(folder: str, do: bool) -> DataLoss:
    """Begin a new cluster of this one member with all that it has, after its quorum is lost for good.

    Without `do` only what that would mean is told.
    """
    disk = Disk(folder)
    try:
        opened = disk.load(count_start=False)
        saved = opened.member_start.raft_state
        records = KeyValueState()
        if saved.snapshot:
            records.restore(saved.snapshot.pieces)
        config = saved.snapshot.meta.config if saved.snapshot else saved.config
        base = records.applied_index
        for entry in saved.entries:
            if entry.index > base:
                if entry.kind == EntryKind.DATA:
                    records.apply(entry.index, entry.data)
                records.applied_index = entry.index
                if entry.kind == EntryKind.CONFIG:
                    config = msgspec.msgpack.decode(entry.data, type=ClusterConfig)
        me = opened.identity
        others = tuple(one.name for one in config.members if one.id != me.member_id)
        lost = DataLoss(me.name, records.applied_index, base, records.applied_index - base, others)
        if do:
            mine = config.get(me.member_id) or Member(me.member_id, me.name, "127.0.0.1:1")
            alone = ClusterConfig((Member(random_id(), me.name, mine.address, MemberRole.VOTER),))
            pieces = tuple(records.snapshot_view().chunks())
            term = saved.hard.term + 1
            meta = SnapshotMeta(records.applied_index, term, alone, len(pieces), snapshot_digest(pieces))
            identity = MemberIdentity(random_id(), alone.members[0].id, me.name)
            disk.start_new_cluster(identity, HardState(term, 0), Snapshot(meta, pieces))
        return lost
    except SnapshotError as exc:
        raise DiskError(f"{folder}: {exc}") from None
    finally:
        disk.close()
