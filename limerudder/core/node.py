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

from firgrade import Balancer
from firgrade import interface as io

from ..config import Config
from .admission import Admission
from .counters import Counters
from .discovery import Host, HostList
from .figures import Figures
from .handover import Holds
from .link import Network
from .maintenance import Maintenance, Marks, Memory
from .peering import Peering
from .probe import Probe
from .recall import Recall
from .reports import SPOILT, spoilt
from .req import ClientSession, Fetch, Req
from .silence import LOOK, LOOKS, Silence
from .stop import PlannedStop
from .watch import Discovery
from .wheel import Timer, Wheel

SECOND = 1_000_000
PROBE_WAIT = 120_000  #: for the answer to a probe
AT_WAIT, AT_AGAIN = 30 * SECOND, SECOND // 4  #: for a connection of before the start, and between its tries
PAST = 4096  #: ids of ended reqs that are still refused: whoever copied one may come a little late
SPARE_SOCKETS = 128  #: for discovery, probes, peers and connections that are ending
OWN_SOCKETS = 40  #: of these what a process has at least: 24 stand open before its first client comes
RETURN = 5 * SECOND  #: a host that staff have put back is to be in use again by then

Told = tuple[int, int, int, int, int, int, int, int]  #: a req as the module is told of it
Log = Callable[[str, str], None]  #: kind of line, text


class Backend:
    """A host, as the node reaches it."""

    def __init__(self, number: int, name: str) -> None:
        self.number, self.name = number, name
        self.host: Host | None = None  # as discovery last listed it
        self.address = ("", 0)
        self.state: io.State = io.State.GONE
        self.probe: Probe | None = None
        self.silence, self.heard = Silence(), 0  # heard: when a probe was last answered
        self.slow, self.noted = False, -SECOND  # whether the module holds it slow, and since when
        self.back_at = 0  # when staff last put it back
        self.returning = False  # put back, and not listed as ready since


class Held:
    """A req from its first line to the end of its connection; hears from its session and its fetch."""

    def __init__(self, node: Node, session: ClientSession, req: Req, told: Told, deadline: int) -> None:
        self.node, self.session, self.req, self.deadline = node, session, req, deadline
        self.told, self.number = told, told[0]
        self.sends = self.sent = 0
        self.fetch: Fetch | None = None
        self.backend: Backend | None = None
        self.answered = self.up = False
        self.timers: list[Timer] = []  # of the fetch that is out
        self.overdue: Timer | None = None

    def settle(self) -> None:
        """No answer is owed any more."""
        self.answered = True
        if self.overdue:
            self.overdue.cancel()

    def client_left(self, now: int) -> None:
        """The client has gone."""
        self.node.left(self, now)

    def fetch_due(self, now: int) -> bool:
        """Whether the line may be written now."""
        return self.node.may_write(self, now)

    def fetch_out(self) -> None:
        """The fetch's first line is out."""
        self.node.figures.relayed += 1

    def fetch_up(self, now: int) -> None:
        """The backend has taken the connection."""
        self.node.up(self, now)

    def fetch_done(self, ending: io.Ending, report: tuple[float, ...], now: int) -> None:
        """The fetch has ended."""
        self.node.ended(self, ending, report, now)

    def fetch_load(self, load: float, now: int) -> None:
        """The backend tells the connection's load."""
        self.node.note(self, load, io.NOTE_LOAD, now)

    def fetch_answered(self, took: int, now: int) -> None:
        """The backend has answered a message."""
        self.node.delay(self, took, now)


class Node:
    """One node. Every call brings the time; `stopped` is called when a planned stop is done."""

    def __init__(
        self,
        config: Config,
        network: Network,
        log: Log,
        now: int,
        marks: Marks | None = None,
        recall: Recall | None = None,
    ) -> None:
        self.config, self.settings, self.network, self.log = config, config.settings, network, log
        self.wheel, self.counters = Wheel(self.settings.tick, now), Counters()
        self.figures = Figures(config.names.classes)
        self.balancer: io.Decisions = Balancer(self.settings, Random(config.seed))
        self.report_fields = self.settings.report_fields if self.settings.report_via != "none" else ()
        spare = min(SPARE_SOCKETS, max(config.sockets // 4, min(OWN_SOCKETS, config.sockets // 2)))
        self.classes = {name: number for number, name in enumerate(config.names.classes)}
        self.tenants = {name: number for number, name in enumerate(config.names.tenants)}
        self.peering = Peering(self.counters, network, self.balancer, self.give, log, self.settings.peers)
        self.reqs: dict[int, Held] = {}
        self.ids: set[int] = set()  # of these reqs, as their clients named them
        self.past: dict[int, None] = {}  # of the last that ended, oldest first
        self.admission = Admission(config.sockets, spare, self.reqs)
        self.next_req = 1
        self.backends: dict[int, Backend] = {}
        self.numbers: dict[str, int] = {}
        self.maintenance = Maintenance(marks or Memory(), self)
        self.recall = recall  # drains that outlive a list, where there is a store
        pushed = self.settings.discovery == "pushed"
        self.discovery = Discovery(config.discovery, config.known.version, pushed, self, now)
        self.events: deque[io.Event] = deque()
        self.giving = False
        self.stopping = 0  # when SIGKILL comes at the earliest
        self.elsewhere = set[str]()  # backends where another process of this node holds connections
        self.reloaded = False  # discovery is asked where the file says, whatever the environment does
        self.succeeded = False  # another process takes this node's clients
        self.hear_taken: list[Callable[[int], None]] = []  # hear the id of each req
        self.stopped: Callable[[], None] = lambda: None
        aims = [c.message_aim for c in self.settings.classes if c.message_aim]
        self.long = min(aims, default=0) // 3  # a message that takes longer is told to the module
        self._list(config.known, io.ListKind.CACHED, now)
        self.discovery.start(now)
        self.maintenance.start(now)
        self._look(now)

    # the module

    def give(self, event: io.Event, now: int) -> None:
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

    def _fault(self, event: io.Event, exc: Exception, now: int) -> None:
        self.counters.count("module_faults")
        where = traceback.extract_tb(exc.__traceback__)[-1]
        text = f"{type(exc).__name__}: {exc} in {where.name} line {where.lineno}"
        self.log(f"fault {where.name}", f"module: {text}")
        if isinstance(event, io.Timer):  # its next one would have been set by the call that failed
            self.wheel.at(now + SECOND, lambda at: self.give(event, at))
        held = self.reqs.get(getattr(event, "id", 0))
        if held and not held.answered:
            self.answer_failed(held, now)
            self.give(io.Gone(held.number), now)  # so that the module does not keep it

    def _fail(self, action: io.Fail, now: int) -> None:
        if (held := self.reqs.get(action.id)) and not held.answered:
            self.answer_failed(held, now)

    def _refuse(self, action: io.Refuse, now: int) -> None:
        if (held := self.reqs.get(action.id)) and not held.answered:
            self._final(held, "refused", "throttled", now)
            held.session.refuse(min(action.retry_after, self.settings.max_retry_after), now)

    def answer_failed(self, held: Held, now: int) -> None:
        """Give a req its final answer: it has failed."""
        self._final(held, "failed", "faulted", now)
        held.session.fail(now)

    def _final(self, held: Held, what: str, figure: str, now: int) -> None:
        """The req has its final answer, which is not a backend's."""
        self.counters.count(f"answers_{what}")
        self.figures.count(figure, held.told[1])
        held.settle()
        if held.fetch:
            self._give_up(held, io.Ending.CANCELLED, now)
        else:
            self._forget(held)

    def _forget(self, held: Held) -> None:
        """Nothing of the req is out any more."""
        if self.reqs.pop(held.number, None):
            self.ids.discard(held.req.id)
            self.taken_elsewhere(held.req.id)

    def taken_elsewhere(self, req: int) -> None:
        """A req of this id ended here, or is at another process of this node: it is refused for a while."""
        self.past[req] = None
        if len(self.past) > PAST:
            del self.past[next(iter(self.past))]

    def _send(self, action: io.Send, now: int) -> None:
        held, backend = self.reqs.get(action.id), self.backends.get(action.server)
        if held is None:
            return
        attempt, held.sends = held.sends, held.sends + 1
        left = held.deadline - now
        wait = min(action.timeout, left) if action.timeout else left
        # guards the rules whatever the module says: no second copy, nothing late, no host that drains
        may = not held.answered and held.fetch is None and attempt < self.settings.try_limit and wait > 0
        if not may or backend is None or backend.state != io.State.READY:
            self.counters.count("fetches_moot")
            answered = int(held.answered)
            self.give(io.Outcome(held.number, attempt, action.server, io.Ending.MOOT, 0, answered, ()), now)
            return
        self._dial(held, backend, wait, now)

    def _dial(self, held: Held, backend: Backend, wait: int | None, now: int) -> None:
        self.counters.count("fetches")
        fetch = held.session.fetch(held, wait)
        held.fetch, held.backend, held.sent = fetch, backend, now
        fetch.link = self.network.dial(backend.address, fetch)
        dial = self.settings.connect_timeout or AT_WAIT
        held.timers = [self.wheel.at(now + dial, lambda at: self._dial_over(held, at))]
        if wait is not None:
            held.timers.append(self.wheel.at(now + wait, lambda at: self._wait_over(held, at)))

    def _dial_over(self, held: Held, now: int) -> None:
        if held.fetch and not held.fetch.out:
            self._give_up(held, io.Ending.CONNECT_FAILED, now)

    def _wait_over(self, held: Held, now: int) -> None:
        if held.fetch and not held.up:
            self._give_up(held, io.Ending.TIMEOUT if held.fetch.out else io.Ending.CONNECT_FAILED, now)

    def _cancel(self, action: io.Cancel, now: int) -> None:
        held = self.reqs.get(action.id)
        if held and held.fetch and not held.up and action.attempt == held.sends - 1:
            self._give_up(held, io.Ending.CANCELLED, now)

    def _move(self, action: io.Move, now: int) -> None:
        if (held := self.reqs.get(action.id)) and held.up:
            self.move_away(held, now)

    def move_away(self, held: Held, now: int) -> None:
        """Send a client that stands away."""
        self.counters.count("moves")
        held.session.move(now)
        self._give_up(held, io.Ending.CANCELLED, now)

    def _give_up(self, held: Held, ending: io.Ending, now: int) -> None:
        """Close the fetch that is out, then tell how it ended."""
        if held.fetch:
            held.fetch.close()
            self.ended(held, ending, (), now)

    def _set_timer(self, action: io.SetTimer, now: int) -> None:
        self.wheel.at(action.at, lambda at: self.give(io.Timer(action.token), at))

    def _log(self, action: io.Log | io.Fault, now: int) -> None:
        self.log("module", f"module: {action.text}")

    def _tell(self, action: io.Tell, now: int) -> None:
        self.peering.tell(action)

    # probes

    def _probe(self, action: io.Probe, now: int) -> None:
        backend = self.backends.get(action.server)
        if backend is None or not self.settings.probes:
            return
        self.counters.count("probes")
        if backend.probe is None or backend.probe.done:
            probe = backend.probe = Probe(self.report_fields, partial(self._probed, backend.number))
            probe.ask(now)
            probe.link = self.network.dial(backend.address, probe)
        else:
            backend.probe.ask(now)
        self.wheel.at(now + PROBE_WAIT, partial(backend.probe.overdue, now))

    def _probed(
        self, number: int, latency: int, ending: io.Ending, report: tuple[float, ...], now: int
    ) -> None:
        self.counters.count(f"probes_{ending.name.lower()}")
        if spoilt(report):
            self.counters.count("reports_spoilt")
            self.log("report", SPOILT.format(self.backends[number].name))
        if ending in (io.Ending.OK, io.Ending.ERROR, io.Ending.FULL):
            self.backends[number].heard = now
        self.give(io.Probed(number, latency, ending, report), now)

    def _close_idle(self, action: io.CloseIdle, now: int) -> None:
        backend = self.backends.get(action.server)
        if backend and backend.probe and not backend.probe.asked:
            backend.probe.close()

    # discovery

    def _watch(self, action: io.Watch, now: int) -> None:
        if action.on:
            self.discovery.keep_watch(now)
        else:
            self.discovery.drop_watch()

    def _fetch(self, action: io.Fetch, now: int) -> None:
        self.discovery.ask(now)

    def list_told(self, hosts: HostList, now: int) -> None:
        """Discovery's list, or changes of it."""
        self._list(hosts, io.ListKind.FULL if hosts.whole else io.ListKind.DELTA, now)

    def list_unchanged(self, version: int, now: int) -> None:
        """The module has asked again, and nothing was missed."""
        self.give(io.Members(io.ListKind.DELTA, version, ()), now)

    def list_failed(self, version: int, now: int) -> None:
        """A call failed or the watch ended."""
        self.log("director", "director: a call failed or the watch ended; it is asked anew within a second")
        self.give(io.Members(io.ListKind.FAILED, version, ()), now)

    def _list(self, hosts: HostList, kind: io.ListKind, now: int) -> None:
        self.counters["lists"] += kind != io.ListKind.HAND
        entries = [self._entry(host) for host in hosts.hosts]
        if kind in (io.ListKind.FULL, io.ListKind.CACHED):
            named = {entry.server for entry in entries}
            for backend in self.backends.values():
                if backend.number not in named:
                    backend.state = io.State.GONE
        # before discovery's word, which then changes nothing there
        returned = [e for e in entries if e.state == io.State.READY and self.backends[e.server].returning]
        for entry in returned:
            self.backends[entry.server].returning = False
            if kind != io.ListKind.HAND:
                self.give(io.Members(io.ListKind.HAND, hosts.version, [entry]), now)
        self.give(io.Members(kind, hosts.version, entries), now)
        if self.settings.probes:
            self.admission.hosts = sum(b.state != io.State.GONE for b in self.backends.values())
        dialled = [h for h in self.reqs.values() if h.fetch and not h.fetch.out]
        for held in dialled:
            # guards against a line written after the grace by a dial begun before it
            if held.backend and held.backend.state != io.State.READY:
                self._give_up(held, io.Ending.CONNECT_FAILED, now)
        for backend in self.backends.values():
            if backend.state != io.State.READY and backend.probe:
                backend.probe.close()

    def _entry(self, host: Host) -> io.ServerEntry:
        backend = self.backend(host.name)
        backend.host, backend.address, backend.state = host, host.address, host.state
        out = self.recall.out(host) if self.recall else False
        if host.state == io.State.READY and (out or host.name in self.maintenance.held):
            backend.state = io.State.DRAINING  # the worse of the list's word, that of staff and what is known
        names = self.config.names
        zone = names.zones.index(host.zone) if host.zone in names.zones else len(names.zones)
        kind = names.kinds.index(host.kind) if host.kind in names.kinds else len(names.kinds)
        # guards a host that comes back cold before discovery tells of its new start
        since = max(host.started_ms * 1000, backend.back_at)
        return io.ServerEntry(backend.number, zone, kind, host.cell, backend.state, host.weight, since)

    def backend(self, name: str) -> Backend:
        """The backend of this name; its number is the same at every node, so that rings agree."""
        number = self.numbers.get(name)
        if number is None:
            number = crc32(name.encode())
            while number in self.backends:
                number = (number + 1) % (1 << 32)
            self.numbers[name] = number
            self.backends[number] = Backend(number, name)
        return self.backends[number]

    # maintenance

    def lists(self, name: str) -> bool:
        """Whether discovery lists this host."""
        return name in self.numbers and self.backends[self.numbers[name]].state != io.State.GONE

    def take_out(self, name: str, now: int) -> None:
        """Staff hold this host."""
        self.counters.count("hosts_taken_out")
        self.log("hand", f"node: host {name} is taken out by hand")
        self.relist(name, now, io.ListKind.HAND)

    def put_back(self, name: str, now: int) -> None:
        """Staff hold it no more: it may have been restarted, and nothing known of it holds."""
        self.counters.count("hosts_put_back")
        self.log("hand", f"node: host {name} is put back by hand")
        if name in self.numbers:
            backend = self.backends[self.numbers[name]]
            backend.back_at, backend.returning = now, True
            backend.silence, backend.heard, backend.slow = Silence(), now, False
        self.relist(name, now, io.ListKind.HAND)

    def relist(self, name: str, now: int, kind: io.ListKind = io.ListKind.DELTA) -> None:
        """Tell the module of a host anew: what is known of it has changed."""
        if self.lists(name) and (host := self.backends[self.numbers[name]].host):
            self._list(HostList(self.discovery.version, False, (host,)), kind, now)

    # reqs

    def take(self, session: ClientSession, req: Req, now: int) -> Held | None:
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
        flags = (req.hint is not None) + 2 * req.retry + io.CAME_BACK * req.came_back
        told = (number, cls, tenant, req.key, left, req.hint or 0, req.group, flags)
        held = Held(self, session, req, told, now + left)
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
            last = held.deadline + self.settings.answer_slack
            held.overdue = self.wheel.at(last, partial(self._overdue, held))
            self.give(io.Request(*held.told), now)
        return held

    def _reopen(self, held: Held, at: str, now: int) -> None:
        """Join a connection of before the start to its backend."""
        if held.answered or held.fetch:
            return
        backend = self.backends.get(self.numbers.get(at, -1))  # a name of no list makes no backend
        if backend and not held.sends:
            held.sends, held.backend = 1, backend
            self.give(io.Open(*held.told, backend.number), now)
        if backend and backend.state == io.State.READY and not self.stopping:
            self._dial(held, backend, None, now)
        else:
            self._reopen_later(held, io.Ending.CONNECT_FAILED, now)

    def _reopen_later(self, held: Held, ending: io.Ending, now: int) -> None:
        if now + AT_AGAIN < held.deadline and not self.stopping and held.req.at is not None:
            self.wheel.at(now + AT_AGAIN, partial(self._reopen, held, held.req.at))
            return
        self.answer_failed(held, now)
        self._outcome(held, ending, (), now)

    def _overdue(self, held: Held, now: int) -> None:
        # guards the client against a module that never answers: the rule's time is nearly up
        if not held.answered:
            self.counters.count("reqs_overdue")
            self.log("overdue", "node: the module left a req without its answer; it is answered failed")
            self.answer_failed(held, now)
            self.give(io.Gone(held.number), now)

    def left(self, held: Held, now: int) -> None:
        """The client has gone."""
        if held.up:
            self._give_up(held, io.Ending.CANCELLED, now)
        elif not held.answered:
            self.counters.count("clients_left")
            held.settle()
            if held.req.at is not None:
                if held.fetch:
                    self._give_up(held, io.Ending.CANCELLED, now)
                else:
                    self._forget(held)
                    self._outcome(held, io.Ending.CANCELLED, (), now)
                return
            self.give(io.Gone(held.number), now)
            if held.fetch is None:
                self._forget(held)

    # fetches

    def may_write(self, held: Held, now: int) -> bool:
        """Whether a req's line may be written to the backend that has just come up; else its fetch is closed.

        All that may have changed since the dial began is looked at here, in the moment of the send.
        """
        held.session.look(now)
        if held.fetch and not held.answered and held.backend and held.backend.state == io.State.READY:
            return True
        self._give_up(held, io.Ending.CONNECT_FAILED, now)
        return False

    def up(self, held: Held, now: int) -> None:
        """The backend has taken the connection."""
        fetch, backend = held.fetch, held.backend
        if fetch is None or backend is None:
            return
        if held.answered:  # its client has left meanwhile
            return self._give_up(held, io.Ending.CANCELLED, now)
        self._stop_timers(held)
        held.up = True
        held.settle()
        self.counters.count("answers_served")
        self.figures.count("fulfilled", held.told[1])
        held.session.serve(fetch, now)
        if held.req.at is None:
            self.give(io.Established(held.number, backend.number, held.sends - 1, now - held.sent), now)

    def ended(self, held: Held, ending: io.Ending, report: tuple[float, ...], now: int) -> None:
        """The fetch has ended and its connection is closed."""
        self._stop_timers(held)
        self.counters.count(f"fetches_{ending.name.lower()}")
        was_up, held.fetch, held.up = held.up, None, False
        if held.req.at is not None and not was_up and not held.answered:
            return self._reopen_later(held, ending, now)
        if held.answered:
            self._forget(held)
        self._outcome(held, ending, report, now)

    def _outcome(self, held: Held, ending: io.Ending, report: tuple[float, ...], now: int) -> None:
        if held.backend:
            told = report if self.settings.report_via == "answers" else ()
            took, closed = min(now - held.sent, (1 << 32) - 1), int(held.answered)
            number, attempt, server = held.number, held.sends - 1, held.backend.number
            self.give(io.Outcome(number, attempt, server, ending, took, closed, told), now)

    def _stop_timers(self, held: Held) -> None:
        for timer in held.timers:
            timer.cancel()
        held.timers = []

    def note(self, held: Held, value: float, kind: int, now: int) -> None:
        """Word on a connection that stands."""
        if held.up and held.backend:
            self.give(io.Note(held.number, held.backend.number, value, held.sends - 1, kind), now)

    def delay(self, held: Held, took: int, now: int) -> None:
        """A message took so long: told once a second while that is long, and once when it is well again."""
        backend = held.backend
        if backend is None or not self.settings.tells_delay or not self.long:
            return
        slow = took > self.long
        if slow and now < backend.noted + SECOND or not slow and not backend.slow:
            return
        backend.slow, backend.noted = slow, now
        self.counters.count("notes_slow" if slow else "notes_well")
        self.note(held, took / 1000, io.NOTE_DELAY, now)

    def _look(self, now: int) -> None:
        """Look for backends that have fallen silent; send their clients away bit by bit while they are."""
        self.wheel.at(now + LOOK, self._look)
        standing: dict[Backend, list[Fetch]] = {}
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
        listed = [b.number for b in self.backends.values() if b.state != io.State.GONE]
        avoided = self.balancer.avoided(now)
        avoided |= {self.numbers[name] for name in self.maintenance.held if name in self.numbers}
        return {
            # one whose client has left before its answer, and whose fetch is ending, has ended
            "open_requests": sum(held.up or not held.answered for held in self.reqs.values()),
            "registry_entries": len(listed),
            "out_of_rotation": sum(number in avoided for number in listed),
        }

    # a successor

    def listed(self) -> HostList:
        """Discovery's list as it stands here."""
        hosts = (b.host for b in self.backends.values() if b.host and b.state != io.State.GONE)
        return HostList(self.discovery.version, True, tuple(hosts))

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
                self.relist(name, now, io.ListKind.HAND if backend.returning else io.ListKind.DELTA)

    def holds(self) -> Holds:
        """What this process holds: descriptors for clients, and connections by backend."""
        at = Counter(h.backend.name for h in self.reqs.values() if h.fetch and h.backend)
        return Holds(self.admission.in_use(), dict(at))

    def held_elsewhere(self, holds: Holds, now: int) -> None:
        """What another process of this node holds: the module counts it as this node's own."""
        self.admission.share(holds.descriptors)
        for name in self.elsewhere | holds.at.keys():
            if name in self.numbers:
                self.give(io.Elsewhere(self.numbers[name], holds.at.get(name, 0)), now)
        self.elsewhere = set(holds.at)

    def informed(self) -> bool:
        """Discovery has told its list, and no probe is out."""
        return self.discovery.told and not any(b.probe and b.probe.asked for b in self.backends.values())

    # a planned stop

    def stop(self, now: int) -> None:
        """Refuse what comes and move what stands, spread out, before the earliest SIGKILL."""
        if not self.stopping:
            PlannedStop(self, max(c.deadline for c in self.settings.classes), now)

    carry_out: dict[type, Callable[[Node, Any, int], None]] = {
        io.Send: _send,
        io.Refuse: _refuse,
        io.Fail: _fail,
        io.Cancel: _cancel,
        io.SetTimer: _set_timer,
        io.Probe: _probe,
        io.CloseIdle: _close_idle,
        io.Tell: _tell,
        io.Log: _log,
        io.Watch: _watch,
        io.Fetch: _fetch,
        io.Move: _move,
        io.Fault: _log,
    }
