"""What members say to each other, what stands in the log, and who is a member.

Everything here is frozen and goes over the wire as it stands, by msgspec's MessagePack, as arrays.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec


class EntryKind(IntEnum):
    """What an entry holds."""

    DATA = 0  #: a command for the records
    CONFIG = 1  #: who the members are from this entry on
    EMPTY = 2  #: a new leader's first entry


class MemberRole(IntEnum):
    """What a member may do."""

    VOTER = 0
    JOINING = 1  #: hears all, counts for nothing, and becomes a voter once it has caught up
    LEARNER = 2  #: hears all and counts for nothing for good


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member: its number is drawn at random with its disk, and never used again by another disk."""

    id: int
    name: str
    address: str
    role: MemberRole = MemberRole.VOTER


class ClusterConfig(msgspec.Struct, frozen=True, array_like=True):
    """Who the members are."""

    members: tuple[Member, ...]

    def voters(self) -> frozenset[int]:
        """The numbers of those that count."""
        return frozenset(one.id for one in self.members if one.role == MemberRole.VOTER)

    def get(self, number: int) -> Member | None:
        """The member of this number."""
        return next((one for one in self.members if one.id == number), None)

    def named(self, name: str) -> Member | None:
        """The member of this name."""
        return next((one for one in self.members if one.name == name), None)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""

    def size(self) -> int:
        """Bytes it takes, about."""
        return len(self.data) + 24


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """What a snapshot stands for, and how to know it again: the same numbers are the same bytes."""

    index: int
    term: int
    config: ClusterConfig
    pieces: int
    digest: int  #: CRC-32 over all pieces


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot, whole."""

    meta: SnapshotMeta
    pieces: tuple[bytes, ...]


class Message(msgspec.Struct, frozen=True, array_like=True, tag="Message"):
    """Anything that one member's machine says to another's."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="Vote"):
    """Asks for a vote; `pre`: only whether it would be given (9.6), `transfer`: at a leader's word."""

    last_index: int
    last_term: int
    pre: bool
    transfer: bool


class RequestVoteReply(Message, frozen=True, array_like=True, tag="Voted"):
    """The answer to it."""

    granted: bool
    pre: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="Append"):
    """Entries after `prev_index`, none for a sign of life; `round` is given back with the answer (6.4)."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendEntriesReply(Message, frozen=True, array_like=True, tag="Appended"):
    """The answer: the log agrees up to `index`; or it does not at `index`, and may up to `hint`."""

    ok: bool
    index: int
    hint: int
    hint_term: int
    round: int


class InstallSnapshotChunk(Message, frozen=True, array_like=True, tag="Piece"):
    """A piece of a snapshot; one without data asks how many the other has already."""

    meta: SnapshotMeta
    number: int
    data: bytes
    round: int


class InstallSnapshotReply(Message, frozen=True, array_like=True, tag="PieceHeld"):
    """How many pieces of that snapshot are held, from the first on without a gap."""

    index: int
    digest: int
    held: int
    round: int


class TimeoutNow(Message, frozen=True, array_like=True, tag="TakeOver"):
    """The leader's word to stand for election at once (3.10)."""


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
_decode_config: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ClusterConfig)


def encode_config(config: ClusterConfig) -> bytes:
    """A configuration as an entry holds it."""
    return _encode(config)


def decode_config(data: bytes) -> ClusterConfig:
    """A configuration from an entry; msgspec.DecodeError where it is none."""
    config: ClusterConfig = _decode_config.decode(data)
    return config


def to_plain(what: Any) -> Any:
    """Plain values, for people and for JSON."""
    if isinstance(what, msgspec.Struct):
        return {name: to_plain(getattr(what, name)) for name in what.__struct_fields__}
    if isinstance(what, tuple | list):
        return [to_plain(one) for one in what]
    return what.name.lower() if isinstance(what, IntEnum) else what
