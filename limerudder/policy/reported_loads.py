"""Loads by the servers' reports: each server's load now, what one more connection adds, and the usual level.

Readings only: the balancer decides which server gets what. A load is a share of what a server can do at this
moment, so that 1.0 is its capacity. Times are microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from limerudder.policy.events import ServerState
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.settings import Settings

COMFORTABLE_LOAD = 0.7  #: up to this load a server answers in time, and need not be spared
MAX_LOAD = 0.85  #: no new connection beyond this load, since loads swing after connections are placed
ERROR_MARGIN_DEVIATIONS = 2  #: number of mean estimate errors that must fit between the limit and capacity
MAX_PLAUSIBLE_LOAD = 1000  #: a report of this load or more is nonsense
BACKLOG_WORK_OFF_US = 3 * SECOND // 2  #: time in which a server's backlog is to be worked off
MAX_BACKLOG_US = 3 * SECOND  #: no server keeps more work than this
MAX_BACKLOG_GROWTH_US = (
    4 * SECOND
)  #: a backlog is taken to have grown for no longer than this without a report
REPORT_LIFETIME_INTERVALS = 3  #: number of report intervals after which a report no longer counts
MIN_TELLING_LOAD = 0.1  #: mean load from which reports tell how many connections fill a server
ERROR_MEAN_SWEEPS = 4  #: the mean estimate error is taken over about so many reports of each server


class ReportedLoads:
    """The load reports that one node has received, and what it derives from them."""

    def __init__(self, settings: Settings, report_interval_us: int) -> None:
        self._initial_capacity = settings.initial_capacity
        self._warm_up_us = max(settings.warm_up_us, 1)
        self._reports_connections = "inflight" in settings.report_fields
        self._mean_estimate_error = (1 - MAX_LOAD) / ERROR_MARGIN_DEVIATIONS
        self._mean_effective_size = 1.0
        self._reporting_servers = dict[Server, None]()  # used as an ordered set
        self.report_interval_us = report_interval_us  #: between two reports of a server
        self.preferred_max_load = MAX_LOAD  #: above this a server is spared
        self.max_load = MAX_LOAD  #: above this a server gets no new connection
        self.load_per_connection = 0.0  #: what one connection adds to a server of the mean effective size
        self.has_load_data = True  #: whether anything tells of loads
        self.mean_reported_load = 1.0  #: by reports alone, over all servers that report
        #: How many connections fill a warm server of weight 1, by reports; 0 while none has told.
        self.connections_per_weight = 0.0

    def record_report(
        self, server: Server, load: float, connections: float, server_count: int, now_us: int
    ) -> float:
        """Record a server's report; return its load together with the backlog's.

        `load`: what is asked of the server over what it can do; `connections`: how many it holds, of all
        nodes; `server_count`: servers that are ready. For a load that cannot be true, nothing is recorded and
        0.0 is returned.
        """
        if not 0 <= load < MAX_PLAUSIBLE_LOAD:  # this way round, NaN is out of range too
            return 0.0
        if not 0 <= connections < math.inf:
            connections = 0
        server.load_report = (load, int(connections))
        server.load_report_at_us = now_us
        estimate = self.estimate(server, now_us)
        if estimate is not None:
            self._record_estimate_error(load, estimate, server_count)
        self._update_backlog(server, load, now_us)
        # One report may show a moment's low or high. Taken whole, all nodes would crowd the servers that are
        # low for a moment.
        server.load = load if estimate is None else (load + estimate) / 2
        server.load_at_us = now_us
        server.load_connection_count = server.connection_count
        server.reported_connections = connections
        self._reporting_servers[server] = None
        return load + self.backlog_load(server)

    def _record_estimate_error(self, load: float, estimate: float, server_count: int) -> None:
        error = abs(min(load, 1) - min(estimate, 1))
        change = error - self._mean_estimate_error
        self._mean_estimate_error += change / (ERROR_MEAN_SWEEPS * max(server_count, 1))

    def _update_backlog(self, server: Server, load: float, now_us: int) -> None:
        """Add what has piled up since the last report.

        A report tells what is asked of the server now, not what it still has to do from before. Until that is
        worked off it answers nobody in time, and just below capacity working it off takes very long.
        """
        elapsed_us = 0
        if server.load is not None:
            elapsed_us = min(now_us - server.load_at_us, MAX_BACKLOG_GROWTH_US)
        server.backlog_us = min(max(server.backlog_us + (load - 1) * elapsed_us, 0), MAX_BACKLOG_US)

    def backlog_load(self, server: Server) -> float:
        """The load that working off the server's backlog in `BACKLOG_WORK_OFF_US` takes."""
        return server.backlog_us / BACKLOG_WORK_OFF_US

    def record_connection_load(self, connection: Connection, load: float) -> None:
        """Record the load that a connection has reported, in microseconds of work a second."""
        connection.load_us_per_second = load

    def on_server_state_change(
        self, server: Server, ready_servers: Sequence[Server], ready_weight: float, now_us: int
    ) -> None:
        """Spread the load of a server that has left over the servers that are ready.

        Its clients come again within a second or two, to every node, and no report shows them yet: each node
        would fill what looks empty. The load of the tier as a whole stays the same.
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
        """Set the load limits and what one connection adds, by the reports that still count.

        `counts_own_only`: a new connection of this node counts once. Else, where all servers are asked at
        intervals, it counts with as many as the other nodes add meanwhile.
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
        self.preferred_max_load = min(max(COMFORTABLE_LOAD, mean_estimate), self.max_load)

    def _has_current_report(self, server: Server, now_us: int) -> bool:
        return self.estimate(server, now_us) is not None and server.state == ServerState.READY

    def _update_load_per_connection(
        self, servers: Sequence[Server], node_count: int, counts_own_only: bool, now_us: int
    ) -> None:
        # The servers' own counts are better where they report them: a node just restarted holds next to
        # nothing, and by its own count it would take each connection for dozens.
        if self._reports_connections:
            all_connections = sum(server.reported_connections for server in servers)
        else:
            all_connections = node_count * sum(server.load_connection_count for server in servers)
        counted_connections = all_connections if counts_own_only else all_connections / node_count
        work = sum((server.load or 0) * self.effective_size(server, now_us) for server in servers)
        load = work / self._mean_effective_size
        self.load_per_connection = min(
            load / (counted_connections + len(servers)), MAX_LOAD - COMFORTABLE_LOAD
        )

    def _update_connections_per_weight(self, servers: Sequence[Server], now_us: int) -> None:
        """Connections over load does not depend on the traffic, so it holds amid a disturbance as well."""
        if not self._reports_connections:
            return
        warm = [s for s in servers if self.effective_size(s, now_us) >= s.weight]
        load = sum(server.load_report[0] * server.weight for server in warm)
        if load >= MIN_TELLING_LOAD * len(warm) > 0:
            self.connections_per_weight = sum(server.load_report[1] for server in warm) / load

    def estimate(self, server: Server, now_us: int) -> float | None:
        """The server's load now: as last reported, with what this node has added or lost since.

        None where no report is recent enough: reports that have stopped must not shut a server out for good.
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
        """What one more connection adds to this server's load.

        By the server's size, as sizes differ by five times and a server that is warming up can do a fifth:
        with one figure for all, the small servers would be overloaded.
        """
        return self.load_per_connection * self._mean_effective_size / self.effective_size(server, now_us)

    def effective_size(self, server: Server, now_us: int) -> float:
        """What the server can do at this moment, in the unit of the size that discovery lists."""
        age = max(now_us - server.ready_since_us, 0) / self._warm_up_us if server.ready_since_us else 1.0
        return server.weight * min(1.0, self._initial_capacity + (1 - self._initial_capacity) * age)
