"""One member of the cluster: combines Raft, the replicated state, the drain log and pending client calls.

Like Raft, a member does no I/O and reads no clock. The driver has the same obligations as for Raft (see
`raft.raft`), with a `DurabilityJob` instead of a `RaftWrite`: jobs are made durable in order, each of them
atomically. Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from limerudder.store.callback_guard import CallbackGuard
from limerudder.store.calls import (
    CallFailure,
    CallFailureKind,
    ReadCallback,
    ReplyCallback,
    ResultCallback,
    TimeCallback,
)
from limerudder.store.client_calls import ClientCalls
from limerudder.store.commands import (
    Command,
    SessionWrite,
    Transaction,
    decode_command,
    decode_result,
    encode_command,
    encode_result,
    encoded_size_error,
    transaction_error,
)
from limerudder.store.drain_log import DrainLog
from limerudder.store.drain_replication import DrainReplicator
from limerudder.store.durability import DurabilityJob, DurableState, PersistedValue, SnapshotJob
from limerudder.store.durability_scheduler import DurabilityScheduler
from limerudder.store.leader_requests import LeaderRequests
from limerudder.store.limits import MemberLimits
from limerudder.store.log_applier import LogApplier
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.persisted_values import PersistedValues
from limerudder.store.raft.messages import AppendEntries, ClusterConfig, Entry, Snapshot
from limerudder.store.raft.output import RaftOutput
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole, RaftTiming
from limerudder.store.rpc import AddressedMessage, Reply, Request, RequestKind, StoreMessage
from limerudder.store.state_machine import KeyValueState

REQUEST_NUMBER_BITS = 48  #: Size of the random number that a process assigns to its first request

#: Returns why a transaction is rejected under a maximum value size in bytes, or None if it is valid
TransactionValidator = Callable[[Transaction, int], str | None]


@dataclass(slots=True)
class MemberOutput:
    """Work for the driver: messages to send immediately, a job, and messages to send once it is durable."""

    messages: list[AddressedMessage] = field(default_factory=list)
    job: DurabilityJob | None = None
    messages_after_job: list[AddressedMessage] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Whether there is no work for the driver."""
        return not (self.messages or self.job or self.messages_after_job)


class Member:
    """One member: its methods receive events, and `take_output` returns the resulting work."""

    def __init__(
        self,
        member_id: int,
        start: DurableState,
        random: Random,
        now_us: int,
        limits: MemberLimits | None = None,
        timing: RaftTiming | None = None,
        validate: TransactionValidator = transaction_error,
    ) -> None:
        limits = limits or MemberLimits()
        self.member_id = member_id
        #: Runs the callers' callbacks; its `on_error` receives their exceptions
        self.callback_guard = CallbackGuard()
        self.raft = Raft(member_id, start.raft_state, random, now_us, timing)
        self.state = KeyValueState(limits.max_history_events)
        if start.raft_state.snapshot:
            self.state.restore(start.raft_state.snapshot.chunks)
        self.drain_log = DrainLog({}, start.drain_facts)
        #: Callbacks that receive the time after a possible change of the state, the membership or the leader
        self.change_listeners: list[TimeCallback] = []
        self.pending_calls = ClientCalls(
            self.raft,
            self._send_request,
            self.when_applied,
            self._stored_result,
            limits.max_pending_requests,
            random.getrandbits(REQUEST_NUMBER_BITS),
        )
        self._limits = limits
        self._validate = validate
        self._persisted_values = PersistedValues(start.persisted_values, self.state, self.drain_log)
        self._applier = LogApplier(self.state, self._persisted_values)
        self._leader_requests = LeaderRequests(
            self.raft, self.state, self._send_reply, limits.max_pending_requests
        )
        self._scheduler = DurabilityScheduler(
            self.raft, self.state, self.drain_log, self._persisted_values, limits
        )
        self._drain_replicator = DrainReplicator(self.drain_log, self.state, self.raft, self, now_us)
        self._up_to_date_at_us = now_us  # last time the state was up to date with the leader's commit index
        self._output = MemberOutput()
        self._unapplied: deque[Snapshot | Entry] = deque()  # Committed, in order
        self._persisted_values.refresh()

    @property
    def config(self) -> ClusterConfig:
        """The cluster's membership according to the latest configuration entry in this member's log."""
        return self.raft.log.config

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.raft.role == RaftRole.LEADER

    def persisted_value(self, key: str) -> PersistedValue:
        """Returns the latest locally available value of a key that the node needs at startup."""
        return self._persisted_values.get(key)

    def max_staleness_us(self, now_us: int) -> int:
        """Returns the upper bound of the local state's age, based on the commit index sent by the leader."""
        if self.is_leader and self.raft.has_committed_in_term:
            return 0
        return max(now_us - self._up_to_date_at_us, 0)

    def submit_request(
        self, kind: RequestKind, data: bytes, deadline_us: int, callback: ReplyCallback, now_us: int
    ) -> None:
        """Submits a request to the leader; calls back exactly once, no later than the deadline."""
        self.pending_calls.submit(kind, data, deadline_us, self.callback_guard.wrap(callback), now_us)

    def write(self, command: Command, deadline_us: int, callback: ResultCallback, now_us: int) -> None:
        """Submits a command and calls back with its result; a `SessionWrite` may be retried."""
        if isinstance(command, SessionWrite):
            error = self._validate(command.transaction, self._limits.max_value_bytes)
            if error:
                callback(CallFailure(CallFailureKind.REJECTED, error), now_us)
                return

        def on_reply(outcome: bytes | CallFailure, now_us: int) -> None:
            callback(outcome if isinstance(outcome, CallFailure) else decode_result(outcome), now_us)

        data = encode_command(command)
        size_error = encoded_size_error(data)
        if size_error:
            callback(CallFailure(CallFailureKind.REJECTED, size_error), now_us)
            return
        self.submit_request(RequestKind.WRITE, data, deadline_us, on_reply, now_us)

    def _stored_result(self, command: bytes) -> bytes | None:
        """Returns the result that the session of an applied write keeps, or None."""
        write = decode_command(command)
        session = self.state.sessions.get(write.session_id) if isinstance(write, SessionWrite) else None
        result = session.results.get(write.serial) if session and isinstance(write, SessionWrite) else None
        return encode_result(result) if result else None

    def read_barrier(self, deadline_us: int, callback: ReadCallback, now_us: int) -> None:
        """Calls back once all entries committed before this call are applied here, for linearizable reads."""

        def on_reply(outcome: bytes | CallFailure, now_us: int) -> None:
            if isinstance(outcome, CallFailure):
                callback(outcome, now_us)
                return
            read_index = int.from_bytes(outcome, "big")
            self.when_applied(read_index, lambda now_us: callback(None, now_us), now_us)

        self.submit_request(RequestKind.READ_INDEX, b"", deadline_us, on_reply, now_us)

    def when_applied(self, index: int, callback: TimeCallback, now_us: int) -> None:
        """Calls back once the entry at this index has been applied locally; immediately if it already has."""
        self._applier.when_applied(index, self.callback_guard.wrap(callback), now_us)

    def when_durable(self, fact_number: int, callback: TimeCallback, now_us: int) -> None:
        """Calls back once a fact of the drain log is durable locally; immediately if it already is."""
        self._scheduler.when_durable(fact_number, self.callback_guard.wrap(callback), now_us)

    def record_proofs(self, proofs: Mapping[int, DurabilityProof]) -> None:
        """Adds the durability proofs of peers to the next job, which makes them durable."""
        self._scheduler.record_proofs(proofs)

    def capture_snapshot(self) -> SnapshotJob:
        """Returns a job with a copy of the current replicated state, which the caller encodes."""
        return self._scheduler.capture_snapshot()

    def receive(self, sender_id: int, message: StoreMessage, now_us: int) -> None:
        """Handles a message from another member."""
        match message:
            case Request():
                self._leader_requests.handle(sender_id, message, now_us)
            case Reply():
                self.pending_calls.handle_reply(message, now_us)
            case _:
                self.raft.receive(sender_id, message, now_us)
                if isinstance(message, AppendEntries):
                    self._update_freshness(message, now_us)

    def _update_freshness(self, message: AppendEntries, now_us: int) -> None:
        if message.term == self.raft.term and message.leader_commit <= self.raft.commit_index:
            self._up_to_date_at_us = now_us

    def tick(self, now_us: int) -> None:
        """Runs the timers that are due; must be called no later than `next_deadline`."""
        if now_us >= self.raft.next_deadline_us():
            self.raft.tick(now_us)
        self.pending_calls.tick(self._own_requests_in_progress(), now_us)
        self._drain_replicator.tick(now_us)

    def _own_requests_in_progress(self) -> set[int]:
        if not self.is_leader or not self.pending_calls:
            return set()
        return self._leader_requests.in_progress_from(self.member_id)

    def next_deadline(self) -> int:
        """Returns the latest time of the next `tick` call."""
        deadlines_us = [self.raft.next_deadline_us(), self._drain_replicator.due_at_us]
        return min(*deadlines_us, *self.pending_calls.deadlines_us())

    def on_job_durable(self, job_number: int, snapshot: Snapshot | None, now_us: int) -> None:
        """Handles the completion of a job; `snapshot` is the result of its `SnapshotJob`, if it has one."""
        self._scheduler.on_job_durable(job_number, snapshot, now_us)

    def take_output(self, now_us: int) -> MemberOutput | None:
        """Returns the driver's work since the last call, or None if there is none.

        An exception loses none of it: what Raft has put out is kept until it is returned, and the job is
        determined before committed entries are applied.
        """
        self.pending_calls.resend_after_leader_change(now_us)
        self._leader_requests.propose_queued(now_us)
        output = self._output
        raft_output = None if self._scheduler.has_raft_write else self.raft.take_output(now_us)
        if raft_output:
            self._scheduler.add_raft_write(raft_output.write)
            output.messages += raft_output.messages
            output.messages_after_job += raft_output.messages_after_write
            self._queue_committed(raft_output)
            self._leader_requests.reply_to_reads(raft_output, now_us)
        output.job = self._scheduler.next_job()
        if self._unapplied:
            self.callback_guard.run(self._apply_committed, now_us)
        if raft_output:
            self._leader_requests.discard_lost_proposals()
        if output.is_empty():
            return None
        self._output = MemberOutput()
        return output

    def _queue_committed(self, raft_output: RaftOutput) -> None:
        if raft_output.installed_snapshot:
            self._unapplied.append(raft_output.installed_snapshot)
        self._unapplied.extend(raft_output.committed_entries)

    def _apply_committed(self, now_us: int) -> None:
        """Applies snapshots and entries in order; one that cannot be applied is tried again, not skipped."""
        try:
            while self._unapplied:
                self._apply_next(self._unapplied[0], now_us)
        finally:
            self._applier.notify_waiters(now_us)
            for listener in self.change_listeners:
                self.callback_guard.run(listener, now_us)

    def _apply_next(self, committed: Snapshot | Entry, now_us: int) -> None:
        if isinstance(committed, Snapshot):
            self._applier.install(committed)
            self._unapplied.popleft()
            return
        result = self._applier.apply(committed)
        self._unapplied.popleft()
        self._leader_requests.reply_to_entry(committed, result, now_us)

    def _send_request(self, leader_id: int, request: Request, now_us: int) -> None:
        if leader_id == self.member_id:
            self._leader_requests.handle(self.member_id, request, now_us)
        else:
            self._output.messages.append((leader_id, request))

    def _send_reply(self, recipient_id: int, reply: Reply, now_us: int) -> None:
        if recipient_id == self.member_id:
            self.pending_calls.handle_reply(reply, now_us)
        else:
            self._output.messages.append((recipient_id, reply))
