"""What every part of the connection policy shares: settings, randomness, time and the actions so far."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from limerudder.policy.actions import Action
from limerudder.policy.settings import Settings


class Clock:
    """The time of the event that is being handled; it never goes back."""

    def __init__(self) -> None:
        self.now_us = 0
        self.started_at_us = 0  # when the policy received its first endpoint list

    def advance(self, now_us: int) -> None:
        """Set the time, unless it is earlier than the time already reached."""
        self.now_us = max(now_us, self.now_us)


class PolicyContext(NamedTuple):
    """Shared by the parts of one Balancer; `actions` are those of the event that is being handled."""

    settings: Settings
    rng: Random
    clock: Clock
    actions: list[Action]
