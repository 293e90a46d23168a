"""State shared by all components of the connection policy: settings, random numbers, time and actions."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from limerudder.policy.actions import Action
from limerudder.policy.settings import Settings


class Clock:
    """The time of the event that is being handled; it never decreases."""

    def __init__(self) -> None:
        self.now_us = 0
        self.started_at_us = 0  # time of the first endpoint list

    def advance(self, now_us: int) -> None:
        """Set the time, unless it is earlier than the time already reached."""
        self.now_us = max(now_us, self.now_us)


class PolicyContext(NamedTuple):
    """State shared by the components of one Balancer; `actions` belong to the event that is being handled."""

    settings: Settings
    rng: Random
    clock: Clock
    actions: list[Action]
