"""The node: owns the Balancer, turns what happens into its events and carries out its actions.

It knows no protocol's syntax: reqs come as Req, answers go through ClientSession, attempts are Fetches.
"""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any
from zlib import crc32

from limerudder.config import NodeConfig
from limerudder.core.client.admission import AdmissionControl
from limerudder.core.discovery.discovery_client import DiscoveryClient
from limerudder.core.discovery.drain_memory import DrainMemory
from limerudder.core.discovery.endpoint_list import Endpoint, EndpointList
from limerudder.core.lifecycle.graceful_shutdown import GracefulShutdown
from limerudder.core.lifecycle.hot_restart import ProcessUsage
from limerudder.core.operations.counters import Counters
from limerudder.core.operations.maintenance import InMemoryMarks, Maintenance, MaintenanceMarks
from limerudder.core.operations.metrics import RequestMetrics
from limerudder.core.peering import Peering
from limerudder.core.ports import Attempt, ClientSession, ConnectRequest
from limerudder.core.timer_wheel import Timer, TimerWheel
from limerudder.core.transport import Network
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.core.upstream.liveness import LOOK, LOOKS, LivenessMonitor
from limerudder.core.upstream.load_report import MALFORMED_REPORT, is_malformed
from limerudder.policy import Balancer
from limerudder.policy.actions import (
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateClient,
    PolicyError,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from limerudder.policy.events import (
    FLAG_RECONNECT,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    Event,
    ExistingConnection,
    HealthCheckResult,
    LatencySample,
    LoadSample,
    NewRequest,
    PredecessorConnections,
    ServerEntry,
    ServerState,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.interface import ConnectionPolicy

SECOND = 1_000_000
PROBE_WAIT = 120_000  #: for the answer to a probe
AT_WAIT, AT_AGAIN = 30 * SECOND, SECOND // 4  #: for a connection of before the start, and between its tries
PAST = 4096  #: ids of ended reqs that are still refused: whoever copied one may come a little late
SPARE_SOCKETS = 128  #: for discovery, probes, peers and connections that are ending
OWN_SOCKETS = 40  #: of these what a process has at least: 24 stand open before its first client comes
RETURN = 5 * SECOND  #: a host that staff have put back is to be in use again by then

Told = tuple[int, int, int, int, int, int, int, int]  #: a req as the module is told of it
Log = Callable[[str, str], None]  #: kind of line, text


class Upstream:
    """A host, as the node reaches it."""

    def __init__(self, number: int, name: str) -> None:
        self.number, self.name = number, name
        self.host: Endpoint | None = None  # as discovery last listed it
        self.address = ("", 0)
        self.state: ServerState = ServerState.GONE
        self.probe: HealthCheckConnection | None = None
        self.silence, self.heard = LivenessMonitor(), 0  # heard: when a probe was last answered
        self.slow, self.noted = False, -SECOND  # whether the module holds it slow, and since when
        self.back_at = 0  # when staff last put it back
        self.returning = False  # put back, and not listed as ready since


class ProxiedConnection:
    """A req from its first line to the end of its connection; hears from its session and its fetch."""

    def __init__(
        self, node: Node, session: ClientSession, req: ConnectRequest, told: Told, deadline: int
    ) -> None:
        self.node, self.session, self.req, self.deadline = node, session, req, deadline
        self.told, self.number = told, told[0]
        self.sends = self.sent = 0
        self.fetch: Attempt | None = None
        self.backend: Upstream | None = None
        self.answered = self.up = False
        self.timers: list[Timer] = []  # of the fetch that is out
        self.overdue: Timer | None = None

    def settle(self) -> None:
        """No answer is owed any more."""
        self.answered = True
        if self.overdue:
            self.overdue.cancel()

    def client_disconnected(self, now: int) -> None:
        """The client has gone."""
        self.node.left(self, now)

    def attempt_ready(self, now: int) -> bool:
        """Whether the line may be written now."""
        return self.node.may_write(self, now)

    def attempt_sent(self) -> None:
        """The fetch's first line is out."""
        self.node.figures.relayed += 1

    def attempt_established(self, now: int) -> None:
        """The backend has taken the connection."""
        self.node.up(self, now)

    def attempt_ended(self, ending: AttemptOutcome, report: tuple[float, ...], now: int) -> None:
        """The fetch has ended."""
        self.node.ended(self, ending, report, now)

    def attempt_load_reported(self, load: float, now: int) -> None:
        """The backend tells the connection's load."""
        self.node.load_reported(self, load, now)

    def attempt_latency_measured(self, took: int, now: int) -> None:
        """The backend has answered a message."""
        self.node.delay(self, took, now)


class Node:
    """One node. Every call brings the time; `stopped` is called when a planned stop is done."""

    def __init__(
        self,
        config: NodeConfig,
        network: Network,
        log: Log,
        now: int,
        marks: MaintenanceMarks | None = None,
        recall: DrainMemory | None = None,
    ) -> None:
        self.config, self.settings, self.network, self.log = config, config.settings, network, log
        self.wheel, self.counters = TimerWheel(self.settings.tick, now), Counters()
        self.figures = RequestMetrics(config.names.classes)
        self.balancer: ConnectionPolicy = Balancer(self.settings, Random(config.seed))
        self.report_fields = self.settings.report_fields if self.settings.report_via != "none" else ()
        spare = min(SPARE_SOCKETS, max(config.sockets // 4, min(OWN_SOCKETS, config.sockets // 2)))
        self.classes = {name: number for number, name in enumerate(config.names.classes)}
        self.tenants = {name: number for number, name in enumerate(config.names.tenants)}
        self.peering = Peering(self.counters, network, self.balancer, self.give, log, self.settings.peers)
        self.reqs: dict[int, ProxiedConnection] = {}
        self.ids: set[int] = set()  # of these reqs, as their clients named them
        self.past: dict[int, None] = {}  # of the last that ended, oldest first
        self.admission = AdmissionControl(config.sockets, spare, self.reqs)
        self.next_req = 1
        self.backends: dict[int, Upstream] = {}
        self.numbers: dict[str, int] = {}
        self.maintenance = Maintenance(marks or InMemoryMarks(), self)
        self.recall = recall  # drains that outlive a list, where there is a store
        pushed = self.settings.discovery == "pushed"
        self.discovery = DiscoveryClient(config.discovery, config.known.version, pushed, self, now)
        self.events: deque[Event] = deque()
        self.giving = False
        self.stopping = 0  # when SIGKILL comes at the earliest
        self.elsewhere = set[str]()  # backends where another process of this node holds connections
        self.reloaded = False  # discovery is asked where the file says, whatever the environment does
        self.succeeded = False  # another process takes this node's clients
        self.hear_taken: list[Callable[[int], None]] = []  # hear the id of each req
        self.stopped: Callable[[], None] = lambda: None
        aims = [c.message_objective_us for c in self.settings.classes if c.message_objective_us]
        self.long = min(aims, default=0) // 3  # a message that takes longer is told to the module
        self._list(config.known, UpdateKind.CACHED, now)
        self.discovery.start(now)
        self.maintenance.start(now)
        self._look(now)

    # the module

    def give(self, event: Event, now: int) -> None:
        """Hand an event to the module and carry out what it decides, in order."""
        self.events.append(event)
        if self.giving:
            return  # an action's own consequence waits until the actions before it are done
        self.giving = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(event, now)
                except Exception as exc:  # guards the other reqs against a fault met on one of them
                    self._fault(event, exc, now)
                    continue
                for action in actions:
                    self.carry_out[type(action)](self, action, now)
        finally:  # guards against a node deaf for good after a fault in carrying an action out
            self.giving = False

    def _fault(self, event: Event, exc: Exception, now: int) -> None:
        self.counters.count("module_faults")
        where = traceback.extract_tb(exc.__traceback__)[-1]
        text = f"{type(exc).__name__}: {exc} in {where.name} line {where.lineno}"
        self.log(f"fault {where.name}", f"module: {text}")
        if isinstance(event, TimerFired):  # its next one would have been set by the call that failed
            self.wheel.at(now + SECOND, lambda at: self.give(event, at))
        held = self.reqs.get(getattr(event, "id", 0))
        if held and not held.answered:
            self.answer_failed(held, now)
            self.give(ClientDisconnected(held.number), now)  # so that the module does not keep it

    def _fail(self, action: FailRequest, now: int) -> None:
        if (held := self.reqs.get(action.id)) and not held.answered:
            self.answer_failed(held, now)

    def _refuse(self, action: RejectRequest, now: int) -> None:
        if (held := self.reqs.get(action.id)) and not held.answered:
            self._final(held, "refused", "throttled", now)
            held.session.refuse(min(action.retry_after, self.settings.max_retry_after_us), now)

    def answer_failed(self, held: ProxiedConnection, now: int) -> None:
        """Give a req its final answer: it has failed."""
        self._final(held, "failed", "faulted", now)
        held.session.fail(now)

    def _final(self, held: ProxiedConnection, what: str, figure: str, now: int) -> None:
        """The req has its final answer, which is not a backend's."""
        self.counters.count(f"answers_{what}")
        self.figures.count(figure, held.told[1])
        held.settle()
        if held.fetch:
            self._give_up(held, AttemptOutcome.CANCELLED, now)
        else:
            self._forget(held)

    def _forget(self, held: ProxiedConnection) -> None:
        """Nothing of the req is out any more."""
        if self.reqs.pop(held.number, None):
            self.ids.discard(held.req.id)
            self.taken_elsewhere(held.req.id)

    def taken_elsewhere(self, req: int) -> None:
        """A req of this id ended here, or is at another process of this node: it is refused for a while."""
        self.past[req] = None
        if len(self.past) > PAST:
            del self.past[next(iter(self.past))]

    def _send(self, action: StartAttempt, now: int) -> None:
        held, backend = self.reqs.get(action.id), self.backends.get(action.server)
        if held is None:
            return
        attempt, held.sends = held.sends, held.sends + 1
        left = held.deadline - now
        wait = min(action.timeout, left) if action.timeout else left
        # guards the rules whatever the module says: no second copy, nothing late, no host that drains
        may = not held.answered and held.fetch is None and attempt < self.settings.max_attempts and wait > 0
        if not may or backend is None or backend.state != ServerState.READY:
            self.counters.count("fetches_moot")
            answered = int(held.answered)
            self.give(
                AttemptEnded(held.number, attempt, action.server, AttemptOutcome.OBSOLETE, 0, answered, ()),
                now,
            )
            return
        self._dial(held, backend, wait, now)

    def _dial(self, held: ProxiedConnection, backend: Upstream, wait: int | None, now: int) -> None:
        self.counters.count("fetches")
        fetch = held.session.fetch(held, wait)
        held.fetch, held.backend, held.sent = fetch, backend, now
        fetch.link = self.network.dial(backend.address, fetch)
        dial = self.settings.connect_timeout_us or AT_WAIT
        held.timers = [self.wheel.at(now + dial, lambda at: self._dial_over(held, at))]
        if wait is not None:
            held.timers.append(self.wheel.at(now + wait, lambda at: self._wait_over(held, at)))

    def _dial_over(self, held: ProxiedConnection, now: int) -> None:
        if held.fetch and not held.fetch.out:
            self._give_up(held, AttemptOutcome.CONNECT_FAILED, now)

    def _wait_over(self, held: ProxiedConnection, now: int) -> None:
        if held.fetch and not held.up:
            self._give_up(
                held, AttemptOutcome.TIMEOUT if held.fetch.out else AttemptOutcome.CONNECT_FAILED, now
            )

    def _cancel(self, action: CancelAttempt, now: int) -> None:
        held = self.reqs.get(action.id)
        if held and held.fetch and not held.up and action.attempt == held.sends - 1:
            self._give_up(held, AttemptOutcome.CANCELLED, now)

    def _move(self, action: MigrateClient, now: int) -> None:
        if (held := self.reqs.get(action.id)) and held.up:
            self.move_away(held, now)

    def move_away(self, held: ProxiedConnection, now: int) -> None:
        """Send a client that stands away."""
        self.counters.count("moves")
        held.session.move(now)
        self._give_up(held, AttemptOutcome.CANCELLED, now)

    def _give_up(self, held: ProxiedConnection, ending: AttemptOutcome, now: int) -> None:
        """Close the fetch that is out, then tell how it ended."""
        if held.fetch:
            held.fetch.close()
            self.ended(held, ending, (), now)

    def _set_timer(self, action: SetTimer, now: int) -> None:
        self.wheel.at(action.at, lambda at: self.give(TimerFired(action.token), at))

    def _log(self, action: LogMessage | PolicyError, now: int) -> None:
        self.log("module", f"module: {action.text}")

    def _tell(self, action: SendPeerMessage, now: int) -> None:
        self.peering.tell(action)

    # probes

    def _probe(self, action: CheckHealth, now: int) -> None:
        backend = self.backends.get(action.server)
        if backend is None or not self.settings.probes:
            return
        self.counters.count("probes")
        if backend.probe is None or backend.probe.done:
            probe = backend.probe = HealthCheckConnection(
                self.report_fields, partial(self._probed, backend.number)
            )
            probe.ask(now)
            probe.link = self.network.dial(backend.address, probe)
        else:
            backend.probe.ask(now)
        self.wheel.at(now + PROBE_WAIT, partial(backend.probe.overdue, now))

    def _probed(
        self, number: int, latency: int, ending: AttemptOutcome, report: tuple[float, ...], now: int
    ) -> None:
        self.counters.count(f"probes_{ending.name.lower()}")
        if is_malformed(report):
            self.counters.count("reports_spoilt")
            self.log("report", MALFORMED_REPORT.format(self.backends[number].name))
        if ending in (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.FULL):
            self.backends[number].heard = now
        self.give(HealthCheckResult(number, latency, ending, report), now)

    def _close_idle(self, action: CloseIdleConnections, now: int) -> None:
        backend = self.backends.get(action.server)
        if backend and backend.probe and not backend.probe.asked:
            backend.probe.close()

    # discovery

    def _watch(self, action: WatchEndpoints, now: int) -> None:
        if action.on:
            self.discovery.keep_watch(now)
        else:
            self.discovery.drop_watch()

    def _fetch(self, action: PollEndpoints, now: int) -> None:
        self.discovery.ask(now)

    def endpoints_received(self, hosts: EndpointList, now: int) -> None:
        """Discovery's list, or changes of it."""
        self._list(hosts, UpdateKind.FULL if hosts.whole else UpdateKind.DELTA, now)

    def endpoints_unchanged(self, version: int, now: int) -> None:
        """The module has asked again, and nothing was missed."""
        self.give(EndpointUpdate(UpdateKind.DELTA, version, ()), now)

    def endpoints_failed(self, version: int, now: int) -> None:
        """A call failed or the watch ended."""
        self.log("director", "director: a call failed or the watch ended; it is asked anew within a second")
        self.give(EndpointUpdate(UpdateKind.FAILED, version, ()), now)

    def _list(self, hosts: EndpointList, kind: UpdateKind, now: int) -> None:
        self.counters["lists"] += kind != UpdateKind.OPERATOR
        entries = [self._entry(host) for host in hosts.hosts]
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            named = {entry.server for entry in entries}
            for backend in self.backends.values():
                if backend.number not in named:
                    backend.state = ServerState.GONE
        # before discovery's word, which then changes nothing there
        returned = [e for e in entries if e.state == ServerState.READY and self.backends[e.server].returning]
        for entry in returned:
            self.backends[entry.server].returning = False
            if kind != UpdateKind.OPERATOR:
                self.give(EndpointUpdate(UpdateKind.OPERATOR, hosts.version, [entry]), now)
        self.give(EndpointUpdate(kind, hosts.version, entries), now)
        if self.settings.probes:
            self.admission.hosts = sum(b.state != ServerState.GONE for b in self.backends.values())
        dialled = [h for h in self.reqs.values() if h.fetch and not h.fetch.out]
        for held in dialled:
            # guards against a line written after the grace by a dial begun before it
            if held.backend and held.backend.state != ServerState.READY:
                self._give_up(held, AttemptOutcome.CONNECT_FAILED, now)
        for backend in self.backends.values():
            if backend.state != ServerState.READY and backend.probe:
                backend.probe.close()

    def _entry(self, host: Endpoint) -> ServerEntry:
        backend = self.backend(host.name)
        backend.host, backend.address, backend.state = host, host.address, host.state
        out = self.recall.out(host) if self.recall else False
        if host.state == ServerState.READY and (out or host.name in self.maintenance.held):
            backend.state = (
                ServerState.DRAINING
            )  # the worse of the list's word, that of staff and what is known
        names = self.config.names
        zone = names.zones.index(host.zone) if host.zone in names.zones else len(names.zones)
        kind = names.kinds.index(host.kind) if host.kind in names.kinds else len(names.kinds)
        # guards a host that comes back cold before discovery tells of its new start
        since = max(host.started_ms * 1000, backend.back_at)
        return ServerEntry(backend.number, zone, kind, host.cell, backend.state, host.weight, since)

    def backend(self, name: str) -> Upstream:
        """The backend of this name; its number is the same at every node, so that rings agree."""
        number = self.numbers.get(name)
        if number is None:
            number = crc32(name.encode())
            while number in self.backends:
                number = (number + 1) % (1 << 32)
            self.numbers[name] = number
            self.backends[number] = Upstream(number, name)
        return self.backends[number]

    # maintenance

    def lists(self, name: str) -> bool:
        """Whether discovery lists this host."""
        return name in self.numbers and self.backends[self.numbers[name]].state != ServerState.GONE

    def take_out(self, name: str, now: int) -> None:
        """Staff hold this host."""
        self.counters.count("hosts_taken_out")
        self.log("hand", f"node: host {name} is taken out by hand")
        self.relist(name, now, UpdateKind.OPERATOR)

    def put_back(self, name: str, now: int) -> None:
        """Staff hold it no more: it may have been restarted, and nothing known of it holds."""
        self.counters.count("hosts_put_back")
        self.log("hand", f"node: host {name} is put back by hand")
        if name in self.numbers:
            backend = self.backends[self.numbers[name]]
            backend.back_at, backend.returning = now, True
            backend.silence, backend.heard, backend.slow = LivenessMonitor(), now, False
        self.relist(name, now, UpdateKind.OPERATOR)

    def relist(self, name: str, now: int, kind: UpdateKind = UpdateKind.DELTA) -> None:
        """Tell the module of a host anew: what is known of it has changed."""
        if self.lists(name) and (host := self.backends[self.numbers[name]].host):
            self._list(EndpointList(self.discovery.version, False, (host,)), kind, now)

    # reqs

    def take(self, session: ClientSession, req: ConnectRequest, now: int) -> ProxiedConnection | None:
        """Take a req; None where its names are unknown or its id is that of a req here, now or lately."""
        cls = self.classes.get(req.cls)
        if cls is None or (req.tenant and self.tenants and req.tenant not in self.tenants):
            self.counters.count("reqs_of_unknown_names")
            return None
        if req.id in self.ids or req.id in self.past:  # clients take a new one for every connection
            # guards the req that has this id, and what the module thinks of the backends that would refuse it
            self.counters.count("reqs_of_id_in_use")
            return None
        self.counters.count("reqs")
        number, self.next_req = self.next_req, self.next_req + 1
        left = self.settings.classes[cls].deadline if req.time_left is None else req.time_left
        tenant = self.tenants.get(req.tenant, len(self.tenants))
        flags = (req.hint is not None) + 2 * req.retry + FLAG_RECONNECT * req.came_back
        told = (number, cls, tenant, req.key, left, req.hint or 0, req.group, flags)
        held = ProxiedConnection(self, session, req, told, now + left)
        turned_away = self.stopping and not self.succeeded
        if turned_away or 2 * len(self.reqs) + 2 > self.admission.room:
            self.counters.count("answers_refused")
            self.figures.count("throttled", cls)
            held.answered = True
            session.refuse(0, now)
            return held
        self.reqs[number] = held
        self.ids.add(req.id)
        for hear in self.hear_taken:
            hear(req.id)
        self.admission.make_room(now)  # for its fetch
        if req.at is not None:
            self.counters.count("reqs_of_before")
            held.deadline = now + AT_WAIT
            self._reopen(held, req.at, now)
        else:
            last = held.deadline + self.settings.answer_slack_us
            held.overdue = self.wheel.at(last, partial(self._overdue, held))
            self.give(NewRequest(*held.told), now)
        return held

    def _reopen(self, held: ProxiedConnection, at: str, now: int) -> None:
        """Join a connection of before the start to its backend."""
        if held.answered or held.fetch:
            return
        backend = self.backends.get(self.numbers.get(at, -1))  # a name of no list makes no backend
        if backend and not held.sends:
            held.sends, held.backend = 1, backend
            self.give(ExistingConnection(*held.told, backend.number), now)
        if backend and backend.state == ServerState.READY and not self.stopping:
            self._dial(held, backend, None, now)
        else:
            self._reopen_later(held, AttemptOutcome.CONNECT_FAILED, now)

    def _reopen_later(self, held: ProxiedConnection, ending: AttemptOutcome, now: int) -> None:
        if now + AT_AGAIN < held.deadline and not self.stopping and held.req.at is not None:
            self.wheel.at(now + AT_AGAIN, partial(self._reopen, held, held.req.at))
            return
        self.answer_failed(held, now)
        self._outcome(held, ending, (), now)

    def _overdue(self, held: ProxiedConnection, now: int) -> None:
        # guards the client against a module that never answers: the rule's time is nearly up
        if not held.answered:
            self.counters.count("reqs_overdue")
            self.log("overdue", "node: the module left a req without its answer; it is answered failed")
            self.answer_failed(held, now)
            self.give(ClientDisconnected(held.number), now)

    def left(self, held: ProxiedConnection, now: int) -> None:
        """The client has gone."""
        if held.up:
            self._give_up(held, AttemptOutcome.CANCELLED, now)
        elif not held.answered:
            self.counters.count("clients_left")
            held.settle()
            if held.req.at is not None:
                if held.fetch:
                    self._give_up(held, AttemptOutcome.CANCELLED, now)
                else:
                    self._forget(held)
                    self._outcome(held, AttemptOutcome.CANCELLED, (), now)
                return
            self.give(ClientDisconnected(held.number), now)
            if held.fetch is None:
                self._forget(held)

    # fetches

    def may_write(self, held: ProxiedConnection, now: int) -> bool:
        """Whether a req's line may be written to the backend that has just come up; else its fetch is closed.

        All that may have changed since the dial began is looked at here, in the moment of the send.
        """
        held.session.look(now)
        if held.fetch and not held.answered and held.backend and held.backend.state == ServerState.READY:
            return True
        self._give_up(held, AttemptOutcome.CONNECT_FAILED, now)
        return False

    def up(self, held: ProxiedConnection, now: int) -> None:
        """The backend has taken the connection."""
        fetch, backend = held.fetch, held.backend
        if fetch is None or backend is None:
            return
        if held.answered:  # its client has left meanwhile
            return self._give_up(held, AttemptOutcome.CANCELLED, now)
        self._stop_timers(held)
        held.up = True
        held.settle()
        self.counters.count("answers_served")
        self.figures.count("fulfilled", held.told[1])
        held.session.serve(fetch, now)
        if held.req.at is None:
            self.give(
                ConnectionEstablished(held.number, backend.number, held.sends - 1, now - held.sent), now
            )

    def ended(
        self, held: ProxiedConnection, ending: AttemptOutcome, report: tuple[float, ...], now: int
    ) -> None:
        """The fetch has ended and its connection is closed."""
        self._stop_timers(held)
        self.counters.count(f"fetches_{ending.name.lower()}")
        was_up, held.fetch, held.up = held.up, None, False
        if held.req.at is not None and not was_up and not held.answered:
            return self._reopen_later(held, ending, now)
        if held.answered:
            self._forget(held)
        self._outcome(held, ending, report, now)

    def _outcome(
        self, held: ProxiedConnection, ending: AttemptOutcome, report: tuple[float, ...], now: int
    ) -> None:
        if held.backend:
            told = report if self.settings.report_via == "answers" else ()
            took, closed = min(now - held.sent, (1 << 32) - 1), int(held.answered)
            number, attempt, server = held.number, held.sends - 1, held.backend.number
            self.give(AttemptEnded(number, attempt, server, ending, took, closed, told), now)

    def _stop_timers(self, held: ProxiedConnection) -> None:
        for timer in held.timers:
            timer.cancel()
        held.timers = []

    def load_reported(self, held: ProxiedConnection, load: float, now: int) -> None:
        """The upstream has told the load of an open connection."""
        if held.up and held.backend:
            self.give(LoadSample(held.number, held.backend.number, load, held.sends - 1), now)

    def delay(self, held: ProxiedConnection, took: int, now: int) -> None:
        """A message took so long: told once a second while that is long, and once when it is well again."""
        backend = held.backend
        if backend is None or not self.settings.reports_latency or not self.long:
            return
        slow = took > self.long
        if slow and now < backend.noted + SECOND or not slow and not backend.slow:
            return
        backend.slow, backend.noted = slow, now
        self.counters.count("notes_slow" if slow else "notes_well")
        if held.up:
            self.give(LatencySample(held.number, backend.number, took / 1000, held.sends - 1), now)

    def _look(self, now: int) -> None:
        """Look for backends that have fallen silent; send their clients away bit by bit while they are."""
        self.wheel.at(now + LOOK, self._look)
        standing: dict[Upstream, list[Attempt]] = {}
        for held in self.reqs.values():
            if held.up and held.backend and held.fetch:
                standing.setdefault(held.backend, []).append(held.fetch)
        for backend, fetches in standing.items():
            was = backend.silence.since
            if not backend.silence.look(fetches, backend.heard, now):
                continue
            if was is None:
                self.counters.count("backends_silent")
                self.log(
                    "silent", f"node: backend {backend.name} is silent; moving {len(fetches)} connections"
                )
            for fetch in fetches[: -(-len(fetches) // LOOKS)]:
                self.counters.count("moves")
                fetch.vanish(now)

    # the numbers

    def gauges(self, now: int) -> dict[str, int]:
        """How things stand at this moment."""
        listed = [b.number for b in self.backends.values() if b.state != ServerState.GONE]
        avoided = self.balancer.avoided(now)
        avoided |= {self.numbers[name] for name in self.maintenance.held if name in self.numbers}
        return {
            # one whose client has left before its answer, and whose fetch is ending, has ended
            "open_requests": sum(held.up or not held.answered for held in self.reqs.values()),
            "registry_entries": len(listed),
            "out_of_rotation": sum(number in avoided for number in listed),
        }

    # a successor

    def listed(self) -> EndpointList:
        """Discovery's list as it stands here."""
        hosts = (b.host for b in self.backends.values() if b.host and b.state != ServerState.GONE)
        return EndpointList(self.discovery.version, True, tuple(hosts))

    def ids_lately(self) -> list[int]:
        """The ids of the reqs that are here, or were a moment ago."""
        return [*self.past, *self.ids]

    def returned(self) -> dict[str, int]:
        """When staff put hosts back."""
        return {b.name: b.back_at for b in self.backends.values() if b.back_at}

    def returned_elsewhere(self, returned: dict[str, int], now: int) -> None:
        """The process before this one had these hosts put back: they are as cold and as due here."""
        for name, at in returned.items():
            if name in self.numbers:
                backend = self.backends[self.numbers[name]]
                backend.back_at, backend.returning = at, at > now - RETURN
                self.relist(name, now, UpdateKind.OPERATOR if backend.returning else UpdateKind.DELTA)

    def holds(self) -> ProcessUsage:
        """What this process holds: descriptors for clients, and connections by backend."""
        at = Counter(h.backend.name for h in self.reqs.values() if h.fetch and h.backend)
        return ProcessUsage(self.admission.in_use(), dict(at))

    def held_elsewhere(self, holds: ProcessUsage, now: int) -> None:
        """What another process of this node holds: the module counts it as this node's own."""
        self.admission.share(holds.descriptors)
        for name in self.elsewhere | holds.at.keys():
            if name in self.numbers:
                self.give(PredecessorConnections(self.numbers[name], holds.at.get(name, 0)), now)
        self.elsewhere = set(holds.at)

    def informed(self) -> bool:
        """Discovery has told its list, and no probe is out."""
        return self.discovery.told and not any(b.probe and b.probe.asked for b in self.backends.values())

    # a planned stop

    def stop(self, now: int) -> None:
        """Refuse what comes and move what stands, spread out, before the earliest SIGKILL."""
        if not self.stopping:
            GracefulShutdown(self, max(c.deadline for c in self.settings.classes), now)

    carry_out: dict[type, Callable[[Node, Any, int], None]] = {
        StartAttempt: _send,
        RejectRequest: _refuse,
        FailRequest: _fail,
        CancelAttempt: _cancel,
        SetTimer: _set_timer,
        CheckHealth: _probe,
        CloseIdleConnections: _close_idle,
        SendPeerMessage: _tell,
        LogMessage: _log,
        WatchEndpoints: _watch,
        PollEndpoints: _fetch,
        MigrateClient: _move,
        PolicyError: _log,
    }
