"""Invariants of a simulated cluster: Raft's safety properties and the durability of drains.

The safety properties are those of figure 3.2 of Ongaro's dissertation (see `limerudder.store.raft`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from harness.simulation_environment import SimulationEnvironment
from limerudder.store.drain_log import NEVER_DRAINED, DrainObserved
from limerudder.store.durability import DurabilityJob
from limerudder.store.member import Member
from limerudder.store.raft.messages import EntryKind
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole

if TYPE_CHECKING:
    from harness.simulated_member import SimulatedMember

STATE_CHECK_INTERVAL = 8  #: Number of entries between comparisons of the state machines
EXPENSIVE_CHECK_INTERVAL = 16  #: Number of events between checks that compare whole logs
NEVER_COMMITTED_TERM = 1 << 62  #: Placeholder that is greater than any term of a run


class InvariantError(AssertionError):
    """An invariant is violated; the message names the invariant, the time and the member."""


class CommittedEntry(NamedTuple):
    """A committed entry, as recorded from the first member that applied it."""

    term: int
    digest: int
    applied_in_term: int  # current term of that member when it applied the entry


class ClusterChecks:
    """Compares the members with each other and with their own earlier states."""

    def __init__(self, environment: SimulationEnvironment, members: Mapping[int, SimulatedMember]) -> None:
        self._environment = environment
        self._members = members
        self.leaders_by_term: dict[int, int] = {}
        self.committed: dict[int, CommittedEntry] = {}  # committed entries by index
        self.committed_index = 0
        self.commands: dict[int, bytes] = {}  # committed commands by index
        self.durable_drains: dict[tuple[int, str], int] = {}  # hosts' start times by member and host
        self._state_digests: dict[int, int] = {}  # digests by applied index
        self._checked_index: dict[int, int] = {}  # last checked index by member
        self._checked_leader_term: dict[int, int] = {}  # last checked term as leader, by member

    def running_members(self) -> list[SimulatedMember]:
        """Return the members whose process is running."""
        return [member for member in self._members.values() if member.process]

    # checks after each step

    def is_new_leader(self, member: SimulatedMember) -> bool:
        """Return whether the member leads a term that had no leader in an earlier step."""
        raft = member.running_process.raft
        return raft.role == RaftRole.LEADER and raft.term not in self.leaders_by_term

    def check_step(self, member: SimulatedMember) -> None:
        """Check the invariants after a step of a member."""
        where = f"{self._environment.describe_time()}, {member.name}"
        process = member.running_process
        if process.raft.role == RaftRole.LEADER:
            self._check_one_leader_per_term(member, process.raft, where)
            self._check_leader_completeness(member, process.raft, where)
        self._check_applied_entries(member, process, where)
        self._check_state(process, where)
        if self._environment.clock.executed_events % EXPENSIVE_CHECK_INTERVAL == 0:
            self.check_drains_retained(member)
            self._check_log_matching(process.raft, where)

    def _check_one_leader_per_term(self, member: SimulatedMember, raft: Raft, where: str) -> None:
        leader_id = self.leaders_by_term.setdefault(raft.term, member.member_id)
        if leader_id != member.member_id:
            raise InvariantError(
                f"{where}: two leaders in term {raft.term}: {leader_id} and {member.member_id}"
            )

    def _check_leader_completeness(self, member: SimulatedMember, raft: Raft, where: str) -> None:
        """Check that a leader has all entries that were committed in earlier terms."""
        if self._checked_leader_term.get(member.member_id, 0) == raft.term:
            return
        self._checked_leader_term[member.member_id] = raft.term
        unknown = CommittedEntry(0, 0, NEVER_COMMITTED_TERM)
        for index in range(raft.log.base_index + 1, self.committed_index + 1):
            entry = self.committed.get(index, unknown)
            if entry.applied_in_term < raft.term and raft.log.term_at(index) != entry.term:
                raise InvariantError(
                    f"{where}: leads term {raft.term} but lacks entry {index} of term {entry.term}"
                )

    def _check_applied_entries(self, member: SimulatedMember, process: Member, where: str) -> None:
        """Check that all members apply the same entry at each index."""
        raft = process.raft
        applied_index = process.state.applied_index
        first_index = max(self._checked_index.get(member.member_id, 0), raft.log.base_index) + 1
        for index in range(first_index, applied_index + 1):
            entry = raft.log.entry_at(index)
            digest = crc32(entry.data + bytes([entry.kind]))
            committed = self.committed.setdefault(index, CommittedEntry(entry.term, digest, raft.term))
            if entry.kind == EntryKind.DATA:
                self.commands.setdefault(index, entry.data)
            if (committed.term, committed.digest) != (entry.term, digest):
                raise InvariantError(
                    f"{where}: entry {index} was committed as {committed} but has term {entry.term}"
                )
            self.committed_index = max(self.committed_index, index)
        self._checked_index[member.member_id] = applied_index

    def _check_state(self, process: Member, where: str) -> None:
        """Check that all state machines are equal after applying the same entry."""
        applied_index = process.state.applied_index
        if applied_index % STATE_CHECK_INTERVAL:
            return
        digest = state_digest(process)
        if self._state_digests.setdefault(applied_index, digest) != digest:
            raise InvariantError(f"{where}: state machines differ after entry {applied_index}")

    def _check_log_matching(self, raft: Raft, where: str) -> None:
        """Check that two logs that share an entry's index and term are equal up to that entry."""
        log = raft.log
        for other in self.running_members():
            other_log = other.running_process.raft.log
            first_index = max(log.base_index, other_log.base_index) + 1
            last_index = min(log.last_index, other_log.last_index)
            must_be_equal = False
            for index in range(last_index, first_index - 1, -1):
                entry = log.entry_at(index)
                other_entry = other_log.entry_at(index)
                must_be_equal = must_be_equal or entry.term == other_entry.term
                if must_be_equal and entry != other_entry:
                    raise InvariantError(
                        f"{where}: the log differs from that of {other.name} at entry {index}"
                    )

    # drains

    def record_durable_facts(self, member: SimulatedMember, job: DurabilityJob) -> None:
        """Record the drains that a job has made durable at a member."""
        for _, fact in job.new_facts:
            if isinstance(fact, DrainObserved):
                key = member.member_id, fact.host
                previous_ms = self.durable_drains.get(key, NEVER_DRAINED)
                self.durable_drains[key] = max(previous_ms, fact.started_ms)

    def discard_drains_of(self, member_id: int) -> None:
        """Stop checking the drains of a member that has lost its disk."""
        self.durable_drains = {
            key: started_ms for key, started_ms in self.durable_drains.items() if key[0] != member_id
        }

    def check_drains_retained(self, member: SimulatedMember) -> None:
        """Check that a member still has a record of every drain that was durable there."""
        drain_log = member.running_process.drain_log
        for (member_id, host), started_ms in self.durable_drains.items():
            if member_id == member.member_id and not drain_log.effective_record(host).excludes(started_ms):
                raise InvariantError(
                    f"{self._environment.describe_time()}, {member.name}:"
                    f" lost the durable drain of {host} (host started at {started_ms} ms)"
                )

    def check_drains_agreed(self, members: Iterable[SimulatedMember], config_ids: set[int]) -> None:
        """Check that all members have each drain that is durable at a member of the configuration."""
        for member in members:
            drain_log = member.running_process.drain_log
            for (member_id, host), started_ms in self.durable_drains.items():
                if member_id in config_ids and not drain_log.effective_record(host).excludes(started_ms):
                    raise InvariantError(
                        f"seed {self._environment.seed}, end: {member.name} lacks the"
                        f" drain of {host} (host started at {started_ms} ms)"
                    )


def state_digest(process: Member) -> int:
    """Return a digest of a member's whole state machine."""
    checksum = 0
    for chunk in process.state.snapshot_view(1 << 20).chunks():
        checksum = crc32(chunk, checksum)
    return checksum
