"""Step-by-step tests of the consensus protocol, for cases that the simulation reaches only by chance."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from limerudder.store.raft.errors import MembershipChangeError, NotLeaderError
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
    RequestVoteReply,
    Snapshot,
    SnapshotMeta,
    TimeoutNow,
    snapshot_digest,
)
from limerudder.store.raft.output import ConfirmedRead
from limerudder.store.raft.persistence import HardState, IncomingSnapshot, PersistentState
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole, RaftTiming

MS = 1000
TICK_MS = 5
TIMING = RaftTiming(150 * MS, 30 * MS)

Drops = Callable[[int, int, RaftMessage], bool]


def config(*member_ids: int, joining: int = 0) -> ClusterConfig:
    members = [Member(member_id, f"n{member_id}", f"127.0.0.1:{member_id}") for member_id in member_ids]
    if joining:
        members.append(Member(joining, f"n{joining}", f"127.0.0.1:{joining}", MemberRole.JOINING))
    return ClusterConfig(tuple(members))


def drop_nothing(sender: int, recipient: int, message: RaftMessage) -> bool:
    return False


class LocalCluster:
    """Members on one clock; messages arrive and writes are durable immediately, unless a test prevents it."""

    def __init__(self, *member_ids: int) -> None:
        self.now_us = 0
        self.members = {
            member_id: self.create_member(member_id, config(*member_ids)) for member_id in member_ids
        }
        self.drops: Drops = drop_nothing
        self.stalled_disks: set[int] = set()
        self.reads: dict[int, list[ConfirmedRead]] = {member_id: [] for member_id in member_ids}
        self.installed: dict[int, Snapshot] = {}
        self.sent: list[tuple[int, int, RaftMessage]] = []

    def create_member(
        self,
        member_id: int,
        members: ClusterConfig,
        hard_state: HardState = HardState(0, 0),  # noqa: B008
        entries: tuple[Entry, ...] = (),
        incoming: IncomingSnapshot | None = None,
    ) -> Raft:
        saved = PersistentState(hard_state, None, entries, members, incoming)
        return Raft(member_id, saved, Random(member_id), self.now_us, TIMING)

    def run_output(self) -> None:
        """Process the members' output until there is none left."""
        has_output = True
        while has_output:
            outputs = [self._run_output_of(member_id) for member_id in list(self.members)]
            has_output = any(outputs)

    def _run_output_of(self, member_id: int) -> bool:
        raft = self.members[member_id]
        output = raft.take_output(self.now_us)
        if output is None:
            return False
        self.reads.setdefault(member_id, []).extend(output.confirmed_reads)
        if output.installed_snapshot:
            self.installed[member_id] = output.installed_snapshot
        messages_after_write = output.messages_after_write
        if output.write:
            if member_id in self.stalled_disks:
                messages_after_write = []
            else:
                raft.on_write_durable(output.write.number, self.now_us)
        for recipient, message in [*output.messages, *messages_after_write]:
            self._send(member_id, recipient, message)
        return True

    def _send(self, sender: int, recipient: int, message: RaftMessage) -> None:
        self.sent.append((sender, recipient, message))
        if recipient in self.members and not self.drops(sender, recipient, message):
            self.members[recipient].receive(sender, message, self.now_us)

    def run_for(self, milliseconds: int) -> None:
        """Advance the clock."""
        for _ in range(0, milliseconds, TICK_MS):
            self.now_us += TICK_MS * MS
            for raft in self.members.values():
                raft.tick(self.now_us)
            self.run_output()

    def elect(self, member_id: int) -> Raft:
        """Make a member the leader."""
        raft = self.members[member_id]
        for _ in range(3):  # a first round may do no more than adopt a later term
            self.now_us += 200 * MS
            raft._election.deadline_us = 0
            for member in self.members.values():
                member._election.last_leader_contact_us = -(10**9)
            raft.tick(self.now_us)
            self.run_output()
            if raft.role == RaftRole.LEADER:
                break
        assert raft.role == RaftRole.LEADER
        return raft


def snapshot(index: int, term: int, members: ClusterConfig, chunk_count: int) -> Snapshot:
    chunks = tuple(b"%d" % n * 10 for n in range(chunk_count))
    return Snapshot(SnapshotMeta(index, term, members, chunk_count, snapshot_digest(chunks)), chunks)


def test_a_leader_is_elected_and_its_proposals_are_committed_everywhere() -> None:
    cluster = LocalCluster(1, 2, 3)
    cluster.run_for(700)
    leaders = [raft for raft in cluster.members.values() if raft.role == RaftRole.LEADER]
    assert len(leaders) == 1
    leaders[0].propose([b"a", b"b"], cluster.now_us)
    cluster.run_output()
    cluster.run_for(60)
    assert {raft.commit_index for raft in cluster.members.values()} == {3}
    other = next(raft for raft in cluster.members.values() if raft is not leaders[0])
    with pytest.raises(NotLeaderError) as caught:
        other.propose([b"c"], cluster.now_us)
    assert caught.value.leader == leaders[0].member_id


def test_a_partitioned_member_does_not_depose_the_leader_after_reconnecting() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    term = leader.term
    cluster.drops = lambda sender, recipient, message: 3 in (sender, recipient)
    cluster.run_for(2000)
    assert cluster.members[3].term == term, "a partitioned member runs only pre-votes"
    cluster.drops = drop_nothing
    cluster.run_for(500)
    assert leader.role == RaftRole.LEADER and leader.term == term


def test_a_leader_without_a_quorum_steps_down_and_its_reads_are_aborted() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    cluster.drops = lambda sender, recipient, message: True
    leader.request_read()
    cluster.run_for(400)
    assert leader.role != RaftRole.LEADER and cluster.reads[1] == []


def test_a_read_waits_for_a_heartbeat_round_started_after_it() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    cluster.drops = lambda sender, recipient, message: recipient == 1
    leader.request_read()
    cluster.run_output()
    assert cluster.reads[1] == []
    cluster.drops = drop_nothing
    cluster.run_for(40)
    assert cluster.reads[1] == [(1, leader.commit_index)]


def test_a_leader_with_a_stalled_disk_transfers_leadership() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    cluster.stalled_disks = {1}
    leader.propose([b"a"], cluster.now_us)
    cluster.run_output()
    assert leader.commit_index == 2, "the followers form a quorum without the leader's disk"
    cluster.run_for(400)
    assert leader.role == RaftRole.FOLLOWER and leader.is_disk_stalled(cluster.now_us)
    assert any(isinstance(message, TimeoutNow) for _, _, message in cluster.sent)
    cluster.run_for(1000)
    assert leader.role == RaftRole.FOLLOWER, "no election with a stalled disk"
    assert any(raft.role == RaftRole.LEADER for raft in cluster.members.values())


def test_leadership_is_transferred_without_an_election_timeout() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    leader.transfer_leadership(3, cluster.now_us)
    with pytest.raises(NotLeaderError):
        leader.propose([b"a"], cluster.now_us)
    cluster.run_output()
    assert cluster.members[3].role == RaftRole.LEADER and leader.leader_id == 3
    with pytest.raises(MembershipChangeError, match="only a voter"):
        cluster.members[3].transfer_leadership(9, cluster.now_us)


def test_a_vote_is_durable_before_it_is_sent_and_is_granted_once_per_term() -> None:
    cluster = LocalCluster(1, 2, 3)
    member = cluster.members[3]
    member.receive(1, RequestVote(5, 0, 0, False, False), cluster.now_us)
    output = member.take_output(cluster.now_us)
    assert output and not output.messages and len(output.messages_after_write) == 1
    assert output.write and output.write.hard_state == HardState(5, 1)
    restarted = cluster.create_member(3, config(1, 2, 3), hard_state=output.write.hard_state)
    restarted.receive(2, RequestVote(5, 9, 4, False, False), cluster.now_us)
    output = restarted.take_output(cluster.now_us)
    assert output
    reply = output.messages_after_write[0].message
    assert isinstance(reply, RequestVoteReply) and reply.granted is False


def test_an_entry_of_an_older_term_is_not_committed_by_counting_replicas() -> None:
    """Reproduces figure 3.7 of Ongaro's dissertation on Raft."""
    members = config(1, 2, 3, 4, 5)
    cluster = LocalCluster(1, 2, 3, 4, 5)
    old = Entry(1, 2, EntryKind.DATA, b"old")
    newer = Entry(1, 3, EntryKind.DATA, b"newer")
    for member_id in (1, 2, 3):
        cluster.members[member_id] = cluster.create_member(
            member_id, members, hard_state=HardState(3, 0), entries=(old,)
        )
    cluster.members[5] = cluster.create_member(5, members, hard_state=HardState(3, 5), entries=(newer,))

    def drops_new_entries(sender: int, recipient: int, message: RaftMessage) -> bool:
        """Drop new entries and isolate member 5; heartbeats still confirm the old entry on three members."""
        has_entries = isinstance(message, AppendEntries) and bool(message.entries)
        return 5 in (sender, recipient) or has_entries

    cluster.drops = drops_new_entries
    leader = cluster.elect(1)
    cluster.run_for(60)
    assert sum(progress.match_index >= 1 for progress in leader.progress.values()) >= 2
    assert leader.commit_index == 0, "member 5 with the newer entry can still be elected"
    del cluster.members[1]
    cluster.drops = drop_nothing
    cluster.elect(5)
    cluster.run_for(60)
    assert cluster.members[2].log.entry_at(1) == newer


def test_a_snapshot_transfer_resumes_from_the_chunks_received_even_after_a_restart() -> None:
    members = config(1, 2, 3)
    cluster = LocalCluster(1, 2, 3)
    cluster.drops = lambda sender, recipient, message: 2 in (sender, recipient)
    leader = cluster.elect(1)
    leader.propose([b"x"] * 30, cluster.now_us)
    cluster.run_output()
    complete = snapshot(leader.commit_index, leader.term, members, 10)
    leader.compact(complete, 0)
    lagging = cluster.members[2]

    def drops_late_chunks(sender: int, recipient: int, message: RaftMessage) -> bool:
        return isinstance(message, InstallSnapshotChunk) and message.chunk_number >= 6 and bool(message.data)

    cluster.drops = drops_late_chunks
    cluster.run_for(100)
    incoming = lagging.incoming_snapshot
    assert incoming and len(incoming.chunks) == 6 and 2 not in cluster.installed
    cluster.members[2] = cluster.create_member(
        2, members, hard_state=HardState(leader.term, 1), incoming=incoming
    )
    cluster.drops = drop_nothing
    cluster.sent.clear()
    cluster.run_for(100)
    chunks = [message for _, _, message in cluster.sent if isinstance(message, InstallSnapshotChunk)]
    sent = [chunk.chunk_number for chunk in chunks if chunk.data]
    assert cluster.installed[2] == complete and min(sent) >= 6, sent
    assert cluster.members[2].commit_index == leader.commit_index


def test_corrupt_chunks_are_requested_again_and_never_installed() -> None:
    members = config(1, 2)
    cluster = LocalCluster(1, 2)
    complete = snapshot(9, 1, members, 2)
    member = cluster.members[2]
    member.receive(1, InstallSnapshotChunk(1, complete.meta, 0, b"corrupt", 0), cluster.now_us)
    member.receive(1, InstallSnapshotChunk(1, complete.meta, 1, complete.chunks[1], 0), cluster.now_us)
    output = member.take_output(cluster.now_us)
    assert output and output.installed_snapshot is None and member.incoming_snapshot is None
    reply = output.messages_after_write[-1].message
    assert isinstance(reply, InstallSnapshotReply) and reply.chunks_received == 0


def test_a_joining_member_has_no_vote_until_it_has_caught_up() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    leader.propose([b"x"] * 10, cluster.now_us)
    cluster.run_output()
    cluster.drops = lambda sender, recipient, message: 4 in (sender, recipient)
    leader.propose_config(config(1, 2, 3, joining=4), cluster.now_us)
    with pytest.raises(MembershipChangeError, match="another change is under way"):
        leader.propose_config(config(1, 2), cluster.now_us)
    cluster.run_for(100)
    assert leader.log.config.voter_ids() == {1, 2, 3} and leader.commit_index == leader.log.last_index
    cluster.members[4] = cluster.create_member(4, ClusterConfig(()))
    cluster.drops = drop_nothing
    cluster.run_for(100)
    assert leader.log.config.voter_ids() == {1, 2, 3, 4}
    assert cluster.members[4].commit_index == leader.commit_index
    with pytest.raises(MembershipChangeError, match="one voter at a time"):
        leader.propose_config(config(1, 2), cluster.now_us)
    with pytest.raises(MembershipChangeError, match="the last voter"):
        single_member = LocalCluster(1)
        single_member.run_for(400)
        single_member.members[1].propose_config(ClusterConfig(()), single_member.now_us)


def test_a_removed_leader_steps_down_once_its_removal_is_committed() -> None:
    cluster = LocalCluster(1, 2, 3)
    leader = cluster.elect(1)
    cluster.run_output()
    leader.propose_config(config(2, 3), cluster.now_us)
    cluster.run_output()
    assert leader.role == RaftRole.FOLLOWER
    cluster.run_for(20)
    remaining = [cluster.members[2], cluster.members[3]]
    assert any(raft.role == RaftRole.LEADER for raft in remaining), "elected without an election timeout"
    cluster.run_for(2000)
    assert cluster.members[1].role == RaftRole.FOLLOWER, "a removed member starts no election"


def test_a_member_without_a_configuration_starts_no_election() -> None:
    cluster = LocalCluster(1)
    cluster.members = {9: cluster.create_member(9, ClusterConfig(()))}
    cluster.run_for(2000)
    assert cluster.members[9].term == 0 and cluster.sent == []


def test_a_log_that_conflicts_with_a_snapshot_is_replaced() -> None:
    cluster = LocalCluster(1, 2)
    old_entries = tuple(Entry(n, 1, EntryKind.DATA, b"%d" % n) for n in range(1, 6))
    member = cluster.create_member(2, config(1, 2), hard_state=HardState(1, 0), entries=old_entries)
    complete = snapshot(3, 2, config(1, 2), 1)
    member.receive(1, InstallSnapshotChunk(2, complete.meta, 0, complete.chunks[0], 0), cluster.now_us)
    output = member.take_output(cluster.now_us)
    assert output and output.installed_snapshot == complete
    assert output.write and output.write.keep_log_suffix is False
    log = member.log
    assert (log.base_index, log.last_index, log.last_term) == (3, 3, 2), "entries 4 and 5 conflict"
    agreeing_entries = tuple(Entry(n, 2, EntryKind.DATA, b"%d" % n) for n in range(1, 6))
    agreeing_member = cluster.create_member(
        2, config(1, 2), hard_state=HardState(2, 0), entries=agreeing_entries
    )
    agreeing_member.receive(
        1, InstallSnapshotChunk(2, complete.meta, 0, complete.chunks[0], 0), cluster.now_us
    )
    output = agreeing_member.take_output(cluster.now_us)
    assert output and output.write and output.write.keep_log_suffix is True
    assert agreeing_member.log.last_index == 5
