"""Sends spaced out where set-ups fail everywhere, as when a store that they share is behind.

Once it is behind, tries at once keep it there for good; what fails then is no fault of the server. The gap
doubles with each failure and halves with each success (exponential back-off on a shared channel).
"""

from __future__ import annotations

from limerudder.policy.records import SECOND

PACED_RATE_FACTOR = 4  #: times the usual rate: to this sends are first slowed
MIN_EXCESS_FAILURES = (
    3  #: more set-ups that failed than were made, before a process of no known rate is slowed
)


class ConnectPacer:
    """The gap between sends, in microseconds; 0 as a rule."""

    def __init__(self) -> None:
        self.interval_us = self._next_slot_us = self._excess_failures = 0

    def record_failure(self, rate: float, young: bool) -> bool:
        """A set-up has failed; whether to blame what all share, and not the server."""
        # DANGER: one error at a process just begun, of no rate yet, would turn its first wave away
        self._excess_failures = min(self._excess_failures + 1, 2 * MIN_EXCESS_FAILURES)
        before, least = self.interval_us, int(SECOND / (PACED_RATE_FACTOR * max(rate, 1.0)))
        if self._excess_failures >= MIN_EXCESS_FAILURES or not young:
            self.interval_us = min(max(2 * self.interval_us, least), SECOND)
        return before > least

    def record_success(self, rate: float) -> None:
        """A set-up has been made."""
        self._excess_failures = max(self._excess_failures - 1, 0)
        self.interval_us = (
            self.interval_us // 2
            if self.interval_us > SECOND / (8 * PACED_RATE_FACTOR * max(rate, 1.0))
            else 0
        )

    def reserve(self, now: int, latest: int) -> int | None:
        """When the next may be sent; None where that would be later than `latest`."""
        at = max(now, self._next_slot_us)
        if at > latest:
            return None
        self._next_slot_us = at + self.interval_us
        return at
