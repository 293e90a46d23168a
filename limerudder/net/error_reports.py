"""Reports errors that no caller handles: a log line and a counter each, and the process goes on."""

from __future__ import annotations

import asyncio
from typing import Any

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address
from limerudder.net.error_text import error_text


class ErrorReports:
    """What the event loop, the timers, the policy's actions and the dials of one node report."""

    def __init__(self, counters: Counters, log: LogSink) -> None:
        self._counters = counters
        self._log = log

    def defect(self, error: BaseException) -> None:
        """Report an exception that nothing handled."""
        self._counters.increment(CounterName.CALLBACK_ERRORS)
        text = error_text(error)
        self._log(LogKind.CALLBACK_FAILED, f"node: a callback failed: {text}", text)

    def loop_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Report an exception of a callback or task; an event loop's exception handler."""
        self.defect(context.get("exception") or RuntimeError(context.get("message")))

    def failed_dial(self, address: Address, error: OSError) -> None:
        """Report a dial that failed for a shortage on this side."""
        self._counters.increment(CounterName.DIALS_FAILED_LOCALLY)
        text = "node: cannot connect to {}:{}: {}".format(*address, error.strerror)
        self._log(LogKind.CALL_FAILED, text)
