"""Paces connection attempts while set-ups fail everywhere, as when a store that all servers share is behind.

Once it is behind, attempts at the usual rate keep it there, and what fails then is no fault of the server.
The interval between attempts doubles with each failure and halves with each success: exponential back-off on
a shared channel (Metcalfe and Boggs, "Ethernet", 1976). Times are microseconds.
"""

from __future__ import annotations

from limerudder.policy.records import SECOND

PACED_RATE_FACTOR = 4  #: the first pace is this many times the usual rate
RELEASE_RATE_FACTOR = 8 * PACED_RATE_FACTOR  #: pacing ends at this many times the usual rate
MIN_USUAL_RATE = 1.0  #: in connections a second; a lower rate is not taken as a measure
MAX_INTERVAL_US = SECOND
MIN_EXCESS_FAILURES = 3  #: failures beyond successes that a process without a known rate needs to be paced
MAX_EXCESS_FAILURES = 2 * MIN_EXCESS_FAILURES


class ConnectPacer:
    """The interval between a node's connection attempts."""

    def __init__(self) -> None:
        self.interval_us = 0  #: 0 while attempts are not paced
        self._next_slot_us = 0
        self._excess_failures = 0  # failures beyond successes

    def record_failure(self, usual_rate: float, is_young: bool) -> bool:
        """Record a failed set-up; return whether to blame what all servers share, and not the server.

        `usual_rate`: this node's new connections a second. `is_young`: the process does not know that rate
        yet; without one, its first error would turn its first clients away.
        """
        self._excess_failures = min(self._excess_failures + 1, MAX_EXCESS_FAILURES)
        previous_us = self.interval_us
        first_us = int(SECOND / (PACED_RATE_FACTOR * max(usual_rate, MIN_USUAL_RATE)))
        if self._excess_failures >= MIN_EXCESS_FAILURES or not is_young:
            self.interval_us = min(max(2 * self.interval_us, first_us), MAX_INTERVAL_US)
        return previous_us > first_us

    def record_success(self, usual_rate: float) -> None:
        """Record a set-up that succeeded; `usual_rate`: this node's new connections a second."""
        self._excess_failures = max(self._excess_failures - 1, 0)
        release_us = SECOND / (RELEASE_RATE_FACTOR * max(usual_rate, MIN_USUAL_RATE))
        self.interval_us = self.interval_us // 2 if self.interval_us > release_us else 0

    def reserve(self, now_us: int, latest_us: int) -> int | None:
        """Reserve the next time for an attempt; None, and nothing reserved, where it is after `latest_us`."""
        slot_us = max(now_us, self._next_slot_us)
        if slot_us > latest_us:
            return None
        self._next_slot_us = slot_us + self.interval_us
        return slot_us
