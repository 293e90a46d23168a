"""The machine: one member's part in the agreement.

It is told what happens (`receive`, `tick`, `written`) and asked what to do (`take`). It does no I/O and reads
no clock: every call brings the time, in microseconds of a clock that never goes back. Chance comes from the
`Random` it is given, so that a run can be replayed.

What a driver owes the machine, for each `Output` in its order:

1. Send what is in `send` at once.
2. Make `write` durable, whole or not at all, after all writes before it. Then send what is in `after`, and
   call `written`. An `Output` without a write but with `after` waits for the writes before it.
3. Hand `install` and then `committed` to the records, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple
from zlib import crc32

from limerudder.store.raft.log import RaftLog
from limerudder.store.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    ClusterConfig,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Member,
    MemberRole,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    SnapshotMeta,
    TimeoutNow,
    encode_config,
)
from limerudder.store.raft.progress import MAX_INFLIGHT_CHUNKS, Progress, ProgressMode

MAX_APPEND_BYTES = 256 * 1024  #: of entries in one append, where there is more than one entry
MAX_APPEND_ENTRIES = 1024  #: likewise
NO_LEADER = 0  #: no member has this number


class RaftRole(IntEnum):
    """What a member is at the moment."""

    FOLLOWER = 0
    ASKING = 1  #: whether it would be elected (9.6)
    CANDIDATE = 2
    LEADER = 3


class RaftTiming(NamedTuple):
    """Times in microseconds."""

    election: int = (
        300_000  #: without a leader for this long, up to twice of it, a member stands for election
    )
    heartbeat: int = 100_000  #: between signs of life


class HardState(NamedTuple):
    """What must be durable before any word that rests on it leaves."""

    term: int
    vote: int


@dataclass(slots=True)
class RaftWrite:
    """What must become durable together."""

    number: int
    hard: HardState | None = None
    truncate: int | None = None  # entries from here on go, before `entries` are added
    entries: tuple[Entry, ...] = ()
    pieces: tuple[tuple[SnapshotMeta, int, bytes], ...] = ()  # of a snapshot that is being received
    install: SnapshotMeta | None = None  # its pieces are all there: it is the snapshot now
    keep: bool = False  # entries after the installed snapshot stay


@dataclass(slots=True)
class RaftOutput:
    """What is to be done, in the order told at the top of this module."""

    send: list[tuple[int, RaftMessage]] = field(default_factory=list)
    write: RaftWrite | None = None
    after: list[tuple[int, RaftMessage]] = field(default_factory=list)
    install: Snapshot | None = None
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # a read's number, and the index it must see
    reads_lost: list[int] = field(default_factory=list)  # reads that this member cannot answer any more


@dataclass(slots=True)
class PersistentState:
    """What a member starts with: all that was durable."""

    hard: HardState
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    config: ClusterConfig  # of the very beginning; a snapshot's own wins
    incoming: tuple[SnapshotMeta, tuple[bytes, ...]] | None = None  # pieces of a snapshot that was under way


class NotLeader(Exception):
    """Only a leader can do this; `leader` is its number, or NOBODY."""

    def __init__(self, leader: int) -> None:
        super().__init__("this member does not lead")
        self.leader = leader


class MembershipChangeError(Exception):
    """A change of the members that cannot be made now, and why."""


class _PendingRead(NamedTuple):
    """A write that is not durable yet."""

    number: int
    last: int  # the log's last index with it
    vote_term: int  # the term in which it makes our vote for ourselves durable
    since: int


class Raft:
    """One member's machine."""

    def __init__(
        self, me: int, saved: PersistentState, random: Random, now: int, timing: RaftTiming | None = None
    ) -> None:
        self.me, self.random, self.timing = me, random, timing or RaftTiming()
        self.term, self.vote = saved.hard
        self.snapshot = saved.snapshot
        if saved.snapshot:
            meta = saved.snapshot.meta
            self.log = RaftLog(meta.index, meta.term, meta.config)
        else:
            self.log = RaftLog(0, 0, saved.config)
        self.log.append([entry for entry in saved.entries if entry.index > self.log.base])
        self.commit = self.log.base
        self.durable = self.log.last
        self.standing, self.leader = RaftRole.FOLLOWER, NO_LEADER
        self.progress: dict[int, Progress] = {}
        self.votes: dict[int, bool] = {}
        self.heard_leader = now - 2 * self.timing.election  # long ago: a vote may be given at once
        self.due = 0  # when to stand for election
        self.quorum_due = 0
        self.first = 0  # the index of this leader's first entry
        self.round, self.round_new = 0, False  # of signs of life, for reads; none of this round is out yet
        self.reads: deque[tuple[int, int, int]] = deque()  # number, index, round; in the order of rounds
        self.early_reads: list[int] = []  # from before this leader's first entry is committed
        self.next_read = 1
        self.transfer_to, self.transfer_due = NO_LEADER, 0
        self.incoming: tuple[SnapshotMeta, list[bytes]] | None = None
        if saved.incoming:
            self.incoming = saved.incoming[0], list(saved.incoming[1])
        self.writes = 0
        self.pending: deque[_PendingRead] = deque()
        self.hard_durable = HardState(self.term, self.vote)  # as the next write's reader will have it
        self.out = RaftOutput()
        self.out_entries: list[Entry] = []
        self.out_truncate: int | None = None
        self.out_pieces: list[tuple[SnapshotMeta, int, bytes]] = []
        self.out_install: tuple[SnapshotMeta, bool] | None = None
        self.handed = self.commit  # entries up to here have been handed out
        self.broadcast_due = False
        self._rest(now)

    # what is asked

    def take(self, now: int) -> RaftOutput | None:
        """What is to be done since the last call; None where there is nothing."""
        if self.broadcast_due:
            self.broadcast_due = self.round_new = False
            self._sign_of_life(now)
        self._send_all(now)
        out = self.out
        if self.commit > self.handed:
            start = self.handed - self.log.base
            out.committed = self.log.entries[start : self.commit - self.log.base]
            self.handed = self.commit
        out.write = self._write(now)
        nothing = not (out.send or out.write or out.after or out.install or out.committed or out.reads)
        if nothing and not out.reads_lost:
            return None
        self.out = RaftOutput()
        return out

    def _write(self, now: int) -> RaftWrite | None:
        hard = HardState(self.term, self.vote)
        changed = hard != self.hard_durable
        if (
            not (changed or self.out_entries or self.out_pieces or self.out_install)
            and self.out_truncate is None
        ):
            return None
        self.writes += 1
        write = RaftWrite(
            self.writes,
            hard if changed else None,
            self.out_truncate,
            tuple(self.out_entries),
            tuple(self.out_pieces),
        )
        if self.out_install:
            write.install, write.keep = self.out_install
        self.hard_durable = hard
        self.out_entries, self.out_truncate, self.out_pieces, self.out_install = [], None, [], None
        voted = self.term if changed and self.vote == self.me else 0
        self.pending.append(_PendingRead(self.writes, self.log.last, voted, now))
        return write

    def written(self, number: int, now: int) -> None:
        """All writes up to this one are durable."""
        while self.pending and self.pending[0].number <= number:
            done = self.pending.popleft()
            self.durable = max(self.durable, min(done.last, self.log.last))
            if done.vote_term == self.term and self.standing == RaftRole.CANDIDATE:
                self._voted(self.me, True, now)
        if self.standing == RaftRole.LEADER:
            self._advance(now)

    def stuck(self, now: int) -> bool:
        """Whether the disk has taken a write and not given it back for longer than an election takes."""
        return bool(self.pending) and now - self.pending[0].since > self.timing.election

    def next_due(self) -> int:
        """When `tick` must be called at the latest."""
        if self.standing == RaftRole.LEADER:
            lasts = [one.sent for number, one in self.progress.items() if number != self.me]
            return min([self.quorum_due, *(last + self.timing.heartbeat for last in lasts)])
        return self.due

    # what is wanted of a leader

    def propose(self, commands: Sequence[bytes], now: int) -> tuple[int, int]:
        """Put commands into the log; gives the first one's index, and the term. NotLeading elsewhere."""
        if self.standing != RaftRole.LEADER or self.transfer_to:
            raise NotLeader(self.leader if self.standing != RaftRole.LEADER else NO_LEADER)
        first = self.log.last + 1
        self._add([(EntryKind.DATA, data) for data in commands], now)
        return first, self.term

    def read(self, now: int) -> int:
        """Ask for an index that a linearizable read must see (6.4); comes back in `reads` by this number."""
        if self.standing != RaftRole.LEADER:
            raise NotLeader(self.leader)
        number, self.next_read = self.next_read, self.next_read + 1
        if self.commit < self.first:
            # guards a read against what earlier leaders have committed unknown to us
            self.early_reads.append(number)
        else:
            self._begin_read(number)
        return number

    def _begin_read(self, number: int) -> None:
        if not self.round_new:  # one round serves all reads that come before it goes out
            self.round += 1
            self.round_new = self.broadcast_due = True
        self.reads.append((number, self.commit, self.round))

    def change(self, config: ClusterConfig, now: int) -> int:
        """Put a new configuration into the log (4.1); gives its index. ChangeError where it cannot be now."""
        if self.standing != RaftRole.LEADER:
            raise NotLeader(self.leader)
        before, after = self.log.config.voters(), config.voters()
        if self.log.config_index > self.commit:
            raise MembershipChangeError("another change is under way")
        if self.commit < self.first:
            # guards against the loss of an earlier leader's change (Ongaro, raft-dev, 10 July 2015)
            raise MembershipChangeError("this leader has committed nothing yet")
        if len(before ^ after) > 1:
            raise MembershipChangeError("one voter at a time may come or go")
        if not after:
            raise MembershipChangeError("the last voter cannot go")
        if self.transfer_to:
            raise MembershipChangeError("the lead is being handed over")
        self._add([(EntryKind.CONFIG, encode_config(config))], now)
        return self.log.last

    def transfer(self, target: int, now: int) -> None:
        """Hand the lead over to another voter (3.10)."""
        if self.standing != RaftRole.LEADER:
            raise NotLeader(self.leader)
        if target not in self.log.config.voters():
            raise MembershipChangeError("only a voter can lead")
        if target == self.me:
            return
        self.transfer_to, self.transfer_due = target, now + self.timing.election
        self._hand_over(now)

    def _hand_over(self, now: int) -> None:
        one = self.progress.get(self.transfer_to)
        if one and one.match == self.log.last:
            self.out.send.append((self.transfer_to, TimeoutNow(self.term)))

    def yield_lead(self, now: int) -> bool:
        """Hand the lead to whoever is furthest, before a planned end; whether there is anybody."""
        others = [(one.match, number) for number, one in self.progress.items() if self._may_lead(number, one)]
        if self.standing == RaftRole.LEADER and others:
            self.transfer(max(others)[1], now)
            return True
        return False

    def _may_lead(self, number: int, one: Progress) -> bool:
        return number != self.me and one.active and number in self.log.config.voters()

    # time

    def tick(self, now: int) -> None:
        """Time has passed."""
        if self.standing == RaftRole.LEADER:
            self._lead_on(now)
        elif now >= self.due:
            if self.me not in self.log.config.voters() or self.stuck(now):
                self._rest(now)
            else:
                self._ask(now)

    def _lead_on(self, now: int) -> None:
        if self.stuck(now):  # guards the cluster against a leader whose disk has stopped
            self.yield_lead(now)
            return self._follow(self.term, NO_LEADER, now)
        if self.transfer_to and now >= self.transfer_due:
            self.transfer_to = NO_LEADER
        if now >= self.quorum_due:  # guards clients against a leader that is cut off (6.2)
            self.quorum_due = now + self.timing.election
            active = {number for number, one in self.progress.items() if one.active} | {self.me}
            for one in self.progress.values():
                one.active = False
            if not self._majority(active):
                return self._follow(self.term, NO_LEADER, now)
        for number, one in self.progress.items():
            if number != self.me and now >= one.sent + self.timing.heartbeat:
                one.waits = False  # what was out may be lost
                if one.mode == ProgressMode.SNAPSHOT:
                    one.sent_pieces = one.held
                self._beat(number, one, now)
        self._promote(now)

    def _rest(self, now: int) -> None:
        """Wait for a leader, for a time drawn anew (3.4)."""
        self.due = now + self.timing.election + self.random.randrange(self.timing.election)

    # elections

    def _ask(self, now: int) -> None:
        """Ask first whether we would be elected (9.6): guards a leader against one that was cut off."""
        self.standing, self.leader = RaftRole.ASKING, NO_LEADER
        self.votes = {}
        self._rest(now)
        self._request(RequestVote(self.term + 1, self.log.last, self.log.last_term, True, False))
        self._voted(self.me, True, now)

    def _stand(self, now: int, transfer: bool = False) -> None:
        self.standing, self.leader = RaftRole.CANDIDATE, NO_LEADER
        self.term, self.vote = self.term + 1, self.me
        self.votes = {}  # ours counts once it is durable
        self._rest(now)
        self._request(RequestVote(self.term, self.log.last, self.log.last_term, False, transfer))

    def _request(self, vote: RequestVote) -> None:
        for number in sorted(self.log.config.voters() - {self.me}):
            self.out.after.append((number, vote))

    def _voted(self, sender: int, granted: bool, now: int) -> None:
        self.votes[sender] = granted
        yes = {number for number, one in self.votes.items() if one}
        if self._majority(yes):
            if self.standing == RaftRole.ASKING:
                self._stand(now)
            else:
                self._lead(now)
            return
        no = {number for number, one in self.votes.items() if not one}
        if self._majority(no):
            self._follow(self.term, NO_LEADER, now)

    def _majority(self, numbers: set[int]) -> bool:
        voters = self.log.config.voters()
        return 2 * len(voters & numbers) > len(voters)

    def _lead(self, now: int) -> None:
        self.standing, self.leader = RaftRole.LEADER, self.me
        self.quorum_due = now + self.timing.election
        self.transfer_to = NO_LEADER
        self.reads.clear()
        self.early_reads = []
        self.progress = {}
        self.first = self.log.last + 1
        self._members_changed(now)
        self._add([(EntryKind.EMPTY, b"")], now)  # so that earlier terms' entries can be committed (3.6.2)
        self.broadcast_due = True

    def _follow(self, term: int, leader: int, now: int) -> None:
        assert term >= self.term, "terms never fall"
        if term > self.term:
            self.term, self.vote = term, NO_LEADER
        if self.standing == RaftRole.LEADER:
            self.out.reads_lost += [number for number, _, _ in self.reads] + self.early_reads
            self.reads.clear()
            self.early_reads = []
            self.progress = {}
            self.transfer_to = NO_LEADER
        if self.standing != RaftRole.FOLLOWER or leader != NO_LEADER:
            self._rest(now)
        self.standing, self.leader = RaftRole.FOLLOWER, leader

    # messages

    def receive(self, sender: int, message: RaftMessage, now: int) -> None:
        """A message from a member, or from who takes itself for one."""
        if isinstance(message, RequestVote):
            return self._asked(sender, message, now)
        if message.term > self.term and not (
            isinstance(message, RequestVoteReply) and message.pre and message.granted
        ):
            leads = isinstance(message, AppendEntries | InstallSnapshotChunk)
            self._follow(message.term, sender if leads else NO_LEADER, now)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshotChunk):
                # guards a member that was cut off, and the cluster, against a leader that does not know
                self.out.after.append((sender, AppendEntriesReply(self.term, False, 0, 0, 0, 0)))
            return
        match message:
            case AppendEntries() | InstallSnapshotChunk():
                assert self.standing != RaftRole.LEADER, "two leaders in one term"
                self.heard_leader = now
                if self.standing != RaftRole.FOLLOWER or self.leader != sender:
                    self._follow(self.term, sender, now)
                self._rest(now)
                if isinstance(message, AppendEntries):
                    self._append(sender, message)
                else:
                    self._piece(sender, message)
            case AppendEntriesReply():
                if self.standing == RaftRole.LEADER:
                    self._appended(sender, message, now)
            case InstallSnapshotReply():
                if self.standing == RaftRole.LEADER:
                    self._held(sender, message, now)
            case RequestVoteReply():
                wanted = RaftRole.ASKING if message.pre else RaftRole.CANDIDATE
                late = message.pre and message.granted and message.term != self.term + 1
                if self.standing == wanted and sender in self.log.config.voters() and not late:
                    self._voted(sender, message.granted, now)
            case TimeoutNow():
                may = self.me in self.log.config.voters() and not self.stuck(now)
                if self.standing != RaftRole.LEADER and may:
                    self._stand(now, transfer=True)

    def _asked(self, sender: int, message: RequestVote, now: int) -> None:
        # guards a leader that serves against members that cannot hear it (4.2.3)
        led = self.standing == RaftRole.LEADER or now < self.heard_leader + self.timing.election
        if led and not message.transfer and message.term > self.term:
            return
        newer = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)
        if message.pre:
            granted = message.term > self.term and newer
            term = message.term if granted else self.term
            self.out.after.append((sender, RequestVoteReply(term, granted, True)))
            return
        if message.term > self.term:
            self._follow(message.term, NO_LEADER, now)
        free = self.vote in (NO_LEADER, sender) and self.leader == NO_LEADER
        granted = message.term == self.term and free and newer
        if granted:
            self.vote = sender
            self._rest(now)
        self.out.after.append((sender, RequestVoteReply(self.term, granted, False)))

    # the log, as a follower has it

    def _append(self, sender: int, message: AppendEntries) -> None:
        prev = message.prev_index
        entries = message.entries
        if prev < self.log.base:  # what the snapshot holds is agreed on
            entries = tuple(entry for entry in entries if entry.index > self.log.base)
            agrees = True
        else:
            agrees = self.log.term(prev) == message.prev_term
        if not agrees:
            hint = self.log.agreeing(prev, message.prev_term)
            told = AppendEntriesReply(self.term, False, prev, hint, self.log.term(hint) or 0, message.round)
            self.out.after.append((sender, told))
            return
        self._take_in(entries)
        upto = max(prev + len(message.entries), self.log.base)
        self._commit_to(min(message.commit, upto))
        self.out.after.append((sender, AppendEntriesReply(self.term, True, upto, 0, 0, message.round)))

    def _take_in(self, entries: Sequence[Entry]) -> None:
        for number, entry in enumerate(entries):
            term = self.log.term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate(entry.index)
            self._put(entries[number:])
            return

    def _truncate(self, first: int) -> None:
        assert first > self.commit, "what is committed stays"
        self.log.truncate(first)
        self.durable = min(self.durable, first - 1)
        self.pending = deque(one._replace(last=min(one.last, first - 1)) for one in self.pending)
        self.out_entries = [entry for entry in self.out_entries if entry.index < first]
        self.out_truncate = first if self.out_truncate is None else min(first, self.out_truncate)

    def _put(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        self.out_entries.extend(entries)

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            assert index <= self.log.last, "nothing is committed that is not here"
            self.commit = index

    # the log, as a leader has it

    def _add(self, given: Sequence[tuple[EntryKind, bytes]], now: int) -> None:
        entries = [Entry(self.log.last + 1 + n, self.term, *one) for n, one in enumerate(given)]
        config_before = self.log.config_index
        self._put(entries)
        if self.log.config_index != config_before:
            self._members_changed(now)

    def _members_changed(self, now: int) -> None:
        members = {one.id for one in self.log.config.members}
        for number in members - self.progress.keys() - {self.me}:
            self.progress[number] = Progress(self.log.last + 1, now - self.timing.heartbeat)
        for number in self.progress.keys() - members:
            del self.progress[number]

    def _send_all(self, now: int) -> None:
        if self.standing != RaftRole.LEADER:
            return
        for number, one in self.progress.items():
            if one.mode == ProgressMode.SNAPSHOT:
                self._send_pieces(number, one, now)
            while one.mode != ProgressMode.SNAPSHOT and one.next <= self.log.last and not one.full():
                if not self._send(number, one, now):
                    break

    def _send(self, number: int, one: Progress, now: int) -> bool:
        """Send entries; False where a snapshot has to go first, or cannot yet."""
        prev_term = self.log.term(one.next - 1)
        if prev_term is None:
            if self.snapshot:
                one.send_snapshot(self.snapshot)
                self._send_pieces(number, one, now)
            return False
        entries = self.log.slice(one.next, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES)
        append = AppendEntries(self.term, one.next - 1, prev_term, entries, self.commit, self.round)
        self.out.send.append((number, append))
        one.sent = now
        if one.mode == ProgressMode.FOLLOW:
            one.next = entries[-1].index + 1
            one.under_way.append(entries[-1].index)
        else:
            one.waits = True
        return True

    def _sign_of_life(self, now: int) -> None:
        for number, one in self.progress.items():
            self._beat(number, one, now)
        self._confirm(now)

    def _beat(self, number: int, one: Progress, now: int) -> None:
        """An append without entries: it also shows where what went before has been lost."""
        one.sent = now
        if one.mode == ProgressMode.SNAPSHOT and one.snapshot:
            asks = InstallSnapshotChunk(self.term, one.snapshot.meta, max(one.held, 0), b"", self.round)
            self.out.send.append((number, asks))
            return
        prev_term = self.log.term(one.next - 1)
        if prev_term is None:
            if self.snapshot:
                one.send_snapshot(self.snapshot)
                self._beat(number, one, now)
            return
        self.out.send.append(
            (number, AppendEntries(self.term, one.next - 1, prev_term, (), self.commit, self.round))
        )

    def _answered(self, sender: int, round: int, now: int) -> Progress | None:
        one = self.progress.get(sender)
        if one:
            one.active, one.heard = True, now
            if round > one.round:
                one.round = round
                self._confirm(now)
        return one

    def _appended(self, sender: int, message: AppendEntriesReply, now: int) -> None:
        one = self._answered(sender, message.round, now)
        if one is None:
            return
        if message.ok:
            news = one.agreed(message.index)
            if one.mode != ProgressMode.FOLLOW:
                one.follow()
            if news:
                self._advance(now)
                self._promote(now)
                if sender == self.transfer_to:
                    self._hand_over(now)
            return
        if message.index <= one.match or one.mode == ProgressMode.SNAPSHOT:
            return  # late word on what has been settled since
        if one.mode == ProgressMode.PROBE and message.index != one.next - 1:
            return
        one.probe(min(self.log.agreeing(message.hint, message.hint_term), message.index - 1) + 1)

    def _advance(self, now: int) -> None:
        """Commit what a majority has durably, from this term on (3.6.2)."""
        voters = self.log.config.voters()
        held = sorted(self.durable if v == self.me else self.progress[v].match for v in voters)
        index = held[(len(held) - 1) // 2]
        if index <= self.commit or self.log.term(index) != self.term:
            return
        before = self.commit
        self._commit_to(index)
        if before < self.first <= self.commit:
            for number in self.early_reads:
                self._begin_read(number)
            self.early_reads = []
        if before < self.log.config_index <= self.commit and self.me not in voters:
            # a leader that has been taken out leads until that is agreed on, and no longer (4.2.2)
            self._send_all(now)
            self._sign_of_life(now)
            best = max(((one.match, n) for n, one in self.progress.items() if n in voters), default=None)
            if best and best[0] == self.log.last:
                self.out.send.append((best[1], TimeoutNow(self.term)))
            self._follow(self.term, NO_LEADER, now)

    def _promote(self, now: int) -> None:
        """Make a member that has caught up a voter (4.2.1)."""
        settled = self.log.config_index <= self.commit and self.commit >= self.first
        if self.standing != RaftRole.LEADER or not settled or self.transfer_to:
            return
        for member in self.log.config.members:
            one = self.progress.get(member.id)
            caught_up = one and one.match >= self.commit and one.active and one.mode == ProgressMode.FOLLOW
            if member.role == MemberRole.JOINING and caught_up:
                voter = Member(member.id, member.name, member.address, MemberRole.VOTER)
                members = (voter if m.id == member.id else m for m in self.log.config.members)
                self.change(ClusterConfig(tuple(members)), now)
                return

    def _confirm(self, now: int) -> None:
        """Let go the reads whose round a majority has answered: we led when they were asked."""
        while self.reads:
            number, index, round = self.reads[0]
            if not self._majority({n for n, one in self.progress.items() if one.round >= round} | {self.me}):
                return
            self.reads.popleft()
            self.out.reads.append((number, index))

    # snapshots

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """A snapshot of ours is durable: let go of entries up to it, but for the last `keep` (5.1)."""
        if snapshot.meta.index > self.log.base:
            assert snapshot.meta.index <= self.commit, "a snapshot holds what is committed"
            self.snapshot = snapshot
            # never under what the log begins with: a member that lacks less is sent entries
            self.log.compact(min(max(snapshot.meta.index - keep, self.log.base), self.handed))

    def _send_pieces(self, number: int, one: Progress, now: int) -> None:
        """Send on with a snapshot where the other has it already (5.4: in pieces)."""
        snapshot = one.snapshot
        assert snapshot
        meta = snapshot.meta
        if one.held < 0:
            if not one.waits:  # ask first: it may have some from before
                one.waits, one.sent = True, now
                self.out.send.append((number, InstallSnapshotChunk(self.term, meta, 0, b"", self.round)))
            return
        while one.sent_pieces < min(one.held + MAX_INFLIGHT_CHUNKS, meta.pieces):
            data = snapshot.pieces[one.sent_pieces]
            self.out.send.append(
                (number, InstallSnapshotChunk(self.term, meta, one.sent_pieces, data, self.round))
            )
            one.sent_pieces, one.sent = one.sent_pieces + 1, now

    def _held(self, sender: int, message: InstallSnapshotReply, now: int) -> None:
        one = self._answered(sender, message.round, now)
        meta = one.snapshot.meta if one and one.snapshot else None
        if one is None or meta is None or (meta.index, meta.digest) != (message.index, message.digest):
            return
        if one.held < 0:
            one.sent_pieces = message.held
        if message.held < one.held:  # it has lost what it had
            one.sent_pieces = message.held
        one.held = message.held
        one.sent_pieces = max(one.sent_pieces, one.held)
        one.waits = False

    def _piece(self, sender: int, message: InstallSnapshotChunk) -> None:
        meta = message.meta
        if meta.index <= self.commit:  # we have all that it stands for
            told = AppendEntriesReply(self.term, True, self.commit, 0, 0, message.round)
            self.out.after.append((sender, told))
            return
        if self.incoming is None or self.incoming[0] != meta:
            self.incoming = meta, []
        held = self.incoming[1]
        if message.number == len(held) and message.data:
            held.append(message.data)
            self.out_pieces.append((meta, message.number, message.data))
        if len(held) < meta.pieces:
            told_held = InstallSnapshotReply(self.term, meta.index, meta.digest, len(held), message.round)
            self.out.after.append((sender, told_held))
            return
        self.incoming = None
        if (
            snapshot_digest(held) != meta.digest
        ):  # guards the records against pieces that were spoiled on their way
            self.out.after.append(
                (sender, InstallSnapshotReply(self.term, meta.index, meta.digest, 0, message.round))
            )
            return
        self._install(Snapshot(meta, tuple(held)))
        self.out.after.append((sender, AppendEntriesReply(self.term, True, meta.index, 0, 0, message.round)))

    def _install(self, snapshot: Snapshot) -> None:
        meta = snapshot.meta
        keep = self.log.term(meta.index) == meta.term
        if keep:  # what follows in the log may stay
            self.log.compact(meta.index)
            self.out_entries = [entry for entry in self.out_entries if entry.index > meta.index]
        else:
            self.log = RaftLog(meta.index, meta.term, meta.config)
            self.out_entries, self.out_truncate = [], None
            self.durable = meta.index
            self.pending = deque(one._replace(last=min(one.last, meta.index)) for one in self.pending)
        self.snapshot = snapshot
        self.commit = self.handed = meta.index
        self.out_install = meta, keep
        self.out.install = snapshot
        self.out.committed = []


def snapshot_digest(pieces: Sequence[bytes]) -> int:
    """The CRC-32 over all pieces, which with the index tells one snapshot from another."""
    crc = 0
    for piece in pieces:
        crc = crc32(piece, crc)
    return crc
