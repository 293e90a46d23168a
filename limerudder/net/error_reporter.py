"""Reports unhandled errors with a log line and a counter; the process continues."""

from __future__ import annotations

import asyncio
from typing import Any

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address
from limerudder.net.error_text import error_text


class ErrorReporter:
    """Receives errors from the event loop, timers, policy actions and dials of one node."""

    def __init__(self, counters: Counters, log: LogSink) -> None:
        self._counters = counters
        self._log = log

    def report_exception(self, error: BaseException) -> None:
        """Report an unhandled exception."""
        self._counters.increment(CounterName.CALLBACK_ERRORS)
        text = error_text(error)
        self._log(LogKind.CALLBACK_FAILED, f"node: a callback failed: {text}", text)

    def report_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Report an exception of a callback or task; used as the event loop's exception handler."""
        self.report_exception(context.get("exception") or RuntimeError(context.get("message")))

    def report_failed_dial(self, address: Address, error: OSError) -> None:
        """Report a dial that failed because of a local resource shortage."""
        self._counters.increment(CounterName.DIALS_FAILED_LOCALLY)
        text = "node: cannot connect to {}:{}: {}".format(*address, error.strerror)
        self._log(LogKind.CALL_FAILED, text)
