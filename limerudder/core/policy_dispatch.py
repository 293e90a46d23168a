"""Dispatches events to the connection policy and carries out its actions, strictly in order."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.timer_wheel import ErrorHandler, TimerWheel
from limerudder.policy.actions import Action, LogMessage, PolicyError, SetTimer
from limerudder.policy.events import Event, TimerFired
from limerudder.policy.interface import ConnectionPolicy

_TIMER_RETRY_US = 1_000_000

#: Carries out an action; the second argument is the time in microseconds.
ActionHandler = Callable[[Any, int], None]


class PolicyDispatcher:
    """Passes events to the policy one at a time and carries out the resulting actions.

    An exception in the policy fails at most the request whose event it was handling.
    """

    def __init__(
        self,
        policy: ConnectionPolicy,
        timer_wheel: TimerWheel,
        counters: Counters,
        log: LogSink,
    ) -> None:
        self._policy = policy
        self._timer_wheel = timer_wheel
        self._counters = counters
        self._log = log
        self._pending_events: deque[Event] = deque()
        self._is_dispatching = False
        self._action_handlers: dict[type, ActionHandler] = {
            SetTimer: self._set_timer,
            LogMessage: self._log_text,
            PolicyError: self._log_text,
        }
        self._request_failed: Callable[[int, int], None] = lambda request_number, now_us: None
        #: Called with an exception raised by an action; if None, `dispatch` raises it.
        self.on_error: ErrorHandler | None = None

    def set_handlers(
        self, action_handlers: Mapping[type, ActionHandler], request_failed: Callable[[int, int], None]
    ) -> None:
        """Set the handlers by action type; SetTimer and actions that are only logged need none.

        They are not constructor arguments because they belong to components that dispatch events themselves.
        `request_failed` is called with the number of the request whose event the policy failed to handle.
        """
        self._action_handlers.update(action_handlers)
        self._request_failed = request_failed

    def dispatch(self, event: Event, now_us: int) -> None:
        """Pass an event to the policy and carry out the resulting actions.

        Events caused by an action are queued until the preceding actions are complete.
        """
        self._pending_events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            self._dispatch_pending(now_us)
        finally:  # reset even if an action raises, or no event would be dispatched again
            self._is_dispatching = False

    def confirm_send(self, request_number: int, upstream_number: int, now_us: int) -> bool:
        """Return whether the policy allows writing a request to an upstream; False if the policy raises."""
        try:
            return self._policy.confirm_send(request_number, upstream_number, now_us)
        except Exception as exc:  # other requests must not be affected
            self._log_exception(exc)
            return False

    def _dispatch_pending(self, now_us: int) -> None:
        pending_events = self._pending_events
        while pending_events:
            event = pending_events.popleft()
            try:
                actions = self._policy.handle(event, now_us)
            except Exception as exc:  # other requests must not be affected
                self._policy_raised(event, exc, now_us)
                continue
            for action in actions:
                self._carry_out(action, now_us)

    def _carry_out(self, action: Action, now_us: int) -> None:
        try:
            self._action_handlers[type(action)](action, now_us)
        except Exception as exc:  # the remaining actions must still be carried out
            if self.on_error is None:
                raise
            self.on_error(exc)

    def _policy_raised(self, event: Event, exc: Exception, now_us: int) -> None:
        self._log_exception(exc)
        if isinstance(event, TimerFired):  # the failed call did not set the next timer
            self._timer_wheel.schedule(now_us + _TIMER_RETRY_US, lambda at_us: self.dispatch(event, at_us))
        self._request_failed(getattr(event, "request_id", 0), now_us)

    def _log_exception(self, exc: Exception) -> None:
        self._counters.increment(CounterName.POLICY_ERRORS)
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        text = f"{type(exc).__name__}: {exc} in {frame.name} line {frame.lineno}"
        self._log(LogKind.POLICY_ERROR, f"policy: {text}", frame.name)

    def _set_timer(self, action: SetTimer, now_us: int) -> None:
        event = TimerFired(action.token)
        self._timer_wheel.schedule(action.due_at_us, lambda at_us: self.dispatch(event, at_us))

    def _log_text(self, action: LogMessage | PolicyError, now_us: int) -> None:
        self._log(LogKind.POLICY_MESSAGE, f"policy: {action.text}")
