"""A running member: connects the member's logic to its disk, its peers and an event loop's clock."""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections.abc import Callable
from random import Random

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.schema import StoreSettings
from limerudder.store import rpc
from limerudder.store.disk import Disk
from limerudder.store.disk_writer import NO_ERROR, DiskWriter
from limerudder.store.drain_log import DrainObserved
from limerudder.store.durability import DurabilityJob
from limerudder.store.key_schema import write_error
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.output_dispatcher import OutputDispatcher
from limerudder.store.peer_authentication import PROTOCOL_BUILD, Handshake, PeerAuthenticator
from limerudder.store.peer_transport import PeerTransport
from limerudder.store.raft.messages import AppendEntriesReply, ClusterConfig, Snapshot
from limerudder.store.raft.state import RaftRole, RaftTiming
from limerudder.store.status import MemberStatus, StoreStatus, member_statuses, store_status

TICK_SECONDS = 0.01  #: Interval of checks of the member's deadlines, which are far longer
CLOSE_TIMEOUT_SECONDS = 0.5  #: Maximum wait for the last jobs to become durable
RANDOM_SEED_BITS = 64
UNREPORTED_LEADER = -1  #: Initial value of the last logged leader; no member's identifier, nor NO_LEADER


class Store:
    """One running member. All methods must be called from its event loop.

    `now_us` is a monotonic clock in microseconds.
    """

    def __init__(self, settings: StoreSettings, log: LogSink, now_us: Callable[[], int]) -> None:
        """Open the data directory; raises DiskError."""
        self.settings = settings
        self.now_us = now_us
        self.is_closed = False
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._disk = Disk(settings.folder)
        try:
            contents = self._disk.load()
        except BaseException:
            self._disk.close()
            raise
        self.identity = contents.identity
        self.incarnation = contents.incarnation
        member_id = self.identity.member_id
        self.member = Member(
            member_id,
            contents.durable_state,
            Random(secrets.randbits(RANDOM_SEED_BITS)),
            now_us(),
            _member_limits(settings),
            RaftTiming(settings.election, settings.heartbeat),
            write_error,
        )
        self.transport = PeerTransport(self, member_id, log)
        self._authenticator = PeerAuthenticator(
            self.identity.cluster_id, member_id, contents.durability_proofs
        )
        self.member.callback_guard.on_error = self._report_error
        self._dispatcher = OutputDispatcher(self.transport, self.member.callback_guard)
        self._durable_term = contents.durable_state.raft_state.hard_state.term
        self._output_scheduled = False
        self._reported_leader = UNREPORTED_LEADER
        self._config: ClusterConfig | None = None  # Configuration last passed to the transport
        self._writer: DiskWriter | None = None
        self._tick_timer: asyncio.TimerHandle | None = None

    async def run(self, bound_socket: socket.socket) -> None:
        """Start exchanging messages with the other members, which connect to this socket."""
        self._writer = DiskWriter(self._disk, self._on_jobs_durable, self._log)
        await self.transport.listen(bound_socket)
        self._tick()

    def close(self) -> None:
        """Close after a short wait for jobs that are not durable yet; may be called again."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._tick_timer:
            self._tick_timer.cancel()
        if self._writer:
            self.member.callback_guard.run(self._process_last_output, self._writer)
        self.transport.close()
        if self._writer:
            self._writer.close(CLOSE_TIMEOUT_SECONDS)
        else:
            self._disk.close()

    @property
    def disk_error(self) -> str:
        """The error of a write that is being retried, or an empty text."""
        return self._writer.current_error if self._writer else NO_ERROR

    def status(self) -> StoreStatus:
        """Return the state of this member."""
        return store_status(self)

    def member_statuses(self) -> list[MemberStatus]:
        """Return the members of the cluster, with their replication progress as recorded by this one."""
        return member_statuses(self)

    def schedule_output(self) -> None:
        """Schedule the processing of output; events until then share a disk write and messages."""
        if self._output_scheduled or self.is_closed:
            return
        self._output_scheduled = True
        self._loop.call_soon(self._process_output)

    def create_handshake(self, recipient_id: int) -> Handshake:
        """Return this member's handshake for a peer."""
        raft = self.member.raft
        last_durable_index = max(min(raft.durable_index, raft.log.last_index), raft.log.base_index)
        return Handshake(
            protocol_build=PROTOCOL_BUILD,
            cluster_id=self.identity.cluster_id,
            sender_id=self.identity.member_id,
            recipient_id=recipient_id,
            name=self.identity.name,
            incarnation=self.incarnation,
            term=self._durable_term,
            last_index=last_durable_index,
        )

    def handshake_rejection(self, handshake: Handshake) -> str | None:
        """Return why a peer with this handshake is rejected, or None if it is accepted."""
        reason = self._authenticator.rejection_reason(
            handshake, self.member.config, config_is_current=self.member.is_leader
        )
        self.member.record_proofs(self._authenticator.take_unsaved_proofs())
        self.schedule_output()
        return reason

    def message_received(self, sender_id: int, message: rpc.StoreMessage) -> None:
        """Handle a message of an accepted peer."""
        self.schedule_output()
        if isinstance(message, AppendEntriesReply) and message.success:
            self._authenticator.record_acknowledgement(sender_id, message.term, message.index)
        self.member.receive(sender_id, message, self.now_us())

    def _process_last_output(self, writer: DiskWriter) -> None:
        """Submit what is not on the disk yet, and transfer the leadership.

        The transfer saves clients the election timeout that would follow if the leader closed without it.
        """
        now_us = self.now_us()
        if self.member.is_leader:
            self.member.raft.transfer_to_best_follower(now_us)
        while output := self.member.take_output(now_us):
            self._dispatcher.dispatch(output, writer)

    def _process_output(self) -> None:
        self._output_scheduled = False
        if self.is_closed or self._writer is None:
            return
        output = self.member.take_output(self.now_us())
        if output:
            self.schedule_output()  # Processes further output that results from this one
            self._dispatcher.dispatch(output, self._writer)
        self._update_transport_members()
        self._report_leader()

    def _update_transport_members(self) -> None:
        config = self.member.raft.log.config
        if config != self._config:
            self.transport.set_members(config)
            self._config = config

    def _report_leader(self) -> None:
        """Log a new leader, or its absence unless an election is in progress."""
        raft = self.member.raft
        if raft.leader_id == self._reported_leader:
            return
        if not raft.leader_id and raft.role != RaftRole.FOLLOWER:
            return
        self._reported_leader = raft.leader_id
        leader = self.member.config.find_by_id(raft.leader_id)
        text = f"{leader.name} is the leader" if leader else "there is no leader"
        self._log(LogKind.STORE_LEADER, f"store: {text} in term {raft.term}")

    def _on_jobs_durable(self, jobs: list[DurabilityJob], snapshots: list[Snapshot | None]) -> None:
        now_us = self.now_us()
        for job, snapshot in zip(jobs, snapshots, strict=True):
            self.member.callback_guard.run(self._on_job_durable, job, snapshot, now_us)
        self._dispatcher.send_deferred()
        if not self.is_closed:
            self._process_output()

    def _on_job_durable(self, job: DurabilityJob, snapshot: Snapshot | None, now_us: int) -> None:
        self._dispatcher.on_job_durable(job.number)
        if job.raft_write and job.raft_write.hard_state:
            self._durable_term = job.raft_write.hard_state.term
        for _, fact in job.new_facts:
            if isinstance(fact, DrainObserved):
                text = f"store: host {fact.host} is draining; recorded for its start {fact.started_ms}"
                self._log(LogKind.HOST_DRAIN_RECORDED, text)
        self.member.on_job_durable(job.number, snapshot, now_us)

    def _report_error(self, error: Exception) -> None:
        self._loop.call_exception_handler({"message": "a callback of the store failed", "exception": error})

    def _tick(self) -> None:
        if self.is_closed:
            return
        self._tick_timer = self._loop.call_later(TICK_SECONDS, self._tick)
        now_us = self.now_us()
        if now_us >= self.member.next_deadline():
            self.member.tick(now_us)
            self._process_output()


def _member_limits(settings: StoreSettings) -> MemberLimits:
    return MemberLimits(
        snapshot_after_entries=settings.snapshot_entries,
        snapshot_after_bytes=settings.snapshot_bytes,
        retained_entries=min(MemberLimits().retained_entries, settings.snapshot_entries),
        max_pending_requests=settings.waiting_most,
        max_value_bytes=settings.value_most,
        max_history_events=settings.history,
    )
