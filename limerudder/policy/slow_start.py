"""Slow start: what this node may send a server that is warming up, so that all nodes together stay in bounds.

The operators bound the requests that a server gets in a window from all nodes: N, which is `overload_factor`
times what the server can do by now, and an allowance for chance, 2 * sqrt(N) + 2 (for N under 30:
3 * sqrt(N) + 3). A node's turns come from two schedules (see slow_start_schedule):

- Base turns are the same at all nodes, in slots as long as the window, of which a window touches two at most.
  In any two there are 3 requests, which are within the bound of every N. Where servers report how many
  connections fill them, which all nodes hear alike, there are more: a server takes at least what fills it in
  its warm-up, and N follows from that. Turns for fewer requests are among those for more, so that nodes that
  know different values together stay within the highest.
- Share turns are this node's part of N, by what it measured before the disturbance (see capacity_reference).
  Nodes' estimates differ, so their sum in one window varies by chance; `SHARE_OF_BUDGET` keeps it within the
  bound by four standard deviations and more.

A turn is taken when an attempt is decided on and has to be used by the end of its slot: `confirm` is called
in the moment in which the request is written.
"""

from __future__ import annotations

from collections.abc import Collection
from math import sqrt

from limerudder.policy.capacity_reference import CapacityReference
from limerudder.policy.records import SECOND, Permit, Server, Turns
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import Settings
from limerudder.policy.slow_start_schedule import SlotSchedule

MIN_REQUESTS_PER_SLOT = 1.5  #: base turns of all nodes together
SLOTS_IN_A_WINDOW = 2  #: that a window touches
REPORTED_SHARE = 0.8  #: of the capacity that reports tell; they are noisy
#: Of the operators' allowance for chance, N under 30; the rest is left to requests of more than mean work.
ALLOWANCE_SHARE = 0.5
ALLOWANCE_ROOTS = 3
ALLOWANCE_REQUESTS = 3
GROWTH_SHARE = 0.5  #: of a steady growth over the warm-up; nobody tells how a server grows
SHARE_OF_BUDGET = 0.5
SHARE_SLOTS_PER_WINDOW = 4
MIN_WINDOW_US = SECOND // 10
#: How long a process may be held up between its decision and the last byte on the wire; base turns end so
#: much before their slot does.
MAX_STALL_US = 150_000
MAX_STALL_SHARE_OF_SLOT = 8  #: at most an eighth of a slot
NEVER_US = 1 << 62
NO_SLOT = -1
UNKNOWN_NODE_INDEX = -1  #: of a node that the settings do not number: it has no turns


class SlowStartBudget:
    """A node's turns at servers in slow start."""

    def __init__(self, settings: Settings, loads: ReportedLoads) -> None:
        self._settings = settings
        self._loads = loads
        self._window_us = max(settings.overload_window_us, MIN_WINDOW_US)
        self.reference = CapacityReference()
        count = max(settings.node_count, 1)
        index = settings.node_index if settings.is_node_index_known or count == 1 else UNKNOWN_NODE_INDEX
        self._base = SlotSchedule(index, count, self._window_us)
        self._shares = SlotSchedule(index, count, self._window_us // SHARE_SLOTS_PER_WINDOW)
        self._node_count = count
        self._stall_us = min(MAX_STALL_US, self._window_us // MAX_STALL_SHARE_OF_SLOT)
        #: Turns of slots that began earlier may have been used by another process of this node.
        self._first_slot_start_us = NEVER_US
        self._in_turn: list[Server] = []  # as of the share slot in which they were looked up
        self._in_turn_slot = NO_SLOT
        self._in_turn_among: Collection[Server] = ()

    def take_turns_from(self, now_us: int) -> None:
        """Use this node's turns from the next slot on.

        Called when this process begins, or takes over from another process of the same node: whatever that
        one may have sent in the present slot is unknown here.
        """
        self._first_slot_start_us = now_us
        self._in_turn_slot = NO_SLOT

    def leave_turns(self) -> None:
        """Use no turn any more: another process of this node does."""
        self._first_slot_start_us = NEVER_US

    def is_warming_up(self, server: Server, now_us: int) -> bool:
        """Whether a server is in slow start."""
        settings = self._settings
        has_started = bool(server.ready_since_us) and settings.initial_capacity < 1
        return has_started and now_us < server.ready_since_us + settings.warm_up_us

    def allows(self, server: Server, now_us: int) -> bool:
        """Whether this node has a turn at a server that is warming up."""
        self._refresh(server, now_us)
        return server.share_turns.left > 0 or self._has_base_turn(server, now_us)

    def servers_in_turn(self, warming_up: Collection[Server], now_us: int) -> list[Server]:
        """Return the servers among `warming_up` at which this node has a turn.

        All of them are looked at once a slot only, since thousands may warm up at a time. `warming_up` is
        replaced by another object when it changes.
        """
        slot = self._shares.slot_at(now_us)
        if slot != self._in_turn_slot or warming_up is not self._in_turn_among:
            self._in_turn_slot = slot
            self._in_turn_among = warming_up
            self._in_turn = [server for server in warming_up if self.allows(server, now_us)]
        return [
            server
            for server in self._in_turn
            if self.is_warming_up(server, now_us) and self.allows(server, now_us)
        ]

    def take(self, server: Server, now_us: int) -> Permit | None:
        """Take a turn at a server that is warming up; None if there is none."""
        self._refresh(server, now_us)
        if server.share_turns.left > 0:  # first, since it ends sooner
            server.share_turns.left -= 1
            return Permit(server, self._shares.start_us(server.share_turns.slot + 1))
        if self._has_base_turn(server, now_us):
            server.base_turns.left -= 1
            return Permit(server, self._base_end_us(server.base_turns.slot))
        return None

    def _has_base_turn(self, server: Server, now_us: int) -> bool:
        return server.base_turns.left > 0 and now_us < self._base_end_us(server.base_turns.slot)

    def _base_end_us(self, slot: int) -> int:
        return self._base.start_us(slot + 1) - self._stall_us

    def _refresh(self, server: Server, now_us: int) -> None:
        """Give the server's record the turns of the slots that the time lies in."""
        self._enter_slot(self._base, server.base_turns, server, now_us)
        self._enter_slot(self._shares, server.share_turns, server, now_us)

    def _enter_slot(self, schedule: SlotSchedule, turns: Turns, server: Server, now_us: int) -> None:
        slot = schedule.slot_at(now_us)
        if turns.slot == slot:
            return
        turns.slot = slot
        turns.left = 0
        if schedule.start_us(slot) < self._first_slot_start_us:
            return
        mean_turns = self._mean_base_turns if schedule is self._base else self._mean_share_turns
        mean = mean_turns(server, now_us)
        turns.left = schedule.turns(server.id, slot, mean)

    def _mean_base_turns(self, server: Server, now_us: int) -> float:
        """Return this node's part of what all nodes may send in a slot, whatever they measured."""
        settings = self._settings
        connections = REPORTED_SHARE * self._loads.connections_per_weight * server.weight
        full_rate = connections * SECOND / max(settings.warm_up_us, 1)
        capacity_share = self._capacity_share(server, GROWTH_SHARE, now_us)
        budget = settings.overload_factor * capacity_share * full_rate * self._window_us / SECOND
        allowance = ALLOWANCE_SHARE * (ALLOWANCE_ROOTS * sqrt(budget) + ALLOWANCE_REQUESTS)
        return max((budget + allowance) / SLOTS_IN_A_WINDOW, MIN_REQUESTS_PER_SLOT) / self._node_count

    def _capacity_share(self, server: Server, growth_share: float, now_us: int) -> float:
        """Return what the server can do by now as a share of its full capacity."""
        settings = self._settings
        age = min(max(now_us - server.ready_since_us, 0) / max(settings.warm_up_us, 1), 1.0)
        return settings.initial_capacity + (1 - settings.initial_capacity) * age * growth_share

    def _mean_share_turns(self, server: Server, now_us: int) -> float:
        """Return this node's part of N, in share slots."""
        settings = self._settings
        capacity_share = self._capacity_share(server, 1.0, now_us)
        usual_rate = self.reference.rate_per_weight(now_us) * server.weight
        budget = settings.overload_factor * capacity_share * usual_rate * self._window_us / SECOND
        return SHARE_OF_BUDGET * budget / SHARE_SLOTS_PER_WINDOW
