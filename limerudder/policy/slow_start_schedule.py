"""Turns at servers in slow start: which node may send how many requests in which slot of time.

The bound on what a server is sent binds the sum over all nodes, and no node knows what the others send. So
time is cut into slots, and who may send in a slot follows from numbers that all nodes have: the server's id,
the slot, the node's index and the number of nodes. Nothing is exchanged or remembered, unused turns are lost,
and the sum is known by construction. It is time-division multiple access; the order within a slot is a
pseudo-random rotation, so that each node gets its turn everywhere in the long run.

Free of I/O and clock. Times are microseconds.
"""

from __future__ import annotations

_MASK = (1 << 64) - 1
_PHASE_BITS = 16


class SlotSchedule:
    """The turns of one node in slots of one length."""

    def __init__(self, node_index: int, node_count: int, slot_us: int) -> None:
        self._node_index = node_index
        self._node_count = node_count
        self.slot_us = slot_us
        #: A process that the settings do not count has no turns, whatever the others do.
        self.has_turns = 0 <= node_index < node_count

    def slot_at(self, now_us: int) -> int:
        """Return the number of the slot that a time lies in."""
        return now_us // self.slot_us

    def start_us(self, slot: int) -> int:
        """Return when a slot begins."""
        return slot * self.slot_us

    def turns(self, server_id: int, slot: int, mean_turns: float) -> int:
        """Return how many requests this node may send the server in a slot.

        `mean_turns`: of this node, over many slots. If it is the same at all nodes, all together have their
        sum of it in each slot, rounded up or down such that any row of slots has what is due, but for one.
        """
        if not self.has_turns or mean_turns <= 0:
            return 0
        whole = int(mean_turns)
        return whole + (self._rank(server_id, slot) < mean_turns - whole)

    def _rank(self, server_id: int, slot: int) -> float:
        """Return this node's place in the slot, in [0, 1): the places of all nodes are evenly spaced."""
        place = (self._node_index + _mix(server_id << 32 ^ slot)) % self._node_count
        phase = _radical_inverse(slot + _mix(server_id))
        return (place + phase) / self._node_count


def _mix(value: int) -> int:
    """Return a hash of a number that is the same in every process (the finalizer of SplitMix64)."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & _MASK
    return value ^ value >> 31


def _radical_inverse(value: int) -> float:
    """Return the van der Corput sequence's element: successive ones spread evenly over [0, 1)."""
    reversed_bits = int(f"{value & ((1 << _PHASE_BITS) - 1):0{_PHASE_BITS}b}"[::-1], 2)
    return reversed_bits / (1 << _PHASE_BITS)
