"""Kinds of log events: the stable name and level of each, independent of its text."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import Protocol


class LogLevel(StrEnum):
    """Severity of an event; the values are the method names of Python's loggers."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogKind(Enum):
    """The kind of an event: a stable name for log processors, and a level."""

    LISTENING = ("node.listening", LogLevel.INFO)
    STATE_DIRECTORY = ("node.state_directory", LogLevel.WARNING)
    CONFIG = ("node.config", LogLevel.WARNING)
    COUNTERS = ("node.counters", LogLevel.INFO)
    STOPPING = ("node.stopping", LogLevel.INFO)
    STOPPED = ("node.stopped", LogLevel.INFO)
    CALLBACK_FAILED = ("node.callback_failed", LogLevel.ERROR)
    CALL_FAILED = ("node.system_call_failed", LogLevel.WARNING)
    HANDOVER = ("node.handover", LogLevel.INFO)
    HOST_MAINTENANCE = ("host.maintenance", LogLevel.INFO)
    HOST_STATE = ("host.state", LogLevel.INFO)
    HOST_UNRESPONSIVE = ("host.unresponsive", LogLevel.WARNING)
    HOST_DRAIN_RECORDED = ("host.drain_recorded", LogLevel.INFO)
    LOAD_REPORT_MALFORMED = ("host.load_report_malformed", LogLevel.WARNING)
    DISCOVERY_FAILED = ("discovery.failed", LogLevel.WARNING)
    DISCOVERY_RENUMBERED = ("discovery.renumbered", LogLevel.WARNING)
    ENDPOINT_LIST_OUTDATED = ("discovery.list_outdated", LogLevel.INFO)
    POLICY_MESSAGE = ("policy.message", LogLevel.INFO)
    POLICY_ERROR = ("policy.error", LogLevel.ERROR)
    ATTEMPT_FAILED = ("attempt.failed", LogLevel.INFO)
    SLOW_START_REQUEST = ("slow_start.request", LogLevel.INFO)
    REQUEST_ANSWERED = ("request.answered", LogLevel.INFO)
    RULE_VIOLATED = ("rule.violated", LogLevel.ERROR)
    REQUEST_OVERDUE = ("request.overdue", LogLevel.ERROR)
    PEER_DATAGRAM_DROPPED = ("peer.datagram_dropped", LogLevel.WARNING)
    STORE_ENDPOINTS_MALFORMED = ("store.endpoints_malformed", LogLevel.INFO)
    STORE_PEER_REJECTED = ("store.peer_rejected", LogLevel.WARNING)
    STORE_MESSAGE_TOO_LONG = ("store.message_too_long", LogLevel.ERROR)
    STORE_DISK = ("store.disk", LogLevel.ERROR)
    STORE_LEADER = ("store.leader", LogLevel.INFO)
    STORE_CONFIG = ("store.config", LogLevel.INFO)

    def __init__(self, event_name: str, level: LogLevel) -> None:
        self.event_name = event_name
        self.level = level


class LogSink(Protocol):
    """Accepts log events. Events share a rate limit if their kind and `detail` are equal."""

    def __call__(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """Log one event; `detail` is not printed."""
