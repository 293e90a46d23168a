"""The timer wheel."""

from __future__ import annotations

from harness.configurations import SECOND
from limerudder.core.timer_wheel import ResettableTimer, Timer, TimerWheel

TICK_US = 5000


def test_timers_are_called_at_the_first_tick_at_or_after_their_time_unless_cancelled() -> None:
    wheel = TimerWheel(TICK_US, 0)
    called = list[tuple[str, int]]()

    def schedule(name: str, due_us: int) -> Timer:
        return wheel.schedule(due_us, lambda now_us: called.append((name, now_us)))

    schedule("near", 12_000)
    schedule("far", 6 * SECOND)
    schedule("past", -1)
    schedule("cancelled", 12_000).cancel()
    for now_us in range(0, 7 * SECOND, TICK_US):
        wheel.advance(now_us)
    assert called == [("past", 5000), ("near", 15_000), ("far", 6 * SECOND)]


def test_a_timer_that_raises_does_not_prevent_others_of_its_slot_from_being_called() -> None:
    wheel = TimerWheel(TICK_US, 0)
    errors: list[Exception] = []
    called: list[int] = []

    def fail(now_us: int) -> None:
        raise ZeroDivisionError

    wheel.schedule(TICK_US, fail)
    wheel.schedule(TICK_US, called.append)
    wheel.on_error = errors.append
    wheel.advance(TICK_US)
    assert called == [TICK_US]
    assert [type(error) for error in errors] == [ZeroDivisionError]


def test_a_timer_that_is_set_again_and_again_leaves_one_on_the_wheel() -> None:
    """Guards against memory that grows with each PING of a client (picture b of issue 51)."""
    wheel = TimerWheel(TICK_US, 0)
    timer = ResettableTimer(wheel)
    called: list[str] = []
    for number in range(1000):
        timer.set((1000 + number) * TICK_US, lambda now_us: called.append("long"))
        timer.set(500 * TICK_US + number, lambda now_us: called.append("short"))
    assert sum(map(len, wheel._slots)) <= 2
    wheel.advance(499 * TICK_US)
    timer.set(2000 * TICK_US, lambda now_us: called.append("last"))
    for tick in range(499, 2002):
        assert not called or tick > 2000
        wheel.advance(tick * TICK_US)
    assert called == ["last"]
    timer.set(3000 * TICK_US, lambda now_us: called.append("cancelled"))
    timer.cancel()
    wheel.advance(4000 * TICK_US)
    assert called == ["last"]
