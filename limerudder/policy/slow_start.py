"""Slow start: limits what this node sends a server that is warming up, so that the tier stays within a bound.

The operators bound the requests that a server gets from all nodes within a window: N, which is
`overload_factor` times the server's present capacity, plus an allowance for chance of 2 * sqrt(N) + 2 (for N
under 30: 3 * sqrt(N) + 3). A turn is the right to send one request to a server within one time slot. A node's
turns come from two schedules (see slow_start_schedule):

- Base turns are scheduled identically at all nodes, in slots as long as the window, so that a window overlaps
  two slots at most. Any two adjacent slots contain 3 requests, which is within the bound for every N. If
  servers report the number of connections that fills them, which all nodes receive alike, there are more base
  turns: a server accepts at least that number during its warm-up, and N follows from it. The turns for a
  smaller number are a subset of those for a larger one, so nodes with different numbers together stay
  within the turns for the largest.
- Share turns are this node's share of N, based on the rate measured before the disturbance (see
  capacity_reference). The estimates of the nodes differ, so their sum in one window varies by chance;
  `SHARE_OF_BUDGET` leaves a margin of at least four standard deviations to the bound.

A turn is acquired when an attempt is decided on, and must be used before its slot ends: `confirm_send` checks
it directly before the request is written.
"""

from __future__ import annotations

from collections.abc import Collection
from math import sqrt

from limerudder.policy.capacity_reference import CapacityReference
from limerudder.policy.records import SECOND, Permit, Server, Turns
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import Settings
from limerudder.policy.slow_start_schedule import SlotSchedule

MIN_REQUESTS_PER_SLOT = 1.5  #: Minimum of the base turns of all nodes in a slot, on average
MAX_SLOTS_OVERLAPPED = 2  #: Maximum number of base slots that a window overlaps
REPORTED_SHARE = 0.8  #: Share of the reported capacity that is used, since reports are noisy
#: Share of the operators' allowance that is used (formula for N under 30); the rest covers costly requests.
ALLOWANCE_SHARE = 0.5
ALLOWANCE_ROOTS = 3
ALLOWANCE_REQUESTS = 3
GROWTH_SHARE = 0.5  #: Share of linear growth that base turns assume, since the real growth is unknown
SHARE_OF_BUDGET = 0.5
SHARE_SLOTS_PER_WINDOW = 4
MIN_WINDOW_US = SECOND // 10
#: Maximum delay of a process between a decision and the last byte on the wire; base turns end earlier than
#: their slot by this time.
MAX_STALL_US = 150_000
MAX_STALL_SLOT_DIVISOR = 8  #: The stall allowed for is at most an eighth of a slot
NEVER_US = 1 << 62
NO_SLOT = -1
UNKNOWN_NODE_INDEX = -1  #: Index of a node that has none in the settings; it gets no turns


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
        self._max_stall_us = min(MAX_STALL_US, self._window_us // MAX_STALL_SLOT_DIVISOR)
        #: Earliest start of a usable slot; another process of this node may have used turns of earlier ones.
        self._first_slot_start_us = NEVER_US
        self._cached_servers: list[Server] = []  # servers with turns, cached for `_cached_slot`
        self._cached_slot = NO_SLOT
        self._cached_warming_up: Collection[Server] = ()

    def start_using_turns(self, now_us: int) -> None:
        """Use this node's turns from the next slot on.

        Called when this process starts, or replaces another process of the same node: the requests that
        the other one sent in the present slot are unknown here.
        """
        self._first_slot_start_us = now_us
        self._cached_slot = NO_SLOT

    def stop_using_turns(self) -> None:
        """Stop using turns, because another process of this node uses them."""
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

    def servers_with_turns(self, warming_up: Collection[Server], now_us: int) -> list[Server]:
        """Return the servers among `warming_up` at which this node has a turn.

        The result is cached for each slot, since thousands of servers may warm up at a time. `warming_up`
        must be replaced by a new object when it changes.
        """
        slot = self._shares.slot_at(now_us)
        if slot != self._cached_slot or warming_up is not self._cached_warming_up:
            self._cached_slot = slot
            self._cached_warming_up = warming_up
            self._cached_servers = [server for server in warming_up if self.allows(server, now_us)]
        return [
            server
            for server in self._cached_servers
            if self.is_warming_up(server, now_us) and self.allows(server, now_us)
        ]

    def acquire(self, server: Server, now_us: int) -> Permit | None:
        """Acquire a turn at a server that is warming up; return None if there is none."""
        self._refresh(server, now_us)
        if server.share_turns.left > 0:  # share turns first, since they expire sooner
            server.share_turns.left -= 1
            return Permit(server, self._shares.start_us(server.share_turns.slot + 1))
        if self._has_base_turn(server, now_us):
            server.base_turns.left -= 1
            return Permit(server, self._base_turns_expire_at_us(server.base_turns.slot))
        return None

    def _has_base_turn(self, server: Server, now_us: int) -> bool:
        return server.base_turns.left > 0 and now_us < self._base_turns_expire_at_us(server.base_turns.slot)

    def _base_turns_expire_at_us(self, slot: int) -> int:
        return self._base.start_us(slot + 1) - self._max_stall_us

    def _refresh(self, server: Server, now_us: int) -> None:
        """Update the server's turns to the slots that contain this time."""
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
        """Return this node's share of the base turns in a slot, independent of measured rates."""
        settings = self._settings
        connections = REPORTED_SHARE * self._loads.connections_per_weight * server.weight
        full_rate = connections * SECOND / max(settings.warm_up_us, 1)
        capacity_share = self._capacity_share(server, GROWTH_SHARE, now_us)
        budget = settings.overload_factor * capacity_share * full_rate * self._window_us / SECOND
        allowance = ALLOWANCE_SHARE * (ALLOWANCE_ROOTS * sqrt(budget) + ALLOWANCE_REQUESTS)
        return max((budget + allowance) / MAX_SLOTS_OVERLAPPED, MIN_REQUESTS_PER_SLOT) / self._node_count

    def _capacity_share(self, server: Server, growth_share: float, now_us: int) -> float:
        """Return the present capacity of a server as a share of its full capacity."""
        settings = self._settings
        age = min(max(now_us - server.ready_since_us, 0) / max(settings.warm_up_us, 1), 1.0)
        return settings.initial_capacity + (1 - settings.initial_capacity) * age * growth_share

    def _mean_share_turns(self, server: Server, now_us: int) -> float:
        """Return this node's share of N for one share slot."""
        settings = self._settings
        capacity_share = self._capacity_share(server, 1.0, now_us)
        usual_rate = self.reference.rate_per_weight(now_us) * server.weight
        budget = settings.overload_factor * capacity_share * usual_rate * self._window_us / SECOND
        return SHARE_OF_BUDGET * budget / SHARE_SLOTS_PER_WINDOW
