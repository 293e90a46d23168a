"""A hashed timing wheel: timers hash to slots by their tick; far ones stay in their slot for further turns.

After G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 6.
"""

from __future__ import annotations

from collections.abc import Callable

_SLOT_COUNT = 1024

TimerCallback = Callable[[int], None]  #: called with the time in microseconds
ErrorHandler = Callable[[Exception], None]


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "due_tick")

    def __init__(self, due_tick: int, callback: TimerCallback) -> None:
        self.due_tick = due_tick
        self.callback: TimerCallback | None = callback

    def cancel(self) -> None:
        """Prevent the callback from being called; does nothing if it has been."""
        self.callback = None


class ResettableTimer:
    """At most one scheduled timer: setting it again cancels the one before."""

    def __init__(self, timer_wheel: TimerWheel) -> None:
        self._timer_wheel = timer_wheel
        self._timer: Timer | None = None

    def set(self, due_us: int, callback: TimerCallback) -> None:
        """Schedule `callback` at this time in place of any other."""
        self.cancel()
        self._timer = self._timer_wheel.schedule(due_us, callback)

    def cancel(self) -> None:
        """Cancel the timer if it is set."""
        if self._timer:
            self._timer.cancel()


class TimerWheel:
    """Calls timers at the first tick that is not before their time, in the order of their ticks."""

    def __init__(self, tick_us: int, now_us: int) -> None:
        self._tick_us = tick_us
        self._current_tick = now_us // tick_us
        self._slots: list[list[Timer]] = [[] for _ in range(_SLOT_COUNT)]
        #: Called with an exception that a timer raised; without it the exception ends `advance`.
        self.on_error: ErrorHandler | None = None

    def schedule(self, due_us: int, callback: TimerCallback) -> Timer:
        """Schedule `callback` at this time, or at the next tick if the time is past."""
        timer = Timer(max(-(-due_us // self._tick_us), self._current_tick + 1), callback)
        self._slots[timer.due_tick % _SLOT_COUNT].append(timer)
        return timer

    def advance(self, now_us: int) -> None:
        """Call every timer that is due at `now_us`; each is given this time."""
        while self._current_tick < now_us // self._tick_us:
            # before the callbacks run: what they schedule for this tick goes to the next one
            self._current_tick += 1
            self._run_current_slot(now_us)

    def _run_current_slot(self, now_us: int) -> None:
        slot_number = self._current_tick % _SLOT_COUNT
        timers = [timer for timer in self._slots[slot_number] if timer.callback]
        self._slots[slot_number] = [timer for timer in timers if timer.due_tick > self._current_tick]
        for timer in timers:
            callback = timer.callback  # None where a callback before it in this slot has cancelled it
            if timer.due_tick <= self._current_tick and callback:
                timer.callback = None
                self._call(callback, now_us)

    def _call(self, callback: TimerCallback, now_us: int) -> None:
        try:
            callback(now_us)
        except Exception as exc:  # the other timers of the slot are due all the same
            if self.on_error is None:
                raise
            self.on_error(exc)
