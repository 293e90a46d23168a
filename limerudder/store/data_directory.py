"""Creates members' data directories: for a new cluster, a joining member, or from a backup.

The members must not be running. For a cluster that has lost its quorum, see `recovery`.
"""

from __future__ import annotations

import base64
import os
import secrets
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from limerudder.store.backup import read_backup
from limerudder.store.disk import Disk, MemberIdentity
from limerudder.store.disk_errors import InvalidBackupError, InvalidJoinTokenError, InvalidMembersError
from limerudder.store.raft.messages import ClusterConfig, Member, Snapshot
from limerudder.store.raft.persistence import HardState
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import KeyValueState

ID_BITS = 63
NO_VOTE = 0
RESTORED_TERM = 1  #: Term of a restored snapshot and first term of its cluster


class MemberAddress(NamedTuple):
    """Name and address of an initial member of a cluster."""

    name: str
    address: str  # IPv4:PORT


class JoinToken(msgspec.Struct, frozen=True, array_like=True):
    """Cluster and identity of a new member, from which its data directory is created."""

    cluster_id: int
    member: Member


_encode = msgspec.msgpack.Encoder().encode


def random_id() -> int:
    """Return a new random identifier of a member or cluster, which is never 0."""
    return secrets.randbits(ID_BITS) | 1


def init_cluster(parent_directory: str, members: Sequence[MemberAddress | tuple[str, str]]) -> list[str]:
    """Create a data directory for each member of a new cluster; return their paths.

    The operator moves each directory to its member's machine. Raises DiskError.
    """
    names = {name for name, _ in members}
    addresses = {address for _, address in members}
    if len(names) < len(members) or len(addresses) < len(members):
        raise InvalidMembersError("names and addresses of members must be unique")
    cluster_id = random_id()
    config = ClusterConfig(tuple(Member(random_id(), name, address) for name, address in members))
    directories = []
    for member in config.members:
        directory = os.path.join(parent_directory, member.name)
        Disk(directory, MemberIdentity(cluster_id, member.id, member.name), config).close()
        directories.append(directory)
    return directories


def encode_join_token(cluster_id: int, member: Member) -> str:
    """Encode the token from which `join_cluster` creates the member's data directory."""
    return base64.urlsafe_b64encode(_encode(JoinToken(cluster_id, member))).decode()


def decode_join_token(text: str) -> JoinToken:
    """Decode a join token; raises InvalidJoinTokenError."""
    try:
        return msgspec.msgpack.decode(base64.urlsafe_b64decode(text.encode()), type=JoinToken)
    except (ValueError, msgspec.DecodeError) as error:
        raise InvalidJoinTokenError(f"invalid ticket: {error}") from error


def join_cluster(directory: str, token_text: str) -> Member:
    """Create a new member's data directory from its join token. Raises DiskError."""
    token = decode_join_token(token_text)
    member = token.member
    # a joining member receives the configuration from the leader
    empty_config = ClusterConfig(())
    Disk(directory, MemberIdentity(token.cluster_id, member.id, member.name), empty_config).close()
    return member


def restore_backup(
    parent_directory: str, backup_path: str, members: Sequence[MemberAddress | tuple[str, str]]
) -> list[str]:
    """Create the data directories of a new cluster with the state of a backup; return their paths.

    Raises DiskError.
    """
    snapshot = read_backup(backup_path).snapshot
    try:
        KeyValueState().restore(snapshot.chunks)
    except SnapshotError as error:
        raise InvalidBackupError(f"{backup_path}: {error}") from error
    directories = init_cluster(parent_directory, members)
    for directory in directories:
        with Disk(directory) as disk:
            _start_with_snapshot(disk, snapshot)
    return directories


def _start_with_snapshot(disk: Disk, snapshot: Snapshot) -> None:
    contents = disk.load(begin_incarnation=False)
    config = contents.durable_state.raft_state.initial_config
    meta = msgspec.structs.replace(snapshot.meta, term=RESTORED_TERM, config=config)
    hard_state = HardState(RESTORED_TERM, NO_VOTE)
    disk.start_new_cluster(contents.identity, hard_state, Snapshot(meta, snapshot.chunks))
