"""Tests of the hash ring, which depends on its members only, not on the order of changes."""

from __future__ import annotations

from random import Random

from limerudder.policy.hash_ring import HashRing


def ring_of(weights: dict[int, float]) -> HashRing:
    ring = HashRing()
    for member, weight in weights.items():
        ring.add(member, weight)
    return ring


def test_changes_between_walks_leave_the_ring_of_the_remaining_members() -> None:
    rng = Random(1)
    ring = HashRing()
    weights: dict[int, float] = {}
    for step in range(3000):
        member = rng.randrange(200)
        if member in weights:
            ring.remove(member)
            del weights[member]
        else:
            weights[member] = rng.choice([0.2, 1.0, 3.5])
            ring.add(member, weights[member])
        if step % 50 == 0:
            assert list(ring.walk(step)) == list(ring_of(weights).walk(step))


def test_a_walk_in_progress_continues_over_its_original_members() -> None:
    ring = ring_of(dict.fromkeys(range(10), 1.0))
    walk = ring.walk(1)
    first = next(walk)
    for member in range(10):
        ring.remove(member)
    assert list(ring.walk(1)) == []
    assert sorted([first, *walk]) == list(range(10))
