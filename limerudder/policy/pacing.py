"""Sends spaced out where set-ups fail everywhere, as when a store that they share is behind.

Once it is behind, tries at once keep it there for good; what fails then is no fault of the server. The gap
doubles with each failure and halves with each success (exponential back-off on a shared channel).
"""

from __future__ import annotations

from limerudder.policy.records import SECOND

WAVE = 4  #: times the usual rate: to this sends are first slowed
FAILS = 3  #: more set-ups that failed than were made, before a process of no known rate is slowed


class ConnectPacer:
    """The gap between sends, in microseconds; 0 as a rule."""

    def __init__(self) -> None:
        self.gap = self.next = self.fails = 0

    def failed(self, rate: float, young: bool) -> bool:
        """A set-up has failed; whether to blame what all share, and not the server."""
        # DANGER: one error at a process just begun, of no rate yet, would turn its first wave away
        self.fails = min(self.fails + 1, 2 * FAILS)
        before, least = self.gap, int(SECOND / (WAVE * max(rate, 1.0)))
        if self.fails >= FAILS or not young:
            self.gap = min(max(2 * self.gap, least), SECOND)
        return before > least

    def made(self, rate: float) -> None:
        """A set-up has been made."""
        self.fails = max(self.fails - 1, 0)
        self.gap = self.gap // 2 if self.gap > SECOND / (8 * WAVE * max(rate, 1.0)) else 0

    def slot(self, now: int, latest: int) -> int | None:
        """When the next may be sent; None where that would be later than `latest`."""
        at = max(now, self.next)
        if at > latest:
            return None
        self.next = at + self.gap
        return at
