"""Loads from the servers' reports: each server's current load, the load per connection, and the load limits.

Estimates only: the balancer decides which server gets which connection. A load is the share of a server's
current capacity that is in demand, so 1.0 is its capacity. Times are microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from limerudder.policy.events import ServerState
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.settings import Settings

PREFERRED_LOAD = 0.7  #: Load up to which a server answers in time and is not avoided
MAX_LOAD = 0.85  #: Maximum load for new connections, since loads vary after connections are placed
ERROR_MARGIN_DEVIATIONS = 2  #: Margin between the load limit and capacity, in mean estimate errors
MAX_PLAUSIBLE_LOAD = 1000  #: Reported loads of this value or more are discarded as implausible
BACKLOG_WORK_OFF_US = 3 * SECOND // 2  #: Time in which a server's backlog is to be worked off
MAX_BACKLOG_US = 3 * SECOND  #: Maximum backlog: no server queues more work than this
MAX_BACKLOG_GROWTH_US = 4 * SECOND  #: Maximum time without a report for which growth is assumed
REPORT_LIFETIME_INTERVALS = 3  #: Number of report intervals after which a report expires
MIN_SIGNIFICANT_LOAD = 0.1  #: Mean load from which reports show how many connections fill a server
ERROR_MEAN_REPORTS = 4  #: Approximate number of reports of each server in the mean estimate error


class ReportedLoads:
    """The load reports that one node has received, and the values derived from them."""

    def __init__(self, settings: Settings, report_interval_us: int) -> None:
        self._initial_capacity = settings.initial_capacity
        self._warm_up_us = max(settings.warm_up_us, 1)
        self._reports_connections = "inflight" in settings.report_fields
        self._mean_estimate_error = (1 - MAX_LOAD) / ERROR_MARGIN_DEVIATIONS
        self._mean_effective_size = 1.0
        self._reporting_servers = dict[Server, None]()  # Used as an ordered set
        self.report_interval_us = report_interval_us  #: Interval between two reports of a server
        self.preferred_max_load = MAX_LOAD  #: Load above which a server is avoided
        self.max_load = MAX_LOAD  #: Load above which a server gets no new connection
        self.load_per_connection = 0.0  #: Load added by one connection to a server of the mean effective size
        self.has_load_data = True  #: Whether any data on loads is available
        self.mean_reported_load = 1.0  #: Mean load of all reporting servers as of their reports
        #: Connections that fill a warm server of weight 1, from reports; 0 while unknown.
        self.connections_per_weight = 0.0

    def record_report(
        self, server: Server, load: float, connections: float, server_count: int, now_us: int
    ) -> float:
        """Record a server's report; return its load including that of its backlog.

        `load`: demand on the server as a share of its capacity; `connections`: the server's connections from
        all nodes; `server_count`: number of ready servers. An implausible load is not recorded, and 0.0 is
        returned.
        """
        if not 0 <= load < MAX_PLAUSIBLE_LOAD:  # Also rejects NaN
            return 0.0
        if not 0 <= connections < math.inf:
            connections = 0
        server.load_report = (load, int(connections))
        server.load_report_at_us = now_us
        estimate = self.estimate(server, now_us)
        if estimate is not None:
            self._record_estimate_error(load, estimate, server_count)
        self._update_backlog(server, load, now_us)
        # A single report may show a brief dip or peak. Without smoothing, all nodes would send their
        # connections to the servers whose load is briefly low.
        server.load = load if estimate is None else (load + estimate) / 2
        server.load_at_us = now_us
        server.load_connection_count = server.connection_count
        server.reported_connections = connections
        self._reporting_servers[server] = None
        return load + self.backlog_load(server)

    def _record_estimate_error(self, load: float, estimate: float, server_count: int) -> None:
        error = abs(min(load, 1) - min(estimate, 1))
        change = error - self._mean_estimate_error
        self._mean_estimate_error += change / (ERROR_MEAN_REPORTS * max(server_count, 1))

    def _update_backlog(self, server: Server, load: float, now_us: int) -> None:
        """Add the work that has accumulated since the last report.

        A report shows the current demand, not the unfinished work from before. Until the backlog is worked
        off, the server answers no request in time; just below capacity this takes very long.
        """
        elapsed_us = 0
        if server.load is not None:
            elapsed_us = min(now_us - server.load_at_us, MAX_BACKLOG_GROWTH_US)
        server.backlog_us = min(max(server.backlog_us + (load - 1) * elapsed_us, 0), MAX_BACKLOG_US)

    def backlog_load(self, server: Server) -> float:
        """Return the load of working off the server's backlog within `BACKLOG_WORK_OFF_US`."""
        return server.backlog_us / BACKLOG_WORK_OFF_US

    def record_connection_load(self, connection: Connection, load: float) -> None:
        """Record the load that a connection has reported, in microseconds of work per second."""
        connection.load_us_per_second = load

    def on_server_state_change(
        self, server: Server, ready_servers: Sequence[Server], ready_weight: float, now_us: int
    ) -> None:
        """Distribute the load of a server that is no longer ready over the ready servers.

        Its clients reconnect through every node within one or two seconds, before any report shows them:
        otherwise each node would fill servers that still appear idle. The tier's total load does not change.
        """
        if server.state == ServerState.READY:
            return
        estimate = self.estimate(server, now_us)
        if not estimate:
            return
        leaving_work = max(estimate, 0) * self.effective_size(server, now_us)
        total_size = sum(self.effective_size(ready, now_us) for ready in ready_servers)
        for ready in ready_servers:
            if ready.load is not None:
                ready.load += leaving_work / total_size

    def update_levels(self, node_count: int, counts_own_only: bool, now_us: int) -> None:
        """Set the load limits and the load per connection from the reports that have not expired.

        `counts_own_only`: a new connection of this node counts once. Otherwise, where all servers are polled
        at intervals, it also represents the connections that the other nodes add in the meantime.
        """
        servers = [server for server in self._reporting_servers if self._has_current_report(server, now_us)]
        self._reporting_servers = dict.fromkeys(servers)
        if not servers:
            return
        self.mean_reported_load = sum(server.load or 0 for server in servers) / len(servers)
        sizes = [self.effective_size(server, now_us) for server in servers]
        self._mean_effective_size = sum(sizes) / len(servers)
        self._update_load_per_connection(servers, node_count, counts_own_only, now_us)
        self._update_connections_per_weight(servers, now_us)
        mean_estimate = sum(self.estimate(server, now_us) or 0 for server in servers) / len(servers)
        self.max_load = min(MAX_LOAD, 1 - ERROR_MARGIN_DEVIATIONS * self._mean_estimate_error)
        self.preferred_max_load = min(max(PREFERRED_LOAD, mean_estimate), self.max_load)

    def _has_current_report(self, server: Server, now_us: int) -> bool:
        return self.estimate(server, now_us) is not None and server.state == ServerState.READY

    def _update_load_per_connection(
        self, servers: Sequence[Server], node_count: int, counts_own_only: bool, now_us: int
    ) -> None:
        # Counts reported by the servers are preferred: a node that has just restarted has few connections,
        # so from its own count it would overestimate the load of each one by a factor of dozens.
        if self._reports_connections:
            all_connections = sum(server.reported_connections for server in servers)
        else:
            all_connections = node_count * sum(server.load_connection_count for server in servers)
        counted_connections = all_connections if counts_own_only else all_connections / node_count
        work = sum((server.load or 0) * self.effective_size(server, now_us) for server in servers)
        load = work / self._mean_effective_size
        self.load_per_connection = min(load / (counted_connections + len(servers)), MAX_LOAD - PREFERRED_LOAD)

    def _update_connections_per_weight(self, servers: Sequence[Server], now_us: int) -> None:
        """Update `connections_per_weight`, which is independent of traffic and so valid in a disturbance."""
        if not self._reports_connections:
            return
        warm = [s for s in servers if self.effective_size(s, now_us) >= s.weight]
        load = sum(server.load_report[0] * server.weight for server in warm)
        if load >= MIN_SIGNIFICANT_LOAD * len(warm) > 0:
            self.connections_per_weight = sum(server.load_report[1] for server in warm) / load

    def estimate(self, server: Server, now_us: int) -> float | None:
        """Return the server's load: as last reported, with the connections this node added or lost since.

        None if no report is recent enough: a server must not be excluded permanently when its reports stop.
        """
        if (
            server.load is None
            or now_us - server.load_at_us > REPORT_LIFETIME_INTERVALS * self.report_interval_us
        ):
            return None
        return server.load + (server.connection_count - server.load_connection_count) * self.marginal_load(
            server, now_us
        )

    def marginal_load(self, server: Server, now_us: int) -> float:
        """Return the load that one more connection adds to this server.

        Scaled by the server's size: sizes differ by a factor of five, and a server that is warming up has a
        fifth of its capacity. A single value for all would overload the small servers.
        """
        return self.load_per_connection * self._mean_effective_size / self.effective_size(server, now_us)

    def effective_size(self, server: Server, now_us: int) -> float:
        """Return the server's current capacity, in the unit of the size listed by discovery."""
        age = max(now_us - server.ready_since_us, 0) / self._warm_up_us if server.ready_since_us else 1.0
        return server.weight * min(1.0, self._initial_capacity + (1 - self._initial_capacity) * age)
