"""Runs callbacks so that an exception of one prevents none of the effects that follow it."""

from __future__ import annotations

from collections.abc import Callable
from typing import ParamSpec

from limerudder.core.timer_wheel import ErrorHandler

Parameters = ParamSpec("Parameters")


class CallbackGuard:
    """Passes the exceptions of callbacks to an error handler instead of their caller.

    A member's output is processed in steps, such as the job for the disk, the messages and the notification
    of callers. A step must not be lost because a callback in an earlier one raises.
    """

    def __init__(self, on_error: ErrorHandler | None = None) -> None:
        #: Called with an exception raised by a callback; if None, `run` raises it.
        self.on_error = on_error

    def run(
        self, callback: Callable[Parameters, None], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> None:
        """Call a callback."""
        try:
            callback(*args, **kwargs)
        except Exception as exc:
            if self.on_error is None:
                raise
            self.on_error(exc)

    def wrap(self, callback: Callable[Parameters, None]) -> Callable[Parameters, None]:
        """Return a callback that runs the given one."""

        def run_guarded(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
            self.run(callback, *args, **kwargs)

        return run_guarded
