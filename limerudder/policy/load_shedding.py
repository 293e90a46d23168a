"""Admission control: capacity of a server, quota of a tenant, and budget of a server in slow start.

A connection that no server admits waits or is rejected (see retry).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from limerudder.policy.context import PolicyContext
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.load_polling import LoadPoller
from limerudder.policy.records import SECOND, Connection, GroupIndex, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.slow_start import SlowStartBudget

#: Pseudo load level: only a server's own report counts, without connections added by this node since then.
REPORTED_LOAD_ONLY = math.inf
MAX_PENDING_ATTEMPTS = 4  #: Limit of this node's pending attempts per server
#: Relative growth of a learned connection limit; a few refusals are the cost of detecting free capacity.
LIMIT_GROWTH_PER_SECOND = 0.1
HEALTH_CHECK_ANSWER_US = SECOND  #: Time after which an unanswered health check counts as lost
#: Number of unanswered health checks from which the checks are considered faulty, not the servers.
MAX_UNANSWERED_HEALTH_CHECKS = 16


@dataclass(eq=False, repr=False)
class LoadShedding:
    """Decides whether one more connection may join a server."""

    context: PolicyContext
    registry: ServerRegistry
    index: GroupIndex
    loads: ReportedLoads
    inferred_loads: InferredLoads | None
    poller: LoadPoller
    slow_start: SlowStartBudget

    def has_capacity(self, server: Server, level: float = 1.0, connection: Connection | None = None) -> bool:
        """Whether a server is estimated to have capacity for one more connection below a load level."""
        now_us = self.context.clock.now_us
        inferred_loads = self.inferred_loads
        if inferred_loads is None:
            estimate = self.loads.estimate(server, now_us)
            if estimate is None:
                if self._must_wait_for_report(server, level):
                    return False
            elif self._exceeds_level(server, level, estimate):
                return False
        elif not inferred_loads.has_capacity(server, level, connection, now_us):
            return False
        # A node that has just restarted, or is the only one left, receives a wave of clients. A server that
        # gets all of them at once establishes them late or not at all, and its reports do not show them yet.
        if server.pending_attempts >= MAX_PENDING_ATTEMPTS:
            return False
        if server.connection_limit is None:
            return True
        growth = 1 + LIMIT_GROWTH_PER_SECOND * (now_us - server.connection_limit_set_at_us) / SECOND
        return server.connection_count + 1 <= server.connection_limit * growth

    def exceeds_quota(self, connection: Connection) -> bool:
        """Whether the tenant has more connections at this node than the node's share of the tenant's quota.

        The square root of the share is tolerated on top, so that chance does not count as excess when the
        share is only a few connections.
        """
        quotas = self.context.settings.tenant_quotas
        tenant_connections = self.index.connections_by_tenant[connection.tenant]
        quota = math.inf
        if connection.tenant < len(quotas):
            quota = quotas[connection.tenant] / self.context.settings.node_count
        return tenant_connections > quota + math.sqrt(quota)

    def slow_start_allows(self, server: Server) -> bool:
        """Whether the slow-start budget of a server allows one more connection; a warm server has no limit.

        A new server has no connections, so without a budget nearly every selection of every node would
        choose it.
        """
        now_us = self.context.clock.now_us
        return not self.slow_start.is_warming_up(server, now_us) or self.slow_start.allows(server, now_us)

    def _must_wait_for_report(self, server: Server, level: float) -> bool:
        """Whether a server of unknown load gets no connection yet; applies if servers are polled on demand.

        A server that does not answer a poll is usually overloaded; if it counted as idle, it would get all
        connections. If no server answers any more, the health checks themselves are failing, which must not
        cause rejections.
        """
        if not self.poller.on_demand or server in self.registry.returned:
            return False
        if level < 1:
            return True
        answer_due_at_us = server.health_check_sent_at_us + HEALTH_CHECK_ANSWER_US
        return (
            self.context.clock.now_us < answer_due_at_us
            and self.poller.unanswered_health_checks < MAX_UNANSWERED_HEALTH_CHECKS
        )

    def _exceeds_level(self, server: Server, level: float, estimate: float) -> bool:
        """Whether one more connection would raise a server's load above a level.

        Clients that reconnect in large numbers after another node has ended are still included in the
        servers' reports. Counting them twice would make all servers look full and reject these clients, so
        callers pass REPORTED_LOAD_ONLY for them. Clients that come from a draining server are included only
        in that server's reports.
        """
        if level == REPORTED_LOAD_ONLY:
            expected_load = server.load or 0
        else:
            expected_load = estimate + self.loads.marginal_load(server, self.context.clock.now_us)
        return expected_load + self.loads.backlog_load(server) > min(level, self.loads.max_load)
