"""Simulates whole clusters with a simulated clock, network and disks; deterministic for a given seed.

The members run production code, and the invariants are checked after every step. Messages are lost,
duplicated, reordered and delayed; links are blocked in one direction or both; disks are slow or stall;
processes crash at any time; clocks drift and jump; disks are replaced by older copies; members join and
leave. Clients write, compare and read through any member, and hosts drain.
"""

from __future__ import annotations

from harness.cluster_checks import ClusterChecks, InvariantError, state_digest
from harness.fault_injector import FaultInjector
from harness.fault_plan import FaultPlan
from harness.linearizability import ClientCall, LinearizabilityError, check_linearizable
from harness.memory_disk import MemoryDisk
from harness.simulated_client import KEYS, SimulatedClient
from harness.simulated_clock import MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND
from harness.simulated_member import SimulatedMember
from harness.simulated_network import SimulatedNetwork
from harness.simulation_environment import SimulationEnvironment
from limerudder.store.raft.messages import ClusterConfig
from limerudder.store.raft.messages import Member as MemberEntry

MAX_CLIENT_START_US = 200 * MICROSECONDS_PER_MILLISECOND
RECOVERY_SECONDS = 6  #: Fault-free time within which the cluster must recover
CONVERGENCE_ATTEMPTS = 100
CONVERGENCE_INTERVAL_US = 20 * MICROSECONDS_PER_MILLISECOND


class ClusterSimulation:
    """One run of a simulated cluster."""

    def __init__(self, seed: int, plan: FaultPlan | None = None) -> None:
        self.environment = SimulationEnvironment(seed, plan or FaultPlan())
        self.members: dict[int, SimulatedMember] = {}
        self.network = SimulatedNetwork(self.environment, self.members)
        self.checks = ClusterChecks(self.environment, self.members)
        self.history: list[ClientCall] = []
        self.acknowledged_writes = 0
        self._faults = FaultInjector(
            self.environment, self.members, self.network, self.checks, self._start_member
        )
        config = _initial_config(self.environment.plan.members)
        for entry in config.members:
            self._start_member(entry, config)

    def _start_member(self, entry: MemberEntry, config: ClusterConfig) -> SimulatedMember:
        """Start a member with an empty disk."""
        member = SimulatedMember(
            entry.id, entry.name, MemoryDisk(config), self.environment, self.network, self.checks
        )
        self.members[entry.id] = member
        member.start()
        return member

    def run(self) -> None:
        """Run with faults, then without; raises InvariantError if an invariant is violated."""
        environment = self.environment
        for number in range(environment.plan.clients):
            client = SimulatedClient(number, environment, self.checks, self.history)
            environment.clock.schedule(
                environment.random.randrange(MAX_CLIENT_START_US), client.start_next_call
            )
        self._faults.start()
        faults_end_us = int(environment.plan.seconds * MICROSECONDS_PER_SECOND)
        environment.clock.run_until(faults_end_us)
        self._faults.repair()
        environment.clock.run_until(faults_end_us + RECOVERY_SECONDS * MICROSECONDS_PER_SECOND)
        self._check_recovery()
        self._check_clients()

    def _check_recovery(self) -> None:
        """Check that there is a leader and that all members of its configuration have the same state."""
        where = f"seed {self.environment.seed}, end"
        running = [member for member in self.checks.running_members() if not member.has_outdated_disk]
        leaders = [member for member in running if member.running_process.is_leader]
        if not leaders:
            raise InvariantError(f"{where}: no leader after {RECOVERY_SECONDS} s without faults")
        leader = max(leaders, key=lambda member: member.running_process.raft.term)
        config = leader.running_process.config
        members = [member for member in running if config.find_by_id(member.member_id)]
        self._wait_for_equal_states(members, where)
        self.checks.check_drains_agreed(members, {entry.id for entry in config.members})

    def _wait_for_equal_states(self, members: list[SimulatedMember], where: str) -> None:
        for _ in range(CONVERGENCE_ATTEMPTS):  # a client's last write may still be in progress
            if len(_states(members)) == 1:
                return
            self.environment.clock.run_until(self.environment.clock.now_us + CONVERGENCE_INTERVAL_US)
        progress = {
            member.name: (
                member.running_process.state.revision,
                member.running_process.raft.commit_index,
            )
            for member in members
        }
        raise InvariantError(f"{where}: members differ in revision and commit index: {progress}")

    def _check_clients(self) -> None:
        try:
            self.acknowledged_writes = check_linearizable(self.history, self.checks.commands, KEYS)
        except LinearizabilityError as exc:
            raise InvariantError(f"seed {self.environment.seed}, clients: {exc}") from exc


def _initial_config(member_count: int) -> ClusterConfig:
    entries = (MemberEntry(n + 1, f"n{n}", f"127.0.0.1:{7000 + n}") for n in range(member_count))
    return ClusterConfig(tuple(entries))


def _states(members: list[SimulatedMember]) -> set[tuple[int, int]]:
    return {
        (member.running_process.state.revision, state_digest(member.running_process)) for member in members
    }
