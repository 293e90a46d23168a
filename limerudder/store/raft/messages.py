"""Raft's messages, log entries, snapshots and cluster configurations.

All of them are immutable and are encoded by msgspec as MessagePack arrays, on the wire and on disk: the
order of their fields and the tags are part of both formats, the names are not.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from zlib import crc32

import msgspec

ENTRY_OVERHEAD_BYTES = 24  #: of an entry besides its data, about


class EntryKind(IntEnum):
    """What an entry holds."""

    DATA = 0  #: a command for the state machine
    CONFIG = 1  #: the cluster configuration from this entry on
    EMPTY = 2  #: a new leader's first entry


class MemberRole(IntEnum):
    """A member's part in the cluster."""

    VOTER = 0
    JOINING = 1  #: receives the log without a vote, and becomes a voter once it has caught up (4.2.1)
    LEARNER = 2  #: receives the log and never has a vote


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member. Its id is drawn at random together with its disk and is never used with another disk."""

    id: int
    name: str
    address: str
    role: MemberRole = MemberRole.VOTER


class ClusterConfig(msgspec.Struct, frozen=True, array_like=True):
    """The members of the cluster."""

    members: tuple[Member, ...]

    def voter_ids(self) -> frozenset[int]:
        """The ids of the members that have a vote."""
        return frozenset(member.id for member in self.members if member.role == MemberRole.VOTER)

    def find_by_id(self, member_id: int) -> Member | None:
        """The member with this id, or None."""
        return next((member for member in self.members if member.id == member_id), None)

    def find_by_name(self, name: str) -> Member | None:
        """The member with this name, or None."""
        return next((member for member in self.members if member.name == name), None)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""

    def size_bytes(self) -> int:
        """The approximate size of the encoded entry."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Describes and identifies a snapshot: equal metadata means equal bytes."""

    index: int  #: of the last entry that the snapshot covers
    term: int  #: of that entry
    config: ClusterConfig
    chunk_count: int
    digest: int  #: see `snapshot_digest`


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A complete snapshot."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]


def snapshot_digest(chunks: Sequence[bytes]) -> int:
    """The CRC-32 over all chunks, which together with the index identifies a snapshot."""
    checksum = 0
    for chunk in chunks:
        checksum = crc32(chunk, checksum)
    return checksum


class Message(msgspec.Struct, frozen=True, array_like=True, tag="Message"):
    """Base of the messages between members."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="Vote"):
    """Asks for a vote (3.4)."""

    last_log_index: int
    last_log_term: int
    is_pre_vote: bool  #: asks only whether the vote would be given (9.6)
    is_leader_transfer: bool  #: the leader has asked for this election (3.10)


class RequestVoteReply(Message, frozen=True, array_like=True, tag="Voted"):
    """The answer to `RequestVote`."""

    granted: bool
    is_pre_vote: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="Append"):
    """Entries that follow `prev_log_index`; a heartbeat has none (3.5)."""

    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    read_round: int  #: returned with the answer: confirms reads (6.4)


class AppendEntriesReply(Message, frozen=True, array_like=True, tag="Appended"):
    """The answer to `AppendEntries`.

    With `success` the log matches the leader's up to `index`. Without it, it does not at `index`; it may up
    to `hint_index`, whose term is `hint_term`.
    """

    success: bool
    index: int
    hint_index: int
    hint_term: int
    read_round: int


class InstallSnapshotChunk(Message, frozen=True, array_like=True, tag="Piece"):
    """One chunk of a snapshot; without data it asks how many chunks the receiver already holds (5.4)."""

    meta: SnapshotMeta
    chunk_number: int
    data: bytes
    read_round: int


class InstallSnapshotReply(Message, frozen=True, array_like=True, tag="PieceHeld"):
    """How many chunks of that snapshot the receiver holds, from the first on without a gap."""

    snapshot_index: int
    snapshot_digest: int
    chunks_held: int
    read_round: int


class TimeoutNow(Message, frozen=True, array_like=True, tag="TakeOver"):
    """The leader asks the receiver to start an election at once (3.10)."""


RaftMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshotChunk
    | InstallSnapshotReply
    | TimeoutNow
)

_encode = msgspec.msgpack.Encoder().encode
_config_decoder: msgspec.msgpack.Decoder[ClusterConfig] = msgspec.msgpack.Decoder(ClusterConfig)


def encode_config(config: ClusterConfig) -> bytes:
    """The data of a configuration entry."""
    return _encode(config)


def decode_config(data: bytes) -> ClusterConfig:
    """The configuration in an entry's data; raises msgspec.DecodeError if it is malformed."""
    return _config_decoder.decode(data)
