"""Reads the rows of a data directory's database and verifies the checksum of each."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from itertools import pairwise
from typing import Any

import msgspec

from limerudder.store.disk_errors import DiskCorruptedError
from limerudder.store.drain_log import DrainFact, decode_fact
from limerudder.store.durability import DurableState, PersistedValue
from limerudder.store.peer_authentication import DurabilityProof
from limerudder.store.raft.messages import (
    ClusterConfig,
    Entry,
    EntryKind,
    Snapshot,
    SnapshotMeta,
    snapshot_digest,
)
from limerudder.store.raft.persistence import HardState, IncomingSnapshot, PersistentState
from limerudder.store.sqlite_schema import ChunkTable, MetaName, row_checksum

NO_SNAPSHOT_INDEX = 0


class SqliteReader:
    """Reads one database; methods raise DiskCorruptedError or sqlite3.Error on unusable data."""

    def __init__(self, connection: sqlite3.Connection, path: str) -> None:
        self._connection = connection
        self._path = path  # path in error messages

    def require_meta(self, name: MetaName, value_type: Any) -> Any:
        """Return the decoded value of a row of `meta` that must exist."""
        value = self.get_meta(name, value_type)
        if value is None:
            raise DiskCorruptedError(f"{self._path}: meta {name.value} is missing")
        return value

    def get_meta(self, name: MetaName, value_type: Any) -> Any:
        """Return the decoded value of a row of `meta`, or None if there is no such row."""
        query = "SELECT value, crc FROM meta WHERE name=?"
        row = self._connection.execute(query, (name.value,)).fetchone()
        if row is None:
            return None
        data, checksum = row
        if row_checksum(name.value, data) != checksum:
            raise DiskCorruptedError(f"{self._path}: meta {name.value}: checksum does not match")
        return _decode(data, value_type, f"{self._path}: meta {name.value}")

    def durable_state(self) -> DurableState:
        """Return the durable state that a member starts with."""
        entries = self._log_entries()
        snapshot = self._snapshot()
        self._check_log_follows_snapshot(entries, snapshot)
        incoming_snapshot = self._incoming_snapshot()
        facts = self._drain_facts()
        persisted_values = self._persisted_values()
        hard_state = HardState(*self.require_meta(MetaName.HARD_STATE, tuple[int, int]))
        config = self.require_meta(MetaName.CONFIG, ClusterConfig)
        raft_state = PersistentState(hard_state, snapshot, entries, config, incoming_snapshot)
        return DurableState(raft_state, facts, persisted_values)

    def durability_proofs(self) -> dict[int, DurabilityProof]:
        """Return the other members' durability proofs by member id."""
        query = "SELECT number, data, crc FROM shown"
        return {
            member_id: _decode(data, DurabilityProof, f"durability proof of member {member_id:016x}")
            for member_id, data in self._rows(query, "durability proof of member")
        }

    def _log_entries(self) -> list[Entry]:
        query = "SELECT idx, term, kind, data, crc FROM log ORDER BY idx"
        entries = [
            Entry(index, term, EntryKind(kind), data)
            for index, term, kind, data in self._rows(query, "log entry")
        ]
        for entry, next_entry in pairwise(entries):
            if next_entry.index != entry.index + 1:
                raise DiskCorruptedError(f"{self._path}: log entry {entry.index + 1} is missing")
        return entries

    def _snapshot(self) -> Snapshot | None:
        meta = self.get_meta(MetaName.SNAPSHOT, SnapshotMeta)
        if meta is None:
            return None
        chunks = self._chunks(ChunkTable.SNAPSHOT)
        if len(chunks) != meta.chunk_count or snapshot_digest(chunks) != meta.digest:
            raise DiskCorruptedError(
                f"{self._path}: the snapshot at entry {meta.index} is incomplete or corrupted"
            )
        return Snapshot(meta, chunks)

    def _check_log_follows_snapshot(self, entries: list[Entry], snapshot: Snapshot | None) -> None:
        if not entries:
            return
        first_index = entries[0].index
        snapshot_index = snapshot.meta.index if snapshot else NO_SNAPSHOT_INDEX
        if first_index > snapshot_index + 1:
            raise DiskCorruptedError(
                f"{self._path}: the log begins at entry {first_index},"
                f" but the snapshot ends at entry {snapshot_index}"
            )

    def _incoming_snapshot(self) -> IncomingSnapshot | None:
        meta = self.get_meta(MetaName.INCOMING_SNAPSHOT, SnapshotMeta)
        if meta is None:
            return None
        return IncomingSnapshot(meta, self._chunks(ChunkTable.INCOMING_SNAPSHOT))

    def _chunks(self, table: ChunkTable) -> tuple[bytes, ...]:
        query = f"SELECT number, data, crc FROM {table.value} ORDER BY number"
        return tuple(data for _, data in self._rows(query, f"{table.value} chunk"))

    def _drain_facts(self) -> dict[int, DrainFact]:
        facts: dict[int, DrainFact] = {}
        for number, data in self._rows("SELECT number, data, crc FROM facts ORDER BY number", "fact"):
            try:
                facts[number] = decode_fact(data)
            except msgspec.DecodeError as error:
                raise DiskCorruptedError(f"{self._path}: fact {number} cannot be decoded: {error}") from error
        return facts

    def _persisted_values(self) -> dict[str, PersistedValue]:
        persisted_values: dict[str, PersistedValue] = {}
        for key, data in self._rows("SELECT name, value, crc FROM known", "persisted value"):
            persisted_values[key] = _decode(data, PersistedValue, f"persisted value {key}")
        return persisted_values

    def _rows(self, query: str, description: str) -> Iterator[tuple[Any, ...]]:
        """Yield the rows of a query without their checksum, which is the last column."""
        for *values, checksum in self._connection.execute(query):
            if row_checksum(*values) != checksum:
                raise DiskCorruptedError(f"{self._path}: {description} {values[0]}: checksum does not match")
            yield tuple(values)


def _decode(data: bytes, value_type: Any, description: str) -> Any:
    try:
        return msgspec.msgpack.decode(data, type=value_type)
    except msgspec.DecodeError as error:
        raise DiskCorruptedError(f"{description} cannot be decoded: {error}") from error
