"""Mutation testing: small defects that are injected into the source of a module when it is imported.

They show that the simulation's checks detect such defects. The source files stay unchanged: a process that
runs with a defect calls `install_mutation` before it imports the store.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import CodeType, ModuleType

ROOT = Path(__file__).parent.parent
ELECTION = "limerudder.store.raft.election"
MEMBERSHIP = "limerudder.store.raft.membership"
READS = "limerudder.store.raft.reads"
REPLICATION = "limerudder.store.raft.replication"
RAFT_SNAPSHOTS = "limerudder.store.raft.snapshots"
RAFT_STATE = "limerudder.store.raft.state"
STATE_MACHINE = "limerudder.store.state_machine"
STATE_SNAPSHOTS = "limerudder.store.snapshots"
LEADER_REQUESTS = "limerudder.store.leader_requests"
DRAIN_REPLICATION = "limerudder.store.drain_replication"
DRAIN_LOG = "limerudder.store.drain_log"
PEER_AUTHENTICATION = "limerudder.store.peer_authentication"
MEMORY_DISK = "harness.memory_disk"
SIMULATED_MEMBER = "harness.simulated_member"


class MutationError(LookupError):
    """A mutation cannot be applied to the source of its module."""


@dataclass(frozen=True)
class Mutation:
    """A defect: in `module`, the only occurrence of `before` becomes `after`."""

    name: str
    module: str
    before: str
    after: str

    def path(self) -> Path:
        """Return the path of the module's source file."""
        return ROOT / (self.module.replace(".", "/") + ".py")

    def apply(self, source: str) -> str:
        """Return the mutated source; raises MutationError unless `before` occurs exactly once in it."""
        occurrences = source.count(self.before)
        if occurrences != 1:
            raise MutationError(
                f"{self.name}: the text to replace occurs {occurrences} times in {self.module}"
            )
        return source.replace(self.before, self.after)


MUTATIONS = [
    Mutation(
        "vote not persisted",
        MEMORY_DISK,
        "self.hard_state = write.hard_state",
        "self.hard_state = HardState(write.hard_state.term, 0)",
    ),
    Mutation("term and vote not persisted", MEMORY_DISK, "self.hard_state = write.hard_state", "pass"),
    Mutation(
        "entry of an older term committed by counting replicas",
        REPLICATION,
        "if index <= state.commit_index or state.log.term_at(index) != state.term:",
        "if index <= state.commit_index:",
    ),
    Mutation(
        "half of the voters counted as a majority",
        RAFT_STATE,
        "return 2 * len(voters.intersection(member_ids)) > len(voters)",
        "return 2 * len(voters.intersection(member_ids)) >= len(voters)",
    ),
    Mutation(
        "vote granted to an outdated log",
        ELECTION,
        "return candidate_log >= (log.last_term, log.last_index)",
        "return True",
    ),
    Mutation(
        "log lengths compared without terms",
        ELECTION,
        "return candidate_log >= (log.last_term, log.last_index)",
        "return message.last_log_index >= log.last_index",
    ),
    Mutation(
        "two votes in a term",
        ELECTION,
        "can_vote = state.voted_for in (NO_LEADER, sender) and state.leader_id == NO_LEADER",
        "can_vote = True",
    ),
    Mutation(
        "entries accepted without checking the previous entry",
        REPLICATION,
        "matches = state.log.term_at(message.prev_log_index) == message.prev_log_term",
        "matches = state.log.term_at(message.prev_log_index) is not None",
    ),
    Mutation(
        "follower commits past its last matching entry",
        REPLICATION,
        "state.advance_commit_to(min(message.leader_commit, match_index))",
        "state.advance_commit_to(min(message.leader_commit, state.log.last_index))",
    ),
    Mutation(
        "truncation not persisted",
        MEMORY_DISK,
        "if write.truncate_from is not None:",
        "if write.truncate_from == -1:",
    ),
    Mutation(
        "acknowledged before durable",
        SIMULATED_MEMBER,
        "            if out.job or out.messages_after_job:",
        "            self._send_all(out.messages_after_job)\n            out.messages_after_job = []\n"
        "            if out.job or out.messages_after_job:",
    ),
    Mutation(
        "leader counts its own entries before they are durable",
        REPLICATION,
        "return state.writes.durable_index",
        "return state.log.last_index",
    ),
    Mutation(
        "concurrent membership changes",
        MEMBERSHIP,
        "if state.log.config_index > state.commit_index:",
        "if False:",
    ),
    Mutation(
        "membership applied late",
        RAFT_STATE,
        "voters = self.log.config.voter_ids()\n        return 2",
        "voters = self.log.config_at(max(self.commit_index, self.log.base_index)).voter_ids()\n"
        "        return 2",
    ),
    Mutation(
        "reads answered without confirmation by a quorum",
        READS,
        "self._pending.append(_PendingRead(read_id, state.commit_index, state.read_round))",
        "state.output.confirmed_reads.append(ConfirmedRead(read_id, state.commit_index))",
    ),
    Mutation(
        "reads served by a new leader before its first commit",
        READS,
        "if not self._state.has_committed_in_term:",
        "if False:",
    ),
    Mutation(
        "read round shared with messages already sent",
        READS,
        "            state.read_round += 1\n            self._round_is_unsent",
        "            self._round_is_unsent",
    ),
    Mutation(
        "snapshot without its sessions",
        STATE_SNAPSHOTS,
        "            (session_id, session.acknowledged_serial, dict(session.results))\n"
        "            for session_id, session in sessions.items()\n"
        "        ]\n",
        "        ]\n        self._header = msgspec.structs.replace(self._header, session_count=0)\n",
    ),
    Mutation(
        "snapshot without session results",
        STATE_SNAPSHOTS,
        "(session_id, session.acknowledged_serial, dict(session.results))",
        "(session_id, session.acknowledged_serial, {})",
    ),
    Mutation(
        "repeated write applied again",
        STATE_MACHINE,
        "if command.serial in session.results:",
        "if False:",
    ),
    Mutation(
        "result of another request returned for an overwritten entry",
        LEADER_REQUESTS,
        "if proposed.term != entry.term:",
        "if False:",
    ),
    Mutation(
        "conflicting log suffix kept after a snapshot",
        RAFT_SNAPSHOTS,
        "keep_log_suffix = state.log.term_at(meta.index) == meta.term",
        "keep_log_suffix = state.log.last_index >= meta.index",
    ),
    Mutation(
        "chunks of two snapshots mixed",
        RAFT_SNAPSHOTS,
        "if self._meta is None or self._meta != meta:",
        "if self._meta is None:",
    ),
    Mutation("facts not persisted", MEMORY_DISK, "self.facts[fact_number] = encode_fact(fact)", "pass"),
    Mutation(
        "facts deleted when answered, not when applied locally",
        DRAIN_REPLICATION,
        "self._finish_write_when_applied(host, outcome, now_us)",
        "self._drain_log.finish_write(host, outcome.revision if outcome.succeeded else None)",
    ),
    Mutation("values of copied keys not persisted", MEMORY_DISK, "self.known[key] = persisted_value", "pass"),
    Mutation(
        "later drain with an earlier start replaces the record",
        DRAIN_LOG,
        "return HostRecord(max(record.drained, started_ms), record.held",
        "return HostRecord(started_ms, record.held",
    ),
    Mutation("outdated disk accepted", PEER_AUTHENTICATION, "if outdated is not None:", "if False:"),
]


class _MutatingLoader(importlib.abc.MetaPathFinder, importlib.machinery.SourceFileLoader):
    """Finds the module of a mutation and loads its mutated source."""

    def __init__(self, mutation: Mutation) -> None:
        super().__init__(mutation.module, str(mutation.path()))
        self._mutation = mutation

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Find only the module of the mutation."""
        if fullname != self._mutation.module:
            return None
        return importlib.machinery.ModuleSpec(fullname, self, origin=self.path)

    def get_code(self, fullname: str) -> CodeType:
        """Compile the mutated source."""
        source = self.get_data(self.path).decode()
        code: CodeType = compile(self._mutation.apply(source), self.path, "exec")
        return code


def install_mutation(mutation: Mutation) -> None:
    """Inject the defect into this process; its module must not have been imported yet."""
    assert mutation.module not in sys.modules, "the module is already imported"
    sys.meta_path.insert(0, _MutatingLoader(mutation))
