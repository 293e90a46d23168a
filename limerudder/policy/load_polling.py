"""Polls servers for load reports by health checks, within a budget earned by this node's own requests.

Either every server is swept at intervals, or (`on_demand`) only the candidate servers of a request are
polled, just before the request is placed.
"""

from __future__ import annotations

from limerudder.policy.actions import CheckHealth, SetTimer
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import AttemptOutcome, HealthCheckResult
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.records import SECOND, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.settings import Settings
from limerudder.policy.sweep_segments import segment_count
from limerudder.policy.timers import TimerToken
from limerudder.policy.traffic_rates import TrafficRates

#: Maximum cost of health checks as a share of the value of the requests; the reports must be worth more
#: than they cost.
MAX_HEALTH_CHECK_COST_SHARE = 0.01
MIN_HEALTH_CHECK_PRICE = 1e-5  #: Lower bound that keeps the budget finite where health checks are free
MIN_SWEEP_INTERVAL_US = SECOND // 2  #: Minimum time between sweeps; reports are rarely renewed faster
MAX_SWEEP_INTERVAL_US = 4 * SECOND  #: Maximum time between sweeps; older reports are misleading
REPORT_WAIT_US = SECOND // 20  #: Maximum wait of a placement for reports, below any latency objective
INITIAL_CREDIT = 8.0  #: Number of health checks that a node may send before its first request


class LoadPoller:
    """Decides which servers are polled for load reports, and when."""

    def __init__(
        self,
        context: PolicyContext,
        registry: ServerRegistry,
        loads: ReportedLoads,
        gossip: LoadGossip,
        rates: TrafficRates,
    ) -> None:
        settings = context.settings
        self.enabled = polls_load_reports(settings)
        self.on_demand = self.enabled
        self.unanswered_health_checks = 0  # On-demand health checks sent since the last report
        self._settings = settings
        self._clock = context.clock
        self._actions = context.actions
        self._registry = registry
        self._loads = loads
        self._gossip = gossip
        self._rates = rates
        #: Number of health checks that one request earns, and the number earned and not yet sent.
        self._credit_per_request = MAX_HEALTH_CHECK_COST_SHARE / max(
            settings.prices.get("probe", 0), MIN_HEALTH_CHECK_PRICE
        )
        self._credit = INITIAL_CREDIT
        self._load_field_index = load_field_index(settings)
        self._connections_field_index = connections_field_index(settings)

    def sweep(self) -> None:
        """Poll every server if the budget covers it, update the load levels, and schedule the next sweep.

        Sweeps of a large fleet by hundreds of nodes cost more than the reports are worth: a node whose own
        requests do not cover the cost polls only the candidate servers of each request. Connections that
        existed at the start count as requests: otherwise a node with few new requests but many old
        connections would never detect overload. A fleet too large to be polled at once is not swept either.
        """
        now_us = self._clock.now_us
        ready = self._registry.ready
        affordable_us = SECOND * len(ready) / (self._credit_per_request * self._rates.usual_request_rate())
        gossip_active = self._gossip.is_active(now_us)
        is_too_large = segment_count(len(ready)) > 1
        self.on_demand = affordable_us > MAX_SWEEP_INTERVAL_US or is_too_large or gossip_active
        if not self.on_demand:
            self._loads.report_interval_us = int(max(affordable_us, MIN_SWEEP_INTERVAL_US))
            self._actions.extend(CheckHealth(server.id) for server in ready)
        elif gossip_active:
            self._loads.report_interval_us = self._gossip.round_interval_us // 2
        else:
            self._loads.report_interval_us = MIN_SWEEP_INTERVAL_US
        self._registry.update_slow_start()
        self._loads.update_levels(self._settings.node_count, self.on_demand, now_us)
        self._actions.append(SetTimer(now_us + self._next_sweep_in_us(gossip_active), TimerToken.LOAD_SWEEP))

    def poll(self, server: Server) -> bool:
        """Poll a server of unknown load if the budget allows it; return whether it was polled."""
        now_us = self._clock.now_us
        is_due = (
            self.enabled
            and self._loads.estimate(server, now_us) is None
            and now_us >= server.health_check_sent_at_us + MIN_SWEEP_INTERVAL_US
        )
        if not is_due or self._credit < 1:
            return False
        self._credit -= 1
        server.health_check_sent_at_us = now_us
        self.unanswered_health_checks += 1
        self._actions.append(CheckHealth(server.id))
        return True

    def earn_credit(self) -> None:
        """Add the health checks that a placed request earns to the budget."""
        earned = self._credit_per_request
        self._credit = min(self._credit + earned, INITIAL_CREDIT + earned)

    def read_report(self, event: HealthCheckResult) -> tuple[float, float] | None:
        """Return the load and the number of connections that a server reports, or None."""
        report = event.load_report
        if event.outcome != AttemptOutcome.OK or len(report) <= self._load_field_index:
            return None
        has_connections = len(report) > self._connections_field_index >= 0
        return report[self._load_field_index], report[self._connections_field_index] if has_connections else 0

    def on_report(self, server: Server) -> None:
        """Handle a report from this server, received by a health check or from a peer."""
        server.health_check_sent_at_us = 0
        self.unanswered_health_checks = 0

    def _next_sweep_in_us(self, gossip_active: bool) -> int:
        now_us = self._clock.now_us
        just_started = now_us < self._clock.started_at_us + MAX_SWEEP_INTERVAL_US
        if self.on_demand and not gossip_active and not just_started:
            return MAX_SWEEP_INTERVAL_US
        return min(self._loads.report_interval_us, SECOND if gossip_active else MAX_SWEEP_INTERVAL_US)


def polls_load_reports(settings: Settings) -> bool:
    """Whether servers report a load that health checks can retrieve."""
    return settings.allows_health_checks and settings.report_via != "none" and load_field_index(settings) >= 0


def load_field_index(settings: Settings) -> int:
    """Return the index of the load in a report, or -1."""
    fields = list(settings.report_fields)
    return next((fields.index(name) for name in ("x0", "util") if name in fields), -1)


def connections_field_index(settings: Settings) -> int:
    """Return the index of the server's number of connections in a report, or -1."""
    fields = list(settings.report_fields)
    return fields.index("inflight") if "inflight" in fields else -1
