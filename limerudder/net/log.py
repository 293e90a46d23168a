"""Log lines on standard error: an event goes through steps, and the last of them is printed.

Each step is one of structlog's processors, so that the same steps stand in a structlog pipeline where the
operator's file asks for one. Without it the steps are run by hand: structlog alone would cost a node 6 MB and
some 80 ms at its start.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Hashable, MutableMapping
from typing import Any

from limerudder.core.operations.log_events import LogKind

MOST, WHILE = 5, 10.0  #: lines of a kind, in so many seconds

EventDict = MutableMapping[str, Any]
Step = Callable[[Any, str, EventDict], EventDict | str | None]  #: None ends the event there


class LogRateLimiter:
    """Lets so many events of a kind pass in a while; those left out are counted in the kind's next one."""

    def __init__(self, most: int = MOST, while_: float = WHILE) -> None:
        self.most, self.while_ = most, while_
        self.kinds: dict[Hashable, tuple[float, int]] = {}  # since when, how many

    def __call__(self, logger: Any, method: str, event: EventDict) -> EventDict | None:
        """Pass the event on, or not."""
        now, kind = time.monotonic(), event.pop("kind")
        since, many = self.kinds.get(kind, (now, 0))
        if now >= since + self.while_:
            if many > self.most:
                event["left_out"] = many - self.most
            since, many = now, 0
        self.kinds[kind] = since, many + 1
        return event if many < self.most else None


def as_text(logger: Any, method: str, event: EventDict) -> str:
    """The line that ONCALL.md tells of."""
    left_out = event.get("left_out")
    more = f" ({left_out} more like this not shown)" if left_out else ""
    return f"limerudder {event['node']}: {event['text']}{more}"


def as_json(logger: Any, method: str, event: EventDict) -> str:
    """The same fields as one JSON object."""
    return json.dumps(dict(event), ensure_ascii=False)


class Log:
    """Prints events: `log(kind, text)`, where the kind gives the event's stable name and level;
    a detail counts as a kind of its own for the rate limit.
    """

    def __init__(self, name: str, format: str = "text", most: int = MOST, while_: float = WHILE) -> None:
        self.name, self.rate = name, LogRateLimiter(most, while_)
        self.render = as_json if format == "json" else as_text
        self.print: Callable[[str, EventDict], None] = self._by_hand

    def through_structlog(self) -> None:
        """Run the same steps in a structlog pipeline from now on."""
        import structlog

        def limit(logger: Any, method: str, event: EventDict) -> EventDict:
            passed = self.rate(logger, method, event)
            if passed is None:
                raise structlog.DropEvent
            return passed

        def render(logger: Any, method: str, event: EventDict) -> str:
            return self.render(logger, method, event)

        logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[limit, render],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        )
        self.print = lambda level, event: getattr(logger, level)(**event)

    def configure(self, format: str, most: int, while_: float) -> None:
        """Another form or rate from now on; what has been counted stays."""
        self.render = as_json if format == "json" else as_text
        self.rate.most, self.rate.while_ = most, while_

    def __call__(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """An event of this kind."""
        level = kind.level.value
        fields = {"node": self.name, "event": kind.event_name, "level": level, "text": text}
        self.print(level, fields | {"kind": (kind, detail)})

    def _by_hand(self, level: str, event: EventDict) -> None:
        if self.rate(None, level, event) is not None:
            print(self.render(None, level, event), file=sys.stderr, flush=True)
