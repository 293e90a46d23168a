"""Invariants of a simulated cluster: Raft's safety properties (figure 3.2) and the memory of drains."""

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

STATE_CHECK_INTERVAL = 8  #: entries between comparisons of the state machines
EXPENSIVE_CHECK_INTERVAL = 16  #: events between the checks that compare whole logs
NEVER_COMMITTED_TERM = 1 << 62  #: later than all terms


class InvariantError(AssertionError):
    """An invariant does not hold; the text says which, when, and at which member."""


class CommittedEntry(NamedTuple):
    """An entry as the first member that applied it has it."""

    term: int
    digest: int
    applied_in_term: int  # that member's term when it did


class ClusterChecks:
    """Compares what the members do with what they have done before, and with each other."""

    def __init__(self, environment: SimulationEnvironment, members: Mapping[int, SimulatedMember]) -> None:
        self._environment = environment
        self._members = members
        self.leaders_by_term: dict[int, int] = {}
        self.committed: dict[int, CommittedEntry] = {}  # by index
        self.committed_index = 0
        self.commands: dict[int, bytes] = {}  # the committed ones by index
        self.durable_drains: dict[tuple[int, str], int] = {}  # by member and host: the host's start
        self._state_digests: dict[int, int] = {}  # by applied index
        self._checked_index: dict[int, int] = {}  # by member
        self._checked_leader_term: dict[int, int] = {}  # by member

    def running_members(self) -> list[SimulatedMember]:
        """The members whose process runs."""
        return [member for member in self._members.values() if member.process]

    # after each step

    def is_new_leader(self, member: SimulatedMember) -> bool:
        """Whether the member leads a term in which no leader has been seen."""
        raft = member.running_process.raft
        return raft.role == RaftRole.LEADER and raft.term not in self.leaders_by_term

    def check_step(self, member: SimulatedMember) -> None:
        """Check what must hold after each step of a member."""
        where = f"{self._environment.describe_moment()}, {member.name}"
        process = member.running_process
        if process.raft.role == RaftRole.LEADER:
            self._check_one_leader_per_term(member, process.raft, where)
            self._check_leader_completeness(member, process.raft, where)
        self._check_applied_entries(member, process, where)
        self._check_state(process, where)
        if self._environment.clock.executed_events % EXPENSIVE_CHECK_INTERVAL == 0:
            self.check_drains_remembered(member)
            self._check_log_matching(process.raft, where)

    def _check_one_leader_per_term(self, member: SimulatedMember, raft: Raft, where: str) -> None:
        leader_id = self.leaders_by_term.setdefault(raft.term, member.member_id)
        if leader_id != member.member_id:
            raise InvariantError(
                f"{where}: two leaders in term {raft.term}: {leader_id} and {member.member_id}"
            )

    def _check_leader_completeness(self, member: SimulatedMember, raft: Raft, where: str) -> None:
        """A leader has all entries that were committed in terms before its own."""
        if self._checked_leader_term.get(member.member_id, 0) == raft.term:
            return
        self._checked_leader_term[member.member_id] = raft.term
        unknown = CommittedEntry(0, 0, NEVER_COMMITTED_TERM)
        for index in range(raft.log.base_index + 1, self.committed_index + 1):
            entry = self.committed.get(index, unknown)
            if entry.applied_in_term < raft.term and raft.log.term_at(index) != entry.term:
                raise InvariantError(
                    f"{where}: leads term {raft.term} without entry {index} of term {entry.term}"
                )

    def _check_applied_entries(self, member: SimulatedMember, process: Member, where: str) -> None:
        """All members apply the same entry at an index."""
        raft = process.raft
        applied_index = process.state.applied_index
        first_index = max(self._checked_index.get(member.member_id, 0), raft.log.base_index) + 1
        for index in range(first_index, applied_index + 1):
            entry = raft.log.entry_at(index)
            digest = crc32(entry.data + bytes([entry.kind]))
            known = self.committed.setdefault(index, CommittedEntry(entry.term, digest, raft.term))
            if entry.kind == EntryKind.DATA:
                self.commands.setdefault(index, entry.data)
            if (known.term, known.digest) != (entry.term, digest):
                raise InvariantError(
                    f"{where}: entry {index} was committed as {known} and is of term {entry.term}"
                )
            self.committed_index = max(self.committed_index, index)
        self._checked_index[member.member_id] = applied_index

    def _check_state(self, process: Member, where: str) -> None:
        """All state machines are equal after the same entry."""
        applied_index = process.state.applied_index
        if applied_index % STATE_CHECK_INTERVAL:
            return
        digest = state_digest(process)
        if self._state_digests.setdefault(applied_index, digest) != digest:
            raise InvariantError(f"{where}: the states differ at entry {applied_index}")

    def _check_log_matching(self, raft: Raft, where: str) -> None:
        """Two logs with an entry of the same index and term are equal up to it."""
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
        """The drains of a job have become durable at a member."""
        for _, fact in job.new_facts:
            if isinstance(fact, DrainObserved):
                key = member.member_id, fact.host
                known_ms = self.durable_drains.get(key, NEVER_DRAINED)
                self.durable_drains[key] = max(known_ms, fact.started_ms)

    def forget_drains_of(self, member_id: int) -> None:
        """A member has lost its disk: its drains need not be remembered any more."""
        self.durable_drains = {
            key: started_ms for key, started_ms in self.durable_drains.items() if key[0] != member_id
        }

    def check_drains_remembered(self, member: SimulatedMember) -> None:
        """A drain that was durable at a member is remembered there for ever."""
        drain_log = member.running_process.drain_log
        for (member_id, host), started_ms in self.durable_drains.items():
            if member_id == member.member_id and not drain_log.effective_record(host).excludes(started_ms):
                raise InvariantError(
                    f"{self._environment.describe_moment()}, {member.name}:"
                    f" forgot that {host} drains ({started_ms})"
                )

    def check_drains_agreed(self, members: Iterable[SimulatedMember], config_ids: set[int]) -> None:
        """All members know every drain that is durable at a member of the configuration."""
        for member in members:
            drain_log = member.running_process.drain_log
            for (member_id, host), started_ms in self.durable_drains.items():
                if member_id in config_ids and not drain_log.effective_record(host).excludes(started_ms):
                    raise InvariantError(
                        f"seed {self._environment.seed}, end: {member.name} does not know that"
                        f" {host} drains ({started_ms})"
                    )


def state_digest(process: Member) -> int:
    """A digest of a member's whole state machine."""
    checksum = 0
    for chunk in process.state.snapshot_view(1 << 20).chunks():
        checksum = crc32(chunk, checksum)
    return checksum
