"""How many times its slow-start budget a server gets that reports that it stands idle."""

from __future__ import annotations

from limerudder.policy.context import PolicyContext
from limerudder.policy.gossip import MAX_INDEPENDENT_NODES
from limerudder.policy.records import SECOND, Server
from limerudder.policy.reported_loads import ReportedLoads

IDLE_LOAD = 0.4  #: a server that reports less is idle
MAX_BOOST = 3
#: Of its capacity, as the other servers' reports tell it, what a server in slow start is filled to at most.
MAX_SLOW_START_LOAD = 0.8
MIN_MEAN_LOAD = 0.01  #: keeps the factor finite while the fleet is idle
#: While a predecessor process hands its connections over, they distort the rate of requests for so long.
HANDOVER_PERIOD_US = 15 * SECOND


class SlowStartBoost:
    """Computes the factor from load reports; which server gets what is decided elsewhere."""

    def __init__(self, context: PolicyContext, loads: ReportedLoads) -> None:
        self._node_count = context.settings.node_count
        self._clock = context.clock
        self._loads = loads
        self._handover_until_us = 0

    def begin_handover(self) -> None:
        """The process that this one replaces hands its connections over."""
        self._handover_until_us = self._clock.now_us + HANDOVER_PERIOD_US

    def factor(self, server: Server) -> float:
        """Return the factor; 1 unless the server is idle and this node may rely on its report.

        Not during a hand-over, since the rate includes the clients that the predecessor sends here; nor
        where nodes are many, since they send too much before one report shows it.
        """
        now_us = self._clock.now_us
        load = self._loads.estimate(server, now_us)
        acts_alone = self._node_count <= MAX_INDEPENDENT_NODES and now_us >= self._handover_until_us
        if not acts_alone or load is None or load >= IDLE_LOAD:
            return 1
        # The server is idle because little is asked of it; the others' reports show how much it can take.
        unused = MAX_SLOW_START_LOAD / max(self._loads.mean_reported_load, MIN_MEAN_LOAD)
        return min(MAX_BOOST, max(unused, 1))
