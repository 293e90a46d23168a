"""Decides which peers may connect, rejecting those of another cluster or build or with an outdated disk.

A member's random identifier is created with its disk, which records each start as an `Incarnation`. Each
member records a `DurabilityProof` of every other one: its latest incarnation and last acknowledged entry. A
member whose handshake shows less than its recorded proof runs on an older copy of its disk or shares the disk
with another process. It must not participate, since it may have cast a vote or acknowledged an entry that is
missing from this disk; it can rejoin only with a new disk under a new identifier.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from limerudder.store.raft.messages import ClusterConfig

PROTOCOL_BUILD = 1  #: Version of the frames and messages; peers with other versions are rejected


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One start of a member on its disk: the sequence number and a random nonce."""

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
    last_index: int  # Last durable index of the sender's log


class DurabilityProof(msgspec.Struct, frozen=True, array_like=True):
    """The latest incarnation of a member's disk, and the term and index of its last acknowledgement."""

    incarnation: Incarnation
    term: int = 0
    index: int = 0


class PeerAuthenticator:
    """Validates the handshakes of peers against the cluster, its members, and their earlier proofs."""

    def __init__(self, cluster_id: int, member_id: int, proofs: Mapping[int, DurabilityProof]) -> None:
        self._cluster_id = cluster_id
        self._member_id = member_id
        self._proofs = dict(proofs)  # Proofs by member
        self._unsaved_proofs: dict[int, DurabilityProof] = {}  # Proofs that are not durable yet, by member

    def take_unsaved_proofs(self) -> dict[int, DurabilityProof]:
        """Returns and clears the proofs that have to be made durable, by member."""
        unsaved = self._unsaved_proofs
        self._unsaved_proofs = {}
        return unsaved

    def rejection_reason(
        self, handshake: Handshake, config: ClusterConfig, config_is_current: bool
    ) -> str | None:
        """Returns why a peer is rejected, or None if it may connect.

        `config_is_current` states that no newer configuration exists. If one may exist, a peer missing from
        `config` must be accepted: it may be the leader, and the only member that can send the newer one.
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
        self._record_incarnation(handshake, proof)
        return None

    def _wrong_destination(self, handshake: Handshake) -> str | None:
        if handshake.protocol_build != PROTOCOL_BUILD:
            return f"build {handshake.protocol_build} of the protocol; this member speaks {PROTOCOL_BUILD}"
        if handshake.cluster_id != self._cluster_id:
            return f"cluster {handshake.cluster_id:016x}; this is {self._cluster_id:016x}"
        if handshake.recipient_id != self._member_id:
            return f"it looks for member {handshake.recipient_id:016x}; this is {self._member_id:016x}"
        return None

    def _record_incarnation(self, handshake: Handshake, previous: DurabilityProof | None) -> None:
        if previous and previous.incarnation == handshake.incarnation:
            return
        if previous:
            proof = DurabilityProof(handshake.incarnation, previous.term, previous.index)
        else:
            proof = DurabilityProof(handshake.incarnation)
        self._proofs[handshake.sender_id] = proof
        self._unsaved_proofs[handshake.sender_id] = proof

    def record_acknowledgement(self, sender_id: int, term: int, index: int) -> None:
        """Records that a member has acknowledged the log up to an entry, which is durable on its disk."""
        proof = self._proofs.get(sender_id)
        if proof and (term, index) > (proof.term, proof.index):
            # Not added to the unsaved proofs: it becomes durable here only with the member's next incarnation
            self._proofs[sender_id] = DurabilityProof(proof.incarnation, term, index)


def _unknown_member(handshake: Handshake, config: ClusterConfig) -> str | None:
    if config.find_by_id(handshake.sender_id) is not None:
        return None
    existing_member = config.find_by_name(handshake.name)
    if existing_member:
        return (
            f"{handshake.name} is member {existing_member.id:016x} and this is {handshake.sender_id:016x}:"
            f" a new disk under an old name must be added as a new member"
        )
    return f"{handshake.name} ({handshake.sender_id:016x}) is no member, or is one no more"


def _outdated_disk(proof: DurabilityProof, handshake: Handshake) -> str | None:
    """Returns how a handshake shows less than the peer's recorded proof, or None if it does not."""
    presented, recorded = handshake.incarnation, proof.incarnation
    if presented.number < recorded.number:
        return f"shows start {presented.number} after start {recorded.number}: it is an older copy"
    if presented.number == recorded.number and presented.nonce != recorded.nonce:
        return "is used by two processes, or is a copy"
    if handshake.term < proof.term:
        return f"shows term {handshake.term} after term {proof.term}: it is an older copy"
    if handshake.term == proof.term and handshake.last_index < proof.index:
        return f"has acknowledged entry {proof.index} and shows {handshake.last_index}: it is an older copy"
    return None
