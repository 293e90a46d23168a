"""What load reports tell of the servers: their load now, what one more connection would add, the usual level.

Readings only: which server gets what is decided by the balancer.
Loads are shares of what a server can do at this moment, times are microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from limerudder.policy.events import (
    ServerState,
)
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.settings import (
    Settings,
)

COMFORTABLE_LOAD = 0.7  #: up to this share of its capacity a server answers in time: no need to spare it
MAX_LOAD = 0.85  #: no new connection beyond this: loads swing after they are placed
ERROR_MARGIN_DEVIATIONS = 2  #: mean errors that must fit below capacity too, where loads swing more than that
BACKLOG_WORK_OFF_US = 3 * SECOND // 2  #: what has piled up at a server is to be worked off in this time
MAX_BACKLOG_US = 3 * SECOND  #: no server keeps more work than that
MAX_BACKLOG_GROWTH_US = (
    4 * SECOND
)  #: of time without a report, for so long at most it is taken to have piled up
REPORT_LIFETIME_INTERVALS = 3  #: times the time between reports that one counts for


class ReportedLoads:
    """The reports that one node has heard."""

    def __init__(self, settings: Settings, every: int) -> None:
        self._initial_capacity, self._warm_up_us = settings.initial_capacity, max(settings.warm_up_us, 1)
        self._reports_connections = (
            "inflight" in settings.report_fields
        )  # reports say how many connections a server holds
        self.report_interval_us = every  # between reports of a server
        self._mean_estimate_error = (
            1 - MAX_LOAD
        ) / ERROR_MARGIN_DEVIATIONS  # how far estimates are off reports, on average
        self.preferred_max_load = self.max_load = MAX_LOAD  # above these a server is spared, or gets nothing
        self.load_per_connection, self._mean_effective_size = (
            0.0,
            1.0,
        )  # what one connection adds to a server of the mean size
        self.has_load_data = True  # something tells of loads
        self.mean_reported_load = 1.0  # share of its capacity that the fleet is asked for, by reports alone
        self._reporting_servers = dict[Server, None]()

    def record_report(self, server: Server, load: float, held: float, servers: int, now: int) -> float:
        """A report: what is asked of the server over what it can do, and how many connections it holds.

        Returns what is asked with what has piled up.
        """
        if not 0 <= load < 1000:  # NaN or nonsense
            return 0.0
        held = held if 0 <= held < math.inf else 0
        server.report, server.report_at = (load, int(held)), now
        before = self.estimate(server, now)
        if before is not None:
            off = abs(min(load, 1) - min(before, 1)) - self._mean_estimate_error
            self._mean_estimate_error += off / (4 * max(servers, 1))  # the mean of some four sweeps
        # DANGER: a report tells what is asked now, not what has piled up before; until that is worked off
        # nobody is answered in time, and just below capacity that takes for ever
        past = min(now - server.load_at, MAX_BACKLOG_GROWTH_US) if server.load is not None else 0
        server.piled = min(max(server.piled + (load - 1) * past, 0), MAX_BACKLOG_US)
        # DANGER: one report may be a moment's low or high; taken whole, all would crowd the low ones
        server.load = load if before is None else (load + before) / 2
        server.load_at, server.load_count, server.held = now, server.count, held
        self._reporting_servers[server] = None
        return load + self.backlog_load(server)

    def record_connection_load(self, flow: Connection, load: float) -> None:
        """A connection has told its load, in microseconds of work a second."""
        flow.load = load

    def on_server_state_change(self, server: Server, others: Sequence[Server], now: int) -> None:
        """Where this server leaves, what it carries will stand at the others: the tier's load stays."""
        # DANGER: all that stood there comes again within a second or two, to every node, and no report shows
        # it yet: each node would fill what looked empty before
        asked, sizes = self.estimate(server, now), [self.effective_size(s, now) for s in others]
        for other in others if server.state != ServerState.READY else ():
            if other.load is not None and asked:
                other.load += max(asked, 0) * self.effective_size(server, now) / sum(sizes)

    def backlog_load(self, server: Server) -> float:
        """What has piled up, as load until it is worked off."""
        return server.piled / BACKLOG_WORK_OFF_US

    def update_levels(self, nodes: int, alone: bool, now: int) -> None:
        """Set the level and what one connection adds; `alone`: each counts once, else for all nodes."""
        known = [
            s
            for s in self._reporting_servers
            if self.estimate(s, now) is not None and s.state == ServerState.READY
        ]
        self._reporting_servers = dict.fromkeys(known)
        if not known:
            return
        self.mean_reported_load = sum(s.load or 0 for s in known) / len(known)
        self._mean_effective_size = sum(self.effective_size(s, now) for s in known) / len(known)
        # what one connection adds; where reports are swept, with as many as other nodes add meanwhile.
        # DANGER: by its own count a node just restarted, which holds next to nothing, takes each one for
        # dozens; reports may say how many the servers hold in all
        many = (
            sum(s.held for s in known)
            if self._reports_connections
            else nodes * sum(s.load_count for s in known)
        )
        mine = (many if alone else many / nodes) + len(known)
        asked = sum((s.load or 0) * self.effective_size(s, now) for s in known) / self._mean_effective_size
        self.load_per_connection = min(asked / mine, MAX_LOAD - COMFORTABLE_LOAD)
        mean = sum(self.estimate(s, now) or 0 for s in known) / len(known)
        self.max_load = min(MAX_LOAD, 1 - ERROR_MARGIN_DEVIATIONS * self._mean_estimate_error)
        self.preferred_max_load = min(max(COMFORTABLE_LOAD, mean), self.max_load)

    def estimate(self, server: Server, now: int) -> float | None:
        """The server's load now: as last reckoned, with what this balancer has added or lost since."""
        if server.load is None or now - server.load_at > REPORT_LIFETIME_INTERVALS * self.report_interval_us:
            return None  # DANGER: reports that stopped must not shut a server out for good
        return server.load + (server.count - server.load_count) * self.marginal_load(server, now)

    def marginal_load(self, server: Server, now: int) -> float:
        """What one more connection adds to this server's load."""
        # DANGER: sizes differ by five times, and a cold server can do a fifth: alike, small ones overflow
        return self.load_per_connection * self._mean_effective_size / self.effective_size(server, now)

    def effective_size(self, server: Server, now: int) -> float:
        """What the server can do at this moment, in the unit of its listed size."""
        age = max(now - server.since, 0) / self._warm_up_us if server.since else 1.0
        return server.weight * min(1.0, self._initial_capacity + (1 - self._initial_capacity) * age)
