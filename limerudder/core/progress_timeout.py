"""A limit on the time without progress on connections, for waits whose total length must not count."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from limerudder.core.timer_wheel import ResettableTimer, TimerCallback, TimerWheel
from limerudder.core.transport import Transport

#: Time without progress after which undelivered bytes are given up. A side that reads slowly acknowledges
#: whole segments only, and those of a loopback interface are 64 KiB long.
DELIVERY_TIMEOUT_US = 5_000_000
CHECKS_PER_TIMEOUT = 4  #: Checks of the unsent bytes in one timeout


class ProgressLimits(NamedTuple):
    """Limits in microseconds on the time without progress, and on the whole wait."""

    idle_us: int  # while everything has been delivered
    delivery_us: int = DELIVERY_TIMEOUT_US  # while bytes are undelivered
    total_us: int | None = None  # for the wait as a whole; None if progress extends it without end


class ProgressTimeout:
    """Calls back once nothing has moved on the given connections for the time that the limits allow.

    Progress is what the caller records, and any connection's unsent bytes that have become fewer since the
    last check. A side that has stopped is therefore noticed after the limit and at most one check interval.
    """

    def __init__(self, timer_wheel: TimerWheel) -> None:
        self.limits: ProgressLimits | None = None  # None unless the timeout is running
        self._timer = ResettableTimer(timer_wheel)
        self._transports: Sequence[Transport] = ()
        self._unsent_bytes: list[int] = []  # of each transport, at the last check
        self._started_us = 0
        self._last_progress_us = 0
        self._on_timeout: TimerCallback | None = None

    def start(
        self, transports: Sequence[Transport], limits: ProgressLimits, now_us: int, on_timeout: TimerCallback
    ) -> None:
        """Start the timeout, or start it anew with other limits."""
        self.limits = limits
        self._transports = transports
        self._unsent_bytes = [transport.unsent_bytes() for transport in transports]
        self._started_us = now_us
        self._last_progress_us = now_us
        self._on_timeout = on_timeout
        self._schedule(limits, now_us)

    def record_progress(self, now_us: int) -> None:
        """Begin the time without progress anew; no effect unless the timeout is running."""
        self._last_progress_us = now_us

    def cancel(self) -> None:
        """Stop the timeout if it is running."""
        self._timer.cancel()
        self.limits = None
        self._transports = ()
        self._on_timeout = None

    def _due_us(self, limits: ProgressLimits) -> int:
        limit_us = limits.delivery_us if any(self._unsent_bytes) else limits.idle_us
        due_us = self._last_progress_us + limit_us
        return due_us if limits.total_us is None else min(due_us, self._started_us + limits.total_us)

    def _schedule(self, limits: ProgressLimits, now_us: int) -> None:
        next_check_us = now_us + limits.idle_us // CHECKS_PER_TIMEOUT
        self._timer.set(min(next_check_us, self._due_us(limits)), self._check)

    def _check(self, now_us: int) -> None:
        limits = self.limits
        if limits is None:
            return
        unsent_bytes = [transport.unsent_bytes() for transport in self._transports]
        if any(now < before for now, before in zip(unsent_bytes, self._unsent_bytes, strict=True)):
            self._last_progress_us = now_us
        self._unsent_bytes = unsent_bytes
        if now_us < self._due_us(limits):
            self._schedule(limits, now_us)
            return
        on_timeout = self._on_timeout
        self.cancel()
        if on_timeout:
            on_timeout(now_us)
