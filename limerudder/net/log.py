"""Log events on standard error: each passes a chain of processors, the last of which renders its line.

The processors have structlog's signature, so that the same ones run in a structlog pipeline where the
operator's file configures the log. Without that file they are called directly: importing structlog would
cost a node 6 MB of memory and some 80 ms at start-up.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Hashable, MutableMapping
from typing import Any

from limerudder.core.operations.log_events import LogKind

MAX_LINES_PER_WINDOW = 5  #: of one kind
WINDOW_SECONDS = 10.0
JSON_FORMAT = "json"
TEXT_FORMAT = "text"

EventDict = MutableMapping[str, Any]  #: structlog's form of an event
Renderer = Callable[[Any, str, EventDict], str]


class LogWindow:
    """The events of one kind since a moment of the monotonic clock."""

    def __init__(self, started_at_seconds: float, event_count: int) -> None:
        self.started_at_seconds = started_at_seconds
        self.event_count = event_count


class LogRateLimiter:
    """Passes at most `max_lines` events of a kind in a window.

    The first event of the kind's next window tells in its field `left_out` how many were dropped.
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_WINDOW, window_seconds: float = WINDOW_SECONDS) -> None:
        self.max_lines = max_lines
        self.window_seconds = window_seconds
        self.windows: dict[Hashable, LogWindow] = {}  # by kind and detail

    def __call__(self, logger: Any, method: str, event: EventDict) -> EventDict | None:
        """Return the event, or None if it is to be dropped; a structlog processor but for the None."""
        now_seconds = time.monotonic()
        window = self.windows.setdefault(event.pop("kind"), LogWindow(now_seconds, 0))
        if now_seconds >= window.started_at_seconds + self.window_seconds:
            if window.event_count > self.max_lines:
                event["left_out"] = window.event_count - self.max_lines
            window.started_at_seconds = now_seconds
            window.event_count = 0
        window.event_count += 1
        return event if window.event_count <= self.max_lines else None


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


class Log:
    """Writes events: the LogSink of a process. Events of one kind with equal details share a rate limit."""

    def __init__(
        self,
        node_name: str,
        log_format: str = TEXT_FORMAT,
        max_lines: int = MAX_LINES_PER_WINDOW,
        window_seconds: float = WINDOW_SECONDS,
    ) -> None:
        self.node_name = node_name
        self.rate_limiter = LogRateLimiter(max_lines, window_seconds)
        self._render = _renderer(log_format)
        self._write: Callable[[str, EventDict], None] = self._write_directly

    def __call__(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """Log an event; the detail is not printed."""
        level = kind.level.value
        fields = {"node": self.node_name, "event": kind.event_name, "level": level, "text": text}
        self._write(level, fields | {"kind": (kind, detail)})

    def configure(self, log_format: str, max_lines: int, window_seconds: float) -> None:
        """Change the format and the rate limit from now on; what has been counted stays."""
        self._render = _renderer(log_format)
        self.rate_limiter.max_lines = max_lines
        self.rate_limiter.window_seconds = window_seconds

    def use_structlog(self) -> None:
        """Run the same processors in a structlog pipeline from now on."""
        import structlog

        def limit(logger: Any, method: str, event: EventDict) -> EventDict:
            passed_event = self.rate_limiter(logger, method, event)
            if passed_event is None:
                raise structlog.DropEvent
            return passed_event

        def render(logger: Any, method: str, event: EventDict) -> str:
            return self._render(logger, method, event)

        logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[limit, render],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        )
        self._write = lambda level, event: getattr(logger, level)(**event)

    def _write_directly(self, level: str, event: EventDict) -> None:
        if self.rate_limiter(None, level, event) is not None:
            print(self._render(None, level, event), file=sys.stderr, flush=True)
