"""Raft's messages, log entries, snapshots and cluster configurations.

All types are immutable and are encoded by msgspec as MessagePack arrays, on the wire and on disk. Field order
and tags are part of both formats; field names are not.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from zlib import crc32

import msgspec

ENTRY_OVERHEAD_BYTES = 24  #: Approximate encoded size of an entry without its data
#: Maximum size of an entry's data, a snapshot chunk or a reply's data. It leaves room for the other fields of
#: the message in a frame.
MAX_DATA_BYTES = 1008 * 1024


class EntryKind(IntEnum):
    """The type of an entry's data."""

    DATA = 0  #: Command for the state machine
    CONFIG = 1  #: Cluster configuration that is active from this entry on
    EMPTY = 2  #: First entry of a new leader


class MemberRole(IntEnum):
    """A member's role in the cluster configuration."""

    VOTER = 0
    JOINING = 1  #: Receives the log without a vote; becomes a voter once it has caught up (4.2.1)
    LEARNER = 2  #: Receives the log and never votes


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A cluster member. Its random id is created together with its disk and never reused with another."""

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

    index: int  #: Index of the last entry that the snapshot covers
    term: int  #: Term of the last entry that the snapshot covers
    config: ClusterConfig
    chunk_count: int
    digest: int  #: Checksum computed by `snapshot_digest`


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A complete snapshot."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]

    def has_oversized_chunk(self) -> bool:
        """Whether a chunk is too large to be sent; snapshots of earlier releases may contain such chunks."""
        return any(len(chunk) > MAX_DATA_BYTES for chunk in self.chunks)


def snapshot_digest(chunks: Sequence[bytes]) -> int:
    """The CRC-32 of all chunks. Digest and index together identify a snapshot."""
    checksum = 0
    for chunk in chunks:
        checksum = crc32(chunk, checksum)
    return checksum


class Message(msgspec.Struct, frozen=True, array_like=True, tag="Message"):
    """Base of the messages between members."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="Vote"):
    """Request for a vote (3.4)."""

    last_log_index: int
    last_log_term: int
    is_pre_vote: bool  #: Only queries whether the vote would be granted (9.6)
    is_leader_transfer: bool  #: The leader has requested this election (3.10)


class RequestVoteReply(Message, frozen=True, array_like=True, tag="Voted"):
    """The reply to `RequestVote`."""

    granted: bool
    is_pre_vote: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="Append"):
    """Entries that follow `prev_log_index`; a heartbeat has none (3.5)."""

    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    read_round: int  #: Echoed in the reply to confirm reads (6.4)


class AppendEntriesReply(Message, frozen=True, array_like=True, tag="Appended"):
    """The reply to `AppendEntries`.

    If `success` is true, the log matches the leader's up to `index`. Otherwise it does not match at `index`,
    but may match up to `hint_index`, whose term is `hint_term`.
    """

    success: bool
    index: int
    hint_index: int
    hint_term: int
    read_round: int


class InstallSnapshotChunk(Message, frozen=True, array_like=True, tag="Piece"):
    """One chunk of a snapshot; empty data queries how many chunks have been received (5.4)."""

    meta: SnapshotMeta
    chunk_number: int
    data: bytes
    read_round: int


class InstallSnapshotReply(Message, frozen=True, array_like=True, tag="PieceHeld"):
    """The number of chunks received of a snapshot, from the first one on without gaps."""

    snapshot_index: int
    snapshot_digest: int
    chunks_received: int
    read_round: int


class TimeoutNow(Message, frozen=True, array_like=True, tag="TakeOver"):
    """The leader's request that the receiver start an election immediately (3.10)."""


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
    """Encode a configuration as the data of an entry."""
    return _encode(config)


def decode_config(data: bytes) -> ClusterConfig:
    """Decode the configuration in an entry's data; raises msgspec.DecodeError if it is malformed."""
    return _config_decoder.decode(data)
