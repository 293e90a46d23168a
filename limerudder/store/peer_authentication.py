"""Decides which peers may connect: none of another cluster, of another build, or with an outdated disk.

A member's identifier is drawn at random with its disk. The disk counts its starts and draws a nonce for each:
`Incarnation`. Each member remembers what the others have proved about their disks. A member that proves less
than before runs on an older copy of its disk or shares the disk with another process. It must not take part,
since it may have cast a vote or acknowledged an entry that it no longer knows of; the way back is a new disk
under a new identifier.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from limerudder.store.raft.messages import ClusterConfig

PROTOCOL_BUILD = 1  #: version of the frames and messages; other versions are rejected


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """A start of a disk: its number in the sequence of starts, and a random nonce."""

    number: int
    nonce: int


class Handshake(msgspec.Struct, frozen=True, array_like=True):
    """The first message of each side on a connection."""

    protocol_build: int
    cluster_id: int
    sender_id: int
    recipient_id: int
    name: str
    incarnation: Incarnation
    term: int
    last_index: int  # of the sender's log, durable


class DurabilityProof(msgspec.Struct, frozen=True, array_like=True):
    """What a member has proved about its disk: its incarnation, and the entry it acknowledged in a term."""

    incarnation: Incarnation
    term: int = 0
    index: int = 0


class PeerAuthenticator:
    """Validates the handshakes of peers against the cluster, its members, and their earlier proofs."""

    def __init__(self, cluster_id: int, member_id: int, proofs: Mapping[int, DurabilityProof]) -> None:
        self._cluster_id = cluster_id
        self._member_id = member_id
        self._proofs = dict(proofs)  # by member
        self._unsaved_proofs: dict[int, DurabilityProof] = {}  # to be made durable

    def take_unsaved_proofs(self) -> dict[int, DurabilityProof]:
        """Returns, once, the proofs that have to be made durable, by member."""
        unsaved = self._unsaved_proofs
        self._unsaved_proofs = {}
        return unsaved

    def rejection_reason(
        self, handshake: Handshake, config: ClusterConfig, config_is_current: bool
    ) -> str | None:
        """Returns why a peer is rejected, or None if it may connect.

        `config_is_current` tells that no newer configuration exists. If one may exist, a peer that `config`
        lacks must be accepted: it may be the leader, and the only member that can send the newer one.
        """
        reason = self._wrong_destination(handshake)
        if reason is None and config_is_current:
            reason = _unknown_member(handshake, config)
        if reason is not None:
            return reason
        proof = self._proofs.get(handshake.sender_id)
        outdated = _outdated_disk(proof, handshake) if proof else None
        if outdated is not None:
            return f"the disk of {handshake.name} ({handshake.sender_id:016x}) {outdated}"
        self._remember_incarnation(handshake, proof)
        return None

    def _wrong_destination(self, handshake: Handshake) -> str | None:
        if handshake.protocol_build != PROTOCOL_BUILD:
            return f"build {handshake.protocol_build} of the protocol; this member speaks {PROTOCOL_BUILD}"
        if handshake.cluster_id != self._cluster_id:
            return f"cluster {handshake.cluster_id:016x}; this is {self._cluster_id:016x}"
        if handshake.recipient_id != self._member_id:
            return f"it looks for member {handshake.recipient_id:016x}; this is {self._member_id:016x}"
        return None

    def _remember_incarnation(self, handshake: Handshake, previous: DurabilityProof | None) -> None:
        if previous and previous.incarnation == handshake.incarnation:
            return
        if previous:
            proof = DurabilityProof(handshake.incarnation, previous.term, previous.index)
        else:
            proof = DurabilityProof(handshake.incarnation)
        self._proofs[handshake.sender_id] = proof
        self._unsaved_proofs[handshake.sender_id] = proof

    def record_acknowledgement(self, sender_id: int, term: int, index: int) -> None:
        """Records that a member has acknowledged the log up to an entry, and so has it on its disk."""
        proof = self._proofs.get(sender_id)
        if proof and (term, index) > (proof.term, proof.index):
            # not among the unsaved proofs: it becomes durable here with the member's next incarnation only
            self._proofs[sender_id] = DurabilityProof(proof.incarnation, term, index)


def _unknown_member(handshake: Handshake, config: ClusterConfig) -> str | None:
    if config.find_by_id(handshake.sender_id) is not None:
        return None
    namesake = config.find_by_name(handshake.name)
    if namesake:
        return (
            f"{handshake.name} is member {namesake.id:016x} and this is {handshake.sender_id:016x}:"
            f" a new disk under an old name must be added as a new member"
        )
    return f"{handshake.name} ({handshake.sender_id:016x}) is no member, or is one no more"


def _outdated_disk(proof: DurabilityProof, handshake: Handshake) -> str | None:
    """Returns how a handshake proves less than the peer has proved before, or None if it does not."""
    shown, before = handshake.incarnation, proof.incarnation
    if shown.number < before.number:
        return f"shows start {shown.number} after start {before.number}: it is an older copy"
    if shown.number == before.number and shown.nonce != before.nonce:
        return "is used by two processes, or is a copy"
    if handshake.term < proof.term:
        return f"shows term {handshake.term} after term {proof.term}: it is an older copy"
    if handshake.term == proof.term and handshake.last_index < proof.index:
        return f"has acknowledged entry {proof.index} and shows {handshake.last_index}: it is an older copy"
    return None
