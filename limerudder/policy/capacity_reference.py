"""What a warm server can do at least, as far as this node's own traffic shows.

Measured only while nothing disturbs the fleet: servers that leave, come or warm up make waves of clients, and
what is measured then is the disturbance's demand, not what servers can do. Until things have been quiet again
for a while, the value of before counts. A process that has seen no quiet moment knows nothing.
"""

from __future__ import annotations

from limerudder.policy.records import SECOND, RateEstimator

RATE_WINDOW_US = 60 * SECOND  #: long beside the waves that follow when other nodes restart
SETTLING_US = RATE_WINDOW_US  #: after a disturbance, until its last wave of clients is forgotten


class CapacityReference:
    """A node's part of the connections that a server of weight 1 gets a second from all nodes."""

    def __init__(self) -> None:
        self._rate = RateEstimator(RATE_WINDOW_US)  # of connections that servers accepted
        self._known_since_us: int | None = None  # when a process that inherited connections began
        self._ready_version = 0  # of the servers that are ready; 0 before there are any
        self._weight = 0.0
        self._disturbed_until_us = 0
        self._undisturbed_rate = 0.0  # per weight, of before the disturbance

    def believe_from(self, started_at_us: int) -> None:
        """Count the rate from the start of this process on, which began together with its traffic.

        Any other process counts as having had no traffic before it began: the first second of a process that
        begins amid a wave would be taken for its usual rate, and so would that of all that begin with it.
        """
        self._known_since_us = started_at_us

    def record_connection(self, now_us: int) -> None:
        """Record that a server accepted a connection which is no reconnection."""
        self._rate.record(now_us, self._measured_since_us(now_us))

    def update_servers(self, ready_version: int, weight: float, warm_from_us: int, now_us: int) -> None:
        """Take over which servers are ready.

        `ready_version` is another number for each set of them, 0 before there are any; `weight`: of all
        together; `warm_from_us`: when the last in slow start will be warm.
        """
        is_first_list = not self._ready_version
        if (ready_version != self._ready_version and not is_first_list) or warm_from_us > now_us:
            self._undisturbed_rate = self.rate_per_weight(now_us)
            self._disturbed_until_us = max(now_us, warm_from_us) + SETTLING_US
        self._ready_version = ready_version
        self._weight = weight

    def rate_per_weight(self, now_us: int) -> float:
        """Return the connections a second for each unit of a server's weight."""
        if now_us < self._disturbed_until_us:
            return self._undisturbed_rate
        if self._weight <= 0:
            return 0.0
        return self._rate.read(now_us, self._measured_since_us(now_us)) / self._weight

    def _measured_since_us(self, now_us: int) -> int:
        window_start_us = now_us - RATE_WINDOW_US
        if self._known_since_us is None:
            return window_start_us
        return max(window_start_us, self._known_since_us)
