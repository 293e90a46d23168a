"""Every decision of a balancer for long-lived connections. Interface: limerudder/policy/interface.py.

The ordinary path is the power of d choices of Xie, Dong, Lu and Srikant, "Power of d Choices for Large-Scale
Bin Packing: A Loss Model" (SIGMETRICS'15): draw d servers at random and join the one with the fewest of this
balancer's own live connections, ties at random. Exceptions narrow which servers are eligible; the draw stays.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import islice
from random import Random
from typing import Any

from limerudder.policy import actions, events, rebalancing
from limerudder.policy.gossip import (
    MAX_INDEPENDENT_NODES,
    ConnectionRates,
    LoadMessage,
    decode,
    match_servers,
)
from limerudder.policy.pacing import PACED_RATE_FACTOR
from limerudder.policy.policy_state import (
    AGAIN,
    ASK,
    DRAINED,
    HOME,
    SHARE,
    SWEEP,
    SWEEP_LEAST,
    SWEEP_MOST,
    D,
    PolicyState,
)
from limerudder.policy.records import (
    NOTE_LIFE,
    SECOND,
    Connection,
    Server,
)
from limerudder.policy.reported_loads import COMFORTABLE_LOAD
from limerudder.policy.settings import (
    Settings,
)

TRIAL_AFTER, MOST_DOUBLINGS = SECOND, 4  # a suspect server's first trial, and up to 16 s for later ones
RELAX = 0.1  # a ceiling gives way by a tenth a second: a few refusals buy the news that room is back
HOLD, LOOK = 100_000, 50_000  # between tries of a held request, and to wait for reports: inside any aim
MOST_WEIGHT = 100.0  # a server's size beyond that, or below the inverse, is nonsense
WIDE = 8 * D  # servers looked at for a draw at most, however large the fleet
MANY = 16 * WIDE  # servers weighed for it at most
BACK = math.inf  # in place of a level: the servers' own reports alone decide
LEAVE = SECOND  # connections of a server that drains are moved over this time
SUCCEEDS = 15 * SECOND  # for so long what another process of the node sends over is in the rate
IDLE, IDLE_TIMES = 0.4, 3  # a cold server that reports less is sent more, where nodes are few
SPENT = 0.8  # of what it can do by the others' reports, at most
SET_UPS = 4  # of this node's that a server has in work at a time
YOUNG = 15 * SECOND  # a process that does not know its rate yet
TEXT = "rejecting: of {} servers {} healthy, {} have room, {} warm; level {:.2f}, gap {} ms"


class Balancer(PolicyState):
    """Events in, actions out; the clock comes with each event, chance from the seeded source handed in."""

    WAVE, D, LOOK, AGAIN, HOME = (
        PACED_RATE_FACTOR,
        D,
        LOOK,
        AGAIN,
        HOME,
    )  # for limerudder/policy/rebalancing.py

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.on: dict[type, Any] = {
            events.EndpointUpdate: self._on_members,
            events.NewRequest: self._on_request,
            events.ExistingConnection: self._on_open,
            events.ConnectionEstablished: self._on_established,
            events.AttemptEnded: self._on_outcome,
            events.ClientDisconnected: self._on_gone,
            events.LoadSample: self._on_load_sample,
            events.LatencySample: self._on_latency_sample,
            events.TimerFired: self._on_timer,
            events.HealthCheckResult: self._on_probed,
            events.PeerMessage: self._on_peermessage,
            events.PredecessorConnections: self._on_elsewhere,
        }

    def handle(self, event: events.Event, now_us: int, /) -> list[actions.Action]:
        """Decide on one event; the actions are to be carried out in order."""
        self.now, self.out = max(now_us, self.now), []
        self.on[type(event)](event)
        return self.out

    # The list of servers

    def _on_members(self, event: events.EndpointUpdate) -> None:
        if event.kind == events.UpdateKind.FAILED:
            return self._ask_in(self.waits.record_failure(self.rng))
        hand = event.kind == events.UpdateKind.OPERATOR
        if not hand and event.kind != events.UpdateKind.DELTA:
            named = {entry.server_id for entry in event.entries}
            for server in [s for s in self.ready if s.id not in named]:
                self._list(server, events.ServerState.GONE)
        for entry in event.entries:
            server = self.servers.get(entry.server_id) or Server(entry.server_id, self.now, self.rng.random())
            if entry.ready_since_us != server.since or (
                entry.state == events.ServerState.READY != server.state
            ):
                # one that hands put back is tried at once: each node has its own staff's word on it
                server.forget(self.now, 1.0 if hand else self.rng.random())
                self.cold[server] = None
            self.servers[server.id] = server
            _, server.zone, _, server.cell, _, weight, server.since = entry
            server.weight = min(MOST_WEIGHT, max(1 / MOST_WEIGHT, weight))  # NaN too
            self._list(server, entry.state)
            if hand and entry.state == events.ServerState.READY:
                self.returned[server] = self.now + rebalancing.FETCH_FOR
                self.out.append(actions.SetTimer(self.now + rebalancing.FETCH_BACK, AGAIN))
        self._count_warm()
        if hand:  # DANGER: discovery was not heard, and is to be asked no later for it
            return None
        if not self.started:
            self.started, self.born = True, self.now
            if self.probing:
                self._sweep()
            if self.probing or self.felt:
                rebalancing.bring_home(self)
            if self.sharing.enabled and self.probing:
                self.sharing.last_round_at_us = self.now
                self._share()
            if self.settings.discovery == "on_request":
                self._on_timer(events.TimerFired(ASK))
        else:
            self.waits.record_success()
            self._ask_in(int(self.settings.poll_interval_us * self.rng.uniform(0.7, 0.9)))

    def _list(self, server: Server, state: int) -> None:
        was, server.state = server.state, state
        if events.ServerState.READY not in (was, state) or was == state:
            return
        if state == events.ServerState.READY:
            self.ring.add(server.id, server.weight)
        else:
            self.ring.remove(server.id)
        (self.ready.append if state == events.ServerState.READY else self.ready.remove)(server)
        self.loads.on_server_state_change(server, self.ready, self.now)
        if state == events.ServerState.DRAINING:
            # DANGER: what a server still holds when it stops is cut off; sent away at once, all would crowd
            # the others in one moment
            live = [flow for flow in server.flows.values() if flow.live]
            self.drained_at = self.now if live else self.drained_at
            for i, flow in enumerate(live):
                self._hold(flow, self.now + LEAVE * i // len(live))

    def _count_warm(self) -> None:
        self.cold = {s: None for s in self.cold if self.now < s.since + self.settings.warm_up_us}
        self.warming.update_servers(self.ready, self.cold)

    def _ask_in(self, wait: int) -> None:
        """Ask discovery again after so long, and no sooner."""
        if self.settings.discovery == "on_request":
            self.ask_at = self.now + wait
            self.out.append(actions.SetTimer(self.ask_at, ASK))

    def _on_timer(self, event: events.TimerFired) -> None:
        if event.token == ASK and self.now >= self.ask_at:
            self.out.append(actions.WatchEndpoints(True))
            self._ask_in(self.settings.poll_interval_us)
        elif event.token == SWEEP:
            self._sweep()
        elif event.token == SHARE:
            self._share()
        elif event.token in (AGAIN, HOME):
            (rebalancing.fetch_back if event.token == AGAIN else rebalancing.bring_home)(self)
        elif (flow := self.held.pop(event.token, None)) is not None:
            if flow.live and flow.server and flow.server.state == events.ServerState.DRAINING:
                self.out.append(actions.MigrateClient(flow.id))
            elif not flow.over:
                self._place(flow)

    # What reports tell of room

    def _sweep(self) -> None:
        """Set the level above which servers are spared, and probe every server where requests pay for it."""
        # DANGER: hundreds of nodes that sweep a large fleet spend more than reports are worth. A node whose
        # own requests do not pay for sweeps asks only the servers it is about to draw from.
        # DANGER: a node with few new requests but many connections of before would never hear of overload
        spend = SECOND * len(self.ready) / (self.earn * self.usual_rate())
        shared = self.sharing.is_active(self.now)
        self.asking, least = (
            spend > SWEEP_MOST or shared,
            self.sharing.round_interval_us // 2 if shared else SWEEP_LEAST,
        )
        self.loads.report_interval_us = least if self.asking else int(max(spend, SWEEP_LEAST))
        if not self.asking:
            self.out.extend(actions.CheckHealth(server.id) for server in self.ready)
        self._count_warm()
        self.loads.update_levels(self.settings.node_count, self.asking, self.now)
        late = self.asking and not shared and self.now >= self.born + SWEEP_MOST
        wait = SWEEP_MOST if late else min(self.loads.report_interval_us, SECOND if shared else SWEEP_MOST)
        self.out.append(actions.SetTimer(self.now + wait, SWEEP))

    def _share(self) -> None:
        """Ask all servers in this node's turn, and tell its peers."""
        rates = ConnectionRates(self.usual_rate(), self.fresh.read(self.now, self.born))
        told, due = self.sharing.run_round(self.ready, rates, self.asking, self.now)
        # DANGER: what stood at the start comes after the first round, which shows servers that hold nothing
        self.out += [*told, actions.SetTimer(min(due, self.now + SECOND), SHARE)]

    def _on_peermessage(self, event: events.PeerMessage) -> None:
        message = (
            decode(event.data)
            if event.sender != self.settings.node_index
            else LoadMessage(ConnectionRates(0.0, 0.0), [])
        )
        if message is None:
            self.sharing.malformed += 1
        elif event.sender != self.settings.node_index:
            self.sharing.record_round(event.sender, message[0], self.now)
            for number, load, held in match_servers(message[1], self.servers):
                self._hear(self.servers[number], load, held)

    def _look(self, flow: Connection) -> bool:
        """Ask the servers that the draw will meet, as far as own requests pay; whether to wait for them."""
        if not self.asking or flow.looked or self.now + LOOK >= flow.aim_at:
            return False
        flow.looked = True  # DANGER: to look on for one with room would do the group's work again at each
        return sum(self.ask(s) for s in self._walk(flow, self.zones[0]) if self._allowed(flow, s)) > 0

    def ask(self, server: Server) -> bool:
        """Ask one server of which nothing is known, as far as own requests pay; whether it was asked."""
        due = self.probing and self.estimate(server) is None and self.now >= server.asked_at + SWEEP_LEAST
        if due and self.credit >= 1:
            self.credit, server.asked_at, self.unheard = self.credit - 1, self.now, self.unheard + 1
            self.out.append(actions.CheckHealth(server.id))
            return True
        return False

    def _on_probed(self, event: events.HealthCheckResult) -> None:
        server = self.servers.get(event.server_id)
        # DANGER: the load reported is what is asked, not what is piled up; a probe waits behind that too
        if (
            server
            and event.latency_us > self.long
            and event.outcome in (events.AttemptOutcome.OK, events.AttemptOutcome.TIMEOUT)
        ):
            server.slow_at = self.now
        if (
            server is None
            or event.outcome != events.AttemptOutcome.OK
            or len(event.load_report) <= self.load_field
        ):
            return
        held = event.load_report[self.held_field] if len(event.load_report) > self.held_field >= 0 else 0
        self._hear(server, event.load_report[self.load_field], held)

    def _hear(self, server: Server, load: float, held: float) -> None:
        server.asked_at, self.unheard = 0, 0
        asked = self.loads.record_report(server, load, held, len(self.ready), self.now)
        rebalancing.relieve(self, server, load, asked)

    # Which servers are eligible

    def avoided_servers(self, now_us: int) -> set[int]:
        """The ready servers that are left out for now because of how they fare."""
        self.now = max(now_us, self.now)
        return {server.id for server in self.ready if not self.healthy(server)}

    def _has_room(self, server: Server, level: float = 1.0, flow: Connection | None = None) -> bool:
        estimate = self.estimate(server)
        if (felt := self.felt) and not felt.has_room(server, level, flow, self.now):
            return False
        if estimate is None and not felt:
            # DANGER: one asked that has not answered is as a rule overfull; taken for empty, it draws all.
            # Where none answers any more, it is the probes that fail, and nobody is turned away for that.
            late = self.now < server.asked_at + SECOND and self.unheard < WIDE
            if self.asking and (level < 1 or late) and server not in self.returned:
                return False
        elif estimate is not None and not felt:
            # DANGER: what comes back by the dozen after another node's end was in the reports already, where
            # it stood before. Counted again it fills every server in a moment, and its clients are sent away.
            # What comes back from a server that drains was in the reports of that one only.
            asked = (server.load or 0) if level == BACK else estimate + self.adds(server)
            if asked + self.loads.backlog_load(server) > min(level, self.loads.max_load):
                return False
        # DANGER: a node just back, or the only one, meets a wave; what one server sets up at once it sets up
        # late or not at all, and its reports tell of none of it yet
        if server.setting_up >= SET_UPS:
            return False
        grown = 1 + RELAX * (self.now - server.ceiling_at) / SECOND
        return server.ceiling is None or server.count + 1 <= server.ceiling * grown

    def _may_warm(self, server: Server) -> bool:
        """Whether a cold server's budget allows one more; an old server always does."""
        # DANGER: a new id holds nothing and would win nearly every draw of every balancer
        told, share = self.settings, self.loads.effective_size(server, self.now) / server.weight
        if share >= 1:
            return True
        # DANGER: clients that a process before this one moved here are in the rate already; and the more
        # nodes there are, the more they send before one report tells of it
        load, alone = (
            self.estimate(server),
            told.node_count <= MAX_INDEPENDENT_NODES and self.now >= self.succeeds,
        )
        idle = alone and load is not None and load < IDLE
        # DANGER: it is idle because little is asked of it; what it can do is what reports tell of the others
        times = min(IDLE_TIMES, max(SPENT / max(self.loads.mean_reported_load, 0.01), 1)) if idle else 1
        # DANGER: of a fleet that is restarted bit by bit nobody remembers much, and cold servers would starve
        fresh = self.fresh.read(self.now, self.born)
        return self.warming.allows(server, share, times, fresh, self.now)

    def _allowed(self, flow: Connection, server: Server) -> bool:
        """The rules alone: listed, within a cold budget, and not where an effect might happen twice."""
        if server.state != events.ServerState.READY or server in flow.tried:
            return False
        if flow.risk is not None:
            scope, where = flow.cls.key_scope, flow.risk[1]
            if scope in ("zone", "cell") and getattr(server, scope) != getattr(where, scope):
                return False
        return self._may_warm(server)

    def over_share(self, flow: Connection) -> bool:
        """Whether the flow's tenant holds more here than its share."""
        quotas, mine = self.settings.tenant_quotas, self.holdings.tenants[flow.tenant]
        quota = quotas[flow.tenant] / self.settings.node_count if flow.tenant < len(quotas) else math.inf
        return mine > quota + math.sqrt(quota)  # DANGER: of a few connections, one by chance is no excess

    def eligible(self, flow: Connection, server: Server, level: float, sick: bool = False) -> bool:
        """Whether the flow may join this server, for all that this balancer knows."""
        well = sick or self.healthy(server)
        return well and self._has_room(server, level, flow) and self._allowed(flow, server)

    # The draw

    def _walk(self, flow: Connection, zone: int | None) -> list[Server]:
        """Servers as they follow on the ring for the flow's group: candidates alike at every node."""
        # DANGER: without a group from a place of its own: ids begin at 1 at each node that begins anew
        ring = map(self.servers.__getitem__, self.ring.walk(flow.group or flow.place))
        return list(islice((s for s in ring if zone in (None, s.zone)), D))

    def _pools(self, flow: Connection) -> Iterator[list[Server]]:
        """Where to draw from, in turn: each is narrow, though a sample weighs many by their room."""
        if self.returned:  # one put back by hand is among the candidates until it has its first
            yield [*self.returned, *self.sample(self.ready)]
        for zone in self.zones:
            if flow.group:  # servers that hold some of the group already do its shared work: first of all
                held = [s for s in self.holdings.groups.get(flow.group, ()) if zone in (None, s.zone)]
                yield self.sample(held)
            if flow.group or self.asking:
                yield self._walk(flow, zone)
            # DANGER: each further server does the group's work again
            if not (flow.group and self.asking) or self.sharing.is_active(self.now):
                yield [s for s in self.sample(self.ready) if zone in (None, s.zone)]

    def _draw(self, flow: Connection) -> Server | None:
        """The first pool that has an eligible server; in it, the fewest own connections of d at random."""
        # DANGER: where all stand at the mean, none is below it; sparing the busier must not turn anyone away
        # DANGER: a tenant beyond its share, worth little, would crowd out the others where room is short
        levels = (
            (min(self.loads.preferred_max_load, COMFORTABLE_LOAD),)
            if self.over_share(flow)
            else (self.loads.preferred_max_load, self.loads.max_load)
        )
        for level in (*levels, 1.0) if self.asking else levels:
            for pool in self._pools(flow):
                if (chosen := self._fewest(flow, pool, level)) is not None:
                    return chosen
        back = (
            flow.back
            and self.loads.mean_reported_load <= COMFORTABLE_LOAD
            and self.now >= self.drained_at + DRAINED
        )
        if back and (chosen := self._fewest(flow, self.sample(self.ready), BACK)) is not None:
            return chosen
        if any(self.healthy(s) and self._may_warm(s) for s in self.ready):
            return None
        # DANGER: something all servers share makes them all look bad; with none left, health is no guide.
        return self._fewest(
            flow, self.sample(self.ready), 1.0 if self.asking else COMFORTABLE_LOAD, sick=True
        )

    def sample(self, servers: list[Server]) -> list[Server]:
        """Some of these servers in random order, the larger as a rule before the smaller."""
        # DANGER: drawn alike, small servers are full while the large idle, and a node that holds few
        # connections learns of neither
        # DANGER: reports are seconds old; were those with room filled in turn, all nodes would fill the same
        # DANGER: weighed one by one, thousands would take milliseconds of every draw
        servers = self.rng.sample(servers, MANY) if len(servers) > MANY else servers
        room = {
            s: self.loads.effective_size(s, self.now) * max(1 - (self.estimate(s) or 0), 0.1) for s in servers
        }
        keys = {s: self.rng.random() ** (1 / room[s]) for s in servers}  # after Efraimidis and Spirakis
        return sorted(servers, key=keys.__getitem__, reverse=True)[:WIDE]

    def _fewest(
        self, flow: Connection, pool: list[Server], level: float, sick: bool = False
    ) -> Server | None:
        """The ordinary path: d servers, a few more looked at where some are not eligible."""
        found = list(islice((s for s in pool if self.eligible(flow, s, level, sick)), D))
        # in random order the first of equals is a tie broken at random; on the ring it is the group's first
        return min(found, key=lambda s: s.count) if found else None

    def _place(self, flow: Connection) -> None:
        """Send the flow, hold it while there is hope, or give its final answer."""
        told, left = self.settings, flow.deadline - self.now
        window = flow.cls.idempotency_window_us if flow.cls.effect == "keyed" else 0
        # DANGER: a connection may come up as late as its dial allows, and the line is written only then
        stale = flow.risk is not None and self.now + told.connect_timeout_us >= flow.risk[0] + window
        if stale or flow.sends >= told.max_attempts or left <= 2 * told.tick_us:
            return self._answer(flow)
        if self.spacing.interval_us and not flow.slot:
            slot = self.spacing.reserve(self.now, flow.deadline - told.connect_timeout_us)
            if slot is None:
                return self._answer(flow)  # early: it could not be set up in time
            flow.slot = slot
            if slot > self.now:
                return self._hold(flow, slot)
        if self._look(flow):
            self._hold(flow, self.now + LOOK)
        elif (server := self._draw(flow)) is not None:
            self._send(flow, server, left)
        elif self.now + HOLD < flow.aim_at:
            self._hold(flow, self.now + HOLD)
        else:
            self._answer(flow)

    def _hold(self, flow: Connection, until: int) -> None:
        self.next_token += 1
        self.held[self.next_token] = flow
        self.out.append(actions.SetTimer(until, self.next_token))

    def _send(self, flow: Connection, server: Server, left: int) -> None:
        last = flow.sends + 1 >= self.settings.max_attempts
        # DANGER: after a wave set-ups take long at a store they share; given up at the aim and sent again,
        # each is done twice and later still. What a connection earns, it earns over its life.
        wait = (
            left
            if last or self.spacing.interval_us
            else max(left // 2, min(left, flow.cls.latency_objective_us))
        )
        flow.sends, flow.slot = flow.sends + 1, 0
        self.returned.pop(server, None)
        self._join(flow, server)
        server.tokens -= 1
        if server.strikes:  # one trial at a time
            server.trial_at = self.now + TRIAL_AFTER
        if flow.sends == 1:
            self.rate = self.sent.count(self.now, self.born)
            self.warming.record_request(self.now)
            self.fresh.count(self.now, self.born) if not flow.back else None
            self.credit = min(self.credit + self.earn, 4 * D + self.earn)
        self.out.append(actions.StartAttempt(flow.id, server.id, wait))

    def _join(self, flow: Connection, server: Server) -> None:
        flow.server = server
        server.setting_up += not flow.up
        server.flows[flow.id] = flow
        self.holdings.tally(flow, server, 1)

    # What follows an outcome

    def _answer(self, flow: Connection) -> None:
        """The final answer: refused where the rules let a client try again, else failed."""
        if self.now >= self.log_at:
            self.log_at = self.now + 5 * SECOND
            fit = [sum(map(test, self.ready)) for test in (self.healthy, self._has_room, self._may_warm)]
            self.out.append(
                actions.LogMessage(
                    TEXT.format(
                        len(self.ready), *fit, self.loads.preferred_max_load, self.spacing.interval_us // 1000
                    )
                )
            )
        keyed = flow.cls.effect == "keyed" and flow.cls.key_scope == "all"
        if flow.risk is None or keyed or flow.cls.effect == "safe":
            self.out.append(actions.RejectRequest(flow.id, SECOND if self.settings.sends_retry_after else 0))
        else:
            self.out.append(actions.FailRequest(flow.id))
        self._conclude(flow)

    def _conclude(self, flow: Connection) -> None:
        flow.over = True
        if flow.server is None:
            self.flows.pop(flow.id, None)

    def _on_request(self, event: events.NewRequest) -> None:
        if event.request_id not in self.flows:
            self.flows[event.request_id] = flow = Connection(
                event, self.settings.classes[event.traffic_class], self.now
            )
            flow.place = self.rng.getrandbits(32)
            self._place(flow)

    def _on_open(self, event: events.ExistingConnection) -> None:
        if event.request_id in self.flows:
            return
        server = self.servers.setdefault(event.server_id, Server(event.server_id, self.now, 0.0))
        self.flows[event.request_id] = flow = Connection(
            event, self.settings.classes[event.traffic_class], self.now
        )
        flow.sends, flow.live, flow.up, flow.over = 1, True, True, True
        self.opens, self.warming.started_at_us = self.opens + 1, self.born
        self._join(flow, server)

    def _on_elsewhere(self, event: events.PredecessorConnections) -> None:
        # DANGER: a process just begun that holds nothing would take each client that comes over from the one
        # before it for load on top of what reports tell; until they tell otherwise, it would turn all away
        if (server := self.servers.get(event.server_id)) is not None:
            server.elsewhere, self.succeeds = event.connections, self.now + SUCCEEDS

    def _out(
        self,
        event: events.ConnectionEstablished | events.AttemptEnded | events.LoadSample | events.LatencySample,
    ) -> Connection | None:
        """The flow whose attempt this is about. DANGER: late or repeated words would count it off twice."""
        flow = self.flows.get(event.request_id)
        if flow is None or flow.server is None or flow.sends - 1 != event.attempt:
            return None
        return flow if flow.server.id == event.server_id else None

    def _on_established(self, event: events.ConnectionEstablished) -> None:
        if (flow := self._out(event)) is None or flow.server is None:
            return
        flow.server.setting_up -= not flow.up
        flow.live, flow.up, flow.over, flow.up_at = True, True, True, self.now
        if (
            flow.server.state == events.ServerState.DRAINING
        ):  # since it was sent: it leaves like what stood there
            self._hold(flow, self.now)
        flow.server.strikes = flow.server.trial_at = 0
        if (
            self.felt and 3 * event.latency_us > flow.cls.latency_objective_us
        ):  # as with messages: a third of the aim is long
            flow.server.slow_at = self.now - NOTE_LIFE + SECOND
        self.spacing.record_success(self.rate)

    def _on_gone(self, event: events.ClientDisconnected) -> None:
        flow = self.flows.get(event.request_id)
        if flow is None or flow.over:
            return
        self._conclude(flow)
        if flow.server is not None and not flow.live and self.settings.allows_cancellation:
            self.out.append(actions.CancelAttempt(flow.id, flow.sends - 1))

    def _on_load_sample(self, event: events.LoadSample) -> None:
        flow = self._out(event)
        if flow is not None and flow.server is not None and event.load_us_per_second >= 0:
            self.loads.record_connection_load(flow, event.load_us_per_second)

    def _on_latency_sample(self, event: events.LatencySample) -> None:
        flow = self._out(event)
        if flow is None or flow.server is None:
            return
        server, took = flow.server, event.latency_ms * 1000
        server.slow_at = self.now if took > self.long else -NOTE_LIFE
        if self.felt:
            rebalancing.feel(self, self.felt, server, took)
        elif self.asking and took > flow.cls.message_objective_us:
            rebalancing.ease_slow(self, server)

    def _on_outcome(self, event: events.AttemptEnded) -> None:
        if (flow := self._out(event)) is None or (server := flow.server) is None:
            return
        flow.server = None
        server.setting_up -= not flow.up
        del server.flows[flow.id]
        self.holdings.tally(flow, server, -1)
        self._learn(server, flow, event.outcome)
        if event.request_closed or flow.over:
            self._conclude(flow)
            return
        flow.tried.append(server)
        if (
            event.outcome not in events.NOT_EXECUTED_OUTCOMES
            and flow.cls.effect != "safe"
            and flow.risk is None
        ):
            flow.risk = (self.now - event.latency_us, server)
        (self._answer if event.outcome == events.AttemptOutcome.OBSOLETE else self._place)(flow)

    def _learn(self, server: Server, flow: Connection, ending: int) -> None:
        """What an ending tells of its server."""
        if (
            ending
            in (events.AttemptOutcome.OK, events.AttemptOutcome.CANCELLED, events.AttemptOutcome.OBSOLETE)
            or server.state != events.ServerState.READY
        ):
            return
        if self.felt and ending == events.AttemptOutcome.RESET and flow.over:
            self.felt.record_reset(server, self.now)
        # DANGER: one that is full without any of ours is no ceiling: it would win each further draw
        if server.count and (
            ending == events.AttemptOutcome.FULL or (ending == events.AttemptOutcome.RESET and flow.over)
        ):
            # the paper's block, or a drop under load (of one being moved too): it holds all it can of ours
            server.ceiling, server.ceiling_at = server.count, self.now
            return
        young = self.felt is not None and self.now < self.born + YOUNG
        shared = ending in (events.AttemptOutcome.ERROR, events.AttemptOutcome.TIMEOUT)
        if shared and self.spacing.record_failure(self.rate, young):
            return
        server.strikes += 1
        server.trial_at = self.now + (TRIAL_AFTER << min(server.strikes - 1, MOST_DOUBLINGS))
