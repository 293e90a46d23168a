"""A hashed timing wheel: timers hash to slots by due tick; those of later rounds stay in their slot.

See G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 6.
"""

from __future__ import annotations

from collections.abc import Callable

_SLOT_COUNT = 1024

TimerCallback = Callable[[int], None]  #: Called with the time in microseconds.
ErrorHandler = Callable[[Exception], None]


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "due_tick")

    def __init__(self, due_tick: int, callback: TimerCallback) -> None:
        self.due_tick = due_tick
        self.callback: TimerCallback | None = callback

    def cancel(self) -> None:
        """Cancel the callback; no effect once it has been called."""
        self.callback = None


class ResettableTimer:
    """A timer that is scheduled at most once: setting it again replaces the previous time and callback.

    A timer that is set to a later time stays on the wheel until the earlier one and is then scheduled anew.
    One that is set with each message thus leaves nothing behind for each of them.
    """

    def __init__(self, timer_wheel: TimerWheel) -> None:
        self._timer_wheel = timer_wheel
        self._timer: Timer | None = None  # the one on the wheel
        self._scheduled_us = 0
        self._due_us = 0
        self._callback: TimerCallback | None = None

    def set(self, due_us: int, callback: TimerCallback) -> None:
        """Schedule `callback` at this time, replacing any earlier one."""
        self._due_us = due_us
        self._callback = callback
        if self._timer is None or due_us < self._scheduled_us:
            self.cancel()
            self._callback = callback
            self._schedule()

    def cancel(self) -> None:
        """Cancel the timer if it is set."""
        self._callback = None
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._scheduled_us = self._due_us
        self._timer = self._timer_wheel.schedule(self._due_us, self._wheel_timer_due)

    def _wheel_timer_due(self, now_us: int) -> None:
        self._timer = None
        callback = self._callback
        if now_us < self._due_us:
            self._schedule()
        elif callback:
            self._callback = None
            callback(now_us)


class TimerWheel:
    """Calls timers at the first tick at or after their due time, in tick order."""

    def __init__(self, tick_us: int, now_us: int) -> None:
        self._tick_us = tick_us
        self._current_tick = now_us // tick_us
        self._slots: list[list[Timer]] = [[] for _ in range(_SLOT_COUNT)]
        #: Called with an exception raised by a timer; if None, `advance` raises it.
        self.on_error: ErrorHandler | None = None

    def schedule(self, due_us: int, callback: TimerCallback) -> Timer:
        """Schedule `callback` at this time, or at the next tick if the time has passed."""
        timer = Timer(max(-(-due_us // self._tick_us), self._current_tick + 1), callback)
        self._slots[timer.due_tick % _SLOT_COUNT].append(timer)
        return timer

    def advance(self, now_us: int) -> None:
        """Call every timer due by `now_us`, passing this time to each."""
        while self._current_tick < now_us // self._tick_us:
            # incremented first, so that callbacks cannot schedule timers for the tick being run
            self._current_tick += 1
            self._run_current_slot(now_us)

    def _run_current_slot(self, now_us: int) -> None:
        slot_number = self._current_tick % _SLOT_COUNT
        timers = [timer for timer in self._slots[slot_number] if timer.callback]
        self._slots[slot_number] = [timer for timer in timers if timer.due_tick > self._current_tick]
        for timer in timers:
            callback = timer.callback  # None if an earlier callback of this slot cancelled it
            if timer.due_tick <= self._current_tick and callback:
                timer.callback = None
                self.call(callback, now_us)

    def call(self, callback: TimerCallback, now_us: int) -> None:
        """Call a callback immediately, as if it were a timer: its exception does not reach the caller."""
        try:
            callback(now_us)
        except Exception as exc:  # what follows must still run, such as the remaining timers of the slot
            if self.on_error is None:
                raise
            self.on_error(exc)
