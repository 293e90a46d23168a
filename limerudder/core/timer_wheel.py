"""A timer wheel: coarse ticks, one slot a tick; timers farther off than a turn wait in their slot."""

from __future__ import annotations

from collections.abc import Callable

SLOTS = 1024


class Timer:
    """A call that falls due; cancelling one that has fallen due does nothing."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[int], None]) -> None:
        self.tick = tick
        self.call: Callable[[int], None] | None = call

    def cancel(self) -> None:
        """Take the timer back."""
        self.call = None


class ResettableTimer:
    """One timer at a time: setting it anew takes the earlier one back."""

    def __init__(self, wheel: TimerWheel) -> None:
        self.wheel = wheel
        self.timer: Timer | None = None

    def set(self, when: int, call: Callable[[int], None]) -> None:
        """Have `call(now)` made at `when`."""
        self.stop()
        self.timer = self.wheel.at(when, call)

    def stop(self) -> None:
        """Take it back, if it is set."""
        if self.timer:
            self.timer.cancel()


class TimerWheel:
    """Timers fall due at the first tick that is not before their time, in the order of their ticks."""

    def __init__(self, tick: int, now: int) -> None:
        self.tick = tick
        self.passed = now // tick
        self.slots: list[list[Timer]] = [[] for _ in range(SLOTS)]

    def at(self, when: int, call: Callable[[int], None]) -> Timer:
        """Have `call(now)` made at `when`, or at the next tick if that is past."""
        timer = Timer(max(-(-when // self.tick), self.passed + 1), call)
        self.slots[timer.tick % SLOTS].append(timer)
        return timer

    def advance(self, now: int) -> None:
        """Make the calls that are due."""
        while self.passed < now // self.tick:
            self.passed += 1  # before the calls: what they set for this tick goes to the next
            slot = self.passed % SLOTS
            timers = [timer for timer in self.slots[slot] if timer.call]
            self.slots[slot] = [timer for timer in timers if timer.tick > self.passed]
            for timer in timers:
                if timer.tick <= self.passed and (call := timer.call):
                    timer.call = None
                    call(now)
