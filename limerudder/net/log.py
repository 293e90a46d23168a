"""Logs events to standard error through a chain of processors, the last of which renders the line.

The processors have structlog's signature, so that they also run in a structlog pipeline if the operator's
file configures the log. Without that file they are called directly: importing structlog costs a node 6 MB of
memory and about 80 ms at start-up.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Hashable, MutableMapping
from typing import Any

from limerudder.core.operations.log_events import LogKind
from limerudder.net.log_writer import LogWriter

MAX_LINES_PER_WINDOW = 5  #: Maximum number of lines per kind and detail in a window
WINDOW_SECONDS = 10.0
MAX_DETAILS_PER_WINDOW = 20  #: Number of details of one kind that can each log their full number of lines
MAX_WINDOWS = 1024  #: Maximum number of windows in memory; there can be as many details as hosts
JSON_FORMAT = "json"
TEXT_FORMAT = "text"

EventDict = MutableMapping[str, Any]  #: An event as structlog represents it
Renderer = Callable[[Any, str, EventDict], str]


class LogWindow:
    """Number of events of one kind since a start time on the monotonic clock."""

    def __init__(self, started_at_seconds: float, event_count: int) -> None:
        self.started_at_seconds = started_at_seconds
        self.event_count = event_count


class LogRateLimiter:
    """Limits events per window: `max_lines` per kind and detail, and a multiple of that per kind.

    The first event of the next window reports the number of dropped events in its field `left_out`.
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_WINDOW, window_seconds: float = WINDOW_SECONDS) -> None:
        self.max_lines = max_lines
        self.window_seconds = window_seconds
        self.windows: dict[Hashable, LogWindow] = {}  # key: kind and detail
        self.windows_by_kind: dict[Hashable, LogWindow] = {}

    def __call__(self, logger: Any, method: str, event: EventDict) -> EventDict | None:
        """Return the event, or None to drop it, where a structlog processor would raise DropEvent."""
        key = event.pop("kind")
        if key not in self.windows and len(self.windows) >= MAX_WINDOWS:
            del self.windows[next(iter(self.windows))]  # the oldest one; its count of dropped events is lost
        is_within_limit = self._count(self.windows, key, self.max_lines, event)
        if isinstance(key, tuple):  # kind and detail
            kind, _ = key
            max_lines_of_kind = self.max_lines * MAX_DETAILS_PER_WINDOW
            is_within_limit = is_within_limit and self._count(
                self.windows_by_kind, kind, max_lines_of_kind, event
            )
        return event if is_within_limit else None

    def _count(
        self, windows: dict[Hashable, LogWindow], key: Hashable, max_lines: int, event: EventDict
    ) -> bool:
        """Count the event in the window of `key`; return whether it is among the first `max_lines`."""
        now_seconds = time.monotonic()
        window = windows.setdefault(key, LogWindow(now_seconds, 0))
        if now_seconds >= window.started_at_seconds + self.window_seconds:
            if window.event_count > max_lines:
                event["left_out"] = event.get("left_out", 0) + window.event_count - max_lines
            window.started_at_seconds = now_seconds
            window.event_count = 0
        window.event_count += 1
        return window.event_count <= max_lines


def render_text(logger: Any, method: str, event: EventDict) -> str:
    """Return the event as the line that ONCALL.md documents; a structlog processor."""
    left_out = event.get("left_out")
    suffix = f" ({left_out} more like this not shown)" if left_out else ""
    return f"limerudder {event['node']}: {event['text']}{suffix}"


def render_json(logger: Any, method: str, event: EventDict) -> str:
    """Return the event's fields as one JSON object; a structlog processor."""
    return json.dumps(dict(event), ensure_ascii=False)


def _renderer(log_format: str) -> Renderer:
    return render_json if log_format == JSON_FORMAT else render_text


class LineLogger:
    """The last step of a structlog pipeline: writes rendered lines."""

    def __init__(self, writer: LogWriter) -> None:
        self.info = self.warning = self.error = writer.write


class Log:
    """The LogSink of a process. Events of one kind with equal details share a rate limit.

    Logging never blocks and never raises: lines that cannot be written to standard error are dropped.
    """

    def __init__(
        self,
        node_name: str,
        log_format: str = TEXT_FORMAT,
        max_lines: int = MAX_LINES_PER_WINDOW,
        window_seconds: float = WINDOW_SECONDS,
        writer: LogWriter | None = None,
    ) -> None:
        self.node_name = node_name
        self.rate_limiter = LogRateLimiter(max_lines, window_seconds)
        self._render = _renderer(log_format)
        self._writer = writer or LogWriter()
        self._write: Callable[[str, EventDict], None] = self._write_directly

    def __call__(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """Log an event; the detail is not printed."""
        level = kind.level.value
        fields = {"node": self.node_name, "event": kind.event_name, "level": level, "text": text}
        self._write(level, fields | {"kind": (kind, detail)})

    def configure(self, log_format: str, max_lines: int, window_seconds: float) -> None:
        """Change the format and the rate limit; existing counts are kept."""
        self._render = _renderer(log_format)
        self.rate_limiter.max_lines = max_lines
        self.rate_limiter.window_seconds = window_seconds

    def use_structlog(self) -> None:
        """Switch to running the same processors in a structlog pipeline."""
        import structlog

        def limit(logger: Any, method: str, event: EventDict) -> EventDict:
            passed_event = self.rate_limiter(logger, method, event)
            if passed_event is None:
                raise structlog.DropEvent
            return passed_event

        def render(logger: Any, method: str, event: EventDict) -> str:
            return self._render(logger, method, event)

        logger = structlog.wrap_logger(
            LineLogger(self._writer),
            processors=[limit, render],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        )
        self._write = lambda level, event: getattr(logger, level)(**event)

    def _write_directly(self, level: str, event: EventDict) -> None:
        if self.rate_limiter(None, level, event) is not None:
            self._writer.write(self._render(None, level, event))
