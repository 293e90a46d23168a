"""A node's part of what all nodes together may send a server that is cold.

The settings bound the sum: `overload_factor` times what the server can do by now, over `overload_for`. Nobody
is told what it can do, only its share of it; what warm servers of its size are usually asked is the guide.
Each node goes by its own traffic, so that the parts add up to that, whatever the number of nodes and however
uneven their traffic. Decides only whether one more call fits; limerudder/policy/balancer.py asks.
"""

from __future__ import annotations

from collections.abc import Iterable

from limerudder.policy.records import SECOND, RateEstimator, Server
from limerudder.policy.settings import (
    Settings,
)

SPAN = 15 * SECOND  #: that rates are over
#: Calls in `overload_for`, of all nodes, that a cold server gets whatever is usual: two are chance anyway.
#: Where each of hundreds of nodes sees a request in ten seconds, the usual is a small part of one call.
FLOOR = 1.0


class SlowStartBudget:
    """Budgets of cold servers: one token each, earned at a rate, spent with each call."""

    def __init__(self, settings: Settings) -> None:
        self.told, self.usual, self.weight = settings, RateEstimator(), 1.0
        self.born: int | None = None  # of a process that was there with the connections that stand
        self.floor = (
            FLOOR * SECOND / (max(settings.overload_window_us, SECOND // 10) * max(settings.node_count, 1))
        )

    def since(self, now: int) -> int:
        """From when on this node's traffic is known."""
        # DANGER: a process begun without memory that took its first second for the usual would send its part
        # of a wave, as would all that began with it: before its first moment it has sent nothing
        return max(now - SPAN, self.born) if self.born is not None else now - SPAN

    def sent(self, now: int) -> None:
        """A request's first attempt is sent; further ones are no demand."""
        self.usual.count(now, self.since(now))

    def listed(self, ready: Iterable[Server], cold: Iterable[Server]) -> None:
        """The servers among which traffic is shared: the warm ones, or all where none is."""
        ready, cold = list(ready), set(cold)
        warm = [server for server in ready if server not in cold]
        self.weight = sum(server.weight for server in warm or ready) or 1.0

    def may(self, server: Server, share: float, times: float, fresh: float, now: int) -> bool:
        """Whether the budget allows one more.

        `share`: of all it can do; `times`: more than usual; `fresh`: connections a second at this node that
        stood nowhere before, since it began: in no wave, so a process is believed from its first second on.
        """
        usual = max(self.usual.read(now, self.since(now)), fresh) * server.weight / self.weight
        earned = self.told.overload_factor * share * usual * times + self.floor
        server.tokens = min(1.0, server.tokens + earned * (now - server.tokens_at) / SECOND)
        server.tokens_at = now
        return server.tokens >= 1
