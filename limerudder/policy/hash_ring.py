"""Consistent hashing: a ring that is identical at all nodes with the same members.

After Karger et al., "Consistent Hashing and Random Trees" (STOC'97). A data structure only: the balancer
decides which servers are members and how far a walk goes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from zlib import crc32

POINTS_PER_WEIGHT = 4  #: Points of a member of weight 1; more points distribute the keys more evenly
MAX_POINTS = 64  #: Maximum number of points of a member
MEMBER_BITS = 32
MEMBER_MASK = (1 << MEMBER_BITS) - 1


class HashRing:
    """A ring of members with 32-bit ids.

    Additions and removals are applied together at the next walk: applied one by one, each of thousands of
    changes would move the whole ring.
    """

    def __init__(self) -> None:
        self._points: list[int] = []  # Sorted; hash in the high bits, member in the low bits
        self._point_counts: dict[int, int] = {}
        self._added_points: set[int] = set()
        self._removed_points: set[int] = set()

    def add(self, member: int, weight: float = 1.0) -> None:
        """Add a member that is not on the ring, with points in proportion to its weight."""
        point_count = min(max(round(POINTS_PER_WEIGHT * weight), 1), MAX_POINTS)
        self._point_counts[member] = point_count
        points = {_point(member, number) for number in range(point_count)}
        self._added_points |= points - self._removed_points
        self._removed_points -= points

    def remove(self, member: int) -> None:
        """Remove a member that is on the ring."""
        points = {_point(member, number) for number in range(self._point_counts.pop(member))}
        self._removed_points |= points - self._added_points
        self._added_points -= points

    def walk(self, key: int) -> Iterator[int]:
        """Yield every member once, in ring order starting at the key's position."""
        self._apply_changes()
        points = self._points
        visited = set[int]()
        start = bisect_left(points, crc32(b"%d" % key) << MEMBER_BITS)
        for step in range(start, start + len(points)):
            member = points[step % len(points)] & MEMBER_MASK
            if member not in visited:
                visited.add(member)
                yield member

    def _apply_changes(self) -> None:
        if self._removed_points:
            self._points = [point for point in self._points if point not in self._removed_points]
            self._removed_points = set()
        if self._added_points:
            # A new list, since a walk may be in progress. It is nearly sorted, which makes the sort fast.
            self._points = sorted([*self._points, *sorted(self._added_points)])
            self._added_points = set()


def _point(member: int, number: int) -> int:
    return crc32(b"%d %d" % (member, number)) << MEMBER_BITS | member & MEMBER_MASK
