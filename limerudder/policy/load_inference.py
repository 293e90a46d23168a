"""What a node feels of its servers' load where they report none: from its own connections and their messages.

A message waits behind the work that has piled up, and work piles up by a second each second for each time a
server's capacity that is asked beyond the first. So the time that messages take is the pile itself, and how
fast it grows tells the load: the bottleneck model of TCP BBR (Cardwell et al., 2016), with CoDel's lesson
(Nichols and Jacobson, 2012) that a queue which stands is what does harm. What is not this node's own is the
other nodes'. The longer all is quiet the less they are believed to ask, slowly at first, then fast, as CUBIC
probes (Ha, Rhee and Xu, 2008). Readings only: the balancer decides.
Loads are in microseconds of work a second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import (
    Settings,
)

SHARED_OUT = 0.82  #: of what a fleet can do, about so much is shared out to its tenants
WORD = 3 * SECOND // 2  #: words come once a second while messages are slow: so long without, they are well
WELL = 0.85  #: load of a server whose messages are not slow, at most
AIM = 0.9  #: of what a server can do is asked of it at most
DRAIN = SECOND  #: in which a pile is to be worked off
LEAST = 0.7  #: of what it can do is left to a server with a pile at least: what leaves crowds the others
SPARE = 0.1  #: so much below what is left to it, one with a pile gets nothing new
FLAT, STEEP = 0.4, 3.0  #: bounds of a load read from a slope
DEAR, KEYS = 4, 1024  #: times the usual load that are remembered by the client's key, of so many at most
OF_CLASS, OF_ALL = 200, 400  #: connections that a mean load is over
APART, TOGETHER = 7 * SECOND // 10, 3 * SECOND  #: between two words whose difference tells a slope
FADES, FORGOTTEN = 0.04, 6  #: of what others ask fades a second of quiet; none is left after so many
STANDS = 1.2  #: load of a server that breaks off what stands, at least
CROWDED = 1.0  #: load by a guess, above which a server is drawn last
LOOK = SECOND // 4  #: between looks at all own connections
ALONE = 4 * SECOND  #: of quiet, after which others are not reckoned to take the same room at the same time


class InferredLoads(ReportedLoads):
    """Loads without reports."""

    def __init__(self, settings: Settings, every: int) -> None:
        super().__init__(settings, every)
        self.usual = dict[int, tuple[float, int]]()  # of each class: mean load of a connection; of so many
        self.mean, self.many = 0.0, 0  # load of a connection; of so many
        self.keys = dict[int, float]()  # load of what is much dearer than usual, the latest last
        self.short = min((c.message_objective_us for c in settings.classes), default=SECOND)
        self.nodes, self.groups = max(settings.node_count, 1), settings.has_groups
        quotas = [quota for quota in settings.tenant_quotas if 0 < quota < math.inf]
        self.connections = sum(quotas) / SHARED_OUT  # of the usual load, that the fleet can hold
        self.total = 0.0  # size of the fleet that the tenants' shares were made for
        self.ready: Sequence[Server] = ()
        self.tells = False  # until a message does
        self.all, self.all_at = 0.0, -SECOND  # load of all this node's connections
        self.full = math.inf  # a server of which no word has come is never taken for full

    def listed(self, server: Server, others: Sequence[Server], now: int) -> None:
        """The list has changed: the most that stood on it is the fleet that shares are told of."""
        self.ready, self.total = others, max(self.total, sum(other.weight for other in others))

    def weigh(self, flow: Connection, load: float) -> None:
        """A connection has told its load."""
        mean, many = self.usual.get(flow.kind, (0.0, 0))
        if flow.key and (flow.key in self.keys or (many and load > DEAR * mean)):
            self.keys.pop(flow.key, None)
            self.keys[flow.key] = load
            if len(self.keys) > KEYS:
                del self.keys[next(iter(self.keys))]
        if not flow.load:
            many, self.many = min(many + 1, OF_CLASS), min(self.many + 1, OF_ALL)
            self.usual[flow.kind] = mean + (load - mean) / many, many
            self.mean += (load - self.mean) / self.many
        flow.load = load

    def weight(self, flow: Connection) -> float:
        """Load of one connection as far as it is known."""
        return flow.load or self.keys.get(flow.key, 0.0) or self.usual.get(flow.kind, (self.mean, 0))[0]

    def dear(self, flow: Connection) -> bool:
        """Whether a connection asks for many times what is usual in its class."""
        return self.weight(flow) > DEAR * self.usual.get(flow.kind, (math.inf, 0))[0]

    def mine(self, server: Server) -> float:
        """Load of this node's own connections at a server, each group's shared work once."""
        shared = len({flow.group for flow in server.flows.values() if flow.group}) if self.groups else 0
        return sum(map(self.weight, server.flows.values())) + (shared + server.elsewhere) * self.mean

    def can(self, server: Server, now: int) -> float:
        """What a server can do; 0 where nothing tells of it."""
        told = self.connections * self.mean / self.total * self.size(server, now) if self.total else 0.0
        return max(told, server.fits)

    def note(self, server: Server, took: float, now: int) -> float:
        """A message took so many microseconds there; returns what is to leave of this node's load."""
        (before, at), server.word_at, self.tells = server.word, now, True
        if now - at < APART:
            return 0.0
        here, server.word = self.mine(server), (took, now)
        known, load = now - at <= TOGETHER and (took > self.short or took > before), AIM
        if known:
            load = min(max(1 + (took - before) / (now - at), FLAT), STEEP)
            there = (here + server.was) / 2
            server.fits = max(server.fits, there / load)
            others = max(self.can(server, now) * load - there, 0.0)
            server.others = (server.others + others) / 2 if server.others else others
        server.was = here
        return max(here * (1 - self.may(took) / load), 0.0) if known and took > self.short else 0.0

    def dropped(self, server: Server, now: int) -> None:
        """A server has broken off a connection that stood: some do where too much has piled up."""
        twice = now - server.dropped_at < SECOND
        server.dropped_at = now
        if twice and self.mean:
            server.word, server.word_at = (DRAIN, now), now
            server.others = max(server.others, STANDS * self.can(server, now) - self.mine(server))
            self.settle(server)

    def may(self, took: float) -> float:
        """Of what a server can do, what may be asked of it where a message takes so long."""
        return min(AIM, max(LEAST, 1 - took / DRAIN))

    def settle(self, server: Server) -> None:
        """Some have just been sent away: what is here from now on."""
        server.was = self.mine(server)

    def asked(self, server: Server, now: int) -> float:
        """What all nodes ask of a server, as believed now."""
        here, quiet = self.mine(server), (now - server.word_at) / SECOND
        if server.word_at:
            return here + server.others * max(1 - FADES * quiet - (quiet / FORGOTTEN) ** 3, 0.0)
        if now - self.all_at >= LOOK:
            self.all, self.all_at = sum(map(self.mine, self.ready)), now
        # as if all nodes were like this one
        return here + self.all * (self.nodes - 1) * server.weight / self.total

    def room(self, server: Server, level: float, flow: Connection | None, now: int) -> bool:
        """Whether this node may add a connection there, `level` of what it can do at most being asked."""
        can, quiet = self.can(server, now), now - server.word_at
        asks = self.weight(flow) if flow else self.mean
        if not can or not server.word_at:
            # DANGER: a group whose clients all come at once would crowd one server; but a guess is no word of
            # a limit, and turns nobody inside its share away: the last level is without bound
            if flow is None or not flow.live:  # one that stands is moved there by choice only
                level = math.inf if self.tells or level == math.inf else CROWDED
            return not can or self.asked(server, now) + asks <= level * can
        may = min(AIM, level)
        if quiet > WORD:
            server.fits = max(server.fits, self.mine(server) / WELL)
            can = max(can, server.fits)
        elif server.word[0] > self.short:
            may = self.may(server.word[0]) - SPARE
        # DANGER: all nodes hear the same word at the same time; each may take its part of the room
        part = max(self.nodes * (1 - quiet / ALONE), 1)
        return (may * can - self.asked(server, now)) / part >= asks

    def estimate(self, server: Server, now: int) -> float | None:
        """The server's load now, as far as it is felt."""
        can = self.can(server, now)
        return self.asked(server, now) / can if can else None

    def adds(self, server: Server, now: int) -> float:
        """What one more connection of the usual load adds."""
        can = self.can(server, now)
        return self.mean / can if can else 0.0
