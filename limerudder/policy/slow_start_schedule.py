"""Turns at servers in slow start: the number of requests that each node may send in each time slot.

The bound for a server in slow start applies to the sum over all nodes, and no node knows how much the others
send. So time is divided into slots, and the nodes that may send in a slot are derived from values that all
nodes share: the server's id, the slot, the node's index and the number of nodes. This is time-division
multiple access: nothing is exchanged or stored, unused turns expire, and the sum is fixed by construction.
The order within a slot is a pseudo-random rotation, so that in the long run each node gets turns at every
server.

This module has no I/O and no clock. Times are microseconds.
"""

from __future__ import annotations

_MASK = (1 << 64) - 1
_PHASE_BITS = 16


class SlotSchedule:
    """The turns of one node, in slots of a fixed length."""

    def __init__(self, node_index: int, node_count: int, slot_us: int) -> None:
        self._node_index = node_index
        self._node_count = node_count
        self.slot_us = slot_us
        #: A process with an index outside the settings' node count has no turns.
        self.has_turns = 0 <= node_index < node_count

    def slot_at(self, now_us: int) -> int:
        """Return the number of the slot that contains a time."""
        return now_us // self.slot_us

    def start_us(self, slot: int) -> int:
        """Return when a slot begins."""
        return slot * self.slot_us

    def turns(self, server_id: int, slot: int, mean_turns: float) -> int:
        """Return how many requests this node may send the server in a slot.

        `mean_turns` is this node's mean over many slots. If it is the same at all nodes, the turns of all
        nodes in a slot are the sum of the means, rounded up or down such that the total of any run of
        consecutive slots deviates by at most one from its expected value.
        """
        if not self.has_turns or mean_turns <= 0:
            return 0
        whole_turns = int(mean_turns)
        return whole_turns + (self._rank(server_id, slot) < mean_turns - whole_turns)

    def _rank(self, server_id: int, slot: int) -> float:
        """Return this node's position in the slot, in [0, 1); all nodes' positions are evenly spaced."""
        position = (self._node_index + _mix(server_id << 32 ^ slot)) % self._node_count
        phase = _radical_inverse(slot + _mix(server_id))
        return (position + phase) / self._node_count


def _mix(value: int) -> int:
    """Hash a number, with the same result in every process (the finalizer of SplitMix64)."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & _MASK
    return value ^ value >> 31


def _radical_inverse(value: int) -> float:
    """Return an element of the van der Corput sequence; successive ones spread evenly over [0, 1)."""
    reversed_bits = int(f"{value & ((1 << _PHASE_BITS) - 1):0{_PHASE_BITS}b}"[::-1], 2)
    return reversed_bits / (1 << _PHASE_BITS)
