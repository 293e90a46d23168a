"""Defects planted on purpose, each a change of a few words in the shipped text, made as it is imported.

The shipped files are never touched: a process that is to have a defect calls `plant` before it imports the
store.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from types import CodeType, ModuleType

MACHINE, RECORDS = "limerudder.store.raft.raft", "limerudder.store.state_machine"
SNAPSHOTS = "limerudder.store.snapshots"
LEADER_REQUESTS = "limerudder.store.leader_requests"
DRAIN_REPLICATION = "limerudder.store.drain_replication"
LEDGER, DOORMAN = (
    "limerudder.store.drain_log",
    "limerudder.store.peer_authentication",
)
DISK, CLUSTER = "harness.memory_disk", "harness.cluster_simulation"


@dataclass(frozen=True)
class Mutation:
    """What is changed, and where."""

    name: str
    module: str
    before: str
    after: str


MUTATIONS = [
    Mutation(
        "vote not persisted", DISK, "self.hard = write.hard", "self.hard = HardState(write.hard.term, 0)"
    ),
    Mutation("term and vote not persisted", DISK, "self.hard = write.hard", "pass"),
    Mutation(
        "an older term's entry committed by count",
        MACHINE,
        "if index <= self.commit or self.log.term(index) != self.term:",
        "if index <= self.commit:",
    ),
    Mutation(
        "a majority is half",
        MACHINE,
        "return 2 * len(voters & numbers) > len(voters)",
        "return 2 * len(voters & numbers) >= len(voters)",
    ),
    Mutation(
        "vote given to an older log",
        MACHINE,
        "newer = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)",
        "newer = True",
    ),
    Mutation(
        "log lengths compared without terms",
        MACHINE,
        "newer = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)",
        "newer = message.last_index >= self.log.last",
    ),
    Mutation(
        "two votes in a term",
        MACHINE,
        "free = self.vote in (NOBODY, sender) and self.leader == NOBODY",
        "free = True",
    ),
    Mutation(
        "entries taken without comparing what is before them",
        MACHINE,
        "agrees = self.log.term(prev) == message.prev_term",
        "agrees = self.log.term(prev) is not None",
    ),
    Mutation(
        "follower commits past what it knows to agree",
        MACHINE,
        "self._commit_to(min(message.commit, upto))",
        "self._commit_to(min(message.commit, self.log.last))",
    ),
    Mutation(
        "truncation does not reach the disk",
        DISK,
        "if write.truncate is not None:",
        "if write.truncate == -1:",
    ),
    Mutation(
        "acknowledged before it is durable",
        CLUSTER,
        "            if out.job or out.messages_after_job:",
        "            for to, message in out.messages_after_job:\n"
        "                self.send(server, to, message)\n"
        "            out.messages_after_job = []\n            if out.job or out.messages_after_job:",
    ),
    Mutation(
        "leader counts its own entries before they are durable",
        MACHINE,
        "held = sorted(self.durable if v == self.me",
        "held = sorted(self.log.last if v == self.me",
    ),
    Mutation(
        "several changes of members at once",
        MACHINE,
        'if self.log.config_index > self.commit:\n            raise ChangeError("another',
        'if False:\n            raise ChangeError("another',
    ),
    Mutation(
        "membership applied late",
        MACHINE,
        "voters = self.log.config.voters()\n        return 2",
        "voters = self.log.config_at(max(self.commit, self.log.base)).voters()\n        return 2",
    ),
    Mutation(
        "reads answered without asking a quorum",
        MACHINE,
        "self.reads.append((number, self.commit, self.round))",
        "self.out.reads.append((number, self.commit))",
    ),
    Mutation(
        "reads of a new leader before its first entry",
        MACHINE,
        "if self.commit < self.first:\n            # guards a read",
        "if False:\n            # guards a read",
    ),
    Mutation(
        "a round shared with messages already sent",
        MACHINE,
        "            self.round += 1\n            self.round_new",
        "            self.round_new",
    ),
    Mutation(
        "snapshot without its sessions",
        SNAPSHOTS,
        "            (session_id, session.acknowledged_serial, dict(session.results))\n"
        "            for session_id, session in sessions.items()\n"
        "        ]\n",
        "        ]\n        self._header = msgspec.structs.replace(self._header, session_count=0)\n",
    ),
    Mutation(
        "snapshot without sessions' results",
        SNAPSHOTS,
        "(session_id, session.acknowledged_serial, dict(session.results))",
        "(session_id, session.acknowledged_serial, {})",
    ),
    Mutation(
        "a write said again is done again",
        RECORDS,
        "if command.serial in session.results:",
        "if False:",
    ),
    Mutation(
        "another's result given after an overwritten entry",
        LEADER_REQUESTS,
        "if proposed.term != entry.term:",
        "if False:",
    ),
    Mutation(
        "older log kept under a newer snapshot",
        MACHINE,
        "keep = self.log.term(meta.index) == meta.term",
        "keep = self.log.last >= meta.index",
    ),
    Mutation(
        "snapshot pieces of two snapshots mixed",
        MACHINE,
        "if self.incoming is None or self.incoming[0] != meta:",
        "if self.incoming is None:",
    ),
    Mutation("facts not persisted", DISK, "self.facts[fact_number] = write_fact(fact)", "pass"),
    Mutation(
        "facts dropped when answered, not when applied here",
        DRAIN_REPLICATION,
        "self._finish_write_when_applied(host, outcome, now_us)",
        "self._drain_log.finish_write(host, outcome.revision if outcome.succeeded else None)",
    ),
    Mutation("known records not persisted", DISK, "self.known[key] = known", "pass"),
    Mutation(
        "a later, smaller drain replaces a greater one",
        LEDGER,
        "return HostRecord(max(record.drained, started_ms), record.held",
        "return HostRecord(started_ms, record.held",
    ),
    Mutation("an older disk is let in", DOORMAN, "if outdated is not None:", "if False:"),
]


class _MutatingLoader(importlib.abc.MetaPathFinder, importlib.machinery.SourceFileLoader):
    """Finds the one module and loads it with the change."""

    def __init__(self, defect: Mutation, path: str) -> None:
        super().__init__(defect.module, path)
        self.defect = defect

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Only the module that has the defect."""
        if fullname != self.defect.module:
            return None
        return importlib.machinery.ModuleSpec(fullname, self, origin=self.path)

    def get_code(self, fullname: str) -> CodeType:
        """The changed text, compiled; a change that does not fit is an error of its own."""
        text = self.get_data(self.path).decode()
        found = text.count(self.defect.before)
        if found != 1:
            raise LookupError(f"{self.defect.name}: its text stands {found} times in {fullname}")
        code: CodeType = compile(text.replace(self.defect.before, self.defect.after), self.path, "exec")
        return code


def install_mutation(defect: Mutation) -> None:
    """Have the defect in this process; the store must not have been imported yet."""
    assert defect.module not in sys.modules, "too late"
    path = defect.module.replace(".", "/") + ".py"
    sys.meta_path.insert(0, _MutatingLoader(defect, path))
