"""Tests of which peers a member accepts or rejects."""

from __future__ import annotations

import msgspec
import pytest

from limerudder.store.peer_authentication import (
    PROTOCOL_BUILD,
    DurabilityProof,
    Handshake,
    Incarnation,
    PeerAuthenticator,
)
from limerudder.store.raft.messages import ClusterConfig, Member

CONFIG = ClusterConfig((Member(1, "n0", "a"), Member(2, "n1", "b")))
VALID = Handshake(PROTOCOL_BUILD, 7, 2, 1, "n1", Incarnation(3, 33), 5, 50)


def _with(**changes: object) -> Handshake:
    return msgspec.structs.replace(VALID, **changes)


def _authenticator() -> PeerAuthenticator:
    return PeerAuthenticator(7, 1, {})


@pytest.mark.parametrize(
    ("handshake", "reason"),
    [
        (VALID, None),
        (_with(protocol_build=PROTOCOL_BUILD + 1), f"this member speaks {PROTOCOL_BUILD}"),
        (_with(cluster_id=8), "cluster 0000000000000008; this is 0000000000000007"),
        (_with(recipient_id=9), "it looks for member 0000000000000009"),
        (_with(sender_id=9), "n1 is member 0000000000000002 and this is 0000000000000009: a new disk"),
        (_with(sender_id=9, name="n9"), "is no member, or is one no more"),
        (_with(incarnation=Incarnation(2, 22)), "shows start 2 after start 3: it is an older copy"),
        (_with(incarnation=Incarnation(3, 34)), "is used by two processes, or is a copy"),
        (_with(incarnation=Incarnation(4, 44), term=4), "shows term 4 after term 5"),
        (
            _with(incarnation=Incarnation(4, 44), term=5, last_index=49),
            "has acknowledged entry 50 and shows 49",
        ),
        (_with(incarnation=Incarnation(4, 44), term=5, last_index=50), None),
        (_with(incarnation=Incarnation(4, 44), term=6, last_index=10), None),
    ],
)
def test_peers_that_prove_less_than_before_are_rejected(handshake: Handshake, reason: str | None) -> None:
    authenticator = _authenticator()
    assert authenticator.rejection_reason(VALID, CONFIG, True) is None
    assert authenticator.take_unsaved_proofs() == {2: DurabilityProof(Incarnation(3, 33))}
    authenticator.record_acknowledgement(2, 5, 50)
    authenticator.record_acknowledgement(2, 5, 40)
    found = authenticator.rejection_reason(handshake, CONFIG, True)
    if reason is None:
        assert found is None
    else:
        assert found is not None and reason in found


def test_an_unknown_member_is_accepted_only_while_the_config_may_be_outdated() -> None:
    unknown = _with(sender_id=9, name="n9")
    assert _authenticator().rejection_reason(unknown, CONFIG, False) is None
    assert _authenticator().rejection_reason(unknown, CONFIG, True) is not None


def test_an_older_disk_is_accepted_by_a_member_without_an_earlier_proof() -> None:
    older = _with(incarnation=Incarnation(1, 1))
    reason = _authenticator().rejection_reason(older, CONFIG, True)
    assert reason is None, "an older disk is detected only by the recorded proofs"
