"""The timer wheel."""

from __future__ import annotations

from harness.configurations import SECOND
from limerudder.core.timer_wheel import TimerWheel


def test_timers_are_called_at_the_first_tick_not_before_their_time_unless_cancelled() -> None:
    wheel, called = TimerWheel(5000, 0), list[tuple[str, int]]()
    for name, at in (("near", 12_000), ("far", 6 * SECOND), ("past", -1), ("gone", 12_000)):
        timer = wheel.schedule(at, lambda now, name=name: called.append((name, now)))  # type: ignore[misc]
    timer.cancel()
    for now in range(0, 7 * SECOND, 5000):
        wheel.advance(now)
    assert called == [("past", 5000), ("near", 15_000), ("far", 6 * SECOND)]
