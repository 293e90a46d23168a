"""One member of the cluster: the machine, the records, the ledger, and all that waits for an answer.

As the machine it is told what happens and asked what to do; it does no I/O and reads no clock. What a
driver owes it is what it owes the machine (see `raft.machine`), with a `Job` in place of a `Write`: jobs
are made durable one after the other, each whole or not at all.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import msgspec

from limerudder.store import rpc
from limerudder.store import state_machine as rec
from limerudder.store.drain_log import HOST_KEY_PREFIX, DrainFact, DrainLog
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.raft.errors import MembershipChangeError, NotLeader
from limerudder.store.raft.messages import (
    AppendEntries,
    ClusterConfig,
    EntryKind,
    MemberRole,
    Snapshot,
    SnapshotMeta,
    snapshot_digest,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.output import RaftOutput
from limerudder.store.raft.persistence import PersistentState, RaftWrite
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole, RaftTiming
from limerudder.store.rpc import Reply, ReplyStatus, Request, RequestKind
from limerudder.store.state_machine import KeyValueState, OpenSession, Result, SessionWrite, Transaction

PUSH_AGAIN = 500_000  #: between tries to bring the ledger's facts into the records
KEPT_KEYS = (HOST_KEY_PREFIX, "config/", "list/")  #: the node needs these at its start, quorum or not


class MemberLimits(NamedTuple):
    """How much a member takes."""

    snapshot_entries: int = 20_000
    snapshot_bytes: int = 16 << 20
    keep_entries: int = 1000  # behind a snapshot, for members that are a little late
    waiting: int = 4096
    value: int = 64 << 10
    piece: int = rec.SNAPSHOT_CHUNK_BYTES
    history: int = 10_000


@dataclass(slots=True)
class SnapshotJob:
    """A snapshot to be written out: `build` may run beside the member, since all it needs is frozen."""

    index: int
    term: int
    config: ClusterConfig
    frozen: rec.SnapshotView
    keep_from: int  # entries before this one may go

    def build(self) -> Snapshot:
        """It as bytes."""
        pieces = tuple(self.frozen.pieces())
        return Snapshot(
            SnapshotMeta(self.index, self.term, self.config, len(pieces), snapshot_digest(pieces)), pieces
        )


@dataclass(slots=True)
class DurabilityJob:
    """What is made durable together."""

    number: int
    write: RaftWrite | None = None
    snapshot: SnapshotJob | None = None
    facts: tuple[tuple[int, DrainFact], ...] = ()
    gone_facts: tuple[int, ...] = ()
    known: tuple[tuple[str, int, bytes | None], ...] = ()  # key, revision, value
    shown: tuple[tuple[int, DurabilityProof], ...] = ()  # what members have shown of their disks


@dataclass(slots=True)
class MemberOutput:
    """What is to be done: send, make durable, and only then send `after`."""

    send: list[tuple[int, rpc.StoreMessage]] = field(default_factory=list)
    job: DurabilityJob | None = None
    after: list[tuple[int, rpc.StoreMessage]] = field(default_factory=list)


class CallFailure(NamedTuple):
    """Why a wish was not granted. `unsure`: it may have been, or may be yet."""

    kind: str  # refused, busy, not_now
    text: str
    unsure: bool = False


Done = Callable[[bytes | CallFailure, int], None]


@dataclass(slots=True, eq=False)
class PendingCall:
    """A wish that waits for its answer; it is said again until then."""

    number: int
    wish: RequestKind
    data: bytes
    deadline: int
    done: Done
    said: int = 0  # when it last went out
    to: int = 0  # to whom
    tried: bool = False  # it has gone out at least once: it may have been granted


class MemberStart(NamedTuple):
    """What a member starts with: all that was durable."""

    saved: PersistentState
    facts: Mapping[int, DrainFact]
    known: Mapping[str, tuple[int, bytes | None]]


class Member:
    """One member. Numbers of wishes are its own; times are microseconds of a clock that never goes back."""

    def __init__(
        self,
        me: int,
        start: MemberStart,
        random: Random,
        now: int,
        limits: MemberLimits | None = None,
        timing: RaftTiming | None = None,
        check: Callable[[Transaction, int], str] = rec.validate_transaction,
    ) -> None:
        self.me, self.limits, self.random, self.check = me, limits or MemberLimits(), random, check
        self.raft = Raft(me, start.saved, random, now, timing)
        self.records = KeyValueState(self.limits.history)
        if start.saved.snapshot:
            self.records.restore(start.saved.snapshot.chunks)
        self.known = dict(start.known)  # the keys that the node needs, as last known here
        hosts = {key: value for key, value in start.known.items() if key.startswith(HOST_KEY_PREFIX)}
        self.ledger = DrainLog({}, start.facts)
        for key, (modified, value) in hosts.items():
            self.ledger.learn(key.removeprefix(HOST_KEY_PREFIX), modified, value)
        self.new_known: dict[str, tuple[int, bytes | None]] = {}
        self.new_shown: dict[int, DurabilityProof] = {}  # to be made durable, for the doorman
        self.jobs = 0
        self.raft_writes: dict[int, int] = {}  # by job, the machine's write
        self.snapshotting = False
        self.wishes: dict[int, PendingCall] = {}  # of this member, by number
        # numbers of wishes must not be those of an earlier life: late answers to these may still come
        self.next_wish = random.getrandbits(48)
        self.proposals: list[tuple[bytes, int, int]] = []  # command, who asked, number: for one proposal
        self.proposed: dict[int, tuple[int, int, int]] = {}  # by index: term, who asked, number
        self.asked_reads: dict[int, tuple[int, int]] = {}  # by the machine's read: who asked, number
        self.applied_hooks: list[
            tuple[int, Callable[[int], None]]
        ] = []  # index, call once it is applied here
        self.fact_hooks: list[
            tuple[int, Callable[[int], None]]
        ] = []  # fact's number, call once it is durable
        self.fact_jobs: dict[int, list[int]] = {}  # by job
        self.fresh = now  # when this member last had all that it knew to be committed
        self.session, self.session_asked = 0, False
        self.serials = rec.RequestSequence()
        self.push_due = now
        self.on_change: list[
            Callable[[int], None]
        ] = []  # the records, the members or the leader have changed
        self.out = MemberOutput()
        self.led_by = self.raft.leader_id  # when wishes were last said
        self.learn_all()

    # what is known

    @property
    def config(self) -> ClusterConfig:
        """Who the members are."""
        return self.raft.log.config

    @property
    def leads(self) -> bool:
        """Whether this member leads."""
        return self.raft.role == RaftRole.LEADER

    def value(self, key: str) -> tuple[int, bytes | None]:
        """A key that the node needs, as last known here: the revision of its last change, and its value."""
        item = self.records.get(key)
        known = self.known.get(key, (0, None))
        return (item.modified, item.value) if item and item.modified >= known[0] else known

    def age(self, now: int) -> int:
        """How old, at the most, what the records here say is; a leader's word on how far it is counts."""
        return 0 if self.leads and self.raft.has_committed_in_term else max(now - self.fresh, 0)

    # what is wanted

    def wish(self, wish: RequestKind, data: bytes, deadline: int, done: Done, now: int) -> None:
        """Have something done by whoever leads; `done` hears once, at the deadline at the latest."""
        if len(self.wishes) >= self.limits.waiting:
            return done(CallFailure("busy", f"{len(self.wishes)} wishes wait already"), now)
        number, self.next_wish = self.next_wish, self.next_wish + 1
        one = self.wishes[number] = PendingCall(number, wish, data, deadline, done)
        self._say(one, now)

    def write(
        self, command: rec.Command, deadline: int, done: Callable[[Result | CallFailure, int], None], now: int
    ) -> None:
        """Have a command applied; `done` hears its result. A `Do` may be given again with the same serial."""
        if isinstance(command, SessionWrite) and (wrong := self.check(command.txn, self.limits.value)):
            return done(CallFailure("refused", wrong), now)

        def told(outcome: bytes | CallFailure, at: int) -> None:
            done(outcome if isinstance(outcome, CallFailure) else _read_result(outcome), at)

        self.wish(RequestKind.WRITE, rec.encode_command(command), deadline, told, now)

    def read(self, deadline: int, done: Callable[[CallFailure | None, int], None], now: int) -> None:
        """`done` hears once the records here hold all that was committed when this was called."""

        def told(outcome: bytes | CallFailure, at: int) -> None:
            if isinstance(outcome, CallFailure):
                return done(outcome, at)
            self.once_applied(int.from_bytes(outcome, "big"), lambda then: done(None, then), at)

        self.wish(RequestKind.INDEX, b"", deadline, told, now)

    def once_applied(self, index: int, call: Callable[[int], None], now: int) -> None:
        """Make a call once the entry of this index is in the records here."""
        if self.records.applied >= index:
            call(now)
        else:
            self.applied_hooks.append((index, call))

    def once_durable(self, fact: int, call: Callable[[int], None], now: int) -> None:
        """Make a call once a fact is durable here."""
        if any(number == fact for number, _ in self.ledger.new_facts) or any(
            fact in n for n in self.fact_jobs.values()
        ):
            self.fact_hooks.append((fact, call))
        else:
            call(now)

    def _say(self, one: PendingCall, now: int) -> None:
        leader = self.raft.leader_id
        if not leader:
            return
        one.said, one.to, one.tried = now, leader, True
        ask = Request(one.number, one.wish, one.data)
        if leader == self.me:
            self._asked(self.me, ask, now)
        else:
            self.out.send.append((leader, ask))

    # what happens

    def receive(self, sender: int, message: rpc.StoreMessage, now: int) -> None:
        """A message from another member."""
        match message:
            case Request():
                self._asked(sender, message, now)
            case Reply():
                self._told(message, now)
            case _:
                self.raft.receive(sender, message, now)
                if isinstance(message, AppendEntries) and message.term == self.raft.term:
                    self.fresh = now if message.leader_commit <= self.raft.commit_index else self.fresh

    def tick(self, now: int) -> None:
        """Time has passed."""
        if now >= self.raft.next_deadline_us():
            self.raft.tick(now)
        retry = self.raft.timing.election_timeout_us
        under_way = self._under_way() if self.leads and self.wishes else set()
        for one in list(self.wishes.values()):
            if now >= one.deadline:
                del self.wishes[one.number]
                why = "nobody leads" if not self.raft.leader_id else "no answer came in time"
                one.done(CallFailure("not_now", why, unsure=one.tried and one.wish != RequestKind.INDEX), now)
            elif one.to != self.raft.leader_id or now >= one.said + retry:
                # guards against a wish lost on its way or with its leader; sessions keep it from being done
                # twice
                if not (one.to == self.me and one.number in under_way):
                    self._say(one, now)
        if now >= self.push_due:
            self.push_due = now + PUSH_AGAIN
            self._push(now)

    def _under_way(self) -> set[int]:
        """Wishes of this member that wait in its own log or among its reads: no need to say them again."""
        asked = [one[1:] for one in self.proposed.values() if one[0] == self.raft.term]
        asked += self.asked_reads.values()
        asked += [one[1:] for one in self.proposals]
        return {number for sender, number in asked if sender == self.me}

    def written(self, job: int, snapshot: Snapshot | None, now: int) -> None:
        """A job is durable; `snapshot` is what its SnapshotJob has built."""
        if snapshot:
            self.snapshotting = False
            self.raft.compact(snapshot, self.limits.keep_entries)
        number = self.raft_writes.pop(job, None)
        if number is not None:
            self.raft.on_write_durable(number, now)
        facts = self.fact_jobs.pop(job, [])
        due = [call for fact, call in self.fact_hooks if fact in facts]
        self.fact_hooks = [one for one in self.fact_hooks if one[0] not in facts]
        for call in due:
            call(now)

    def next_due(self) -> int:
        """When `tick` must be called at the latest."""
        dues = [self.raft.next_deadline_us(), self.push_due]
        dues += [
            min(one.deadline, one.said + self.raft.timing.election_timeout_us) for one in self.wishes.values()
        ]
        return min(dues)

    # the leader's side

    def _asked(self, sender: int, ask: Request, now: int) -> None:
        if not self.leads:
            return self._answer(sender, ask.number, ReplyStatus.NOT_LEADING, b"", now)
        try:
            match ask.wish:
                case RequestKind.WRITE:
                    if len(self.proposals) + len(self.proposed) >= self.limits.waiting:
                        return self._answer(
                            sender, ask.number, ReplyStatus.BUSY, b"too much waits at the leader", now
                        )
                    self.proposals.append((ask.data, sender, ask.number))
                case RequestKind.INDEX:
                    self.asked_reads[self.raft.request_read()] = sender, ask.number
                case RequestKind.LEAD:
                    self.raft.transfer_leadership(int.from_bytes(ask.data, "big"), now)
                    self._answer(sender, ask.number, ReplyStatus.DONE, b"", now)
                case RequestKind.ADD | RequestKind.REMOVE:
                    after = self._changed(ask)
                    same = after == self.config  # said again, after its answer was lost
                    index = self.raft.log.config_index if same else self.raft.propose_config(after, now)
                    if index <= self.records.applied:
                        return self._answer(
                            sender, ask.number, ReplyStatus.DONE, index.to_bytes(8, "big"), now
                        )
                    self.proposed[index] = self.raft.term, sender, ask.number
        except MembershipChangeError as exc:
            self._answer(sender, ask.number, ReplyStatus.REFUSED, str(exc).encode(), now)
        except NotLeader:
            self._answer(sender, ask.number, ReplyStatus.NOT_LEADING, b"", now)

    def _changed(self, ask: Request) -> ClusterConfig:
        members = self.config.members
        if ask.wish == RequestKind.REMOVE:
            number = int.from_bytes(ask.data, "big")
            return ClusterConfig(tuple(one for one in members if one.id != number))
        try:
            new: MemberEntry = msgspec.msgpack.decode(ask.data, type=MemberEntry)
        except msgspec.DecodeError as exc:
            raise MembershipChangeError(f"no member: {exc}") from None
        if new.role == MemberRole.VOTER:
            raise MembershipChangeError("a member joins first and becomes a voter once it has caught up")
        before = self.config.find_by_id(new.id)
        if before and (before.name, before.address) == (new.name, new.address):
            return self.config
        for one in members:
            if one.id == new.id or one.name == new.name or one.address == new.address:
                raise MembershipChangeError(f"{one.name} at {one.address} is a member already")
        return ClusterConfig((*members, new))

    def _answer(self, to: int, number: int, status: ReplyStatus, data: bytes, now: int) -> None:
        told = Reply(number, status, data)
        if to == self.me:
            self._told(told, now)
        else:
            self.out.send.append((to, told))

    def _told(self, told: Reply, now: int) -> None:
        one = self.wishes.get(told.number)
        if one is None or told.status == ReplyStatus.NOT_LEADING:
            return  # said again in time
        del self.wishes[told.number]
        if told.status == ReplyStatus.DONE:
            one.done(told.data, now)
        else:
            kind = "busy" if told.status == ReplyStatus.BUSY else "refused"
            one.done(CallFailure(kind, told.data.decode("utf-8", "replace")), now)

    # what is to be done

    def take(self, now: int) -> MemberOutput | None:
        """What is to be done since the last call; None where there is nothing."""
        if self.raft.leader_id != self.led_by:
            self.led_by = self.raft.leader_id
            for one in list(self.wishes.values()):  # guards whoever waits against waiting for a tick as well
                self._say(one, now)
        if self.proposals:
            self._propose(now)
        raft = self.raft.take_output(now)
        if raft:
            self._carry_out(raft, now)
        out = self.out
        if raft:
            out.send += raft.messages
            out.after += raft.messages_after_write
        out.job = self._job(raft.write if raft else None)
        if not (out.send or out.job or out.after):
            return None
        self.out = MemberOutput()
        return out

    def _propose(self, now: int) -> None:
        wanted, self.proposals = self.proposals, []
        try:
            first, term = self.raft.propose([command for command, _, _ in wanted], now)
        except NotLeader:
            for _, sender, number in wanted:
                self._answer(sender, number, ReplyStatus.NOT_LEADING, b"", now)
            return
        for n, (_, sender, number) in enumerate(wanted):
            self.proposed[first + n] = term, sender, number

    def _carry_out(self, raft: RaftOutput, now: int) -> None:
        changed = bool(raft.committed_entries or raft.installed_snapshot)
        if raft.installed_snapshot:
            self.records.restore(raft.installed_snapshot.chunks)
            self.learn_all()
        for entry in raft.committed_entries:
            before = self.records.revision
            result = None
            if entry.kind == EntryKind.DATA:
                result = self.records.apply(entry.index, entry.data)
            else:
                self.records.applied = entry.index
            if self.records.revision != before:
                self._learn_since(before)
            waiting = self.proposed.pop(entry.index, None)
            if waiting:
                term, sender, number = waiting
                if term != entry.term:  # guards whoever asked against the result of another's command
                    self._answer(sender, number, ReplyStatus.NOT_LEADING, b"", now)
                else:
                    data = msgspec.msgpack.encode(result) if result else entry.index.to_bytes(8, "big")
                    self._answer(sender, number, ReplyStatus.DONE, data, now)
        for number, index in raft.confirmed_reads:
            asked = self.asked_reads.pop(number, None)
            if asked:
                self._answer(*asked, ReplyStatus.DONE, index.to_bytes(8, "big"), now)
        for number in raft.aborted_reads:
            asked = self.asked_reads.pop(number, None)
            if asked:
                self._answer(*asked, ReplyStatus.NOT_LEADING, b"", now)
        if not self.leads and self.proposed:
            # their entries may still be committed; whoever asked says it again, and sessions see to the rest
            lost = [
                i
                for i, one in self.proposed.items()
                if one[0] != self.raft.term and i > self.raft.log.last_index
            ]
            for index in lost:
                del self.proposed[index]
        if changed:
            due = [call for index, call in self.applied_hooks if index <= self.records.applied]
            self.applied_hooks = [one for one in self.applied_hooks if one[0] > self.records.applied]
            for call in due:
                call(now)
            for hear in self.on_change:
                hear(now)

    def learn_all(self) -> None:
        """The keys that the node needs, from all the records."""
        for prefix in KEPT_KEYS:
            for key, item in self.records.under(prefix):
                self._learn(key, item.modified, item.value)

    def _learn_since(self, revision: int) -> None:
        for event in self.records.since(revision)[0]:
            if event.key.startswith(KEPT_KEYS):
                self._learn(event.key, event.revision, event.item.value if event.item else None)

    def _learn(self, key: str, modified: int, value: bytes | None) -> None:
        if self.known.get(key, (0, None))[0] >= modified:
            return
        self.known[key] = self.new_known[key] = modified, value
        if key.startswith(HOST_KEY_PREFIX):
            self.ledger.learn(key.removeprefix(HOST_KEY_PREFIX), modified, value)

    def _job(self, write: RaftWrite | None) -> DurabilityJob | None:
        ledger = self.ledger
        snapshot = self._snapshot_due()
        ledgers = ledger.new_facts or ledger.gone_facts
        if not (write or snapshot or ledgers or self.new_known or self.new_shown):
            return None
        self.jobs += 1
        job = DurabilityJob(
            self.jobs,
            write,
            snapshot,
            tuple(ledger.new_facts),
            tuple(ledger.gone_facts),
            tuple((key, modified, value) for key, (modified, value) in self.new_known.items()),
            tuple(self.new_shown.items()),
        )
        if write:
            self.raft_writes[job.number] = write.number
        if ledger.new_facts:
            self.fact_jobs[job.number] = [number for number, _ in ledger.new_facts]
        ledger.new_facts, ledger.gone_facts, self.new_known, self.new_shown = [], [], {}, {}
        return job

    def _snapshot_due(self) -> SnapshotJob | None:
        log, applied = self.raft.log, self.records.applied
        last = self.raft.snapshot.meta.index if self.raft.snapshot else 0
        many = applied - last >= self.limits.snapshot_entries
        large = log.size_bytes >= self.limits.snapshot_bytes and applied > last
        if self.snapshotting or not (many or large):
            return None
        return self.snapshot_now()

    def snapshot_now(self) -> SnapshotJob:
        """Begin a snapshot of the records as they are."""
        self.snapshotting = True
        return self.frozen_now()

    def frozen_now(self) -> SnapshotJob:
        """The records as they are, to be written out beside the member."""
        log, applied = self.raft.log, self.records.applied
        term = log.term_at(applied)
        assert term is not None
        keep_from = max(applied - self.limits.keep_entries, log.base_index) + 1
        return SnapshotJob(
            applied, term, log.config_at(applied), self.records.freeze(self.limits.piece), keep_from
        )

    # the ledger's way into the records

    def _push(self, now: int) -> None:
        hosts = self.ledger.waiting()
        if not hosts or not self.raft.leader_id:
            return
        if not self.session:
            return self._open_session(now)
        for host in hosts:
            item = self.records.get(HOST_KEY_PREFIX + host)
            push = self.ledger.push(host, item.modified if item else 0, item.value if item else None)
            if push:
                self._push_one(host, push[0], now)

    def _push_one(self, host: str, txn: Transaction, now: int) -> None:
        serial = self.serials.next()

        session = self.session

        def done(outcome: Result | CallFailure, at: int) -> None:
            if session == self.session:
                self.serials.done(serial)
            if isinstance(outcome, CallFailure):
                return self.ledger.pushed(host, None)
            if outcome.error:
                self.session = 0 if session == self.session else self.session
                return self.ledger.pushed(host, None)
            # only once they stand in the records here: what is known here must not fall behind the facts
            revision = outcome.revision if outcome.ok else None
            self.once_applied(outcome.index, lambda _: self.ledger.pushed(host, revision), at)

        command = SessionWrite(session, serial, self.serials.seen, txn)
        self.write(command, now + 20 * PUSH_AGAIN, done, now)

    def _open_session(self, now: int) -> None:
        if self.session_asked:
            return
        self.session_asked = True

        def done(outcome: Result | CallFailure, at: int) -> None:
            self.session_asked = False
            if isinstance(outcome, Result):
                self.session, self.serials = outcome.index, rec.RequestSequence()
                self._push(at)

        self.write(OpenSession(), now + 20 * PUSH_AGAIN, done, now)


_decode_result: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Result)


def _read_result(data: bytes) -> Result:
    result: Result = _decode_result.decode(data)
    return result
