"""Log lines on standard error, so many of a kind in a while."""

from __future__ import annotations

import sys
import time

MOST, WHILE = 5, 10.0  #: lines of a kind, in so many seconds


class Log:
    """Prints; what is over the rate is counted and told with the kind's next line."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.kinds: dict[str, tuple[float, int]] = {}  # since when, how many

    def __call__(self, kind: str, text: str) -> None:
        """Print a line of this kind."""
        now = time.monotonic()
        since, many = self.kinds.get(kind, (now, 0))
        more = ""
        if now >= since + WHILE:
            more = f" ({many - MOST} more like this not shown)" if many > MOST else ""
            since, many = now, 0
        self.kinds[kind] = since, many + 1
        if many < MOST:
            print(f"limerudder {self.name}: {text}{more}", file=sys.stderr, flush=True)
