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

EASY = 0.7  #: up to this share of its capacity a server answers in time: no need to spare it
FULL = 0.85  #: no new connection beyond this: loads swing after they are placed
DEVIATIONS = 2  #: mean errors that must fit below capacity too, where loads swing more than that
WORK_OFF = 3 * SECOND // 2  #: what has piled up at a server is to be worked off in this time
PILE_MOST = 3 * SECOND  #: no server keeps more work than that
PILES_FOR = 4 * SECOND  #: of time without a report, for so long at most it is taken to have piled up
LIVES = 3  #: times the time between reports that one counts for


class ReportedLoads:
    """The reports that one node has heard."""

    def __init__(self, settings: Settings, every: int) -> None:
        self.initial_capacity, self.warm_up_us = settings.initial_capacity, max(settings.warm_up_us, 1)
        self.counted = "inflight" in settings.report_fields  # reports say how many connections a server holds
        self.every = every  # between reports of a server
        self.error = (1 - FULL) / DEVIATIONS  # how far estimates are off reports, on average
        self.level = self.full = FULL  # above these a server is spared, or gets nothing
        self.unit, self.mean_size = 0.0, 1.0  # what one connection adds to a server of the mean size
        self.tells = True  # something tells of loads
        self.told = 1.0  # share of its capacity that the fleet is asked for, by reports alone
        self.known = dict[Server, None]()

    def hear(self, server: Server, load: float, held: float, servers: int, now: int) -> float:
        """A report: what is asked of the server over what it can do, and how many connections it holds.

        Returns what is asked with what has piled up.
        """
        if not 0 <= load < 1000:  # NaN or nonsense
            return 0.0
        held = held if 0 <= held < math.inf else 0
        server.report, server.report_at = (load, int(held)), now
        before = self.estimate(server, now)
        if before is not None:
            off = abs(min(load, 1) - min(before, 1)) - self.error
            self.error += off / (4 * max(servers, 1))  # the mean of some four sweeps
        # DANGER: a report tells what is asked now, not what has piled up before; until that is worked off
        # nobody is answered in time, and just below capacity that takes for ever
        past = min(now - server.load_at, PILES_FOR) if server.load is not None else 0
        server.piled = min(max(server.piled + (load - 1) * past, 0), PILE_MOST)
        # DANGER: one report may be a moment's low or high; taken whole, all would crowd the low ones
        server.load = load if before is None else (load + before) / 2
        server.load_at, server.load_count, server.held = now, server.count, held
        self.known[server] = None
        return load + self.pile(server)

    def weigh(self, flow: Connection, load: float) -> None:
        """A connection has told its load, in microseconds of work a second."""
        flow.load = load

    def listed(self, server: Server, others: Sequence[Server], now: int) -> None:
        """Where this server leaves, what it carries will stand at the others: the tier's load stays."""
        # DANGER: all that stood there comes again within a second or two, to every node, and no report shows
        # it yet: each node would fill what looked empty before
        asked, sizes = self.estimate(server, now), [self.size(s, now) for s in others]
        for other in others if server.state != ServerState.READY else ():
            if other.load is not None and asked:
                other.load += max(asked, 0) * self.size(server, now) / sum(sizes)

    def pile(self, server: Server) -> float:
        """What has piled up, as load until it is worked off."""
        return server.piled / WORK_OFF

    def reckon(self, nodes: int, alone: bool, now: int) -> None:
        """Set the level and what one connection adds; `alone`: each counts once, else for all nodes."""
        known = [s for s in self.known if self.estimate(s, now) is not None and s.state == ServerState.READY]
        self.known = dict.fromkeys(known)
        if not known:
            return
        self.told = sum(s.load or 0 for s in known) / len(known)
        self.mean_size = sum(self.size(s, now) for s in known) / len(known)
        # what one connection adds; where reports are swept, with as many as other nodes add meanwhile.
        # DANGER: by its own count a node just restarted, which holds next to nothing, takes each one for
        # dozens; reports may say how many the servers hold in all
        many = sum(s.held for s in known) if self.counted else nodes * sum(s.load_count for s in known)
        mine = (many if alone else many / nodes) + len(known)
        asked = sum((s.load or 0) * self.size(s, now) for s in known) / self.mean_size
        self.unit = min(asked / mine, FULL - EASY)
        mean = sum(self.estimate(s, now) or 0 for s in known) / len(known)
        self.full = min(FULL, 1 - DEVIATIONS * self.error)
        self.level = min(max(EASY, mean), self.full)

    def estimate(self, server: Server, now: int) -> float | None:
        """The server's load now: as last reckoned, with what this balancer has added or lost since."""
        if server.load is None or now - server.load_at > LIVES * self.every:
            return None  # DANGER: reports that stopped must not shut a server out for good
        return server.load + (server.count - server.load_count) * self.adds(server, now)

    def adds(self, server: Server, now: int) -> float:
        """What one more connection adds to this server's load."""
        # DANGER: sizes differ by five times, and a cold server can do a fifth: alike, small ones overflow
        return self.unit * self.mean_size / self.size(server, now)

    def size(self, server: Server, now: int) -> float:
        """What the server can do at this moment, in the unit of its listed size."""
        age = max(now - server.since, 0) / self.warm_up_us if server.since else 1.0
        return server.weight * min(1.0, self.initial_capacity + (1 - self.initial_capacity) * age)
