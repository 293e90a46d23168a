"""A disk in memory that keeps what `limerudder.store.disk` keeps, and loses what a crash loses."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from limerudder.store.drain_log import DrainFact, decode_fact, encode_fact
from limerudder.store.durability import DurabilityJob, DurableState, KnownValue
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import ClusterConfig, Entry, Snapshot
from limerudder.store.raft.persistence import HardState, IncomingSnapshot, PersistentState


@dataclass
class MemoryDisk:
    """What is durable."""

    config: ClusterConfig
    hard: HardState = HardState(0, 0)
    log: dict[int, Entry] = field(default_factory=dict)
    snapshot: Snapshot | None = None
    incoming: IncomingSnapshot | None = None
    facts: dict[int, bytes] = field(default_factory=dict)
    known: dict[str, KnownValue] = field(default_factory=dict)
    boot: Incarnation = Incarnation(0, 0)
    shown: dict[int, DurabilityProof] = field(default_factory=dict)

    def copy(self) -> MemoryDisk:
        """The disk as it is now."""
        return replace(
            self,
            log=dict(self.log),
            facts=dict(self.facts),
            known=dict(self.known),
            shown=dict(self.shown),
        )

    def do(self, job: DurabilityJob) -> Snapshot | None:
        """Make a job durable; gives the snapshot that was built for it."""
        write = job.raft_write
        if write:
            if write.hard_state:
                self.hard = write.hard_state
            if write.truncate_from is not None:
                self._drop(lambda index: index >= (write.truncate_from or 0))
            for meta, number, data in write.snapshot_chunks:
                held = self.incoming[1] if self.incoming and self.incoming[0] == meta and number else ()
                assert number == len(held), "pieces come in order"
                self.incoming = IncomingSnapshot(meta, (*held, data))
            if write.install_snapshot:
                assert self.incoming and self.incoming[0] == write.install_snapshot
                self.snapshot, self.incoming = Snapshot(*self.incoming), None
                upto = write.install_snapshot.index
                self._drop((lambda index: index <= upto) if write.keep_log_suffix else (lambda index: True))
            for entry in write.entries:
                assert entry.index not in self.log, "an entry is written once, or truncated first"
                self.log[entry.index] = entry
        built = None
        if job.snapshot:
            built = self.snapshot = job.snapshot.build()
            keep_from = job.snapshot.keep_from_index
            self._drop(lambda index: index < keep_from)
        for fact_number, fact in job.new_facts:
            self.facts[fact_number] = encode_fact(fact)
        for fact_number in job.deleted_facts:
            self.facts.pop(fact_number, None)
        for key, known in job.known_values.items():
            self.known[key] = known
        self.shown.update(job.proofs)
        return built

    def _drop(self, goes: object) -> None:
        assert callable(goes)
        for index in [index for index in self.log if goes(index)]:
            del self.log[index]

    def start(self) -> DurableState:
        """What a member starts with."""
        entries = [self.log[index] for index in sorted(self.log)]
        facts: dict[int, DrainFact] = {number: decode_fact(data) for number, data in self.facts.items()}
        saved = PersistentState(self.hard, self.snapshot, entries, self.config, self.incoming)
        return DurableState(saved, facts, dict(self.known))
