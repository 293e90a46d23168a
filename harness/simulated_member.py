"""A simulated machine that runs one member: a disk, a local clock, and a process that may restart."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple

from harness.cluster_checks import ClusterChecks
from harness.memory_disk import MemoryDisk
from harness.simulated_clock import MICROSECONDS_PER_MILLISECOND
from harness.simulated_network import SimulatedNetwork
from harness.simulation_environment import SimulationEnvironment
from limerudder.store import rpc
from limerudder.store.durability import DurabilityJob
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.peer_authentication import PROTOCOL_BUILD, Handshake, Incarnation, PeerAuthenticator
from limerudder.store.raft.messages import RequestVoteReply
from limerudder.store.raft.state import RaftTiming

CLUSTER_ID = 7
LIMITS = MemberLimits(
    snapshot_after_entries=40,
    retained_entries=8,
    snapshot_chunk_bytes=200,
    max_pending_requests=64,
    max_history_events=100,
)
TIMING = RaftTiming(
    election_timeout_us=150 * MICROSECONDS_PER_MILLISECOND,
    heartbeat_interval_us=30 * MICROSECONDS_PER_MILLISECOND,
)
MIN_TICK_INTERVAL_US = 5 * MICROSECONDS_PER_MILLISECOND
TICK_JITTER_US = 2 * MICROSECONDS_PER_MILLISECOND
WRITE_DURATIONS_US = (200, 400, 800, 3 * MICROSECONDS_PER_MILLISECOND)
MAX_CRITICAL_RESTART_US = 4 * MICROSECONDS_PER_MILLISECOND
MAX_CRASH_AFTER_ELECTION_US = 15 * MICROSECONDS_PER_MILLISECOND
MAX_OUTPUTS_PER_EVENT = 50
MAX_DISK_COPIES = 3


class QueuedWrite(NamedTuple):
    """A job for the disk, and the messages to send once this job and all earlier ones are durable."""

    job: DurabilityJob | None
    messages: list[tuple[int, rpc.StoreMessage]]


class SimulatedMember:
    """One machine, whose disk and clock outlive its processes.

    `generation` increases whenever a process starts or ends; pending events of an earlier one are dropped.
    """

    def __init__(
        self,
        member_id: int,
        name: str,
        disk: MemoryDisk,
        environment: SimulationEnvironment,
        network: SimulatedNetwork,
        checks: ClusterChecks,
    ) -> None:
        self.member_id = member_id
        self.name = name
        self.disk = disk
        self._environment = environment
        self._network = network
        self._checks = checks
        self.process: Member | None = None
        self.generation = 0
        self._authenticator: PeerAuthenticator | None = None
        self._connections: dict[int, tuple[int, int]] = {}  # (peer, own) generations by peer
        self._write_queue: deque[QueuedWrite] = deque()
        self._is_writing = False
        self.clock_rate = 1.0
        self.clock_offset_us = 0
        self.disk_stalled_until_us = 0
        self.disk_copies: list[MemoryDisk] = []  # copies of earlier states, oldest first
        self.has_outdated_disk = False  # an older copy replaced its disk: the cluster must reject the member

    # the process

    @property
    def running_process(self) -> Member:
        """The process; fails if none is running."""
        assert self.process
        return self.process

    def local_time_us(self) -> int:
        """Return the time of this machine's clock."""
        return int(self._environment.clock.now_us * self.clock_rate) + self.clock_offset_us

    def start(self) -> None:
        """Start a process from the data on the disk."""
        random = self._environment.random
        self.generation += 1
        self._is_writing = False
        self._write_queue.clear()
        self.disk.incarnation = Incarnation(self.disk.incarnation.number + 1, random.getrandbits(32))
        if self.generation % 2:
            kept_copies = self.disk_copies[-(MAX_DISK_COPIES - 1) :]
            self.disk_copies = [*kept_copies, self.disk.copy()]
        process_random = Random(random.getrandbits(64))
        now_us = self.local_time_us()
        self.process = Member(self.member_id, self.disk.load(), process_random, now_us, LIMITS, TIMING)
        self._authenticator = PeerAuthenticator(CLUSTER_ID, self.member_id, self.disk.proofs)
        self._connections = {}
        self._checks.check_drains_retained(self)
        self._tick(self.generation)

    def crash(self) -> None:
        """End the process. The job being written may or may not become durable; later ones are lost."""
        self.generation += 1
        if self._is_writing and self._write_queue:
            job = self._write_queue[0].job
            if job and self._environment.random.random() < 0.5:
                self.disk.apply(job)
        self.process = None

    def restart_if_down(self) -> None:
        """Start a process if none is running."""
        if self.process is None and not self.has_outdated_disk:
            self.start()

    def restart_later(self, delay_us: int) -> None:
        """Start a process after a delay if none is running by then."""
        self._environment.clock.schedule(delay_us, self.restart_if_down)

    def _is_current(self, generation: int) -> bool:
        return self.generation == generation and self.process is not None

    def _tick(self, generation: int) -> None:
        if not self._is_current(generation):
            return
        self.running_process.tick(self.local_time_us())
        self.run_output()
        delay_us = MIN_TICK_INTERVAL_US + self._environment.random.randrange(TICK_JITTER_US)
        self._environment.clock.schedule(delay_us, lambda: self._tick(generation))

    # output

    def run_output(self) -> None:
        """Execute the output of the process, and check the invariants."""
        process = self.running_process
        for _ in range(MAX_OUTPUTS_PER_EVENT):
            out = process.take_output(self.local_time_us())
            if out is None:
                break
            self._send_all(out.messages)
            if out.job or out.messages_after_job:
                self._write_queue.append(QueuedWrite(out.job, out.messages_after_job))
                self._start_next_write()
        if self._checks.is_new_leader(self):
            self._crash_after_election()
        self._checks.check_step(self)

    def _send_all(self, messages: list[tuple[int, rpc.StoreMessage]]) -> None:
        for recipient_id, message in messages:
            self._network.send(self, recipient_id, message)

    def _start_next_write(self) -> None:
        if self._is_writing:
            return
        while self._write_queue and self._write_queue[0].job is None:
            self._send_all(self._write_queue.popleft().messages)
        if not self._write_queue:
            return
        self._is_writing = True
        generation = self.generation
        clock = self._environment.clock
        duration_us = self._environment.random.choice(WRITE_DURATIONS_US)
        stalled_us = self.disk_stalled_until_us - clock.now_us
        clock.schedule(max(duration_us, stalled_us), lambda: self._finish_write(generation))

    def _finish_write(self, generation: int) -> None:
        if not self._is_current(generation):
            return
        job, messages = self._write_queue.popleft()
        assert job
        self._is_writing = False
        snapshot = self.disk.apply(job)
        self._send_all(messages)
        if any(_is_granted_vote(message) for _, message in messages) and self.maybe_crash_after_step():
            return
        self._checks.record_durable_facts(self, job)
        self.running_process.on_job_durable(job.number, snapshot, self.local_time_us())
        self._start_next_write()
        self.run_output()

    # crashes after critical steps

    def maybe_crash_after_step(self) -> bool:
        """Crash the process with some probability, after a step that must be durable, and restart it soon."""
        environment = self._environment
        if not environment.faults_active:
            return False
        if environment.random.random() >= environment.plan.critical_crash_probability:
            return False
        self.crash()
        self.restart_later(environment.random.randrange(1, MAX_CRITICAL_RESTART_US))
        return True

    def _crash_after_election(self) -> None:
        generation = self.generation
        delay_us = self._environment.random.randrange(1, MAX_CRASH_AFTER_ELECTION_US)
        self._environment.clock.schedule(delay_us, lambda: self._crash_if_current(generation))

    def _crash_if_current(self, generation: int) -> None:
        if self._is_current(generation):
            self.maybe_crash_after_step()

    # connections

    @property
    def authenticator(self) -> PeerAuthenticator:
        """The authenticator of the running process."""
        assert self._authenticator
        return self._authenticator

    def handshake(self, recipient_id: int) -> Handshake:
        """Return the handshake that this member sends when it connects."""
        disk = self.disk
        snapshot_index = disk.snapshot.meta.index if disk.snapshot else 0
        last_index = max(disk.log, default=snapshot_index)
        return Handshake(
            PROTOCOL_BUILD,
            CLUSTER_ID,
            self.member_id,
            recipient_id,
            self.name,
            disk.incarnation,
            disk.hard_state.term,
            last_index,
        )

    def check_handshake(self, handshake: Handshake) -> str | None:
        """Return why a peer is rejected, or None; records the durability proof of an accepted peer."""
        process = self.running_process
        authenticator = self.authenticator
        rejection = authenticator.rejection_reason(handshake, process.config, process.is_leader)
        if not rejection:
            process.record_proofs(authenticator.take_unsaved_proofs())
        return rejection

    def is_connected_to(self, peer: SimulatedMember) -> bool:
        """Return whether this process and the peer's have accepted each other."""
        return self._connections.get(peer.member_id) == (peer.generation, self.generation)

    def record_connection(self, peer: SimulatedMember) -> None:
        """Record that this process and the peer's have accepted each other."""
        self._connections[peer.member_id] = (peer.generation, self.generation)


def _is_granted_vote(message: rpc.StoreMessage) -> bool:
    return isinstance(message, RequestVoteReply) and message.granted and not message.is_pre_vote
