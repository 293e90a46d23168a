"""Injects the faults of a plan into a simulated cluster at random times."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from harness.cluster_checks import ClusterChecks
from harness.memory_disk import MemoryDisk
from harness.simulated_clock import MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND
from harness.simulated_member import SimulatedMember
from harness.simulated_network import SimulatedNetwork
from harness.simulation_environment import SimulationEnvironment
from limerudder.store.member import Member
from limerudder.store.raft.messages import ClusterConfig, MemberRole
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.rpc import RequestKind

CRASH_COUNTS = (1, 1, 1, 2)  #: Numbers of members that crash together; a crash of all is a further choice
RESTART_DELAY_FRACTIONS = (0.02, 0.2, 1)
DISK_STALLS_US = (200 * MICROSECONDS_PER_MILLISECOND, 2 * MICROSECONDS_PER_SECOND)
CLOCK_JUMPS_US = (50 * MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND, 10 * MICROSECONDS_PER_SECOND)
MAX_PARTITION_US = MICROSECONDS_PER_SECOND
CHANGE_TIMEOUT_US = MICROSECONDS_PER_SECOND
MAX_ADDED_MEMBERS = 2
DRAINED_HOSTS = 8
HELD_HOSTS = 3

StartMember = Callable[[MemberEntry, ClusterConfig], SimulatedMember]


class FaultInjector:
    """Injects crashes, partitions, disk and clock faults, and changes that the members must agree on."""

    def __init__(
        self,
        environment: SimulationEnvironment,
        members: Mapping[int, SimulatedMember],
        network: SimulatedNetwork,
        checks: ClusterChecks,
        start_member: StartMember,
    ) -> None:
        self._environment = environment
        self._random = environment.random
        self._plan = environment.plan
        self._members = members
        self._network = network
        self._checks = checks
        self._start_member = start_member
        self._next_member_id = environment.plan.members + 1

    def start(self) -> None:
        """Schedule the first fault of each kind."""
        plan = self._plan
        self._repeat(plan.crash_interval, self._crash)
        self._repeat(plan.partition_interval, self._change_partition)
        self._repeat(plan.disk_stall_interval, self._stall_disk)
        self._repeat(plan.membership_interval, self._change_membership)
        self._repeat(plan.clock_jump_interval, self._jump_clock)
        self._repeat(plan.disk_restore_interval, self._restore_old_disk)
        self._repeat(plan.drain_interval, self._drain_host)
        self._repeat(plan.maintenance_interval, self._hold_or_return_host)

    def repair(self) -> None:
        """End all faults."""
        self._environment.faults_active = False
        self._network.blocked_links.clear()
        for member in self._members.values():
            member.disk_stalled_until_us = 0
            member.restart_if_down()

    def _repeat(self, interval_seconds: float, inject: Callable[[], None]) -> None:
        if not interval_seconds:
            return

        def inject_and_repeat() -> None:
            if self._environment.faults_active:
                inject()
                self._repeat(interval_seconds, inject)

        delay_us = self._random.expovariate(1 / interval_seconds) * MICROSECONDS_PER_SECOND
        self._environment.clock.schedule(delay_us, inject_and_repeat)

    def _members_with_current_disk(self) -> list[SimulatedMember]:
        return [member for member in self._checks.running_members() if not member.has_outdated_disk]

    def _random_member(self) -> SimulatedMember:
        return self._random.choice(list(self._members.values()))

    # processes and machines

    def _crash(self) -> None:
        """Crash one or two members, often the leader, or all of them; restart each after a random delay."""
        running = self._checks.running_members()
        count = self._random.choice((*CRASH_COUNTS, len(running)))
        leaders = [member for member in running if member.running_process.is_leader]
        victims = self._random.sample(running, min(count, len(running)))
        if leaders and count == 1 and self._random.random() < 0.5:
            victims = leaders
        for member in victims:
            member.crash()
            fraction = self._random.choice(RESTART_DELAY_FRACTIONS)
            max_delay_us = int(fraction * self._plan.max_restart_seconds * MICROSECONDS_PER_SECOND) + 1
            member.restart_later(self._random.randrange(max_delay_us))

    def _stall_disk(self) -> None:
        member = self._random_member()
        member.disk_stalled_until_us = self._environment.clock.now_us + self._random.choice(DISK_STALLS_US)

    def _jump_clock(self) -> None:
        """Advance a member's clock and change its rate; the clock is monotonic and never goes back."""
        member = self._random_member()
        member.clock_offset_us += self._random.choice(CLOCK_JUMPS_US)
        time_before_us = member.local_time_us()
        member.clock_rate = self._random.uniform(0.9, 1.1)
        member.clock_offset_us += max(time_before_us - member.local_time_us(), 0)

    def _restore_old_disk(self) -> None:
        """Replace a member's disk with an older copy: the others must reject the member permanently."""
        if self._plan.min_voters < 3:
            return  # the permanent loss of one of two voters leaves no quorum
        candidates = [
            member
            for member in self._members.values()
            if len(member.disk_copies) >= 2 and not member.has_outdated_disk
        ]
        if not candidates or any(member.has_outdated_disk for member in self._members.values()):
            return
        member = self._random.choice(candidates)
        copy = member.disk_copies[0]
        if not self._is_provably_older(member, copy):
            return
        if member.process:
            member.crash()
        member.has_outdated_disk = True
        member.disk = copy.copy()
        self._checks.discard_drains_of(member.member_id)
        member.start()

    def _is_provably_older(self, member: SimulatedMember, copy: MemoryDisk) -> bool:
        """Return whether all others have seen a later incarnation, and so must detect the missing data."""
        others = [
            other for other in self._members.values() if other is not member and not other.has_outdated_disk
        ]
        proofs = [other.disk.proofs.get(member.member_id) for other in others]
        return all(proof and proof.incarnation.number > copy.incarnation.number + 1 for proof in proofs)

    # the network

    def _change_partition(self) -> None:
        """Block a link in one direction, or one or both directions between groups, or unblock all links."""
        member_ids = list(self._members)
        blocked = self._network.blocked_links
        kind = self._random.randrange(4)
        if kind == 0:
            blocked.clear()
        elif kind == 1:
            sender_id, recipient_id = self._random.sample(member_ids, 2)
            blocked.add((sender_id, recipient_id))
        else:
            group = set(self._random.sample(member_ids, self._random.randrange(1, len(member_ids))))
            rest = set(member_ids) - group
            blocked |= {(sender_id, recipient_id) for sender_id in group for recipient_id in rest}
            if kind == 2:
                blocked |= {(recipient_id, sender_id) for sender_id, recipient_id in blocked}
        self._environment.clock.schedule(self._random.randrange(MAX_PARTITION_US), blocked.clear)

    # changes that the members agree on

    def _change_membership(self) -> None:
        """Request a membership change or leadership transfer from a random member or the leader."""
        running = self._checks.running_members()
        if not running:
            return
        leaders = [member for member in running if member.running_process.is_leader]
        targets_leader = leaders and self._plan.max_concurrent_changes > 1
        member = self._random.choice(leaders if targets_leader else running)
        for _ in range(self._random.randrange(self._plan.max_concurrent_changes) + 1):
            if member.process:
                self._request_change(member, member.process)

    def _request_change(self, member: SimulatedMember, process: Member) -> None:
        config = process.config
        kind = self._random.randrange(3)
        if not config.members:
            return
        request = RequestKind.TRANSFER_LEADERSHIP
        data = self._random_member_id(config)
        if kind == 0 and len(config.members) < self._plan.members + MAX_ADDED_MEMBERS:
            request = RequestKind.ADD_MEMBER
            data = msgspec.msgpack.encode(self._start_joining_member())
        elif kind == 1 and len(config.voter_ids()) > self._plan.min_voters:
            request = RequestKind.REMOVE_MEMBER
            data = self._random_member_id(config)
        now_us = member.local_time_us()
        process.submit_request(request, data, now_us + CHANGE_TIMEOUT_US, lambda outcome, at: None, now_us)
        member.run_output()

    def _random_member_id(self, config: ClusterConfig) -> bytes:
        return self._random.choice([member.id for member in config.members]).to_bytes(8, "big")

    def _start_joining_member(self) -> MemberEntry:
        member_id = self._next_member_id
        self._next_member_id += 1
        entry = MemberEntry(member_id, f"n{member_id}", f"127.0.0.1:{7000 + member_id}", MemberRole.JOINING)
        self._start_member(entry, ClusterConfig(()))
        return entry

    def _drain_host(self) -> None:
        """Report a drain from discovery to a single member."""
        members = self._members_with_current_disk()
        if not members:
            return
        member = self._random.choice(members)
        host = f"h{self._random.randrange(DRAINED_HOSTS)}"
        started_ms = self._random.randrange(1, 4) * 1000
        member.running_process.drain_log.record_drain(host, started_ms)
        member.run_output()

    def _hold_or_return_host(self) -> None:
        """Hold a host or return it to service, as operators do; no check covers drains of these hosts."""
        members = self._members_with_current_disk()
        if not members:
            return
        member = self._random.choice(members)
        host = f"hand{self._random.randrange(HELD_HOSTS)}"
        drain_log = member.running_process.drain_log
        if self._random.random() < 0.5:
            drain_log.record_hold(host, member.name)
        else:
            drain_log.record_return(host, member.local_time_us())
        member.run_output()
