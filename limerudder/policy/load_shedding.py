"""Admission of connections: room at a server, a tenant's quota, and the budget of a server in slow start.

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

#: In place of a load level: a server's own report alone decides, without what this node has added since.
REPORTED_LOAD_ONLY = math.inf
MAX_PENDING_ATTEMPTS = 4  #: of this node at one server
#: A learned connection limit rises by this share a second: a few refusals buy the news that room is back.
LIMIT_GROWTH_PER_SECOND = 0.1
HEALTH_CHECK_ANSWER_US = SECOND  #: without an answer for so long, a health check counts as lost
MAX_UNANSWERED_HEALTH_CHECKS = 16  #: as many unanswered mean that health checks fail, not the servers


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

    def has_room(self, server: Server, level: float = 1.0, connection: Connection | None = None) -> bool:
        """Whether a server has room for one more connection below a load level, as far as is known."""
        now_us = self.context.clock.now_us
        inferred_loads = self.inferred_loads
        if inferred_loads is None:
            estimate = self.loads.estimate(server, now_us)
            if estimate is None:
                if self._must_wait_for_report(server, level):
                    return False
            elif self._exceeds_level(server, level, estimate):
                return False
        elif not inferred_loads.has_room(server, level, connection, now_us):
            return False
        # A node that has just restarted, or is the only one left, meets a wave of clients. What a server sets
        # up for it at once is set up late or not at all, and its reports do not show any of it yet.
        if server.pending_attempts >= MAX_PENDING_ATTEMPTS:
            return False
        if server.connection_limit is None:
            return True
        growth = 1 + LIMIT_GROWTH_PER_SECOND * (now_us - server.connection_limit_set_at_us) / SECOND
        return server.connection_count + 1 <= server.connection_limit * growth

    def exceeds_quota(self, connection: Connection) -> bool:
        """Whether the connection's tenant holds more connections here than this node's part of its quota.

        By the square root more are allowed: of a few connections, one too many by chance is no excess.
        """
        quotas = self.context.settings.tenant_quotas
        held = self.index.connections_by_tenant[connection.tenant]
        quota = math.inf
        if connection.tenant < len(quotas):
            quota = quotas[connection.tenant] / self.context.settings.node_count
        return held > quota + math.sqrt(quota)

    def slow_start_allows(self, server: Server) -> bool:
        """Whether the budget of a server in slow start allows one more connection; a warm one always does.

        A new server holds no connections, and would be chosen in nearly every draw of every node.
        """
        now_us = self.context.clock.now_us
        return not self.slow_start.is_warming_up(server, now_us) or self.slow_start.allows(server, now_us)

    def _must_wait_for_report(self, server: Server, level: float) -> bool:
        """Whether a server of unknown load is kept from a connection, where servers are polled on demand.

        A server that was polled and has not answered is as a rule overloaded; taken for empty, it would get
        everything. Where no server answers any more it is the health checks that fail, and nobody is
        rejected for that.
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
        """Whether one more connection would load a server beyond a level.

        Clients that reconnect by the dozen after another node's end are in the servers' reports already.
        Counted again, they would fill every server in a moment and be rejected: for these callers ask with
        REPORTED_LOAD_ONLY. Clients that come from a draining server are in that server's reports only.
        """
        if level == REPORTED_LOAD_ONLY:
            expected_load = server.load or 0
        else:
            expected_load = estimate + self.loads.marginal_load(server, self.context.clock.now_us)
        return expected_load + self.loads.backlog_load(server) > min(level, self.loads.max_load)
