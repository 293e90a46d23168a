"""Who may talk to a member: nobody of another cluster, of another build, or with a disk that is not its own.

A member's number is drawn with its disk. A disk counts its starts, and draws a word for each: `Boot`. What
every member has shown is remembered by the others, and a member that shows less than before has an older
disk or shares one: it must not speak, since it may have voted or acknowledged what it no longer knows of.
The way back is a new disk under a new number.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from limerudder.store.raft.messages import ClusterConfig

PROTOCOL_BUILD = 1  #: of frames and messages; others are refused


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """A start of a disk: how many there were before, and a word drawn for it."""

    number: int
    word: int


class Handshake(msgspec.Struct, frozen=True, array_like=True):
    """The first thing said on a connection."""

    build: int
    cluster: int
    sender: int
    to: int
    name: str
    boot: Incarnation
    term: int
    last: int  # its log's last index, durable


class DurabilityProof(msgspec.Struct, frozen=True, array_like=True):
    """What a member has shown of its disk: its start, and the index it acknowledged in a term."""

    boot: Incarnation
    term: int = 0
    index: int = 0


class PeerAuthenticator:
    """Judges whoever comes."""

    def __init__(self, cluster: int, me: int, shown: Mapping[int, DurabilityProof]) -> None:
        self.cluster, self.me = cluster, me
        self.shown = dict(shown)
        self.new: dict[int, DurabilityProof] = {}  # to be made durable

    def judge(self, hello: Handshake, config: ClusterConfig, sure: bool) -> str:
        """Why this one may not talk here; nothing where it may.

        `sure` says that `config` is the newest there is. Where it may not be, a member that it lacks must
        be heard: it may be the one that leads, and the only one that can tell of itself.
        """
        if hello.build != PROTOCOL_BUILD:
            return f"build {hello.build} of the protocol; this member speaks {PROTOCOL_BUILD}"
        if hello.cluster != self.cluster:
            return f"cluster {hello.cluster:016x}; this is {self.cluster:016x}"
        if hello.to != self.me:
            return f"it looks for member {hello.to:016x}; this is {self.me:016x}"
        if sure and config.find_by_id(hello.sender) is None:
            known = config.find_by_name(hello.name)
            if known:
                return (
                    f"{hello.name} is member {known.id:016x} and this is {hello.sender:016x}: a new disk"
                    f" under an old name must be added as a new member"
                )
            return f"{hello.name} ({hello.sender:016x}) is no member, or is one no more"
        before = self.shown.get(hello.sender)
        if before and (why := _less(before, hello)):
            return f"the disk of {hello.name} ({hello.sender:016x}) {why}"
        if before is None or before.boot != hello.boot:
            self._note(hello.sender, DurabilityProof(hello.boot, *_most(before, hello.term)))
        return ""

    def acknowledged(self, sender: int, term: int, index: int) -> None:
        """A member has acknowledged entries: from then on it has them."""
        before = self.shown.get(sender)
        if before and (term, index) > (before.term, before.index):
            self.shown[sender] = DurabilityProof(
                before.boot, term, index
            )  # durable with its next start, if at all

    def _note(self, sender: int, shown: DurabilityProof) -> None:
        self.shown[sender] = self.new[sender] = shown


def _most(before: DurabilityProof | None, term: int) -> tuple[int, int]:
    return (before.term, before.index) if before else (0, 0)


def _less(before: DurabilityProof, hello: Handshake) -> str:
    if hello.boot.number < before.boot.number:
        return f"shows start {hello.boot.number} after start {before.boot.number}: it is an older copy"
    if hello.boot.number == before.boot.number and hello.boot.word != before.boot.word:
        return "is used by two processes, or is a copy"
    if hello.term < before.term:
        return f"shows term {hello.term} after term {before.term}: it is an older copy"
    if hello.term == before.term and hello.last < before.index:
        return f"has acknowledged entry {before.index} and shows {hello.last}: it is an older copy"
    return ""
