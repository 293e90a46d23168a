"""One member of the cluster: the machine, the records, the ledger, and all that waits for an answer.

As the machine it is told what happens and asked what to do; it does no I/O and reads no clock. What a
driver owes it is what it owes the machine (see `raft.machine`), with a `Job` in place of a `Write`: jobs
are made durable one after the other, each whole or not at all.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from limerudder.store import rpc
from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import (
    Command,
    CommandResult,
    OpenSession,
    SessionWrite,
    Transaction,
    decode_result,
    encode_command,
    encode_result,
    transaction_error,
)
from limerudder.store.drain_log import HOST_KEY_PREFIX, DrainLog
from limerudder.store.durability import DurabilityJob, DurableState, KnownValue, SnapshotJob
from limerudder.store.limits import MemberLimits
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.raft.messages import (
    AppendEntries,
    ClusterConfig,
    EntryKind,
    MemberRole,
    Snapshot,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.raft import (
    MembershipChangeError,
    NotLeader,
    Raft,
    RaftOutput,
    RaftRole,
    RaftTiming,
    RaftWrite,
)
from limerudder.store.rpc import Reply, ReplyStatus, Request, RequestKind
from limerudder.store.sessions import RequestSequence
from limerudder.store.state_machine import KeyValueState

PUSH_AGAIN = 500_000  #: between tries to bring the ledger's facts into the records
KEPT_KEYS = (HOST_KEY_PREFIX, "config/", "list/")  #: the node needs these at its start, quorum or not


@dataclass(slots=True)
class MemberOutput:
    """What is to be done: send, make durable, and only then send `after`."""

    messages: list[tuple[int, rpc.StoreMessage]] = field(default_factory=list)
    job: DurabilityJob | None = None
    messages_after_job: list[tuple[int, rpc.StoreMessage]] = field(default_factory=list)


Done = Callable[[bytes | CallFailure, int], None]


@dataclass(slots=True, eq=False)
class PendingCall:
    """A wish that waits for its answer; it is said again until then."""

    number: int
    kind: RequestKind
    data: bytes
    deadline: int
    done: Done
    said: int = 0  # when it last went out
    to: int = 0  # to whom
    tried: bool = False  # it has gone out at least once: it may have been granted


class Member:
    """One member. Numbers of wishes are its own; times are microseconds of a clock that never goes back."""

    def __init__(
        self,
        me: int,
        start: DurableState,
        random: Random,
        now: int,
        limits: MemberLimits | None = None,
        timing: RaftTiming | None = None,
        validate: Callable[[Transaction, int], str | None] = transaction_error,
    ) -> None:
        self.member_id, self.limits, self.random, self.validate = (
            me,
            limits or MemberLimits(),
            random,
            validate,
        )
        self.raft = Raft(me, start.raft_state, random, now, timing)
        self.state = KeyValueState(self.limits.max_history_events)
        if start.raft_state.snapshot:
            self.state.restore(start.raft_state.snapshot.pieces)
        self.known = dict(start.known_values)  # the keys that the node needs, as last known here
        hosts = {key: value for key, value in start.known_values.items() if key.startswith(HOST_KEY_PREFIX)}
        self.drain_log = DrainLog({}, start.drain_facts)
        for key, (modified, value) in hosts.items():
            self.drain_log.update_agreed(key.removeprefix(HOST_KEY_PREFIX), modified, value)
        self.new_known: dict[str, KnownValue] = {}
        self.new_shown: dict[int, DurabilityProof] = {}  # to be made durable, for the doorman
        self.jobs = 0
        self.raft_writes: dict[int, int] = {}  # by job, the machine's write
        self.snapshotting = False
        self.pending_calls: dict[int, PendingCall] = {}  # of this member, by number
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
        self.serials = RequestSequence()
        self.push_due = now
        self.change_listeners: list[
            Callable[[int], None]
        ] = []  # the records, the members or the leader have changed
        self.out = MemberOutput()
        self.led_by = self.raft.leader  # when wishes were last said
        self.learn_all()

    # what is known

    @property
    def config(self) -> ClusterConfig:
        """Who the members are."""
        return self.raft.log.config

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.raft.standing == RaftRole.LEADER

    def known_value(self, key: str) -> KnownValue:
        """A key that the node needs, as last known here: the revision of its last change, and its value."""
        item = self.state.get(key)
        known = self.known.get(key, KnownValue(0, None))
        if item and item.modified_revision >= known.modified_revision:
            return KnownValue(item.modified_revision, item.value)
        return known

    def max_staleness_us(self, now: int) -> int:
        """How old, at the most, what the records here say is; a leader's word on how far it is counts."""
        return 0 if self.is_leader and self.raft.commit >= self.raft.first else max(now - self.fresh, 0)

    def record_proofs(self, proofs: Mapping[int, DurabilityProof]) -> None:
        """Make durable what members have shown of their disks."""
        self.new_shown.update(proofs)

    # what is wanted

    def submit_request(self, kind: RequestKind, data: bytes, deadline: int, done: Done, now: int) -> None:
        """Have something done by whoever leads; `done` hears once, at the deadline at the latest."""
        if len(self.pending_calls) >= self.limits.max_pending_requests:
            return done(
                CallFailure(CallFailureKind.BUSY, f"{len(self.pending_calls)} wishes wait already"), now
            )
        number, self.next_wish = self.next_wish, self.next_wish + 1
        one = self.pending_calls[number] = PendingCall(number, kind, data, deadline, done)
        self._say(one, now)

    def write(
        self,
        command: Command,
        deadline: int,
        done: Callable[[CommandResult | CallFailure, int], None],
        now: int,
    ) -> None:
        """Have a command applied; `done` hears its result. A `Do` may be given again with the same serial."""
        if isinstance(command, SessionWrite) and (
            wrong := self.validate(command.transaction, self.limits.max_value_bytes)
        ):
            return done(CallFailure(CallFailureKind.REFUSED, wrong), now)

        def told(outcome: bytes | CallFailure, at: int) -> None:
            done(outcome if isinstance(outcome, CallFailure) else decode_result(outcome), at)

        self.submit_request(RequestKind.WRITE, encode_command(command), deadline, told, now)

    def read_barrier(self, deadline: int, done: Callable[[CallFailure | None, int], None], now: int) -> None:
        """`done` hears once the records here hold all that was committed when this was called."""

        def told(outcome: bytes | CallFailure, at: int) -> None:
            if isinstance(outcome, CallFailure):
                return done(outcome, at)
            self.when_applied(int.from_bytes(outcome, "big"), lambda then: done(None, then), at)

        self.submit_request(RequestKind.READ_INDEX, b"", deadline, told, now)

    def when_applied(self, index: int, call: Callable[[int], None], now: int) -> None:
        """Make a call once the entry of this index is in the records here."""
        if self.state.applied_index >= index:
            call(now)
        else:
            self.applied_hooks.append((index, call))

    def when_durable(self, fact: int, call: Callable[[int], None], now: int) -> None:
        """Make a call once a fact is durable here."""
        if self.drain_log.is_unsaved(fact) or any(fact in n for n in self.fact_jobs.values()):
            self.fact_hooks.append((fact, call))
        else:
            call(now)

    def _say(self, one: PendingCall, now: int) -> None:
        leader = self.raft.leader
        if not leader:
            return
        one.said, one.to, one.tried = now, leader, True
        ask = Request(one.number, one.kind, one.data)
        if leader == self.member_id:
            self._asked(self.member_id, ask, now)
        else:
            self.out.messages.append((leader, ask))

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
                    self.fresh = now if message.commit <= self.raft.commit else self.fresh

    def tick(self, now: int) -> None:
        """Time has passed."""
        if now >= self.raft.next_due():
            self.raft.tick(now)
        retry = self.raft.timing.election
        under_way = self._under_way() if self.is_leader and self.pending_calls else set()
        for one in list(self.pending_calls.values()):
            if now >= one.deadline:
                del self.pending_calls[one.number]
                why = "nobody leads" if not self.raft.leader else "no answer came in time"
                one.done(
                    CallFailure(
                        CallFailureKind.NOT_NOW,
                        why,
                        outcome_unknown=one.tried and one.kind != RequestKind.READ_INDEX,
                    ),
                    now,
                )
            elif one.to != self.raft.leader or now >= one.said + retry:
                # guards against a wish lost on its way or with its leader; sessions keep it from being done
                # twice
                if not (one.to == self.member_id and one.number in under_way):
                    self._say(one, now)
        if now >= self.push_due:
            self.push_due = now + PUSH_AGAIN
            self._push(now)

    def _under_way(self) -> set[int]:
        """Wishes of this member that wait in its own log or among its reads: no need to say them again."""
        asked = [one[1:] for one in self.proposed.values() if one[0] == self.raft.term]
        asked += self.asked_reads.values()
        asked += [one[1:] for one in self.proposals]
        return {number for sender, number in asked if sender == self.member_id}

    def on_job_durable(self, job: int, snapshot: Snapshot | None, now: int) -> None:
        """A job is durable; `snapshot` is what its SnapshotJob has built."""
        if snapshot:
            self.snapshotting = False
            self.raft.compact(snapshot, self.limits.kept_entries)
        number = self.raft_writes.pop(job, None)
        if number is not None:
            self.raft.written(number, now)
        facts = self.fact_jobs.pop(job, [])
        due = [call for fact, call in self.fact_hooks if fact in facts]
        self.fact_hooks = [one for one in self.fact_hooks if one[0] not in facts]
        for call in due:
            call(now)

    def next_deadline(self) -> int:
        """When `tick` must be called at the latest."""
        dues = [self.raft.next_due(), self.push_due]
        dues += [
            min(one.deadline, one.said + self.raft.timing.election) for one in self.pending_calls.values()
        ]
        return min(dues)

    # the leader's side

    def _asked(self, sender: int, ask: Request, now: int) -> None:
        if not self.is_leader:
            return self._answer(sender, ask.number, ReplyStatus.NOT_LEADER, b"", now)
        try:
            match ask.kind:
                case RequestKind.WRITE:
                    if len(self.proposals) + len(self.proposed) >= self.limits.max_pending_requests:
                        return self._answer(
                            sender, ask.number, ReplyStatus.BUSY, b"too much waits at the leader", now
                        )
                    self.proposals.append((ask.data, sender, ask.number))
                case RequestKind.READ_INDEX:
                    self.asked_reads[self.raft.read(now)] = sender, ask.number
                case RequestKind.TRANSFER_LEADERSHIP:
                    self.raft.transfer(int.from_bytes(ask.data, "big"), now)
                    self._answer(sender, ask.number, ReplyStatus.DONE, b"", now)
                case RequestKind.ADD_MEMBER | RequestKind.REMOVE_MEMBER:
                    after = self._changed(ask)
                    same = after == self.config  # said again, after its answer was lost
                    index = self.raft.log.config_index if same else self.raft.change(after, now)
                    if index <= self.state.applied_index:
                        return self._answer(
                            sender, ask.number, ReplyStatus.DONE, index.to_bytes(8, "big"), now
                        )
                    self.proposed[index] = self.raft.term, sender, ask.number
        except MembershipChangeError as exc:
            self._answer(sender, ask.number, ReplyStatus.REFUSED, str(exc).encode(), now)
        except NotLeader:
            self._answer(sender, ask.number, ReplyStatus.NOT_LEADER, b"", now)

    def _changed(self, ask: Request) -> ClusterConfig:
        members = self.config.members
        if ask.kind == RequestKind.REMOVE_MEMBER:
            number = int.from_bytes(ask.data, "big")
            return ClusterConfig(tuple(one for one in members if one.id != number))
        try:
            new: MemberEntry = msgspec.msgpack.decode(ask.data, type=MemberEntry)
        except msgspec.DecodeError as exc:
            raise MembershipChangeError(f"no member: {exc}") from None
        if new.role == MemberRole.VOTER:
            raise MembershipChangeError("a member joins first and becomes a voter once it has caught up")
        before = self.config.get(new.id)
        if before and (before.name, before.address) == (new.name, new.address):
            return self.config
        for one in members:
            if one.id == new.id or one.name == new.name or one.address == new.address:
                raise MembershipChangeError(f"{one.name} at {one.address} is a member already")
        return ClusterConfig((*members, new))

    def _answer(self, to: int, number: int, status: ReplyStatus, data: bytes, now: int) -> None:
        told = Reply(number, status, data)
        if to == self.member_id:
            self._told(told, now)
        else:
            self.out.messages.append((to, told))

    def _told(self, told: Reply, now: int) -> None:
        one = self.pending_calls.get(told.number)
        if one is None or told.status == ReplyStatus.NOT_LEADER:
            return  # said again in time
        del self.pending_calls[told.number]
        if told.status == ReplyStatus.DONE:
            one.done(told.data, now)
        else:
            kind = CallFailureKind.BUSY if told.status == ReplyStatus.BUSY else CallFailureKind.REFUSED
            one.done(CallFailure(kind, told.data.decode("utf-8", "replace")), now)

    # what is to be done

    def take_output(self, now: int) -> MemberOutput | None:
        """What is to be done since the last call; None where there is nothing."""
        if self.raft.leader != self.led_by:
            self.led_by = self.raft.leader
            for one in list(
                self.pending_calls.values()
            ):  # guards whoever waits against waiting for a tick as well
                self._say(one, now)
        if self.proposals:
            self._propose(now)
        raft = self.raft.take(now)
        if raft:
            self._carry_out(raft, now)
        out = self.out
        if raft:
            out.messages += raft.send
            out.messages_after_job += raft.after
        out.job = self._job(raft.write if raft else None)
        if not (out.messages or out.job or out.messages_after_job):
            return None
        self.out = MemberOutput()
        return out

    def _propose(self, now: int) -> None:
        wanted, self.proposals = self.proposals, []
        try:
            first, term = self.raft.propose([command for command, _, _ in wanted], now)
        except NotLeader:
            for _, sender, number in wanted:
                self._answer(sender, number, ReplyStatus.NOT_LEADER, b"", now)
            return
        for n, (_, sender, number) in enumerate(wanted):
            self.proposed[first + n] = term, sender, number

    def _carry_out(self, raft: RaftOutput, now: int) -> None:
        changed = bool(raft.committed or raft.install)
        if raft.install:
            self.state.restore(raft.install.pieces)
            self.learn_all()
        for entry in raft.committed:
            before = self.state.revision
            result = None
            if entry.kind == EntryKind.DATA:
                result = self.state.apply(entry.index, entry.data)
            else:
                self.state.applied_index = entry.index
            if self.state.revision != before:
                self._learn_since(before)
            waiting = self.proposed.pop(entry.index, None)
            if waiting:
                term, sender, number = waiting
                if term != entry.term:  # guards whoever asked against the result of another's command
                    self._answer(sender, number, ReplyStatus.NOT_LEADER, b"", now)
                else:
                    data = encode_result(result) if result else entry.index.to_bytes(8, "big")
                    self._answer(sender, number, ReplyStatus.DONE, data, now)
        for number, index in raft.reads:
            asked = self.asked_reads.pop(number, None)
            if asked:
                self._answer(*asked, ReplyStatus.DONE, index.to_bytes(8, "big"), now)
        for number in raft.reads_lost:
            asked = self.asked_reads.pop(number, None)
            if asked:
                self._answer(*asked, ReplyStatus.NOT_LEADER, b"", now)
        if not self.is_leader and self.proposed:
            # their entries may still be committed; whoever asked says it again, and sessions see to the rest
            lost = [
                i for i, one in self.proposed.items() if one[0] != self.raft.term and i > self.raft.log.last
            ]
            for index in lost:
                del self.proposed[index]
        if changed:
            due = [call for index, call in self.applied_hooks if index <= self.state.applied_index]
            self.applied_hooks = [one for one in self.applied_hooks if one[0] > self.state.applied_index]
            for call in due:
                call(now)
            for hear in self.change_listeners:
                hear(now)

    def learn_all(self) -> None:
        """The keys that the node needs, from all the records."""
        for prefix in KEPT_KEYS:
            for key, item in self.state.list_prefix(prefix):
                self._learn(key, item.modified_revision, item.value)

    def _learn_since(self, revision: int) -> None:
        for event in self.state.changes_since(revision)[0]:
            if event.key.startswith(KEPT_KEYS):
                self._learn(event.key, event.revision, event.item.value if event.item else None)

    def _learn(self, key: str, modified: int, value: bytes | None) -> None:
        if self.known.get(key, (0, None))[0] >= modified:
            return
        self.known[key] = self.new_known[key] = KnownValue(modified, value)
        if key.startswith(HOST_KEY_PREFIX):
            self.drain_log.update_agreed(key.removeprefix(HOST_KEY_PREFIX), modified, value)

    def _job(self, write: RaftWrite | None) -> DurabilityJob | None:
        ledger = self.drain_log
        snapshot = self._snapshot_due()
        ledgers = ledger.has_unsaved()
        if not (write or snapshot or ledgers or self.new_known or self.new_shown):
            return None
        self.jobs += 1
        added, deleted = ledger.take_unsaved()
        job = DurabilityJob(
            self.jobs,
            write,
            snapshot,
            added,
            deleted,
            self.new_known,
            self.new_shown,
        )
        if write:
            self.raft_writes[job.number] = write.number
        if added:
            self.fact_jobs[job.number] = [number for number, _ in added]
        self.new_known, self.new_shown = {}, {}
        return job

    def _snapshot_due(self) -> SnapshotJob | None:
        log, applied = self.raft.log, self.state.applied_index
        last = self.raft.snapshot.meta.index if self.raft.snapshot else 0
        many = applied - last >= self.limits.snapshot_after_entries
        large = log.bytes >= self.limits.snapshot_after_bytes and applied > last
        if self.snapshotting or not (many or large):
            return None
        return self.snapshot_now()

    def snapshot_now(self) -> SnapshotJob:
        """Begin a snapshot of the records as they are."""
        self.snapshotting = True
        return self.capture_snapshot()

    def capture_snapshot(self) -> SnapshotJob:
        """The records as they are, to be written out beside the member."""
        log, applied = self.raft.log, self.state.applied_index
        term = log.term(applied)
        assert term is not None
        keep_from = max(applied - self.limits.kept_entries, log.base) + 1
        return SnapshotJob(
            applied,
            term,
            log.config_at(applied),
            self.state.snapshot_view(self.limits.snapshot_chunk_bytes),
            keep_from,
        )

    # the ledger's way into the records

    def _push(self, now: int) -> None:
        hosts = self.drain_log.hosts_to_write()
        if not hosts or not self.raft.leader:
            return
        if not self.session:
            return self._open_session(now)
        for host in hosts:
            item = self.state.get(HOST_KEY_PREFIX + host)
            push = self.drain_log.prepare_write(
                host, item.modified_revision if item else 0, item.value if item else None
            )
            if push:
                self._push_one(host, push, now)

    def _push_one(self, host: str, txn: Transaction, now: int) -> None:
        serial = self.serials.next_serial()

        session = self.session

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            if session == self.session:
                self.serials.mark_answered(serial)
            if isinstance(outcome, CallFailure):
                return self.drain_log.finish_write(host, None)
            if outcome.error:
                self.session = 0 if session == self.session else self.session
                return self.drain_log.finish_write(host, None)
            # only once they stand in the records here: what is known here must not fall behind the facts
            revision = outcome.revision if outcome.succeeded else None
            self.when_applied(outcome.index, lambda _: self.drain_log.finish_write(host, revision), at)

        command = SessionWrite(session, serial, self.serials.acknowledged_serial, txn)
        self.write(command, now + 20 * PUSH_AGAIN, done, now)

    def _open_session(self, now: int) -> None:
        if self.session_asked:
            return
        self.session_asked = True

        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            self.session_asked = False
            if isinstance(outcome, CommandResult):
                self.session, self.serials = outcome.index, RequestSequence()
                self._push(at)

        self.write(OpenSession(), now + 20 * PUSH_AGAIN, done, now)
