"""The consensus protocol of one member.

The driver reports events (`receive`, `tick`, `on_write_durable`) and collects the resulting work
(`take_output`). This module does no I/O and reads no clock: every call passes the time, in microseconds of a
monotonic clock. All randomness comes from the `Random` passed in, so that a run can be replayed.

The driver must process the `RaftOutput`s in order, each as follows:

1. Send `messages` immediately.
2. Make `write` durable, atomically and after all earlier writes. Then send `messages_after_write` and call
   `on_write_durable`. `messages_after_write` without a `write` must wait for the earlier writes.
3. Pass `installed_snapshot` and then `committed_entries` to the state machine, in order.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from limerudder.store.raft.election import Election, ElectionResult
from limerudder.store.raft.leader import Leader
from limerudder.store.raft.log import RaftLog
from limerudder.store.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    ClusterConfig,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)
from limerudder.store.raft.output import RaftOutput
from limerudder.store.raft.persistence import IncomingSnapshot, PersistentState
from limerudder.store.raft.progress import Progress
from limerudder.store.raft.replication import AppendEntriesHandler
from limerudder.store.raft.snapshots import SnapshotReceiver, compact_log
from limerudder.store.raft.state import NO_LEADER, RaftRole, RaftState, RaftTiming


class Raft:
    """Owns a member's state, routes messages and time to the protocol's parts, and changes the role."""

    def __init__(
        self,
        member_id: int,
        saved: PersistentState,
        random: Random,
        now_us: int,
        timing: RaftTiming | None = None,
    ) -> None:
        self._state = RaftState(member_id, saved, timing or RaftTiming())
        self._election = Election(self._state, random, now_us)
        self._leader = Leader(self._state, self._step_down)
        self._append_handler = AppendEntriesHandler(self._state)
        self._snapshot_receiver = SnapshotReceiver(self._state, saved.incoming_snapshot)

    # output and durability

    def take_output(self, now_us: int) -> RaftOutput | None:
        """Return the driver's work since the last call, or None if there is none."""
        state = self._state
        if state.is_leader or state.heartbeat_requested:
            self._leader.send_pending(now_us)
        return state.take_output(now_us)

    def on_write_durable(self, number: int, now_us: int) -> None:
        """Process the completion of a write; raises LostWriteError if an earlier one has not completed."""
        state = self._state
        write = state.writes.complete(number, state.log.last_index)
        if write.self_vote_term == state.term and state.role == RaftRole.CANDIDATE:
            self._record_vote(state.member_id, True, now_us)
        if state.is_leader:
            self._leader.advance_commit(now_us)

    def compact(self, snapshot: Snapshot, retained_entries: int) -> None:
        """Delete the entries that a durable snapshot covers, except the last `retained_entries` (5.1)."""
        compact_log(self._state, snapshot, retained_entries)

    # time

    def next_deadline_us(self) -> int:
        """The latest time of the next `tick` call."""
        if self._state.is_leader:
            return self._leader.next_deadline_us()
        return self._election.deadline_us

    def tick(self, now_us: int) -> None:
        """Run the timers that are due."""
        state = self._state
        if state.is_leader:
            self._leader.tick(now_us)
        elif now_us >= self._election.deadline_us:
            if not state.is_voter or state.is_disk_stalled(now_us):
                self._election.reset_timer(now_us)
            else:
                self._election.start_pre_vote(now_us)
                self._record_vote(state.member_id, True, now_us)

    # requests to the leader; other members raise NotLeaderError

    def propose(self, commands: Sequence[bytes], now_us: int) -> tuple[int, int]:
        """Append commands to the log; returns the index of the first one and the term.

        Also raises NotLeaderError during a leadership transfer.
        """
        return self._leader.propose(commands, now_us)

    def request_read(self) -> int:
        """Start a linearizable read (6.4) and return its id; an output reports it as confirmed or aborted."""
        return self._leader.request_read()

    def propose_config(self, config: ClusterConfig, now_us: int) -> int:
        """Append a new configuration to the log (4.1); returns its index.

        Raises MembershipChangeError if the change is not possible now.
        """
        return self._leader.propose_config(config, now_us)

    def transfer_leadership(self, target_id: int, now_us: int) -> None:
        """Transfer leadership to another voter (3.10).

        Raises MembershipChangeError if the target is not a voter.
        """
        self._leader.transfer_leadership(target_id, now_us)

    def transfer_to_best_follower(self, now_us: int) -> bool:
        """Transfer leadership before a planned stop; returns False if that is not possible."""
        return self._leader.transfer_to_best_follower(now_us)

    # messages

    def receive(self, sender: int, message: RaftMessage, now_us: int) -> None:
        """Handle a message, whose sender is not necessarily a member of the current configuration."""
        if isinstance(message, RequestVote):
            self._on_request_vote(sender, message, now_us)
            return
        if message.term > self._state.term and not _is_granted_pre_vote(message):
            leader_id = sender if isinstance(message, AppendEntries | InstallSnapshotChunk) else NO_LEADER
            self._become_follower(message.term, leader_id, now_us)
        if message.term < self._state.term:
            self._on_outdated_message(sender, message)
            return
        match message:
            case AppendEntries() | InstallSnapshotChunk():
                self._on_leader_message(sender, message, now_us)
            case AppendEntriesReply():
                if self._state.is_leader:
                    self._leader.on_append_reply(sender, message, now_us)
            case InstallSnapshotReply():
                if self._state.is_leader:
                    self._leader.on_snapshot_reply(sender, message, now_us)
            case RequestVoteReply():
                if self._election.accepts_reply(sender, message):
                    self._record_vote(sender, message.granted, now_us)
            case TimeoutNow():
                self._on_timeout_now(now_us)

    def _on_outdated_message(self, sender: int, message: RaftMessage) -> None:
        """Reply with the current term to a leader of an earlier one.

        Without a reply it would continue to lead, and a member with a later term would never follow it.
        """
        if isinstance(message, AppendEntries | InstallSnapshotChunk):
            reply = AppendEntriesReply(self._state.term, False, 0, 0, 0, 0)
            self._state.send_after_write(sender, reply)

    def _on_leader_message(
        self, sender: int, message: AppendEntries | InstallSnapshotChunk, now_us: int
    ) -> None:
        state = self._state
        assert not state.is_leader, "two leaders in one term"
        self._election.last_leader_contact_us = now_us
        if state.role != RaftRole.FOLLOWER or state.leader_id != sender:
            self._become_follower(state.term, sender, now_us)
        self._election.reset_timer(now_us)
        if isinstance(message, AppendEntries):
            self._append_handler.handle(sender, message)
        else:
            self._snapshot_receiver.on_chunk(sender, message)

    def _on_request_vote(self, sender: int, message: RequestVote, now_us: int) -> None:
        if self._election.ignores_request(message, now_us):
            return
        if message.is_pre_vote:
            self._election.reply_to_pre_vote(sender, message)
            return
        if message.term > self._state.term:
            self._become_follower(message.term, NO_LEADER, now_us)
        self._election.reply_to_vote_request(sender, message, now_us)

    def _on_timeout_now(self, now_us: int) -> None:
        state = self._state
        may_lead = state.is_voter and not state.is_disk_stalled(now_us)
        if not state.is_leader and may_lead:
            self._election.campaign(now_us, is_leader_transfer=True)

    # roles

    def _record_vote(self, voter_id: int, granted: bool, now_us: int) -> None:
        result = self._election.record_vote(voter_id, granted)
        if result == ElectionResult.LOST:
            self._step_down(now_us)
        elif result == ElectionResult.WON:
            if self._state.role == RaftRole.PRE_CANDIDATE:
                self._election.campaign(now_us)
            else:
                self._become_leader(now_us)

    def _become_leader(self, now_us: int) -> None:
        self._state.set_role(RaftRole.LEADER, self._state.member_id)
        self._leader.begin_term(now_us)

    def _step_down(self, now_us: int) -> None:
        self._become_follower(self._state.term, NO_LEADER, now_us)

    def _become_follower(self, term: int, leader_id: int, now_us: int) -> None:
        state = self._state
        assert term >= state.term, "terms never decrease"
        if term > state.term:
            state.term = term
            state.voted_for = NO_LEADER
        if state.is_leader:
            self._leader.end_term()
        if state.role != RaftRole.FOLLOWER or leader_id != NO_LEADER:
            self._election.reset_timer(now_us)
        state.set_role(RaftRole.FOLLOWER, leader_id)

    # state

    @property
    def member_id(self) -> int:
        """The id of this member."""
        return self._state.member_id

    @property
    def timing(self) -> RaftTiming:
        """The protocol's intervals."""
        return self._state.timing

    @property
    def role(self) -> RaftRole:
        """The role of this member."""
        return self._state.role

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader_id(self) -> int:
        """The leader of the term, or NO_LEADER if unknown."""
        return self._state.leader_id

    @property
    def log(self) -> RaftLog:
        """The log, which callers must not change."""
        return self._state.log

    @property
    def snapshot(self) -> Snapshot | None:
        """The latest snapshot."""
        return self._state.snapshot

    @property
    def incoming_snapshot(self) -> IncomingSnapshot | None:
        """The partially received snapshot, or None."""
        return self._snapshot_receiver.incoming

    @property
    def commit_index(self) -> int:
        """The highest index that this member has learned to be committed."""
        return self._state.commit_index

    @property
    def durable_index(self) -> int:
        """The index of the last entry that is durable on this member."""
        return self._state.writes.durable_index

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term, so that its commit index is current."""
        return self._state.has_committed_in_term

    @property
    def progress(self) -> Mapping[int, Progress]:
        """The leader's view of the other members, by member id; empty if this member is not the leader."""
        return self._state.progress

    def is_disk_stalled(self, now_us: int) -> bool:
        """Whether a write has been pending for longer than the election timeout."""
        return self._state.is_disk_stalled(now_us)


def _is_granted_pre_vote(message: RaftMessage) -> bool:
    """Whether the message is a granted pre-vote, whose term is that of a possible election."""
    return isinstance(message, RequestVoteReply) and message.is_pre_vote and message.granted
