"""Counts violations of the node's rules at run time.

The guards are meant to prevent them; each violation is a defect of the node, regardless of its cause.
"""

from __future__ import annotations

from enum import StrEnum

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.operations.log_events import LogKind, LogSink


class Rule(StrEnum):
    """The rules that are checked in production; the values are the log texts of their violations."""

    SEND_CONFIRMED = "a request was written without confirmation by the send guard"
    SEND_IN_TURN = "a request was written to a host in slow start after its turn"
    SEND_FOR_CLIENT = "a request was written after its client had disconnected"
    SEND_TO_READY_HOST = "a request was written to a host that drains"
    SEND_IN_TIME = "a request was written after its deadline"
    ONE_ATTEMPT = "a request had two attempts at a time"
    ONE_ANSWER = "a request got two final answers"
    ANSWER_IN_TIME = "a request got its final answer late"
    ANSWER_BEFORE_CLOSE = "a client's connection was closed before its final answer"


class RuleMonitor:
    """Counts and logs violations of rules."""

    def __init__(self, counters: Counters, log: LogSink) -> None:
        self._counters = counters
        self._log = log

    def check(self, holds: bool, rule: Rule, request_id: int) -> None:
        """Count a violation unless the rule holds for the request."""
        if holds:
            return
        self._counters.increment(CounterName.RULE_VIOLATIONS)
        self._log(LogKind.RULE_VIOLATED, f"rule: {rule.value} (request {request_id:016x})", rule.name)
