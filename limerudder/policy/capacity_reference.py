"""Estimates a lower bound of a warm server's capacity from this node's own traffic.

The rate is measured only while the set of servers is stable. Servers that leave, join or warm up cause waves
of clients, and the rate then reflects the demand of the disturbance instead of the servers' capacity. Until
traffic has settled again, the value from before the disturbance applies. A process that has not yet seen a
stable period has no estimate.
"""

from __future__ import annotations

from limerudder.policy.records import SECOND, RateEstimator

RATE_WINDOW_US = 60 * SECOND  #: Long compared with the waves of clients that follow restarts of other nodes
SETTLING_US = RATE_WINDOW_US  #: Time after a disturbance until its last wave of clients has left the window


class CapacityReference:
    """A node's share of the new connections per second at a server of weight 1."""

    def __init__(self) -> None:
        self._rate = RateEstimator(RATE_WINDOW_US)  # rate of connections that servers accepted
        self._started_at_us: int | None = None  # start of this process, if it inherited connections
        self._ready_version = 0  # version of the set of ready servers; 0 before the first server is ready
        self._weight = 0.0
        self._disturbed_until_us = 0
        self._undisturbed_rate = 0.0  # rate per weight before the disturbance

    def measure_from(self, started_at_us: int) -> None:
        """Measure the rate from the start of this process, whose traffic began with inherited connections.

        Without this call, the process counts as having had no traffic before it started. Otherwise the rate
        of the first second would count as usual in processes that start during a wave of clients.
        """
        self._started_at_us = started_at_us

    def record_connection(self, now_us: int) -> None:
        """Record a connection that a server accepted and that is not a reconnection."""
        self._rate.record(now_us, self._measured_since_us(now_us))

    def update_servers(self, ready_version: int, weight: float, warm_from_us: int, now_us: int) -> None:
        """Update the set of ready servers.

        `ready_version` changes with each change of the set, and is 0 before the first server is ready.
        `weight` is the total weight of the set. `warm_from_us` is the time from which no server is in slow
        start.
        """
        is_first_list = not self._ready_version
        if (ready_version != self._ready_version and not is_first_list) or warm_from_us > now_us:
            self._undisturbed_rate = self.rate_per_weight(now_us)
            self._disturbed_until_us = max(now_us, warm_from_us) + SETTLING_US
        self._ready_version = ready_version
        self._weight = weight

    def rate_per_weight(self, now_us: int) -> float:
        """Return the new connections per second and unit of server weight."""
        if now_us < self._disturbed_until_us:
            return self._undisturbed_rate
        if self._weight <= 0:
            return 0.0
        return self._rate.read(now_us, self._measured_since_us(now_us)) / self._weight

    def _measured_since_us(self, now_us: int) -> int:
        window_start_us = now_us - RATE_WINDOW_US
        if self._started_at_us is None:
            return window_start_us
        return max(window_start_us, self._started_at_us)
