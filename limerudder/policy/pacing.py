"""Paces connection attempts while they fail at all servers, for example when a shared store is overloaded.

Attempts at the usual rate would keep such a store overloaded, and their failures are not the servers' fault.
The interval between attempts doubles with each failure and halves with each success: exponential backoff on
a shared channel (Metcalfe and Boggs, "Ethernet", 1976). Times are microseconds.
"""

from __future__ import annotations

from limerudder.policy.records import SECOND

PACED_RATE_FACTOR = 4  #: Initial paced rate, as a multiple of the usual rate
RELEASE_RATE_FACTOR = 8 * PACED_RATE_FACTOR  #: Rate at which pacing ends, as a multiple of the usual rate
MIN_USUAL_RATE = 1.0  #: Lower limit of the usual rate in computations, in connections per second
MAX_INTERVAL_US = SECOND
MIN_EXCESS_FAILURES = 3  #: Excess of failures over successes that starts pacing if the rate is unknown
MAX_EXCESS_FAILURES = 2 * MIN_EXCESS_FAILURES


class ConnectPacer:
    """Controls the interval between a node's connection attempts."""

    def __init__(self) -> None:
        self.interval_us = 0  #: Interval between attempts; 0 while they are not paced
        self._next_slot_us = 0
        self._excess_failures = 0  # excess of failures over successes

    def record_failure(self, usual_rate: float, rate_is_unknown: bool) -> bool:
        """Record a failed attempt; return whether a shared dependency is to blame rather than the server.

        `usual_rate` is this node's rate of new connections per second. `rate_is_unknown` says that the
        process has not measured it yet; its first error would otherwise cause its first clients to be
        rejected.
        """
        self._excess_failures = min(self._excess_failures + 1, MAX_EXCESS_FAILURES)
        previous_us = self.interval_us
        first_us = int(SECOND / (PACED_RATE_FACTOR * max(usual_rate, MIN_USUAL_RATE)))
        if self._excess_failures >= MIN_EXCESS_FAILURES or not rate_is_unknown:
            self.interval_us = min(max(2 * self.interval_us, first_us), MAX_INTERVAL_US)
        return previous_us > first_us

    def record_success(self, usual_rate: float) -> None:
        """Record a successful attempt; `usual_rate` is this node's rate of new connections per second."""
        self._excess_failures = max(self._excess_failures - 1, 0)
        release_us = SECOND / (RELEASE_RATE_FACTOR * max(usual_rate, MIN_USUAL_RATE))
        self.interval_us = self.interval_us // 2 if self.interval_us > release_us else 0

    def reserve(self, now_us: int, latest_us: int) -> int | None:
        """Reserve the next start time of an attempt, or return None if it would be after `latest_us`."""
        slot_us = max(now_us, self._next_slot_us)
        if slot_us > latest_us:
            return None
        self._next_slot_us = slot_us + self.interval_us
        return slot_us
