"""A node's part of what all nodes together may send a server that is cold.

The settings bound the sum: `overload_factor` times what the server can do by now, over `overload_for`. Nobody
is told what it can do, only its share of it; what warm servers of its size are usually asked is the guide.
Each node goes by its own traffic, so that the parts add up to that, whatever the number of nodes and however
uneven their traffic. Decides only whether one more call fits; firgrade/choice.py asks.
"""

from __future__ import annotations

from collections.abc import Iterable

from . import interface as io
from .records import SECOND, Flow, Rate, Server

SPAN = 15 * SECOND  #: that rates are over; before a process's first moment it has asked for nothing
FLOOR = 0.5  #: calls in `overload_for`, of all nodes, that a cold server gets where nothing is known yet


class Warming:
    """Budgets of cold servers: one token each, earned at a rate, spent with each call."""

    def __init__(self, settings: io.Settings) -> None:
        self.told, self.usual, self.weight = settings, Rate(), 1.0
        self.floor = FLOOR * SECOND / (max(settings.overload_for, SECOND // 10) * max(settings.balancers, 1))

    def came(self, flow: Flow, now: int) -> None:
        """A request has come."""
        # DANGER: after another node's end, or a release, a minute's connections come again in a second; no
        # server can do more for it. Refused ones that come again are no demand either
        if not (flow.back or flow.retry):
            # DANGER: a process just begun that took its first second for the usual would send its part of
            # a wave, as would all that began with it
            self.usual.count(now, now - SPAN)

    def listed(self, ready: Iterable[Server], cold: Iterable[Server]) -> None:
        """The servers among which traffic is shared: the warm ones, or all where none is."""
        ready, cold = list(ready), set(cold)
        warm = [server for server in ready if server not in cold]
        self.weight = sum(server.weight for server in warm or ready) or 1.0

    def may(self, server: Server, share: float, times: float, now: int) -> bool:
        """Whether the budget allows one more; `share`: of all it can do, `times`: more than usual."""
        usual = self.usual.read(now, now - SPAN) * server.weight / self.weight
        earned = self.told.overload_factor * share * usual * times + self.floor
        server.tokens = min(1.0, server.tokens + earned * (now - server.tokens_at) / SECOND)
        server.tokens_at = now
        return server.tokens >= 1
