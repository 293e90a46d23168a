"""Schedules the polls of discovery for the endpoint list, unless discovery pushes it."""

from __future__ import annotations

from limerudder.policy.actions import SetTimer, WatchEndpoints
from limerudder.policy.context import PolicyContext
from limerudder.policy.discovery_timing import Backoff
from limerudder.policy.timers import TimerToken

#: Range of the time until the next renewal as a fraction of the poll interval; random to spread the nodes.
RENEWAL_FRACTIONS = (0.7, 0.9)


class DiscoveryPoller:
    """Renews the subscription to the endpoint list; does nothing where discovery pushes the list."""

    def __init__(self, context: PolicyContext) -> None:
        self._rng = context.rng
        self._clock = context.clock
        self._actions = context.actions
        self._enabled = context.settings.discovery == "on_request"
        self._poll_interval_us = context.settings.poll_interval_us
        self._backoff = Backoff(self._poll_interval_us)
        self._next_poll_at_us = 0

    def poll(self) -> None:
        """Subscribe, unless a later poll has been scheduled since the timer was set."""
        if self._clock.now_us < self._next_poll_at_us:
            return
        self._actions.append(WatchEndpoints(True))
        self._schedule(self._poll_interval_us)

    def start(self) -> None:
        """Subscribe for the first time."""
        if self._enabled:
            self.poll()

    def on_update(self) -> None:
        """Handle an answer from discovery: schedule the renewal."""
        self._backoff.record_success()
        self._schedule(int(self._poll_interval_us * self._rng.uniform(*RENEWAL_FRACTIONS)))

    def on_failure(self) -> None:
        """Handle a failed call to discovery: schedule a retry."""
        self._schedule(self._backoff.record_failure(self._rng))

    def _schedule(self, wait_us: int) -> None:
        """Schedule the next poll after this time; timers set for an earlier one are ignored."""
        if self._enabled:
            self._next_poll_at_us = self._clock.now_us + wait_us
            self._actions.append(SetTimer(self._next_poll_at_us, TimerToken.DISCOVERY_POLL))
