"""How many connections a second the clients of this node ask for."""

from __future__ import annotations

from limerudder.policy.context import Clock
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.records import SECOND, RateEstimator

#: Existing connections count as requests of the first minute: they pay for health checks as requests do.
EXISTING_CONNECTIONS_WINDOW_US = 60 * SECOND
#: The longest mean lifetime of a connection: how long ago those that existed at the start may have begun.
MAX_MEAN_CONNECTION_LIFETIME_US = 300 * SECOND
MIN_RATE = 0.01  #: connections a second; keeps divisions by a rate finite


class TrafficRates:
    """Rates of first attempts; retries are no demand."""

    def __init__(self, clock: Clock) -> None:
        self.existing_connections = 0  # that ran through the node when the policy started
        self.last_request_rate = 0.0  # as of the last first attempt
        self._clock = clock
        self._requests = RateEstimator()
        self._fresh = RateEstimator()

    def record_request(self, is_reconnect: bool) -> None:
        """Count the first attempt of a request."""
        clock = self._clock
        self.last_request_rate = self._requests.record(clock.now_us, clock.started_at_us)
        if not is_reconnect:
            self._fresh.record(clock.now_us, clock.started_at_us)

    def usual_request_rate(self) -> float:
        """Requests a second that this node sees, or that its existing connections suggest."""
        clock = self._clock
        existing_rate = 0.0
        if clock.now_us < clock.started_at_us + EXISTING_CONNECTIONS_WINDOW_US:
            existing_rate = self.existing_connections * SECOND / EXISTING_CONNECTIONS_WINDOW_US
        return max(self._requests.read(clock.now_us, clock.started_at_us), existing_rate, MIN_RATE)

    def fresh_rate(self) -> float:
        """Requests a second of clients that were not connected a moment ago."""
        return self._fresh.read(self._clock.now_us, self._clock.started_at_us)

    def usual_fresh_rate(self, gossip: LoadGossip) -> float:
        """Fresh requests a second at a node of the tier, or that its existing connections suggest."""
        clock = self._clock
        fresh_rate = gossip.mean_fresh_rate if gossip.is_active(clock.now_us) else self.fresh_rate()
        existing_rate = 0.0
        if clock.now_us < clock.started_at_us + MAX_MEAN_CONNECTION_LIFETIME_US:
            existing_rate = self.existing_connections * SECOND / MAX_MEAN_CONNECTION_LIFETIME_US
        return max(fresh_rate, existing_rate, MIN_RATE)
