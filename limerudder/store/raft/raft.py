"""The machine: one member's part in the agreement.

It is told what happens (`receive`, `tick`, `on_write_durable`) and asked what to do (`take_output`). It does
no I/O and reads no clock: every call brings the time, in microseconds of a clock that never goes back. Chance
comes from the `Random` it is given, so that a run can be replayed.

What a driver owes the machine, for each `Output` in its order:

1. Send what is in `messages` at once.
2. Make `write` durable, whole or not at all, after all writes before it. Then send what is in
   `messages_after_write`, and call `on_write_durable`. An output without a write but with
   `messages_after_write` waits for the writes before it.
3. Hand `installed_snapshot` and then `committed_entries` to the records, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from limerudder.store.raft.errors import MembershipChangeError, NotLeader
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
    snapshot_digest,
)
from limerudder.store.raft.output import ConfirmedRead, Envelope, RaftOutput
from limerudder.store.raft.persistence import (
    HardState,
    PersistentState,
    RaftWrite,
    SnapshotChunk,
)
from limerudder.store.raft.progress import MAX_INFLIGHT_CHUNKS, Progress, ProgressMode
from limerudder.store.raft.state import NO_LEADER, RaftRole, RaftTiming

MAX_APPEND_BYTES = 256 * 1024  #: of entries in one append, where there is more than one entry
MAX_APPEND_ENTRIES = 1024  #: likewise


class PendingWrite(NamedTuple):
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
        self.member_id, self.random, self.timing = me, random, timing or RaftTiming()
        self.term, self.voted_for = saved.hard_state
        self.snapshot = saved.snapshot
        if saved.snapshot:
            meta = saved.snapshot.meta
            self.log = RaftLog(meta.index, meta.term, meta.config)
        else:
            self.log = RaftLog(0, 0, saved.initial_config)
        self.log.append([entry for entry in saved.entries if entry.index > self.log.base_index])
        self.commit_index = self.log.base_index
        self.durable_index = self.log.last_index
        self.role, self.leader_id = RaftRole.FOLLOWER, NO_LEADER
        self.progress: dict[int, Progress] = {}
        self.votes: dict[int, bool] = {}
        self.leader_heard_at = (
            now - 2 * self.timing.election_timeout_us
        )  # long ago: a vote may be given at once
        self.election_due = 0  # when to stand for election
        self.quorum_due = 0
        self.term_start_index = 0  # the index of this leader's first entry
        self.round, self.round_new = 0, False  # of signs of life, for reads; none of this round is out yet
        self.reads: deque[tuple[int, int, int]] = deque()  # number, index, round; in the order of rounds
        self.early_reads: list[int] = []  # from before this leader's first entry is committed
        self.next_read = 1
        self.transfer_to, self.transfer_due = NO_LEADER, 0
        self.incoming_snapshot: tuple[SnapshotMeta, list[bytes]] | None = None
        if saved.incoming_snapshot:
            self.incoming_snapshot = saved.incoming_snapshot[0], list(saved.incoming_snapshot[1])
        self.writes = 0
        self.pending: deque[PendingWrite] = deque()
        self.hard_durable = HardState(self.term, self.voted_for)  # as the next write's reader will have it
        self.out = RaftOutput()
        self.out_entries: list[Entry] = []
        self.out_truncate: int | None = None
        self.out_pieces: list[SnapshotChunk] = []
        self.out_install: tuple[SnapshotMeta, bool] | None = None
        self.handed = self.commit_index  # entries up to here have been handed out
        self.broadcast_due = False
        self._rest(now)

    # what is asked

    def take_output(self, now: int) -> RaftOutput | None:
        """What is to be done since the last call; None where there is nothing."""
        if self.broadcast_due:
            self.broadcast_due = self.round_new = False
            self._sign_of_life(now)
        self._send_all(now)
        out = self.out
        if self.commit_index > self.handed:
            start = self.handed - self.log.base_index
            out.committed_entries = self.log.entries[start : self.commit_index - self.log.base_index]
            self.handed = self.commit_index
        out.write = self._write(now)
        if out.is_empty():
            return None
        self.out = RaftOutput()
        return out

    def _write(self, now: int) -> RaftWrite | None:
        hard = HardState(self.term, self.voted_for)
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
            write.install_snapshot, write.keep_log_suffix = self.out_install
        self.hard_durable = hard
        self.out_entries, self.out_truncate, self.out_pieces, self.out_install = [], None, [], None
        voted = self.term if changed and self.voted_for == self.member_id else 0
        self.pending.append(PendingWrite(self.writes, self.log.last_index, voted, now))
        return write

    def on_write_durable(self, number: int, now: int) -> None:
        """All writes up to this one are durable."""
        while self.pending and self.pending[0].number <= number:
            done = self.pending.popleft()
            self.durable_index = max(self.durable_index, min(done.last, self.log.last_index))
            if done.vote_term == self.term and self.role == RaftRole.CANDIDATE:
                self._voted(self.member_id, True, now)
        if self.role == RaftRole.LEADER:
            self._advance(now)

    def is_disk_stalled(self, now: int) -> bool:
        """Whether the disk has taken a write and not given it back for longer than an election takes."""
        return bool(self.pending) and now - self.pending[0].since > self.timing.election_timeout_us

    def next_deadline(self) -> int:
        """When `tick` must be called at the latest."""
        if self.role == RaftRole.LEADER:
            lasts = [one.last_sent_us for number, one in self.progress.items() if number != self.member_id]
            return min([self.quorum_due, *(last + self.timing.heartbeat_interval_us for last in lasts)])
        return self.election_due

    # what is wanted of a leader

    def propose(self, commands: Sequence[bytes], now: int) -> tuple[int, int]:
        """Put commands into the log; gives the first one's index, and the term. NotLeading elsewhere."""
        if self.role != RaftRole.LEADER or self.transfer_to:
            raise NotLeader(self.leader_id if self.role != RaftRole.LEADER else NO_LEADER)
        first = self.log.last_index + 1
        self._add([(EntryKind.DATA, data) for data in commands], now)
        return first, self.term

    def request_read(self, now: int) -> int:
        """Ask for an index that a linearizable read must see (6.4); it comes back in `confirmed_reads`."""
        if self.role != RaftRole.LEADER:
            raise NotLeader(self.leader_id)
        number, self.next_read = self.next_read, self.next_read + 1
        if self.commit_index < self.term_start_index:
            # guards a read against what earlier leaders have committed unknown to us
            self.early_reads.append(number)
        else:
            self._begin_read(number)
        return number

    def _begin_read(self, number: int) -> None:
        if not self.round_new:  # one round serves all reads that come before it goes out
            self.round += 1
            self.round_new = self.broadcast_due = True
        self.reads.append((number, self.commit_index, self.round))

    def propose_config(self, config: ClusterConfig, now: int) -> int:
        """Put a new configuration into the log (4.1); gives its index. ChangeError where it cannot be now."""
        if self.role != RaftRole.LEADER:
            raise NotLeader(self.leader_id)
        before, after = self.log.config.voter_ids(), config.voter_ids()
        if self.log.config_index > self.commit_index:
            raise MembershipChangeError("another change is under way")
        if self.commit_index < self.term_start_index:
            # guards against the loss of an earlier leader's change (Ongaro, raft-dev, 10 July 2015)
            raise MembershipChangeError("this leader has committed nothing yet")
        if len(before ^ after) > 1:
            raise MembershipChangeError("one voter at a time may come or go")
        if not after:
            raise MembershipChangeError("the last voter cannot go")
        if self.transfer_to:
            raise MembershipChangeError("the lead is being handed over")
        self._add([(EntryKind.CONFIG, encode_config(config))], now)
        return self.log.last_index

    def transfer_leadership(self, target: int, now: int) -> None:
        """Hand the lead over to another voter (3.10)."""
        if self.role != RaftRole.LEADER:
            raise NotLeader(self.leader_id)
        if target not in self.log.config.voter_ids():
            raise MembershipChangeError("only a voter can lead")
        if target == self.member_id:
            return
        self.transfer_to, self.transfer_due = target, now + self.timing.election_timeout_us
        self._hand_over(now)

    def _hand_over(self, now: int) -> None:
        one = self.progress.get(self.transfer_to)
        if one and one.match_index == self.log.last_index:
            self.out.messages.append(Envelope(self.transfer_to, TimeoutNow(self.term)))

    def transfer_to_best_follower(self, now: int) -> bool:
        """Hand the lead to whoever is furthest, before a planned end; whether there is anybody."""
        others = [
            (one.match_index, number) for number, one in self.progress.items() if self._may_lead(number, one)
        ]
        if self.role == RaftRole.LEADER and others:
            self.transfer_leadership(max(others)[1], now)
            return True
        return False

    def _may_lead(self, number: int, one: Progress) -> bool:
        return number != self.member_id and one.recently_active and number in self.log.config.voter_ids()

    # time

    def tick(self, now: int) -> None:
        """Time has passed."""
        if self.role == RaftRole.LEADER:
            self._lead_on(now)
        elif now >= self.election_due:
            if self.member_id not in self.log.config.voter_ids() or self.is_disk_stalled(now):
                self._rest(now)
            else:
                self._ask(now)

    def _lead_on(self, now: int) -> None:
        if self.is_disk_stalled(now):  # guards the cluster against a leader whose disk has stopped
            self.transfer_to_best_follower(now)
            return self._follow(self.term, NO_LEADER, now)
        if self.transfer_to and now >= self.transfer_due:
            self.transfer_to = NO_LEADER
        if now >= self.quorum_due:  # guards clients against a leader that is cut off (6.2)
            self.quorum_due = now + self.timing.election_timeout_us
            active = {number for number, one in self.progress.items() if one.recently_active} | {
                self.member_id
            }
            for one in self.progress.values():
                one.recently_active = False
            if not self._majority(active):
                return self._follow(self.term, NO_LEADER, now)
        for number, one in self.progress.items():
            if number != self.member_id and now >= one.last_sent_us + self.timing.heartbeat_interval_us:
                one.is_paused = False  # what was out may be lost
                if one.mode == ProgressMode.SNAPSHOT:
                    one.chunks_sent = one.chunks_held
                self._beat(number, one, now)
        self._promote(now)

    def _rest(self, now: int) -> None:
        """Wait for a leader, for a time drawn anew (3.4)."""
        self.election_due = (
            now + self.timing.election_timeout_us + self.random.randrange(self.timing.election_timeout_us)
        )

    # elections

    def _ask(self, now: int) -> None:
        """Ask first whether we would be elected (9.6): guards a leader against one that was cut off."""
        self.role, self.leader_id = RaftRole.PRE_CANDIDATE, NO_LEADER
        self.votes = {}
        self._rest(now)
        self._request(RequestVote(self.term + 1, self.log.last_index, self.log.last_term, True, False))
        self._voted(self.member_id, True, now)

    def _stand(self, now: int, transfer: bool = False) -> None:
        self.role, self.leader_id = RaftRole.CANDIDATE, NO_LEADER
        self.term, self.voted_for = self.term + 1, self.member_id
        self.votes = {}  # ours counts once it is durable
        self._rest(now)
        self._request(RequestVote(self.term, self.log.last_index, self.log.last_term, False, transfer))

    def _request(self, vote: RequestVote) -> None:
        for number in sorted(self.log.config.voter_ids() - {self.member_id}):
            self.out.messages_after_write.append(Envelope(number, vote))

    def _voted(self, sender: int, granted: bool, now: int) -> None:
        self.votes[sender] = granted
        yes = {number for number, one in self.votes.items() if one}
        if self._majority(yes):
            if self.role == RaftRole.PRE_CANDIDATE:
                self._stand(now)
            else:
                self._lead(now)
            return
        no = {number for number, one in self.votes.items() if not one}
        if self._majority(no):
            self._follow(self.term, NO_LEADER, now)

    def _majority(self, numbers: set[int]) -> bool:
        voters = self.log.config.voter_ids()
        return 2 * len(voters & numbers) > len(voters)

    def _lead(self, now: int) -> None:
        self.role, self.leader_id = RaftRole.LEADER, self.member_id
        self.quorum_due = now + self.timing.election_timeout_us
        self.transfer_to = NO_LEADER
        self.reads.clear()
        self.early_reads = []
        self.progress = {}
        self.term_start_index = self.log.last_index + 1
        self._members_changed(now)
        self._add([(EntryKind.EMPTY, b"")], now)  # so that earlier terms' entries can be committed (3.6.2)
        self.broadcast_due = True

    def _follow(self, term: int, leader: int, now: int) -> None:
        assert term >= self.term, "terms never fall"
        if term > self.term:
            self.term, self.voted_for = term, NO_LEADER
        if self.role == RaftRole.LEADER:
            self.out.aborted_reads += [number for number, _, _ in self.reads] + self.early_reads
            self.reads.clear()
            self.early_reads = []
            self.progress = {}
            self.transfer_to = NO_LEADER
        if self.role != RaftRole.FOLLOWER or leader != NO_LEADER:
            self._rest(now)
        self.role, self.leader_id = RaftRole.FOLLOWER, leader

    # messages

    def receive(self, sender: int, message: RaftMessage, now: int) -> None:
        """A message from a member, or from who takes itself for one."""
        if isinstance(message, RequestVote):
            return self._asked(sender, message, now)
        if message.term > self.term and not (
            isinstance(message, RequestVoteReply) and message.is_pre_vote and message.granted
        ):
            leads = isinstance(message, AppendEntries | InstallSnapshotChunk)
            self._follow(message.term, sender if leads else NO_LEADER, now)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshotChunk):
                # guards a member that was cut off, and the cluster, against a leader that does not know
                self.out.messages_after_write.append(
                    Envelope(sender, AppendEntriesReply(self.term, False, 0, 0, 0, 0))
                )
            return
        match message:
            case AppendEntries() | InstallSnapshotChunk():
                assert self.role != RaftRole.LEADER, "two leaders in one term"
                self.leader_heard_at = now
                if self.role != RaftRole.FOLLOWER or self.leader_id != sender:
                    self._follow(self.term, sender, now)
                self._rest(now)
                if isinstance(message, AppendEntries):
                    self._append(sender, message)
                else:
                    self._piece(sender, message)
            case AppendEntriesReply():
                if self.role == RaftRole.LEADER:
                    self._appended(sender, message, now)
            case InstallSnapshotReply():
                if self.role == RaftRole.LEADER:
                    self._held(sender, message, now)
            case RequestVoteReply():
                wanted = RaftRole.PRE_CANDIDATE if message.is_pre_vote else RaftRole.CANDIDATE
                late = message.is_pre_vote and message.granted and message.term != self.term + 1
                if self.role == wanted and sender in self.log.config.voter_ids() and not late:
                    self._voted(sender, message.granted, now)
            case TimeoutNow():
                may = self.member_id in self.log.config.voter_ids() and not self.is_disk_stalled(now)
                if self.role != RaftRole.LEADER and may:
                    self._stand(now, transfer=True)

    def _asked(self, sender: int, message: RequestVote, now: int) -> None:
        # guards a leader that serves against members that cannot hear it (4.2.3)
        led = self.role == RaftRole.LEADER or now < self.leader_heard_at + self.timing.election_timeout_us
        if led and not message.is_leader_transfer and message.term > self.term:
            return
        newer = (message.last_log_term, message.last_log_index) >= (self.log.last_term, self.log.last_index)
        if message.is_pre_vote:
            granted = message.term > self.term and newer
            term = message.term if granted else self.term
            self.out.messages_after_write.append(Envelope(sender, RequestVoteReply(term, granted, True)))
            return
        if message.term > self.term:
            self._follow(message.term, NO_LEADER, now)
        free = self.voted_for in (NO_LEADER, sender) and self.leader_id == NO_LEADER
        granted = message.term == self.term and free and newer
        if granted:
            self.voted_for = sender
            self._rest(now)
        self.out.messages_after_write.append(Envelope(sender, RequestVoteReply(self.term, granted, False)))

    # the log, as a follower has it

    def _append(self, sender: int, message: AppendEntries) -> None:
        prev = message.prev_log_index
        entries = message.entries
        if prev < self.log.base_index:  # what the snapshot holds is agreed on
            entries = tuple(entry for entry in entries if entry.index > self.log.base_index)
            agrees = True
        else:
            agrees = self.log.term_at(prev) == message.prev_log_term
        if not agrees:
            hint = self.log.find_conflict_by_term(prev, message.prev_log_term)
            told = AppendEntriesReply(
                self.term, False, prev, hint, self.log.term_at(hint) or 0, message.read_round
            )
            self.out.messages_after_write.append(Envelope(sender, told))
            return
        self._take_in(entries)
        upto = max(prev + len(message.entries), self.log.base_index)
        self._commit_to(min(message.leader_commit, upto))
        self.out.messages_after_write.append(
            Envelope(sender, AppendEntriesReply(self.term, True, upto, 0, 0, message.read_round))
        )

    def _take_in(self, entries: Sequence[Entry]) -> None:
        for number, entry in enumerate(entries):
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate(entry.index)
            self._put(entries[number:])
            return

    def _truncate(self, first: int) -> None:
        assert first > self.commit_index, "what is committed stays"
        self.log.truncate(first)
        self.durable_index = min(self.durable_index, first - 1)
        self.pending = deque(one._replace(last=min(one.last, first - 1)) for one in self.pending)
        self.out_entries = [entry for entry in self.out_entries if entry.index < first]
        self.out_truncate = first if self.out_truncate is None else min(first, self.out_truncate)

    def _put(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        self.out_entries.extend(entries)

    def _commit_to(self, index: int) -> None:
        if index > self.commit_index:
            assert index <= self.log.last_index, "nothing is committed that is not here"
            self.commit_index = index

    # the log, as a leader has it

    def _add(self, given: Sequence[tuple[EntryKind, bytes]], now: int) -> None:
        entries = [Entry(self.log.last_index + 1 + n, self.term, *one) for n, one in enumerate(given)]
        config_before = self.log.config_index
        self._put(entries)
        if self.log.config_index != config_before:
            self._members_changed(now)

    def _members_changed(self, now: int) -> None:
        members = {one.id for one in self.log.config.members}
        for number in members - self.progress.keys() - {self.member_id}:
            self.progress[number] = Progress(self.log.last_index + 1, now - self.timing.heartbeat_interval_us)
        for number in self.progress.keys() - members:
            del self.progress[number]

    def _send_all(self, now: int) -> None:
        if self.role != RaftRole.LEADER:
            return
        for number, one in self.progress.items():
            if one.mode == ProgressMode.SNAPSHOT:
                self._send_pieces(number, one, now)
            while (
                one.mode != ProgressMode.SNAPSHOT
                and one.next_index <= self.log.last_index
                and not one.is_full()
            ):
                if not self._send(number, one, now):
                    break

    def _send(self, number: int, one: Progress, now: int) -> bool:
        """Send entries; False where a snapshot has to go first, or cannot yet."""
        prev_term = self.log.term_at(one.next_index - 1)
        if prev_term is None:
            if self.snapshot:
                one.become_snapshot(self.snapshot)
                self._send_pieces(number, one, now)
            return False
        entries = self.log.entries_from(one.next_index, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES)
        append = AppendEntries(
            self.term, one.next_index - 1, prev_term, entries, self.commit_index, self.round
        )
        self.out.messages.append(Envelope(number, append))
        one.last_sent_us = now
        if one.mode == ProgressMode.REPLICATE:
            one.next_index = entries[-1].index + 1
            one.inflight.append(entries[-1].index)
        else:
            one.is_paused = True
        return True

    def _sign_of_life(self, now: int) -> None:
        for number, one in self.progress.items():
            self._beat(number, one, now)
        self._confirm(now)

    def _beat(self, number: int, one: Progress, now: int) -> None:
        """An append without entries: it also shows where what went before has been lost."""
        one.last_sent_us = now
        if one.mode == ProgressMode.SNAPSHOT and one.snapshot:
            asks = InstallSnapshotChunk(
                self.term, one.snapshot.meta, max(one.chunks_held, 0), b"", self.round
            )
            self.out.messages.append(Envelope(number, asks))
            return
        prev_term = self.log.term_at(one.next_index - 1)
        if prev_term is None:
            if self.snapshot:
                one.become_snapshot(self.snapshot)
                self._beat(number, one, now)
            return
        self.out.messages.append(
            Envelope(
                number,
                AppendEntries(self.term, one.next_index - 1, prev_term, (), self.commit_index, self.round),
            )
        )

    def _answered(self, sender: int, round: int, now: int) -> Progress | None:
        one = self.progress.get(sender)
        if one:
            one.recently_active, one.last_heard_us = True, now
            if round > one.acked_read_round:
                one.acked_read_round = round
                self._confirm(now)
        return one

    def _appended(self, sender: int, message: AppendEntriesReply, now: int) -> None:
        one = self._answered(sender, message.read_round, now)
        if one is None:
            return
        if message.success:
            news = one.record_match(message.index)
            if one.mode != ProgressMode.REPLICATE:
                one.become_replicate()
            if news:
                self._advance(now)
                self._promote(now)
                if sender == self.transfer_to:
                    self._hand_over(now)
            return
        if message.index <= one.match_index or one.mode == ProgressMode.SNAPSHOT:
            return  # late word on what has been settled since
        if one.mode == ProgressMode.PROBE and message.index != one.next_index - 1:
            return
        one.become_probe(
            min(self.log.find_conflict_by_term(message.hint_index, message.hint_term), message.index - 1) + 1
        )

    def _advance(self, now: int) -> None:
        """Commit what a majority has durably, from this term on (3.6.2)."""
        voters = self.log.config.voter_ids()
        held = sorted(
            self.durable_index if v == self.member_id else self.progress[v].match_index for v in voters
        )
        index = held[(len(held) - 1) // 2]
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        before = self.commit_index
        self._commit_to(index)
        if before < self.term_start_index <= self.commit_index:
            for number in self.early_reads:
                self._begin_read(number)
            self.early_reads = []
        if before < self.log.config_index <= self.commit_index and self.member_id not in voters:
            # a leader that has been taken out leads until that is agreed on, and no longer (4.2.2)
            self._send_all(now)
            self._sign_of_life(now)
            best = max(
                ((one.match_index, n) for n, one in self.progress.items() if n in voters), default=None
            )
            if best and best[0] == self.log.last_index:
                self.out.messages.append(Envelope(best[1], TimeoutNow(self.term)))
            self._follow(self.term, NO_LEADER, now)

    def _promote(self, now: int) -> None:
        """Make a member that has caught up a voter (4.2.1)."""
        settled = self.log.config_index <= self.commit_index and self.commit_index >= self.term_start_index
        if self.role != RaftRole.LEADER or not settled or self.transfer_to:
            return
        for member in self.log.config.members:
            one = self.progress.get(member.id)
            caught_up = (
                one
                and one.match_index >= self.commit_index
                and one.recently_active
                and one.mode == ProgressMode.REPLICATE
            )
            if member.role == MemberRole.JOINING and caught_up:
                voter = Member(member.id, member.name, member.address, MemberRole.VOTER)
                members = (voter if m.id == member.id else m for m in self.log.config.members)
                self.propose_config(ClusterConfig(tuple(members)), now)
                return

    def _confirm(self, now: int) -> None:
        """Let go the reads whose round a majority has answered: we led when they were asked."""
        while self.reads:
            number, index, round = self.reads[0]
            if not self._majority(
                {n for n, one in self.progress.items() if one.acked_read_round >= round} | {self.member_id}
            ):
                return
            self.reads.popleft()
            self.out.confirmed_reads.append(ConfirmedRead(number, index))

    # snapshots

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """A snapshot of ours is durable: let go of entries up to it, but for the last `keep` (5.1)."""
        if snapshot.meta.index > self.log.base_index:
            assert snapshot.meta.index <= self.commit_index, "a snapshot holds what is committed"
            self.snapshot = snapshot
            # never under what the log begins with: a member that lacks less is sent entries
            self.log.compact(min(max(snapshot.meta.index - keep, self.log.base_index), self.handed))

    def _send_pieces(self, number: int, one: Progress, now: int) -> None:
        """Send on with a snapshot where the other has it already (5.4: in pieces)."""
        snapshot = one.snapshot
        assert snapshot
        meta = snapshot.meta
        if one.chunks_held < 0:
            if not one.is_paused:  # ask first: it may have some from before
                one.is_paused, one.last_sent_us = True, now
                self.out.messages.append(
                    Envelope(number, InstallSnapshotChunk(self.term, meta, 0, b"", self.round))
                )
            return
        while one.chunks_sent < min(one.chunks_held + MAX_INFLIGHT_CHUNKS, meta.chunk_count):
            data = snapshot.chunks[one.chunks_sent]
            self.out.messages.append(
                Envelope(number, InstallSnapshotChunk(self.term, meta, one.chunks_sent, data, self.round))
            )
            one.chunks_sent, one.last_sent_us = one.chunks_sent + 1, now

    def _held(self, sender: int, message: InstallSnapshotReply, now: int) -> None:
        one = self._answered(sender, message.read_round, now)
        meta = one.snapshot.meta if one and one.snapshot else None
        if (
            one is None
            or meta is None
            or (meta.index, meta.digest) != (message.snapshot_index, message.snapshot_digest)
        ):
            return
        if one.chunks_held < 0:
            one.chunks_sent = message.chunks_held
        if message.chunks_held < one.chunks_held:  # it has lost what it had
            one.chunks_sent = message.chunks_held
        one.chunks_held = message.chunks_held
        one.chunks_sent = max(one.chunks_sent, one.chunks_held)
        one.is_paused = False

    def _piece(self, sender: int, message: InstallSnapshotChunk) -> None:
        meta = message.meta
        if meta.index <= self.commit_index:  # we have all that it stands for
            told = AppendEntriesReply(self.term, True, self.commit_index, 0, 0, message.read_round)
            self.out.messages_after_write.append(Envelope(sender, told))
            return
        if self.incoming_snapshot is None or self.incoming_snapshot[0] != meta:
            self.incoming_snapshot = meta, []
        held = self.incoming_snapshot[1]
        if message.chunk_number == len(held) and message.data:
            held.append(message.data)
            self.out_pieces.append(SnapshotChunk(meta, message.chunk_number, message.data))
        if len(held) < meta.chunk_count:
            told_held = InstallSnapshotReply(
                self.term, meta.index, meta.digest, len(held), message.read_round
            )
            self.out.messages_after_write.append(Envelope(sender, told_held))
            return
        self.incoming_snapshot = None
        if (
            snapshot_digest(held) != meta.digest
        ):  # guards the records against pieces that were spoiled on their way
            self.out.messages_after_write.append(
                Envelope(
                    sender, InstallSnapshotReply(self.term, meta.index, meta.digest, 0, message.read_round)
                )
            )
            return
        self._install(Snapshot(meta, tuple(held)))
        self.out.messages_after_write.append(
            Envelope(sender, AppendEntriesReply(self.term, True, meta.index, 0, 0, message.read_round))
        )

    def _install(self, snapshot: Snapshot) -> None:
        meta = snapshot.meta
        keep = self.log.term_at(meta.index) == meta.term
        if keep:  # what follows in the log may stay
            self.log.compact(meta.index)
            self.out_entries = [entry for entry in self.out_entries if entry.index > meta.index]
        else:
            self.log = RaftLog(meta.index, meta.term, meta.config)
            self.out_entries, self.out_truncate = [], None
            self.durable_index = meta.index
            self.pending = deque(one._replace(last=min(one.last, meta.index)) for one in self.pending)
        self.snapshot = snapshot
        self.commit_index = self.handed = meta.index
        self.out_install = meta, keep
        self.out.installed_snapshot = snapshot
        self.out.committed_entries = []
