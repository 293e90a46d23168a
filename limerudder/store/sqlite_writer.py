"""Writes the rows of a data directory's database with their checksums."""

from __future__ import annotations

import sqlite3
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from limerudder.store.drain_log import NumberedFact, encode_fact
from limerudder.store.durability import DurabilityJob, PersistedValue, SnapshotJob
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.raft.messages import Entry, Snapshot, SnapshotMeta
from limerudder.store.raft.persistence import HardState, RaftWrite
from limerudder.store.sqlite_schema import MetaName, row_checksum

#: Upper bound of the index of log entries
MAX_LOG_INDEX = 1 << 62

_encode = msgspec.msgpack.Encoder().encode


class SqliteWriter:
    """Writes one database. The caller begins the transactions; methods raise sqlite3.Error."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def put_meta(self, name: MetaName, value: Any) -> None:
        """Set a row of the table `meta`."""
        data = _encode(value)
        row = (name.value, data, row_checksum(name.value, data))
        self._connection.execute("INSERT OR REPLACE INTO meta VALUES (?,?,?)", row)

    def put_hard_state(self, hard_state: HardState) -> None:
        """Set the current term and vote."""
        self.put_meta(MetaName.HARD_STATE, tuple(hard_state))

    def put_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot."""
        self._connection.execute("DELETE FROM snapshot")
        rows = [(number, data, row_checksum(number, data)) for number, data in enumerate(snapshot.chunks)]
        self._connection.executemany("INSERT INTO snapshot VALUES (?,?,?)", rows)
        self.put_meta(MetaName.SNAPSHOT, snapshot.meta)

    def clear_for_new_cluster(self) -> None:
        """Delete the log, any incoming snapshot and the durability proofs of other members."""
        for table in ("log", "incoming", "shown"):
            self._connection.execute(f"DELETE FROM {table}")
        self._delete_incoming_meta()

    def write_job(self, job: DurabilityJob) -> Snapshot | None:
        """Write a job's changes; return the snapshot built for it, if any."""
        if job.raft_write:
            self._write_raft(job.raft_write)
        snapshot = self._write_snapshot_job(job.snapshot) if job.snapshot else None
        self._write_facts(job.new_facts, job.deleted_facts)
        self._write_persisted_values(job.persisted_values)
        self._write_proofs(job.proofs)
        return snapshot

    def _write_raft(self, write: RaftWrite) -> None:
        if write.hard_state:
            self.put_hard_state(write.hard_state)
        if write.truncate_from is not None:
            self._connection.execute("DELETE FROM log WHERE idx>=?", (write.truncate_from,))
        for meta, number, data in write.snapshot_chunks:
            self._write_incoming_chunk(meta, number, data)
        if write.install_snapshot:
            self._install_incoming_snapshot(write.install_snapshot, keep_log_suffix=write.keep_log_suffix)
        self._write_entries(write.entries)

    def _write_incoming_chunk(self, meta: SnapshotMeta, number: int, data: bytes) -> None:
        if number == 0:
            self._connection.execute("DELETE FROM incoming")
            self.put_meta(MetaName.INCOMING_SNAPSHOT, meta)
        row = (number, data, row_checksum(number, data))
        self._connection.execute("INSERT INTO incoming VALUES (?,?,?)", row)

    def _install_incoming_snapshot(self, meta: SnapshotMeta, keep_log_suffix: bool) -> None:
        self._connection.execute("DELETE FROM snapshot")
        self._connection.execute("INSERT INTO snapshot SELECT number, data, crc FROM incoming")
        self._connection.execute("DELETE FROM incoming")
        self._delete_incoming_meta()
        self.put_meta(MetaName.SNAPSHOT, meta)
        last_deleted_index = meta.index if keep_log_suffix else MAX_LOG_INDEX
        self._connection.execute("DELETE FROM log WHERE idx<=?", (last_deleted_index,))

    def _delete_incoming_meta(self) -> None:
        name = MetaName.INCOMING_SNAPSHOT.value
        self._connection.execute("DELETE FROM meta WHERE name=?", (name,))

    def _write_entries(self, entries: Sequence[Entry]) -> None:
        self._connection.executemany("INSERT INTO log VALUES (?,?,?,?,?)", map(_log_row, entries))

    def _write_snapshot_job(self, job: SnapshotJob) -> Snapshot:
        snapshot = job.build()
        self.put_snapshot(snapshot)
        self._connection.execute("DELETE FROM log WHERE idx<?", (job.keep_from_index,))
        return snapshot

    def _write_facts(self, new_facts: Sequence[NumberedFact], deleted_facts: Sequence[int]) -> None:
        for number, fact in new_facts:
            data = encode_fact(fact)
            row = (number, data, row_checksum(number, data))
            self._connection.execute("INSERT OR REPLACE INTO facts VALUES (?,?,?)", row)
        numbers = [(number,) for number in deleted_facts]
        self._connection.executemany("DELETE FROM facts WHERE number=?", numbers)

    def _write_persisted_values(self, persisted_values: Mapping[str, PersistedValue]) -> None:
        for key, persisted_value in persisted_values.items():
            data = _encode(persisted_value)
            row = (key, data, row_checksum(key, data))
            self._connection.execute("INSERT OR REPLACE INTO known VALUES (?,?,?)", row)

    def _write_proofs(self, proofs: Mapping[int, DurabilityProof]) -> None:
        for member_id, proof in proofs.items():
            data = _encode(proof)
            row = (member_id, data, row_checksum(member_id, data))
            self._connection.execute("INSERT OR REPLACE INTO shown VALUES (?,?,?)", row)


def _log_row(entry: Entry) -> tuple[int, int, int, bytes, int]:
    kind = int(entry.kind)
    checksum = row_checksum(entry.index, entry.term, kind, entry.data)
    return entry.index, entry.term, kind, entry.data, checksum
