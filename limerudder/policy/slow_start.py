"""Slow start: one node's part of what all nodes together may send a server that is warming up.

The settings bound the sum: `overload_factor` times what the server can do by now, over `overload_window_us`.
No node knows what a server can do, only which share of its full capacity it has by now. What warm servers
of its size are usually asked serves as the measure of the rest. Each node goes by its own traffic. So the
parts add up to the bound, whatever the number of nodes and however uneven their traffic.

The balancer asks whether one more attempt fits; which server it goes to is decided there. Times are
microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from limerudder.policy.records import SECOND, RateEstimator, Server
from limerudder.policy.settings import Settings

RATE_WINDOW_US = 15 * SECOND  #: window of the request rate
#: Attempts within the overload window, of all nodes together, that a cold server gets whatever the usual rate
#: is: two are chance anyway. Where each of hundreds of nodes sees a request in ten seconds, a node's part of
#: the usual rate is a small part of one attempt.
MIN_CALLS_PER_WINDOW = 1.0
MIN_OVERLOAD_WINDOW_US = SECOND // 10
MAX_TOKENS = 1.0  #: of one server's token bucket


class SlowStartBudget:
    """The budgets of servers that warm up: a token bucket for each, one token an attempt."""

    def __init__(self, settings: Settings) -> None:
        self._overload_factor = settings.overload_factor
        self.request_rate = RateEstimator()  #: of requests at this node, attempts after the first left out
        self.serving_weight = 1.0  #: size of the servers among which the traffic is shared
        #: When a process began that inherited connections; None for a process without memory.
        self.started_at_us: int | None = None
        window_us = max(settings.overload_window_us, MIN_OVERLOAD_WINDOW_US)
        self.min_tokens_per_second = MIN_CALLS_PER_WINDOW * SECOND / (window_us * max(settings.node_count, 1))

    def rate_known_since_us(self, now_us: int) -> int:
        """From when on this node's traffic is known.

        A process without memory that took its first second for the usual would send its part of a wave, and
        so would all that began with it. So it counts as having had no traffic before its first moment.
        """
        window_start_us = now_us - RATE_WINDOW_US
        if self.started_at_us is None:
            return window_start_us
        return max(window_start_us, self.started_at_us)

    def record_request(self, now_us: int) -> None:
        """Record that a request's first attempt is sent; further attempts are no demand."""
        self.request_rate.record(now_us, self.rate_known_since_us(now_us))

    def update_servers(self, ready: Iterable[Server], cold: Iterable[Server]) -> None:
        """Take over the servers among which traffic is shared: the warm ones, or all where none is warm."""
        ready_servers = list(ready)
        cold_servers = set(cold)
        warm_servers = [server for server in ready_servers if server not in cold_servers]
        self.serving_weight = sum(server.weight for server in warm_servers or ready_servers) or 1.0

    def allows(
        self, server: Server, capacity_share: float, rate_factor: float, fresh_rate: float, now_us: int
    ) -> bool:
        """Whether the server's budget allows one more attempt.

        `capacity_share`: what the server can do by now, as a share of its full capacity. `rate_factor`: how
        many times the usual rate it may get. `fresh_rate`: connections a second at this node that are no
        reconnections, since it began. These are part of no wave, so a process is believed in them from its
        first second on.
        """
        known_rate = self.request_rate.read(now_us, self.rate_known_since_us(now_us))
        usual_rate = max(known_rate, fresh_rate) * server.weight / self.serving_weight
        allowed_rate = self._overload_factor * capacity_share * usual_rate * rate_factor
        tokens_per_second = allowed_rate + self.min_tokens_per_second
        earned_tokens = tokens_per_second * (now_us - server.slow_start_tokens_at_us) / SECOND
        server.slow_start_tokens = min(MAX_TOKENS, server.slow_start_tokens + earned_tokens)
        server.slow_start_tokens_at_us = now_us
        return server.slow_start_tokens >= 1
