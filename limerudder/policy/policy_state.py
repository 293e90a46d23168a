"""The state of a balancer: what it knows of servers, connections and its own traffic."""

from __future__ import annotations

from random import Random

from limerudder.policy import actions
from limerudder.policy.discovery_timing import Backoff
from limerudder.policy.gossip import LoadGossip
from limerudder.policy.hash_ring import HashRing
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import (
    NOTE_LIFE,
    SECOND,
    Connection,
    GroupIndex,
    RateEstimator,
    Server,
    TokenBucket,
)
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.settings import Settings
from limerudder.policy.slow_start import SlowStartBudget

D = 2  # the paper's d: two choices already bring the doubly exponential fall in blocking
PROBE_SPEND = 0.01  # of the result goes into probes at most: what is learned must be worth more than that
SWEEP_LEAST, SWEEP_MOST = SECOND // 2, 4 * SECOND  # reports are rarely renewed faster; slower, they mislead
DRAINED = 3 * SECOND  # for so long those who come back may have stood at a server that drains
SWEEP, ASK, AGAIN, HOME, SHARE, HELD = range(6)  # timer tokens; from HELD on, one for each held request
OPENS_PAY = 60 * SECOND  # for so long what stood at the start pays for probes too, as requests do


class PolicyState:
    """What one balancer keeps between events."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings, self.rng, self.now = settings, rng, 0
        self.servers, self.ready, self.ring = dict[int, Server](), list[Server](), HashRing()
        self.zones = (settings.zone, None) if settings.prices.get("crossZone", 0) > 0 else (None,)
        self.flows, self.held, self.holdings = dict[int, Connection](), dict[int, Connection](), GroupIndex()
        self.cold = dict[Server, None]()  # not warm yet
        self.next_token, self.started = HELD, False
        # own sends a second, those of them that stood nowhere before, and the first as of the last send
        self.sent, self.fresh, self.rate = RateEstimator(), RateEstimator(), 0.0
        self.born = self.ask_at = 0
        self.warming = SlowStartBudget(settings)
        self.waits = Backoff(settings.poll_interval_us)
        self.opens = 0  # connections that stood at the start
        fields = list(settings.report_fields)
        self.load_field = next((fields.index(name) for name in ("x0", "util") if name in fields), -1)
        self.held_field = fields.index("inflight") if "inflight" in fields else -1
        self.probing = (
            settings.allows_health_checks and settings.report_via != "none" and self.load_field >= 0
        )
        self.felt = (
            InferredLoads(settings, SWEEP_LEAST) if settings.reports_latency and not self.probing else None
        )
        self.loads, self.sharing = self.felt or ReportedLoads(settings, SWEEP_LEAST), LoadGossip(settings)
        self.earn = PROBE_SPEND / max(settings.prices.get("probe", 0), 1e-5)  # probes a request pays for
        self.credit, self.asking = 4.0 * D, self.probing  # asking: before a draw, in place of sweeps
        self.long = (
            min((c.message_objective_us for c in settings.classes), default=SECOND) / 3
        )  # for a message
        self.log_at = self.unheard = self.succeeds = 0  # succeeds: until when SUCCEEDS
        self.spacing = ConnectPacer()
        self.drained_at = -DRAINED  # when a server with connections of this node last began to drain
        self.returned = dict[Server, int]()  # put back by hand and not used since; until when it matters
        self.out: list[actions.Action] = []
        self.pace = TokenBucket(2.0)  # of moves off full servers, where all nodes make them

    def usual_rate(self) -> float:
        """New connections a second that this node sees, or those that stood at the start tell of."""
        opens = self.opens * SECOND / OPENS_PAY if self.now < self.born + OPENS_PAY else 0
        return max(self.sent.read(self.now, self.born), opens, 0.01)

    def estimate(self, server: Server) -> float | None:
        """The server's load now, as far as it is known."""
        return self.loads.estimate(server, self.now)

    def adds(self, server: Server) -> float:
        """What one more connection adds to this server's load."""
        return self.loads.marginal_load(server, self.now)

    def malformed_peer_messages(self) -> int:
        """Datagrams of peers that were passed over."""
        return self.sharing.malformed

    def healthy(self, server: Server) -> bool:
        """Whether a server is not avoided for how it fares."""
        return server.trial_at <= self.now and server.slow_at + NOTE_LIFE <= self.now
