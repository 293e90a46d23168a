"""Connections that stand, moved for a reason of the node's own: which, and when.

Where a moved client goes is decided by limerudder/policy/balancer.py as it comes again, like any other.
"""

from __future__ import annotations

from random import Random
from typing import Protocol

from limerudder.policy.actions import (
    Action,
    MigrateClient,
    SetTimer,
)
from limerudder.policy.events import (
    ServerState,
)
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import SECOND, Connection, RateEstimator, Server, TokenBucket
from limerudder.policy.reported_loads import COMFORTABLE_LOAD, ReportedLoads
from limerudder.policy.settings import (
    Settings,
)

FETCH_BACK, FETCH_FOR = SECOND // 2, 4 * SECOND  #: one is moved for a server put back by hand, so often
HOMING = 3  #: a move home pays where a whole life away costs this many times the move: gaps cost too
LIVES = 300 * SECOND  #: longest mean life of a connection: how often those that stood at the start began
BRIM = 0.9  #: past this a server is eased: beyond its capacity nothing is answered in time
#: A report is as old as that at most: an earlier one may not show the last moves.
EASE_AGAIN = 3 * SECOND // 2
STAYED = 5 * SECOND  #: after so long even one that came back may be brought home
HOME_LEAST, HOME_MOST = SECOND // 2, 10 * SECOND  #: between two that are brought home


class Mover(Protocol):
    """The balancer, as far as moves go."""

    WAVE: int
    D: int
    LOOK: int
    AGAIN: int
    HOME: int
    settings: Settings
    rng: Random
    now: int
    born: int
    spacing: ConnectPacer
    opens: int
    out: list[Action]
    ready: list[Server]
    flows: dict[int, Connection]
    returned: dict[Server, int]
    fresh: RateEstimator
    pace: TokenBucket
    sharing: LoadGossip

    @property
    def loads(self) -> ReportedLoads:
        """What is known of the servers' loads."""

    def usual_rate(self) -> float:
        """New connections a second."""

    def estimate(self, server: Server) -> float | None:
        """The server's load now."""

    def adds(self, server: Server) -> float:
        """What one more connection adds to it."""

    def over_share(self, flow: Connection) -> bool:
        """Whether the flow's tenant holds more than its share."""

    def healthy(self, server: Server) -> bool:
        """Whether the server is not avoided for how it fares."""

    def eligible(self, flow: Connection, server: Server, level: float) -> bool:
        """Whether the flow may join the server."""

    def sample(self, servers: list[Server]) -> list[Server]:
        """Some of these servers in random order."""

    def ask(self, server: Server) -> bool:
        """Ask one server, as far as own requests pay."""


def fetch_back(node: Mover) -> None:
    """Move a connection of the server with most, where one that staff have put back is not used yet."""
    # DANGER: connections last minutes; where few are new, one put back would stand idle beside full ones
    node.returned = {s: t for s, t in node.returned.items() if t > node.now and s.state == ServerState.READY}
    if not node.returned:
        return
    most = max(node.ready, key=lambda s: s.count)
    live = [flow for flow in most.flows.values() if flow.live]
    if live and most not in node.returned:
        flow = node.rng.choice(live)
        flow.live = False
        node.out.append(MigrateClient(flow.id))
    node.out.append(SetTimer(node.now + FETCH_BACK, node.AGAIN))


def relieve(node: Mover, server: Server, load: float, asked: float) -> None:
    """A report has come: ease the server if it asks for too much; `asked`: with what has piled up."""
    again, shared = EASE_AGAIN, node.sharing.is_active(node.now)
    if shared:
        # DANGER: where all nodes hear the same, what each takes off adds up. What has piled up is no share of
        # what stands there, and before reports show what left, all would take it off again
        asked, again = load, 2 * EASE_AGAIN + node.sharing.round_interval_us
    if load > 0 and asked > BRIM and node.now - server.eased_at >= again:
        ease(node, server, (asked - node.loads.preferred_max_load) / load, shared)


def feel(node: Mover, felt: InferredLoads, server: Server, took: float) -> None:
    """A message took so long at a server: send away what is too much, the dearest for its worth first."""
    goal, spare = (
        felt.record_message_latency(server, took, node.now),
        max(node.settings.over_quota_weight, 0.01),
    )
    live = [f for f in server.flows.values() if f.live] if goal > 0 else []
    live.sort(
        key=lambda f: felt.connection_load(f) / f.cls.priority_weight / (spare if node.over_share(f) else 1),
        reverse=True,
    )
    for flow in live:
        if goal <= 0:
            break
        # DANGER: one that asks for half a server by itself would have all the others sent away in its stead
        if felt.is_costly(flow) or node.rng.random() * felt.connection_load(flow) < goal:
            goal, flow.live = goal - felt.connection_load(flow), False
            node.out.append(MigrateClient(flow.id))
    felt.remember_own_load(server)


def ease_slow(node: Mover, server: Server) -> None:
    """A message took too long at a server, in a tier whose nodes cannot pay for sweeps."""
    # DANGER: were all slow, hundreds of nodes would move all; most of one's own must be well
    mine = [node.healthy(f.server) for f in node.flows.values() if f.live and f.server]
    if 2 * sum(mine) >= len(mine) - 1:
        ease(node, server, 1 - COMFORTABLE_LOAD)


def ease(node: Mover, server: Server, excess: float, shared: bool = False) -> None:
    """Move the dearest connections off a server: this share of what this node's ask of it."""
    # DANGER: past its capacity a server answers nobody in time, and what it holds stays for minutes. A
    # report may be seconds old: alone it moves someone only where it is beyond doubt, and not soon again.
    server.eased_at = node.now
    loads = [f.load for f in node.flows.values() if f.live and f.load]
    usual = sum(loads) / max(len(loads), 1)
    live = [f for f in server.flows.values() if f.live and f.load]
    spare = max(node.settings.over_quota_weight, 0.01)
    live.sort(
        key=lambda f: f.load / f.cls.priority_weight / (spare if node.over_share(f) else 1), reverse=True
    )
    goal = excess * sum(f.load for f in live)
    for flow in live:
        # DANGER: where each of hundreds of nodes rounds up, all move all they hold at once
        if node.rng.random() > max(goal / usual, (goal > 0) / node.settings.node_count):
            break
        if shared and not node.pace.take(node.now, node.WAVE * usual_fresh(node)):
            break
        goal, flow.live = goal - flow.load, False
        node.out.append(MigrateClient(flow.id))


def usual_fresh(node: Mover) -> float:
    """Connections a second that usually begin at a node: the store of set-ups bears a few times that."""
    fresh = (
        node.sharing.mean_fresh_rate
        if node.sharing.is_active(node.now)
        else node.fresh.read(node.now, node.born)
    )
    return max(fresh, node.opens * SECOND / LIVES if node.now < node.born + LIVES else 0, 0.01)


def bring_home(node: Mover) -> None:
    """Move one connection that crosses zones, where a server of this node's own zone is known to have room.

    A crossing is paid for as long as the connection stands, a move once.
    """
    told = node.settings
    if told.prices.get("crossZone", 0) <= HOMING * told.prices.get("moves", 0):
        return
    away: list[Connection] = []
    # DANGER: filled by a guess alone, a zone's hosts may be overfull, and nothing would ever tell
    if not node.spacing.interval_us and node.loads.has_load_data:
        far = {s.id for s in node.ready if s.zone != told.zone}
        away = [f for f in node.flows.values() if f.live and f.server and f.server.id in far]
        # DANGER: one that came back and found no room at home would be sent to and fro
        away = [f for f in away if not f.back or node.now >= f.up_at + STAYED]
    wait = SECOND
    if away:
        # DANGER: moved at once, all nodes' would meet at the store that set-ups share; it bears some times
        # the usual rate, and what breaks by itself needs room there too
        wait = min(max(int(SECOND / (node.WAVE * node.usual_rate())), HOME_LEAST), HOME_MOST)
        flow, near = node.rng.choice(away), [s for s in node.sample(node.ready) if s.zone == told.zone]
        # DANGER: filled beyond the tier's mean, servers of a zone with many clients had no room for a burst
        there = node.estimate(flow.server) if flow.server else None
        level = min(COMFORTABLE_LOAD, max(node.loads.mean_reported_load, there or 0))
        near = [s for s in near if node.estimate(s) is None or node.eligible(flow, s, level)]
        known = [s for s in near if node.estimate(s) is not None]
        # DANGER: until reports show whom the others brought, each of 40 nodes would fill the same room
        room = sum((level - (node.estimate(s) or 0)) / max(node.adds(s), 0.001) for s in known)
        if node.rng.random() < room / told.node_count * wait / max(2 * node.loads.report_interval_us, SECOND):
            flow.live = False
            node.out.append(MigrateClient(flow.id))
        elif not known and sum(node.ask(server) for server in near[: node.D]):
            wait = node.LOOK
    node.out.append(SetTimer(node.now + int(wait * node.rng.uniform(0.5, 1.5)), node.HOME))
