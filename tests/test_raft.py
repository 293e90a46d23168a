"""The consensus machine a step at a time: what the simulation leaves to chance is done on purpose here."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from limerudder.store.raft.errors import MembershipChangeError, NotLeader
from limerudder.store.raft.messages import (
    AppendEntries,
    ClusterConfig,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Member,
    MemberRole,
    RaftMessage,
    RequestVote,
    Snapshot,
    SnapshotMeta,
    TimeoutNow,
    snapshot_digest,
)
from limerudder.store.raft.persistence import HardState, IncomingSnapshot, PersistentState
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole, RaftTiming

MS = 1000
TIMING = RaftTiming(150 * MS, 30 * MS)


def config(*numbers: int, joining: int = 0) -> ClusterConfig:
    found = [Member(n, f"n{n}", f"127.0.0.1:{n}") for n in numbers]
    if joining:
        found.append(Member(joining, f"n{joining}", f"127.0.0.1:{joining}", MemberRole.JOINING))
    return ClusterConfig(tuple(found))


class Bench:
    """Machines on one clock; messages arrive at once unless held, writes are durable at once unless stuck."""

    def __init__(self, *numbers: int) -> None:
        self.now = 0
        self.all = {n: self.fresh(n, config(*numbers)) for n in numbers}
        self.lost: Callable[[int, int, RaftMessage], bool] = lambda sender, to, message: False
        self.stuck: set[int] = set()
        self.reads: dict[int, list[tuple[int, int]]] = {n: [] for n in numbers}
        self.installed: dict[int, Snapshot] = {}
        self.seen: list[tuple[int, int, RaftMessage]] = []

    def fresh(
        self,
        number: int,
        members: ClusterConfig,
        hard: HardState = HardState(0, 0),  # noqa: B008
        entries: tuple[Entry, ...] = (),
        incoming: IncomingSnapshot | None = None,
    ) -> Raft:
        saved = PersistentState(hard, None, entries, members, incoming)
        return Raft(number, saved, Random(number), self.now, TIMING)

    def settle(self) -> None:
        """Until nothing more is to be done."""
        moved = True
        while moved:
            moved = False
            for number, raft in list(self.all.items()):
                out = raft.take_output(self.now)
                if out is None:
                    continue
                moved = True
                self.reads.setdefault(number, []).extend(out.confirmed_reads)
                if out.installed_snapshot:
                    self.installed[number] = out.installed_snapshot
                after = out.messages_after_write
                if out.write:
                    if number in self.stuck:
                        after = []
                    else:
                        raft.on_write_durable(out.write.number, self.now)
                for to, message in [*out.messages, *after]:
                    self.seen.append((number, to, message))
                    if to in self.all and not self.lost(number, to, message):
                        self.all[to].receive(number, message, self.now)

    def run(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(0, ms, 5):
            self.now += 5 * MS
            for raft in self.all.values():
                raft.tick(self.now)
            self.settle()

    def elect(self, number: int) -> Raft:
        """Have this one lead."""
        raft = self.all[number]
        for _ in range(3):  # it may learn of a later term first
            self.now += 200 * MS
            raft.election_due = 0
            for one in self.all.values():
                one.leader_heard_at = -(10**9)
            raft.tick(self.now)
            self.settle()
            if raft.role == RaftRole.LEADER:
                break
        assert raft.role == RaftRole.LEADER
        return raft


def snapshot(index: int, term: int, members: ClusterConfig, pieces: int) -> Snapshot:
    data = tuple(b"%d" % n * 10 for n in range(pieces))
    return Snapshot(SnapshotMeta(index, term, members, pieces, snapshot_digest(data)), data)


def test_one_leads_and_what_it_proposes_is_committed_everywhere() -> None:
    bench = Bench(1, 2, 3)
    bench.run(700)
    leaders = [raft for raft in bench.all.values() if raft.role == RaftRole.LEADER]
    assert len(leaders) == 1
    leaders[0].propose([b"a", b"b"], bench.now)
    bench.settle()
    bench.run(60)
    assert {raft.commit_index for raft in bench.all.values()} == {3}
    other = next(raft for raft in bench.all.values() if raft is not leaders[0])
    with pytest.raises(NotLeader) as caught:
        other.propose([b"c"], bench.now)
    assert caught.value.leader == leaders[0].member_id


def test_one_that_was_cut_off_does_not_disturb_the_leader_when_it_is_back() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    term = leader.term
    bench.lost = lambda sender, to, message: 3 in (sender, to)
    bench.run(2000)
    assert bench.all[3].term == term, "it asks before it stands"
    bench.lost = lambda sender, to, message: False
    bench.run(500)
    assert leader.role == RaftRole.LEADER and leader.term == term


def test_a_leader_that_nobody_hears_gives_up_and_its_reads_are_lost() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    bench.lost = lambda sender, to, message: True
    leader.request_read(bench.now)
    bench.run(400)
    assert leader.role != RaftRole.LEADER and bench.reads[1] == []


def test_a_read_waits_for_a_round_begun_after_it() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    bench.lost = lambda sender, to, message: to == 1
    leader.request_read(bench.now)
    bench.settle()
    assert bench.reads[1] == []
    bench.lost = lambda sender, to, message: False
    bench.run(40)
    assert bench.reads[1] == [(1, leader.commit_index)]


def test_a_leader_whose_disk_is_stuck_hands_the_lead_over() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    bench.stuck = {1}
    leader.propose([b"a"], bench.now)
    bench.settle()
    assert leader.commit_index == 2, "the others have it: a quorum without the leader's own disk"
    bench.run(400)
    assert leader.role == RaftRole.FOLLOWER and leader.is_disk_stalled(bench.now)
    assert any(isinstance(message, TimeoutNow) for _, _, message in bench.seen)
    bench.run(1000)
    assert leader.role == RaftRole.FOLLOWER, "and stands for nothing meanwhile"
    assert any(raft.role == RaftRole.LEADER for raft in bench.all.values())


def test_the_lead_is_handed_over_without_an_election_time_out() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    leader.transfer_leadership(3, bench.now)
    with pytest.raises(NotLeader):
        leader.propose([b"a"], bench.now)
    bench.settle()
    assert bench.all[3].role == RaftRole.LEADER and leader.leader_id == 3
    with pytest.raises(MembershipChangeError, match="only a voter"):
        bench.all[3].transfer_leadership(9, bench.now)


def test_no_vote_leaves_before_it_is_durable_and_none_is_given_twice_in_a_term() -> None:
    bench = Bench(1, 2, 3)
    one = bench.all[3]
    one.receive(1, RequestVote(5, 0, 0, False, False), bench.now)
    out = one.take_output(bench.now)
    assert (
        out
        and not out.messages
        and out.write
        and out.write.hard_state == HardState(5, 1)
        and len(out.messages_after_write) == 1
    )
    again = bench.fresh(3, config(1, 2, 3), hard=out.write.hard_state)
    again.receive(2, RequestVote(5, 9, 4, False, False), bench.now)
    out = again.take_output(bench.now)
    assert out and out.messages_after_write[0][1].granted is False  # type: ignore[union-attr]


def test_an_older_terms_entry_is_not_committed_by_count() -> None:
    """Figure 3.7 of the thesis."""
    members = config(1, 2, 3, 4, 5)
    bench = Bench(1, 2, 3, 4, 5)
    old, newer = Entry(1, 2, EntryKind.DATA, b"old"), Entry(1, 3, EntryKind.DATA, b"newer")
    for number in (1, 2, 3):
        bench.all[number] = bench.fresh(number, members, hard=HardState(3, 0), entries=(old,))
    bench.all[5] = bench.fresh(5, members, hard=HardState(3, 5), entries=(newer,))
    # the leader's own first entry reaches nobody; that all three have the old one is known to it
    bench.lost = (
        lambda sender, to, message: 5 in (sender, to)
        or isinstance(message, AppendEntries)
        and bool(message.entries)
    )
    leader = bench.elect(1)
    bench.run(60)
    assert sum(one.match_index >= 1 for one in leader.progress.values()) >= 2
    assert leader.commit_index == 0, "a leader with the newer entry may still come"
    del bench.all[1]
    bench.lost = lambda sender, to, message: False
    bench.elect(5)
    bench.run(60)
    assert bench.all[2].log.entry_at(1) == newer


def test_a_snapshot_goes_on_from_the_piece_that_is_held_even_after_a_restart() -> None:
    members = config(1, 2, 3)
    bench = Bench(1, 2, 3)
    bench.lost = lambda sender, to, message: 2 in (sender, to)
    leader = bench.elect(1)
    leader.propose([b"x"] * 30, bench.now)
    bench.settle()
    whole = snapshot(leader.commit_index, leader.term, members, 10)
    leader.compact(whole, 0)
    behind = bench.all[2]

    def late(sender: int, to: int, message: RaftMessage) -> bool:
        return isinstance(message, InstallSnapshotChunk) and message.chunk_number >= 6 and bool(message.data)

    bench.lost = late
    bench.run(100)
    assert behind.incoming_snapshot and len(behind.incoming_snapshot[1]) == 6 and 2 not in bench.installed
    incoming = IncomingSnapshot(behind.incoming_snapshot[0], tuple(behind.incoming_snapshot[1]))
    bench.all[2] = bench.fresh(2, members, hard=HardState(leader.term, 1), incoming=incoming)
    bench.lost = lambda sender, to, message: False
    bench.seen.clear()
    bench.run(100)
    sent = [m.chunk_number for _, _, m in bench.seen if isinstance(m, InstallSnapshotChunk) and m.data]
    assert bench.installed[2] == whole and min(sent) >= 6, sent
    assert bench.all[2].commit_index == leader.commit_index


def test_spoiled_pieces_are_asked_for_again_and_never_installed() -> None:
    members = config(1, 2)
    bench = Bench(1, 2)
    whole = snapshot(9, 1, members, 2)
    one = bench.all[2]
    one.receive(1, InstallSnapshotChunk(1, whole.meta, 0, b"spoiled", 0), bench.now)
    one.receive(1, InstallSnapshotChunk(1, whole.meta, 1, whole.chunks[1], 0), bench.now)
    out = one.take_output(bench.now)
    assert out and out.installed_snapshot is None and one.incoming_snapshot is None
    assert (
        isinstance(out.messages_after_write[-1][1], InstallSnapshotReply)
        and out.messages_after_write[-1][1].chunks_held == 0
    )


def test_a_joining_member_counts_for_nothing_until_it_has_caught_up() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    leader.propose([b"x"] * 10, bench.now)
    bench.settle()
    bench.lost = lambda sender, to, message: 4 in (sender, to)
    leader.propose_config(config(1, 2, 3, joining=4), bench.now)
    with pytest.raises(MembershipChangeError, match="another change is under way"):
        leader.propose_config(config(1, 2), bench.now)
    bench.run(100)
    assert leader.log.config.voter_ids() == {1, 2, 3} and leader.commit_index == leader.log.last_index
    bench.all[4] = bench.fresh(4, ClusterConfig(()))
    bench.lost = lambda sender, to, message: False
    bench.run(100)
    assert leader.log.config.voter_ids() == {1, 2, 3, 4} and bench.all[4].commit_index == leader.commit_index
    with pytest.raises(MembershipChangeError, match="one voter at a time"):
        leader.propose_config(config(1, 2), bench.now)
    with pytest.raises(MembershipChangeError, match="the last voter"):
        alone = Bench(1)
        alone.run(400)
        alone.all[1].propose_config(ClusterConfig(()), alone.now)


def test_a_leader_that_is_taken_out_leads_until_that_is_agreed_on() -> None:
    bench = Bench(1, 2, 3)
    leader = bench.elect(1)
    bench.settle()
    leader.propose_config(config(2, 3), bench.now)
    bench.settle()
    assert leader.role == RaftRole.FOLLOWER
    bench.run(20)
    assert any(bench.all[n].role == RaftRole.LEADER for n in (2, 3)), "at once, and not after a time-out"
    bench.run(2000)
    assert bench.all[1].role == RaftRole.FOLLOWER, "it stands for nothing any more"


def test_a_member_with_an_empty_disk_and_no_configuration_never_stands() -> None:
    bench = Bench(1)
    bench.all = {9: bench.fresh(9, ClusterConfig(()))}
    bench.run(2000)
    assert bench.all[9].term == 0 and bench.seen == []


def test_a_log_that_disagrees_with_a_snapshot_goes_with_it() -> None:
    bench = Bench(1, 2)
    old = tuple(Entry(n, 1, EntryKind.DATA, b"%d" % n) for n in range(1, 6))
    one = bench.fresh(2, config(1, 2), hard=HardState(1, 0), entries=old)
    whole = snapshot(3, 2, config(1, 2), 1)
    one.receive(1, InstallSnapshotChunk(2, whole.meta, 0, whole.chunks[0], 0), bench.now)
    out = one.take_output(bench.now)
    assert out and out.installed_snapshot == whole and out.write and out.write.keep_log_suffix is False
    assert (one.log.base_index, one.log.last_index, one.log.last_term) == (
        3,
        3,
        2,
    ), "entries 4 and 5 are of another history"
    agreeing = tuple(Entry(n, 2, EntryKind.DATA, b"%d" % n) for n in range(1, 6))
    two = bench.fresh(2, config(1, 2), hard=HardState(2, 0), entries=agreeing)
    two.receive(1, InstallSnapshotChunk(2, whole.meta, 0, whole.chunks[0], 0), bench.now)
    out = two.take_output(bench.now)
    assert out and out.write and out.write.keep_log_suffix is True and two.log.last_index == 5
