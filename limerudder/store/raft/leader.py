"""The leader: requests, replication, commits, reads and configuration changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limerudder.store.raft import membership
from limerudder.store.raft.errors import MembershipChangeError, NotLeaderError
from limerudder.store.raft.leadership import LeadershipTransfer, QuorumCheck, request_successor_election
from limerudder.store.raft.messages import (
    AppendEntriesReply,
    ClusterConfig,
    Entry,
    EntryKind,
    InstallSnapshotReply,
    encode_config,
)
from limerudder.store.raft.progress import Progress
from limerudder.store.raft.reads import ReadIndex
from limerudder.store.raft.replication import Replicator
from limerudder.store.raft.snapshots import SnapshotSender
from limerudder.store.raft.state import NO_LEADER, RaftState


class Leader:
    """The leader role of a member. Requests raise NotLeaderError on a member that is not the leader.

    `step_down` makes the member a follower without a leader in the same term, and calls `end_term`.
    """

    def __init__(self, state: RaftState, step_down: Callable[[int], None]) -> None:
        self._state = state
        self._step_down = step_down
        self._quorum_check = QuorumCheck(state)
        self._transfer = LeadershipTransfer(state)
        self._reads = ReadIndex(state)
        self._snapshot_sender = SnapshotSender(state)
        self._replicator = Replicator(state, self._snapshot_sender)

    def begin_term(self, now_us: int) -> None:
        """Initialize the leader state after an election."""
        state = self._state
        state.progress = {}
        state.term_start_index = state.log.last_index + 1
        self._quorum_check.start(now_us)
        membership.update_peers(state, now_us)
        self._append(EntryKind.EMPTY, [b""], now_us)  # required to commit entries of earlier terms (3.6.2)
        state.heartbeat_requested = True

    def end_term(self) -> None:
        """Clear the leader state after the loss of leadership."""
        self._reads.abort_all()
        self._transfer.cancel()
        self._state.progress = {}

    # time and output

    def next_deadline_us(self) -> int:
        """The latest time of the next `tick` call."""
        quorum_check_us = self._quorum_check.deadline_us
        heartbeat_us = self._replicator.next_heartbeat_us()
        return quorum_check_us if heartbeat_us is None else min(quorum_check_us, heartbeat_us)

    def tick(self, now_us: int) -> None:
        """Run the checks and heartbeats that are due."""
        if self._state.is_disk_stalled(now_us):
            # Heartbeats alone would keep the followers from electing a leader that can still write.
            self.transfer_to_best_follower(now_us)
            self._step_down(now_us)
            return
        self._transfer.cancel_if_expired(now_us)
        if self._quorum_check.has_failed(now_us):
            self._step_down(now_us)
            return
        self._replicator.send_due_heartbeats(now_us)
        self._promote_caught_up_member(now_us)

    def send_pending(self, now_us: int) -> None:
        """Send a requested heartbeat, and the entries that the followers lack."""
        state = self._state
        if state.heartbeat_requested:
            state.heartbeat_requested = False
            self._reads.mark_round_sent()
            self._broadcast_heartbeat(now_us)
        if state.is_leader:
            self._replicator.send_entries_to_all(now_us)

    def _broadcast_heartbeat(self, now_us: int) -> None:
        self._replicator.send_heartbeats(now_us)
        self._reads.confirm()  # a single-member cluster needs no replies

    # requests

    def propose(self, commands: Sequence[bytes], now_us: int) -> tuple[int, int]:
        """Append commands to the log; returns the index of the first one and the term."""
        self._require_leader()
        if self._transfer.in_progress:
            raise NotLeaderError(NO_LEADER)
        first_index = self._state.log.last_index + 1
        self._append(EntryKind.DATA, commands, now_us)
        return first_index, self._state.term

    def request_read(self) -> int:
        """Start a linearizable read (6.4) and return its id."""
        self._require_leader()
        return self._reads.request()

    def propose_config(self, config: ClusterConfig, now_us: int) -> int:
        """Append a new configuration to the log (4.1); returns its index.

        Raises MembershipChangeError if the change is not possible now.
        """
        self._require_leader()
        membership.check_change(self._state, config)
        if self._transfer.in_progress:
            raise MembershipChangeError("the lead is being handed over")
        self._append(EntryKind.CONFIG, [encode_config(config)], now_us)
        return self._state.log.last_index

    def transfer_leadership(self, target_id: int, now_us: int) -> None:
        """Transfer leadership to another voter (3.10).

        Raises MembershipChangeError if the target is not a voter.
        """
        self._require_leader()
        if target_id not in self._state.log.config.voter_ids():
            raise MembershipChangeError("only a voter can lead")
        if target_id != self._state.member_id:
            self._transfer.start(target_id, now_us)

    def transfer_to_best_follower(self, now_us: int) -> bool:
        """Transfer leadership to the responsive voter with the longest log; returns whether there is one."""
        target_id = self._transfer.best_target()
        if not self._state.is_leader or target_id == NO_LEADER:
            return False
        self.transfer_leadership(target_id, now_us)
        return True

    def _require_leader(self) -> None:
        if not self._state.is_leader:
            raise NotLeaderError(self._state.leader_id)

    def _append(self, kind: EntryKind, payloads: Sequence[bytes], now_us: int) -> None:
        state = self._state
        first_index = state.log.last_index + 1
        entries = [
            Entry(first_index + offset, state.term, kind, data) for offset, data in enumerate(payloads)
        ]
        state.append_entries(entries)
        if kind == EntryKind.CONFIG:
            membership.update_peers(state, now_us)

    # replies of followers

    def on_append_reply(self, sender: int, message: AppendEntriesReply, now_us: int) -> None:
        """Handle the reply to an append or heartbeat, or the confirmation of an installed snapshot."""
        progress = self._record_reply(sender, message.read_round, now_us)
        if progress is None or not self._replicator.on_reply(progress, message):
            return
        self.advance_commit(now_us)
        self._promote_caught_up_member(now_us)
        if sender == self._transfer.target_id:
            self._transfer.complete_if_caught_up()

    def on_snapshot_reply(self, sender: int, message: InstallSnapshotReply, now_us: int) -> None:
        """Handle a follower's report of the snapshot chunks that it has received."""
        progress = self._record_reply(sender, message.read_round, now_us)
        if progress is not None:
            self._snapshot_sender.on_reply(progress, message)

    def _record_reply(self, sender: int, read_round: int, now_us: int) -> Progress | None:
        """Record that a member has replied; returns its progress, or None if it is not a follower."""
        progress = self._state.progress.get(sender)
        if progress is None:
            return None
        progress.recently_active = True
        progress.last_reply_us = now_us
        if read_round > progress.acked_read_round:
            progress.acked_read_round = read_round
            self._reads.confirm()
        return progress

    # commits

    def advance_commit(self, now_us: int) -> None:
        """Commit the entries that a majority has stored, and run the actions that depend on the commit."""
        state = self._state
        previous_index = state.commit_index
        if not self._replicator.advance_commit():
            return
        if previous_index < state.term_start_index <= state.commit_index:
            self._reads.start_waiting()
        is_config_newly_committed = previous_index < state.log.config_index <= state.commit_index
        if is_config_newly_committed and not state.is_voter:
            self._step_down_after_removal(now_us)

    def _step_down_after_removal(self, now_us: int) -> None:
        """End the leadership of a removed leader, which lasts until its removal is committed (4.2.2)."""
        self._replicator.send_entries_to_all(now_us)
        self._broadcast_heartbeat(now_us)  # propagates the commit of the removal
        request_successor_election(self._state)
        self._step_down(now_us)

    def _promote_caught_up_member(self, now_us: int) -> None:
        if not self._state.is_leader or self._transfer.in_progress:
            return
        config = membership.promote_caught_up_member(self._state)
        if config is not None:
            self.propose_config(config, now_us)
