"""Whole clusters on a simulated clock, network and disks, deterministic from a seed; checked after every
step.

The members are the shipped ones. Around them: messages lost, doubled, reordered and late, cuts in one
direction or both, disks that are slow or stuck, crashes at any moment, clocks that run apart and jump,
disks restored from older copies, members that come and go; clients that write, compare and read through any
member, and hosts that drain.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any
from zlib import crc32

import msgspec

from harness.memory_disk import MemoryDisk
from limerudder.store import rpc
from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import (
    CommandResult,
    Compare,
    CompareTarget,
    Delete,
    Get,
    OpenSession,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.drain_log import NEVER_DRAINED
from limerudder.store.durability import DurabilityJob
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.peer_authentication import PROTOCOL_BUILD, Handshake, Incarnation, PeerAuthenticator
from limerudder.store.raft.messages import (
    AppendEntriesReply,
    ClusterConfig,
    EntryKind,
    MemberRole,
    RequestVoteReply,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.state import RaftRole, RaftTiming
from limerudder.store.rpc import RequestKind

MS = 1000
SECOND = 1_000_000
LIMITS = MemberLimits(
    snapshot_after_entries=40,
    kept_entries=8,
    snapshot_chunk_bytes=200,
    max_pending_requests=64,
    max_history_events=100,
)
TIMING = RaftTiming(election_timeout_us=150 * MS, heartbeat_interval_us=30 * MS)
KEYS = ("kv/a", "kv/b", "kv/c")
CLUSTER = 7


class InvariantViolation(AssertionError):
    """A promise was broken; the text says which, and where."""


@dataclass
class FaultPlan:
    """How rough a run is."""

    members: int = 4
    seconds: float = 6.0  # of trouble; then all is mended
    clients: int = 3
    loss: float = 0.05
    double: float = 0.03
    late: float = 0.03
    crash_every: float = 0.8  # seconds between crashes, about
    cut_every: float = 0.9
    stuck_every: float = 2.0
    change_every: float = 1.5
    jump_every: float = 2.0
    restore_every: float = 5.0
    drain_every: float = 0.4
    hand_every: float = 0.9
    back_within: float = 0.6  # seconds until a process that was killed is back, at the most
    spite: float = 0.02  # chance to be killed right after a vote was given, or after taking the lead
    burst: int = 1  # changes of members asked for at once
    least: int = 3  # voters that are left at least
    delay: float = 3.0  # milliseconds that a message takes, at the most, where it is not late

    @staticmethod
    def of(seed: int) -> FaultPlan:
        """The kind of trouble that a seed has: some of everything, or much of one thing."""
        match seed % 6:
            case 1:  # killed and back at once, again and again
                return FaultPlan(
                    members=3, crash_every=0.08, back_within=0.04, cut_every=0.6, stuck_every=0.7, spite=0.3
                )
            case 2:  # cut off in all ways
                return FaultPlan(
                    members=5, crash_every=0.3, cut_every=0.12, late=0.15, back_within=0.1, spite=0.15
                )
            case 3:  # members come and go
                return FaultPlan(
                    members=5,
                    change_every=0.12,
                    crash_every=0.3,
                    cut_every=0.2,
                    back_within=0.2,
                    burst=3,
                    least=2,
                )
            case 4:  # a slow network, and killed at the worst moments
                return FaultPlan(
                    members=3, delay=40, spite=0.6, crash_every=0.5, cut_every=0.4, back_within=0.05
                )
            case 5:
                return FaultPlan(
                    members=5, delay=40, spite=0.5, crash_every=0.5, cut_every=0.2, back_within=0.05
                )
        return FaultPlan()


@dataclass(eq=False)
class SimulatedMember:
    """A member's machine: its disk outlives its process."""

    number: int
    name: str
    disk: MemoryDisk
    member: Member | None = None
    doorman: PeerAuthenticator | None = None
    life: int = 0  # processes so far; what belongs to an earlier one is dropped
    queue: deque[tuple[DurabilityJob | None, list[tuple[int, Any]]]] = field(default_factory=deque)
    busy: bool = False
    rate: float = 1.0
    offset: int = 0
    stuck_until: int = 0
    ticking: int = 0
    copies: list[MemoryDisk] = field(default_factory=list)
    dead: bool = False  # for good
    met: dict[int, tuple[int, int]] = field(default_factory=dict)  # whose hello was taken: their life, ours
    checked: int = 0  # entries applied up to here have been checked
    complete: int = 0  # the last term in which it led and was found to have all


class ClusterSimulation:
    """One run."""

    def __init__(self, seed: int, plan: FaultPlan | None = None) -> None:
        self.seed, self.plan = seed, plan or FaultPlan()
        self.random = Random(seed)
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = self.steps = 0
        self.servers: dict[int, SimulatedMember] = {}
        self.cuts: set[tuple[int, int]] = set()
        self.troubled = True
        self.refused: list[str] = []
        # what is checked
        self.leaders: dict[int, int] = {}  # by term
        self.committed: dict[int, tuple[int, int, int]] = {}  # by index: term, digest, term of commit
        self.committed_upto = 0
        self.commands: dict[int, bytes] = {}  # those committed, by index
        self.states: dict[int, int] = {}  # by index, the records' digest
        self.promised: dict[tuple[int, str], int] = {}  # server and host: the start that must be remembered
        self.lifted: set[str] = set()  # hosts that hands have put back
        self.history: list[CompletedCall] = []
        self.acked = 0
        config = ClusterConfig(
            tuple(MemberEntry(n + 1, f"n{n}", f"127.0.0.1:{7000 + n}") for n in range(self.plan.members))
        )
        for one in config.members:
            self.servers[one.id] = SimulatedMember(one.id, one.name, MemoryDisk(config))
            self.boot(self.servers[one.id])
        self.next_number = self.plan.members + 1

    # time

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Have a call made after so many microseconds."""
        self.serial += 1
        heapq.heappush(self.events, (self.now + max(int(delay), 0), self.serial, call))

    def run(self) -> None:
        """Trouble, then peace; everything is checked all along and at the end."""
        plan, random = self.plan, self.random
        for number in range(plan.clients):
            self.at(random.randrange(200 * MS), SimulatedClient(self, number).begin)
        for every, call in [
            (plan.crash_every, self._crash_some),
            (plan.cut_every, self._cut_some),
            (plan.stuck_every, self._stick_some),
            (plan.change_every, self._change_some),
            (plan.jump_every, self._jump_some),
            (plan.restore_every, self._restore_some),
            (plan.drain_every, self._drain_some),
            (plan.hand_every, self._hand_some),
        ]:
            if every:
                self._now_and_then(every, call)
        until = int(plan.seconds * SECOND)
        self._until(until)
        self.troubled = False
        self.cuts.clear()
        for server in self.servers.values():
            server.stuck_until = 0
            if server.member is None and not server.dead:
                self.boot(server)
        self._until(until + 6 * SECOND)
        self._end()

    def _until(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            self.steps += 1
            call()
        self.now = until

    def _now_and_then(self, every: float, call: Callable[[], None]) -> None:
        def again() -> None:
            if self.troubled:
                call()
                self._now_and_then(every, call)

        self.at(self.random.expovariate(1 / every) * SECOND, again)

    # servers

    def clock(self, server: SimulatedMember) -> int:
        """The time as this server has it."""
        return int(self.now * server.rate) + server.offset

    def boot(self, server: SimulatedMember) -> None:
        """Start a process on a server's disk."""
        server.life += 1
        server.busy = False
        server.queue.clear()
        disk = server.disk
        disk.boot = Incarnation(disk.boot.number + 1, self.random.getrandbits(32))
        if server.life % 2:
            server.copies = [*server.copies[-2:], disk.copy()]
        random = Random(self.random.getrandbits(64))
        now = self.clock(server)
        server.member = Member(server.number, disk.start(), random, now, LIMITS, TIMING)
        server.doorman = PeerAuthenticator(CLUSTER, server.number, disk.shown)
        server.met = {}
        self._check_promises(server)
        self._tick(server, server.life)

    def crash(self, server: SimulatedMember) -> None:
        """End its process: the job that the disk is at may be done or not, the others are not."""
        server.life += 1
        if server.busy and server.queue and server.queue[0][0] and self.random.random() < 0.5:
            server.disk.do(server.queue[0][0])
        server.member = None

    def alive(self) -> list[SimulatedMember]:
        """Those whose process runs."""
        return [server for server in self.servers.values() if server.member]

    def _tick(self, server: SimulatedMember, life: int) -> None:
        if server.life != life or server.member is None:
            return
        server.member.tick(self.clock(server))
        self.pump(server)
        self.at(5 * MS + self.random.randrange(2 * MS), lambda: self._tick(server, life))

    def pump(self, server: SimulatedMember) -> None:
        """Carry out what a member wants, and check it."""
        member = server.member
        assert member
        for _ in range(50):
            out = member.take_output(self.clock(server))
            if out is None:
                break
            for to, message in out.messages:
                self.send(server, to, message)
            if out.job or out.messages_after_job:
                server.queue.append((out.job, out.messages_after_job))
                self._work(server)
        self.check(server)

    def _work(self, server: SimulatedMember) -> None:
        if server.busy or not server.queue:
            return
        job, after = server.queue[0]
        if job is None:
            server.queue.popleft()
            for to, message in after:
                self.send(server, to, message)
            return self._work(server)
        server.busy = True
        life = server.life
        took = self.random.choice((200, 400, 800, 3 * MS))
        self.at(max(took, server.stuck_until - self.now), lambda: self._worked(server, life))

    def _worked(self, server: SimulatedMember, life: int) -> None:
        if server.life != life or server.member is None:
            return
        job, after = server.queue.popleft()
        assert job
        server.busy = False
        snapshot = server.disk.do(job)
        for to, message in after:
            self.send(server, to, message)
        gave = any(isinstance(m, RequestVoteReply) and m.granted and not m.is_pre_vote for _, m in after)
        if gave and self._spited(server):
            return
        for _, fact in job.new_facts:
            started = getattr(fact, "started_ms", None)
            if started is not None:
                key = server.number, fact.host
                self.promised[key] = max(self.promised.get(key, NEVER_DRAINED), started)
        server.member.on_job_durable(job.number, snapshot, self.clock(server))
        self._work(server)
        self.pump(server)

    # the network

    def send(self, sender: SimulatedMember, to: int, message: Any) -> None:
        """A message leaves; what comes of it is chance."""
        if to not in self.servers:
            return
        data = rpc.encode_message(message)
        plan, random = self.plan, self.random
        times = 1
        if self.troubled:
            if random.random() < plan.loss:
                return
            times = 2 if random.random() < plan.double else 1
        life = sender.life
        hello = self._hello(sender, to)
        for _ in range(times):
            delay = random.randrange(300, int(plan.delay * MS) if self.troubled else 3 * MS)
            if self.troubled and random.random() < plan.late:
                delay = random.randrange(SECOND)
            self.at(delay, lambda: self._arrive(sender, life, hello, to, data))

    def _hello(self, sender: SimulatedMember, to: int) -> Handshake:
        disk = sender.disk
        last = max(disk.log, default=disk.snapshot.meta.index if disk.snapshot else 0)
        return Handshake(
            PROTOCOL_BUILD, CLUSTER, sender.number, to, sender.name, disk.boot, disk.hard.term, last
        )

    def _arrive(self, sender: SimulatedMember, life: int, hello: Handshake, to: int, data: bytes) -> None:
        server = self.servers[to]
        if server.member is None or (sender.number, to) in self.cuts:
            return
        # a connection: both sides have taken the other's hello in these lives
        if sender.member is None or sender.life != life:
            return
        assert server.doorman and sender.doorman
        if server.met.get(sender.number) != (life, server.life):
            pairs = ((server, hello), (sender, self._hello(server, sender.number)))
            for door, said in pairs:
                assert door.doorman and door.member
                why = door.doorman.rejection_reason(said, door.member.config, door.member.is_leader)
                if why:
                    self.refused.append(why)
                    return
                door.member.record_proofs(door.doorman.take_unsaved_proofs())
            server.met[sender.number] = life, server.life
            sender.met[to] = server.life, life
        message = rpc.decode_message(data)
        if isinstance(message, AppendEntriesReply) and message.success:
            server.doorman.record_acknowledgement(sender.number, message.term, message.index)
        server.member.receive(sender.number, message, self.clock(server))
        self.pump(server)

    # trouble

    def _crash_some(self) -> None:
        alive = self.alive()
        many = self.random.choice((1, 1, 1, 2, len(alive)))  # all of them too
        leads = [server for server in alive if server.member and server.member.is_leader]
        some = self.random.sample(alive, min(many, len(alive)))
        for server in leads if leads and many == 1 and self.random.random() < 0.5 else some:
            self.crash(server)
            wait = int(self.random.choice((0.02, 0.2, 1)) * self.plan.back_within * SECOND) + 1
            self.at(self.random.randrange(wait), lambda server=server: self._back(server))  # type: ignore[misc]

    def _spited(self, server: SimulatedMember) -> bool:
        """Kill a process at a moment when it has just done what it must not forget; it is back at once."""
        if not self.troubled or self.random.random() >= self.plan.spite:
            return False
        self.crash(server)
        self.at(self.random.randrange(1, 4 * MS), lambda: self._back(server))
        return True

    def _spite_leader(self, server: SimulatedMember, life: int) -> None:
        if server.life == life and server.member:
            self._spited(server)

    def _back(self, server: SimulatedMember) -> None:
        if server.member is None and not server.dead:
            self.boot(server)

    def _cut_some(self) -> None:
        numbers = list(self.servers)
        kind = self.random.randrange(4)
        if kind == 0:
            self.cuts.clear()
        elif kind == 1:  # one way
            self.cuts.add(tuple(self.random.sample(numbers, 2)))  # type: ignore[arg-type]
        else:  # two sides
            side = set(self.random.sample(numbers, self.random.randrange(1, len(numbers))))
            self.cuts |= {(a, b) for a in side for b in set(numbers) - side}
            if kind == 2:
                self.cuts |= {(b, a) for a, b in self.cuts}
        self.at(self.random.randrange(SECOND), self.cuts.clear)

    def _stick_some(self) -> None:
        server = self.random.choice(list(self.servers.values()))
        server.stuck_until = self.now + self.random.choice((200 * MS, 2 * SECOND))

    def _jump_some(self) -> None:
        server = self.random.choice(list(self.servers.values()))
        server.offset += self.random.choice((50 * MS, SECOND, 10 * SECOND))
        before = self.clock(server)
        server.rate = self.random.uniform(0.9, 1.1)
        server.offset += max(before - self.clock(server), 0)  # a clock never goes back

    def _change_some(self) -> None:
        """Add a member with a new disk, take one out, or hand the lead over; through any member."""
        alive = self.alive()
        if not alive:
            return
        leads = [server for server in alive if server.member and server.member.is_leader]
        server = self.random.choice(leads if leads and self.plan.burst > 1 else alive)
        for _ in range(self.random.randrange(self.plan.burst) + 1):
            if server.member:
                self._change(server, server.member)

    def _change(self, server: SimulatedMember, member: Member) -> None:
        config = member.config
        kind = self.random.randrange(3)
        if not config.members:
            return
        wish, data = (
            RequestKind.TRANSFER_LEADERSHIP,
            self.random.choice([m.id for m in config.members]).to_bytes(8, "big"),
        )
        if kind == 0 and len(config.members) < self.plan.members + 2:
            number, self.next_number = self.next_number, self.next_number + 1
            entry = MemberEntry(number, f"n{number}", f"127.0.0.1:{7000 + number}", MemberRole.JOINING)
            self.servers[number] = SimulatedMember(number, entry.name, MemoryDisk(ClusterConfig(())))
            self.boot(self.servers[number])
            wish, data = RequestKind.ADD_MEMBER, msgspec.msgpack.encode(entry)
        elif kind == 1 and len(config.voter_ids()) > self.plan.least:
            wish, data = (
                RequestKind.REMOVE_MEMBER,
                self.random.choice([m.id for m in config.members]).to_bytes(8, "big"),
            )
        now = self.clock(server)
        member.submit_request(wish, data, now + SECOND, lambda outcome, at: None, now)
        self.pump(server)

    def _restore_some(self) -> None:
        """Put an older copy of its disk into a server: whoever has seen more must refuse it for good."""
        if self.plan.least < 3:  # two voters of whom one is lost for good are no quorum, and nobody's fault
            return
        able = [s for s in self.servers.values() if len(s.copies) >= 2 and not s.dead]
        if not able or any(s.dead for s in self.servers.values()):
            return
        server = self.random.choice(able)
        others = [s for s in self.servers.values() if s is not server and not s.dead]
        shown = [other.disk.shown.get(server.number) for other in others]
        copy = server.copies[0]
        # the others must all have met its later self: only then is what it forgot sure to be noticed
        if not all(one and one.incarnation.number > copy.boot.number + 1 for one in shown):
            return
        if server.member:
            self.crash(server)
        server.dead = True  # it is not counted on again
        server.disk = copy.copy()
        self.promised = {key: value for key, value in self.promised.items() if key[0] != server.number}
        self.boot(server)

    def _drain_some(self) -> None:
        """Discovery says to one member alone that a host drains."""
        alive = [server for server in self.alive() if not server.dead]
        if alive:
            server = self.random.choice(alive)
            assert server.member
            host, started = f"h{self.random.randrange(8)}", self.random.randrange(1, 4) * 1000
            server.member.drain_log.record_drain(host, started)
            self.pump(server)

    def _hand_some(self) -> None:
        """A hand holds a host, or puts it back; their drains are not among those followed strictly."""
        alive = [server for server in self.alive() if not server.dead]
        if alive:
            server = self.random.choice(alive)
            assert server.member
            host = f"hand{self.random.randrange(3)}"
            if self.random.random() < 0.5:
                server.member.drain_log.record_hold(host, server.name)
            else:
                server.member.drain_log.record_return(host, self.clock(server))
            self.pump(server)

    # checks

    def check(self, server: SimulatedMember) -> None:
        """What must hold after each step of a member."""
        member = server.member
        assert member
        raft = member.raft
        where = f"seed {self.seed}, {self.now / SECOND:.3f} s, {server.name}"
        if raft.role == RaftRole.LEADER:
            if raft.term not in self.leaders:
                life = server.life
                later = self.random.randrange(1, 15 * MS)
                self.at(later, lambda: self._spite_leader(server, life))
            led = self.leaders.setdefault(raft.term, server.number)
            if led != server.number:
                raise InvariantViolation(
                    f"{where}: two leaders in term {raft.term}: {led} and {server.number}"
                )
            self._complete(server, where)
        first = max(server.checked, raft.log.base_index) + 1
        for index in range(first, member.state.applied_index + 1):
            entry = raft.log.entry_at(index)
            found = entry.term, crc32(entry.data + bytes([entry.kind]))
            known = self.committed.setdefault(index, (*found, raft.term))
            if entry.kind == EntryKind.DATA:
                self.commands.setdefault(index, entry.data)
            if known[:2] != found:
                raise InvariantViolation(f"{where}: entry {index} was committed as {known} and is {found}")
            self.committed_upto = max(self.committed_upto, index)
        server.checked = member.state.applied_index
        applied = member.state.applied_index
        if applied % 8 == 0:
            state = fingerprint(member)
            if self.states.setdefault(applied, state) != state:
                raise InvariantViolation(f"{where}: the records differ at entry {applied}")
        if self.steps % 16 == 0:
            self._check_promises(server)
            self._matching(server, where)

    def _complete(self, server: SimulatedMember, where: str) -> None:
        """A leader has all that was committed in terms before its own."""
        raft = server.member.raft if server.member else None
        assert raft
        if server.complete == raft.term:
            return
        server.complete = raft.term
        for index in range(raft.log.base_index + 1, self.committed_upto + 1):
            term, _, when = self.committed.get(index, (0, 0, 1 << 62))
            if when < raft.term and raft.log.term_at(index) != term:
                raise InvariantViolation(
                    f"{where}: leads term {raft.term} without entry {index} of term {term}"
                )

    def _matching(self, server: SimulatedMember, where: str) -> None:
        """Where two logs have an entry of the same index and term, they have the same up to there."""
        mine = server.member.raft.log if server.member else None
        assert mine
        for other in self.alive():
            assert other.member
            log = other.member.raft.log
            low, high = max(mine.base_index, log.base_index) + 1, min(mine.last_index, log.last_index)
            agree = False
            for index in range(high, low - 1, -1):
                a, b = mine.entry_at(index), log.entry_at(index)
                if agree and a != b or a.term == b.term and a != b:
                    raise InvariantViolation(
                        f"{where}: log differs from that of {other.name} at entry {index}"
                    )
                agree = agree or a.term == b.term

    def _check_promises(self, server: SimulatedMember) -> None:
        """A drain that was durable at a member is remembered there ever after."""
        member = server.member
        assert member
        for (number, host), started in self.promised.items():
            if number == server.number and not member.drain_log.effective_record(host).excludes(started):
                raise InvariantViolation(
                    f"seed {self.seed}, {self.now / SECOND:.3f} s, {server.name}:"
                    f" forgot that {host} drains ({started})"
                )

    def _end(self) -> None:
        where = f"seed {self.seed}, end"
        sound = [server for server in self.alive() if not server.dead]
        leaders = [s for s in sound if s.member and s.member.is_leader]
        if not leaders:
            raise InvariantViolation(f"{where}: nobody leads after six quiet seconds")
        leader = max(leaders, key=lambda s: s.member.raft.term if s.member else 0)
        assert leader.member
        config = leader.member.config
        part = [s for s in sound if config.find_by_id(s.number)]
        states = set[tuple[int, int]]()
        for _ in range(100):  # a client's last write may come at this very moment
            states = {(s.member.state.revision, fingerprint(s.member)) for s in part if s.member}
            if len(states) == 1:
                break
            self._until(self.now + 20 * MS)
        if len(states) != 1:
            revisions = {
                s.name: (s.member.state.revision, s.member.raft.commit_index) for s in part if s.member
            }
            raise InvariantViolation(f"{where}: members differ: {revisions}")
        for server in part:
            assert server.member
            for (number, host), started in self.promised.items():
                if config.find_by_id(number) and not server.member.drain_log.effective_record(host).excludes(
                    started
                ):
                    raise InvariantViolation(
                        f"{where}: {server.name} does not know that {host} drains ({started})"
                    )
        self._linear(leader.member)

    def _linear(self, member: Member) -> None:
        """Clients' histories are linearizable, with revisions as the order; what was answered is there."""
        where = f"seed {self.seed}, clients"
        seen = 0
        finished = sorted((one for one in self.history if one.end is not None), key=lambda one: one.end or 0)
        starts = sorted(self.history, key=lambda one: one.begin)
        upto = 0
        for one in starts:
            while upto < len(finished) and (finished[upto].end or 0) < one.begin:
                seen = max(seen, finished[upto].revision)
                upto += 1
            if one.end is not None and (one.revision < seen or one.wrote and one.revision <= seen):
                raise InvariantViolation(f"{where}: {one} came after revision {seen} was seen")
        values: dict[tuple[str, int], bytes | None] = {}
        once: set[bytes] = set()
        for revision, key, value in self._canonical():
            if value is not None and key in KEYS:
                if value in once:
                    raise InvariantViolation(
                        f"{where}: {value[:20]!r} was written twice, at last at revision {revision}"
                    )
                once.add(value)
            values[key, revision] = value
        writes = set(values)
        for one in finished:
            if one.wrote:
                if (one.key, one.revision) not in writes or values[one.key, one.revision] != one.value:
                    raise InvariantViolation(f"{where}: the acknowledged {one} is not in the records")
            else:
                last = max((r for k, r in writes if k == one.key and r <= one.revision), default=0)
                if (values[one.key, last] if last else None) != one.value:
                    raise InvariantViolation(f"{where}: {one} read what never was")
        self.acked = sum(one.wrote for one in finished)

    def _canonical(self) -> Iterable[tuple[int, str, bytes | None]]:
        """All changes, as the committed commands make them, reckoned here anew from the first entry on."""
        from limerudder.store.state_machine import KeyValueState

        records = KeyValueState(1 << 30)
        for index in sorted(self.commands):
            records.apply(index, self.commands[index])
        return [(e.revision, e.key, e.item.value if e.item else None) for e in records.history]


@dataclass
class CompletedCall:
    """What a client did: times, and the revision it was told."""

    client: int
    begin: int
    key: str
    wrote: bool
    value: bytes | None
    end: int | None = None
    revision: int = 0


class SimulatedClient:
    """Writes and reads through any member, one thing at a time; says a write again until it is answered."""

    def __init__(self, sim: ClusterSimulation, number: int) -> None:
        self.sim, self.number = sim, number
        self.session = self.serial = self.count = 0

    def begin(self) -> None:
        """Go on with the next thing."""
        if not self.sim.troubled:
            return
        alive = self.sim.alive()
        if not alive:
            return self.sim.at(50 * MS, self.begin)
        if not self.session:
            return self._open(self.sim.random.choice(alive))
        if self.sim.random.random() < 0.6:
            self._write()
        else:
            self._read(self.sim.random.choice(alive))

    def _next(self) -> None:
        self.sim.at(self.sim.random.randrange(1, 40 * MS), self.begin)

    def _open(self, server: SimulatedMember) -> None:
        member = server.member
        assert member
        now = self.sim.clock(server)

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            if isinstance(outcome, CommandResult):
                self.session, self.serial = outcome.index, 0
            self._next()

        self._guarded(server, done, lambda told: member.write(OpenSession(), now + 400 * MS, told, now))

    def _guarded(
        self, server: SimulatedMember, done: Callable[[Any, int], None], call: Callable[[Any], None]
    ) -> None:
        """Whoever is killed with the server hears of a failure all the same, once."""
        life, heard = server.life, [False]

        def told(outcome: Any, at: int) -> None:
            if not heard[0]:
                heard[0] = True
                done(outcome, at)

        call(told)
        if server.member and server.life == life:
            self.sim.pump(server)
        self.sim.at(700 * MS, lambda: told(CallFailure(CallFailureKind.NOT_NOW, "it was killed", True), 0))

    def _write(self) -> None:
        self.serial += 1
        self.count += 1
        key = self.sim.random.choice(KEYS)
        value = f"{self.number}.{self.count}".encode()
        if self.sim.random.random() < 0.1:
            op: Put | Delete = Put(key, value * 40)  # a large one
            value = value * 40
        else:
            op = Put(key, value)
        txn = Transaction((), (op, Get(key)))
        if self.sim.random.random() < 0.3:
            txn = Transaction((Compare(key, CompareTarget.VERSION, b"", 0),), (op,), (op, Get(key)))
        record = CompletedCall(self.number, self.sim.now, key, True, value)
        self.sim.history.append(record)
        self._say(SessionWrite(self.session, self.serial, self.serial - 1, txn), record)

    def _say(self, command: SessionWrite, record: CompletedCall) -> None:
        alive = self.sim.alive()
        if not alive:
            return self.sim.at(50 * MS, lambda: self._say(command, record))
        server = self.sim.random.choice(alive)
        now = self.sim.clock(server)

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            if isinstance(outcome, CallFailure):
                self.sim.at(20 * MS, lambda: self._say(command, record))  # the same serial
                return
            if outcome.error:
                raise InvariantViolation(f"seed {self.sim.seed}: a session that was in use: {outcome.error}")
            record.end, record.revision = self.sim.now, outcome.revision
            self._next()

        self._guarded(server, done, lambda told: server.member.write(command, now + 400 * MS, told, now))  # type: ignore[union-attr]

    def _read(self, server: SimulatedMember) -> None:
        key = self.sim.random.choice(KEYS)
        record = CompletedCall(self.number, self.sim.now, key, False, None)
        self.sim.history.append(record)
        now = self.sim.clock(server)

        def done(outcome: CallFailure | None, at: int) -> None:
            member = server.member
            if outcome is None and member:
                item = member.state.get(key)
                record.value = item.value if item else None
                record.end, record.revision = self.sim.now, member.state.revision
            self._next()

        self._guarded(server, done, lambda told: server.member.read_barrier(now + 400 * MS, told, now))  # type: ignore[union-attr]


def fingerprint(member: Member) -> int:
    """A digest of all that the records hold."""
    crc = 0
    for piece in member.state.snapshot_view(1 << 20).chunks():
        crc = crc32(piece, crc)
    return crc
