"""Rates at which the clients of this node request connections."""

from __future__ import annotations

from limerudder.policy.context import Clock
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.records import SECOND, RateEstimator

#: Time after the start during which existing connections count as requests and so earn health checks.
EXISTING_CONNECTIONS_WINDOW_US = 60 * SECOND
#: Maximum mean lifetime of a connection, which limits the age of those that existed at the start.
MAX_MEAN_CONNECTION_LIFETIME_US = 300 * SECOND
MIN_RATE = 0.01  #: Connections per second; keeps divisions by a rate finite


class TrafficRates:
    """Rates of first attempts; retries do not count as demand."""

    def __init__(self, clock: Clock) -> None:
        self.existing_connections = 0  # Connections established before the policy started
        self.last_request_rate = 0.0  # Rate as of the last first attempt
        self._clock = clock
        self._requests = RateEstimator()
        self._fresh_requests = RateEstimator()

    def record_request(self, is_reconnect: bool) -> None:
        """Count the first attempt of a request."""
        clock = self._clock
        self.last_request_rate = self._requests.record(clock.now_us, clock.started_at_us)
        if not is_reconnect:
            self._fresh_requests.record(clock.now_us, clock.started_at_us)

    def usual_request_rate(self) -> float:
        """Return the requests per second that this node receives or its existing connections suggest."""
        clock = self._clock
        existing_rate = 0.0
        if clock.now_us < clock.started_at_us + EXISTING_CONNECTIONS_WINDOW_US:
            existing_rate = self.existing_connections * SECOND / EXISTING_CONNECTIONS_WINDOW_US
        return max(self._requests.read(clock.now_us, clock.started_at_us), existing_rate, MIN_RATE)

    def fresh_rate(self) -> float:
        """Return the requests per second without those of reconnecting clients."""
        return self._fresh_requests.read(self._clock.now_us, self._clock.started_at_us)

    def usual_fresh_rate(self, gossip: LoadGossip) -> float:
        """Return the mean `fresh_rate` of the tier's nodes, or of this node without gossip.

        The result is at least the rate that existing connections suggest.
        """
        clock = self._clock
        fresh_rate = gossip.mean_fresh_rate if gossip.is_active(clock.now_us) else self.fresh_rate()
        existing_rate = 0.0
        if clock.now_us < clock.started_at_us + MAX_MEAN_CONNECTION_LIFETIME_US:
            existing_rate = self.existing_connections * SECOND / MAX_MEAN_CONNECTION_LIFETIME_US
        return max(fresh_rate, existing_rate, MIN_RATE)
