"""Consistent hashing: where members stand on a ring that looks the same to all who hold the same members.

A container only; who is put in, and how far a draw walks, is decided in limerudder/policy/balancer.py.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from zlib import crc32

POINTS_PER_WEIGHT = 4  #: of a member of weight 1: evens out how many walks each one is met first on
MAX_POINTS = 64  #: of any member, whatever its weight
_MASK = 0xFFFFFFFF


class HashRing:
    """Members are 32-bit ids; putting one in or out touches its own points only."""

    def __init__(self) -> None:
        self._points: list[int] = []
        self._point_counts: dict[int, int] = {}  # points that each member has

    def put(self, member: int, on: bool, weight: float = 1.0) -> None:
        """Put a member on the ring, with points by its weight, or take one that is on it off."""
        if on:
            self._point_counts[member] = min(max(round(POINTS_PER_WEIGHT * weight), 1), MAX_POINTS)
        for k in range(self._point_counts[member]):
            point = crc32(b"%d %d" % (member, k)) << 32 | member & _MASK
            if on:
                insort(self._points, point)
            else:
                del self._points[bisect_left(self._points, point)]

    def walk(self, key: int) -> Iterator[int]:
        """Yield every member once, in the ring's order from the key's place on."""
        points, met = self._points, set[int]()
        at = bisect_left(points, crc32(b"%d" % key) << 32)
        for step in range(at, at + len(points)):
            member = points[step % len(points)] & _MASK
            if member not in met:
                met.add(member)
                yield member
