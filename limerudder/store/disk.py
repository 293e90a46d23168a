"""The durable log, snapshots, facts and last known records of one member, in an SQLite file of its folder.

A job is one transaction, synced before it returns (WAL, synchronous=FULL). Every row carries a CRC-32, so
that a flipped bit is found and named when the disk is opened. A torn tail of the write-ahead log is cut by
SQLite; a hole in the middle of it, which SQLite would take for a tail, is found here by a look of our own.

Everything here blocks; `transport.Writer` runs it in a thread beside the loop.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import sqlite3
import struct
from collections.abc import Iterator
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

from limerudder.store.drain_log import DrainFact, decode_fact, encode_fact
from limerudder.store.durability import DurabilityJob, DurableState, KnownValue
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import ClusterConfig, Entry, EntryKind, Snapshot, SnapshotMeta
from limerudder.store.raft.raft import HardState, PersistentState, snapshot_digest

FORMAT = 2  #: of the file; 1 lacked the table `shown`
DATABASE_FILE, LOCK = "store.sqlite", "lock"
CHECKPOINT = 500  #: pages of the write-ahead log, before they go into the file

SCHEMA = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB NOT NULL,
                  crc INTEGER NOT NULL);
CREATE TABLE snapshot (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE incoming (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE facts (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE known (name TEXT PRIMARY KEY, value BLOB NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
"""
SHOWN = "CREATE TABLE shown (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL)"


class DiskError(Exception):
    """A folder that cannot be used as a member's, and why."""


class DiskBusy(DiskError):
    """A folder that another process has."""


class MemberIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Whose disk this is."""

    cluster_id: int
    member_id: int
    name: str


class DiskContents(NamedTuple):
    """What a disk holds when it is opened."""

    identity: MemberIdentity
    incarnation: Incarnation
    member_start: DurableState
    durability_proofs: dict[int, DurabilityProof]


_encode = msgspec.msgpack.Encoder().encode


def _decode(data: bytes, kind: Any, what: str) -> Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.DecodeError as exc:
        raise DiskError(f"{what} cannot be read: {exc}") from None


def _crc(key: object, *data: object) -> int:
    return crc32(repr((key, *data)).encode())


class Disk:
    """One member's folder. Only one process may have it."""

    def __init__(
        self, folder: str, identity: MemberIdentity | None = None, config: ClusterConfig | None = None
    ) -> None:
        """Open a folder, or make it where an identity is given. DiskError where it cannot be used."""
        self.folder = folder
        self.path = os.path.join(folder, DATABASE_FILE)
        try:
            if identity:
                os.makedirs(folder, mode=0o700, exist_ok=True)
            self.lock = os.open(os.path.join(folder, LOCK), os.O_CREAT | os.O_RDWR, 0o600)
        except OSError as exc:
            raise DiskError(f"{folder}: {exc.strerror}; `limerudder state init` makes one") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise DiskBusy(f"{folder} is in use by another process") from None
        try:
            self._open(identity, config)
        except sqlite3.Error as exc:
            self.close()
            raise DiskError(f"{self.path}: {exc}") from None
        except DiskError:
            self.close()
            raise

    db: sqlite3.Connection | None = None

    def _open(self, identity: MemberIdentity | None, config: ClusterConfig | None) -> None:
        there = os.path.exists(self.path)
        if identity and there:
            raise DiskError(f"{self.folder} holds a member already")
        if not identity and not there:
            raise DiskError(f"{self.folder} holds no member; `limerudder state init` makes one")
        check_wal(self.path + "-wal")
        self.db = db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT}")
        if identity:
            db.execute("BEGIN IMMEDIATE")
            for statement in SCHEMA.split(";")[:-1]:
                db.execute(statement)
            db.execute(SHOWN)
            self._meta("format", FORMAT)
            self._meta("identity", identity)
            self._meta("config", config or ClusterConfig(()))
            self._meta("hard", (0, 0))
            self._meta("boot", Incarnation(0, 0))
            db.execute("COMMIT")
            self._sync_folder()

    def _sync_folder(self) -> None:
        """Guards a new member against a folder that forgets its file with the power."""
        for path in (self.folder, os.path.dirname(os.path.abspath(self.folder))):
            handle = os.open(path, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

    def close(self) -> None:
        """Let go of the folder."""
        if self.db:
            self.db.close()
            self.db = None
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    @property
    def _sql(self) -> sqlite3.Connection:
        if self.db is None:
            raise DiskError("closed")
        return self.db

    # reading

    def load(self, count_start: bool = True) -> DiskContents:
        """All that is kept; `count_start` counts a start of the disk. DiskError names what is spoiled."""
        try:
            return self._load(count_start)
        except sqlite3.Error as exc:
            raise DiskError(f"{self.path}: {exc}") from None

    def _load(self, count_start: bool) -> DiskContents:
        found = self._get_meta("format", int)
        if found > FORMAT:
            raise DiskError(f"{self.path} has format {found}; this build reads up to {FORMAT}")
        if found < FORMAT:
            self._migrate()
        identity = self._get_meta("identity", MemberIdentity)
        boot = self._get_meta("boot", Incarnation)
        if count_start:
            boot = Incarnation(boot.number + 1, secrets.randbits(32))
            with self._transaction():
                self._meta("boot", boot)
        entries = [
            Entry(index, term, EntryKind(kind), data)
            for index, term, kind, data in self._rows(
                "SELECT idx, term, kind, data, crc FROM log ORDER BY idx", "log entry"
            )
        ]
        for before, after in zip(entries, entries[1:], strict=False):
            if after.index != before.index + 1:
                raise DiskError(f"{self.path}: log entry {before.index + 1} is missing")
        snapshot = self._snapshot("snapshot")
        first = entries[0].index if entries else 0
        base = snapshot.meta.index if snapshot else 0
        if first > base + 1:
            raise DiskError(f"{self.path}: the log begins at entry {first}, after a snapshot of entry {base}")
        incoming = self._incoming()
        facts: dict[int, DrainFact] = {}
        for number, data in self._rows("SELECT number, data, crc FROM facts ORDER BY number", "fact"):
            try:
                facts[number] = decode_fact(data)
            except msgspec.DecodeError as exc:
                raise DiskError(f"{self.path}: fact {number} cannot be read: {exc}") from None
        known: dict[str, KnownValue] = {}
        for name, value in self._rows("SELECT name, value, crc FROM known", "known record"):
            known[name] = _decode(value, KnownValue, f"known record {name}")
        shown = {
            number: _decode(data, DurabilityProof, f"what member {number:016x} has shown")
            for number, data in self._rows("SELECT number, data, crc FROM shown", "what a member has shown,")
        }
        hard = HardState(*self._get_meta("hard", tuple[int, int]))
        saved = PersistentState(hard, snapshot, entries, self._get_meta("config", ClusterConfig), incoming)
        return DiskContents(identity, boot, DurableState(saved, facts, known), shown)

    def _migrate(self) -> None:
        """Format 1 to 2."""
        with self._transaction():
            self._sql.execute(SHOWN)
            self._meta("format", FORMAT)

    def _rows(self, query: str, what: str) -> Iterator[tuple[Any, ...]]:
        for *row, crc in self._sql.execute(query):
            if _crc(*row) != crc:
                raise DiskError(f"{self.path}: {what} {row[0]}: its checksum does not match")
            yield tuple(row)

    def _snapshot(self, table: str) -> Snapshot | None:
        meta = self._maybe_meta(table, SnapshotMeta)
        if meta is None:
            return None
        pieces = tuple(data for _, data in self._pieces(table))
        if len(pieces) != meta.pieces or snapshot_digest(pieces) != meta.digest:
            raise DiskError(f"{self.path}: the snapshot of entry {meta.index} is not whole")
        return Snapshot(meta, pieces)

    def _pieces(self, table: str) -> Iterator[tuple[Any, ...]]:
        return self._rows(f"SELECT number, data, crc FROM {table} ORDER BY number", f"{table} piece")

    def _incoming(self) -> tuple[SnapshotMeta, tuple[bytes, ...]] | None:
        meta = self._maybe_meta("incoming", SnapshotMeta)
        return (meta, tuple(data for _, data in self._pieces("incoming"))) if meta else None

    def _maybe_meta(self, name: str, kind: Any) -> Any:
        row = self._sql.execute("SELECT value, crc FROM meta WHERE name=?", (name,)).fetchone()
        if row is None:
            return None
        if _crc(name, row[0]) != row[1]:
            raise DiskError(f"{self.path}: meta {name}: its checksum does not match")
        return _decode(row[0], kind, f"{self.path}: meta {name}")

    def _get_meta(self, name: str, kind: Any) -> Any:
        value = self._maybe_meta(name, kind)
        if value is None:
            raise DiskError(f"{self.path}: meta {name} is missing")
        return value

    # writing

    def _meta(self, name: str, value: Any) -> None:
        data = _encode(value)
        self._sql.execute("INSERT OR REPLACE INTO meta VALUES (?,?,?)", (name, data, _crc(name, data)))

    def _transaction(self) -> _Transaction:
        return _Transaction(self._sql)

    def persist(self, jobs: list[DurabilityJob]) -> list[Snapshot | None]:
        """Make jobs durable, all in one transaction; gives the snapshots built for them.

        sqlite3.Error where that fails: nothing of them is there then, and they may be done again.
        """
        with self._transaction():
            return [self._do(job) for job in jobs]

    def _do(self, job: DurabilityJob) -> Snapshot | None:
        sql, write = self._sql, job.raft_write
        if write:
            if write.hard:
                self._meta("hard", tuple(write.hard))
            if write.truncate is not None:
                sql.execute("DELETE FROM log WHERE idx>=?", (write.truncate,))
            for meta, number, data in write.pieces:
                if number == 0:
                    sql.execute("DELETE FROM incoming")
                    self._meta("incoming", meta)
                sql.execute("INSERT INTO incoming VALUES (?,?,?)", (number, data, _crc(number, data)))
            if write.install:
                sql.execute("DELETE FROM snapshot")
                sql.execute("INSERT INTO snapshot SELECT number, data, crc FROM incoming")
                sql.execute("DELETE FROM incoming")
                sql.execute("DELETE FROM meta WHERE name='incoming'")
                self._meta("snapshot", write.install)
                upto = write.install.index if write.keep else 1 << 62
                sql.execute("DELETE FROM log WHERE idx<=?", (upto,))
            sql.executemany(
                "INSERT INTO log VALUES (?,?,?,?,?)",
                [
                    (e.index, e.term, int(e.kind), e.data, _crc(e.index, e.term, int(e.kind), e.data))
                    for e in write.entries
                ],
            )
        snapshot = None
        if job.snapshot:
            snapshot = job.snapshot.build()
            self.put_snapshot(snapshot)
            sql.execute("DELETE FROM log WHERE idx<?", (job.snapshot.keep_from_index,))
        for number, fact in job.new_facts:
            data = encode_fact(fact)
            sql.execute("INSERT OR REPLACE INTO facts VALUES (?,?,?)", (number, data, _crc(number, data)))
        sql.executemany("DELETE FROM facts WHERE number=?", [(number,) for number in job.deleted_facts])
        for key, known in job.known_values.items():
            data = _encode(known)
            sql.execute("INSERT OR REPLACE INTO known VALUES (?,?,?)", (key, data, _crc(key, data)))
        for number, shown in job.proofs.items():
            data = _encode(shown)
            sql.execute("INSERT OR REPLACE INTO shown VALUES (?,?,?)", (number, data, _crc(number, data)))
        return snapshot

    def put_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot; within a transaction."""
        self._sql.execute("DELETE FROM snapshot")
        rows = [(n, data, _crc(n, data)) for n, data in enumerate(snapshot.pieces)]
        self._sql.executemany("INSERT INTO snapshot VALUES (?,?,?)", rows)
        self._meta("snapshot", snapshot.meta)

    def start_new_cluster(self, identity: MemberIdentity, hard: HardState, snapshot: Snapshot) -> None:
        """Be another cluster's disk, which begins with this snapshot."""
        with self._transaction():
            for table in ("log", "incoming", "shown"):
                self._sql.execute(f"DELETE FROM {table}")
            self._sql.execute("DELETE FROM meta WHERE name='incoming'")
            self._meta("identity", identity)
            self._meta("hard", tuple(hard))
            self._meta("config", snapshot.meta.config)
            self.put_snapshot(snapshot)


class _Transaction:
    """All of it, synced, or nothing."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db

    def __enter__(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind: object, *rest: object) -> None:
        if kind is None:
            try:
                self.db.execute("COMMIT")
                return
            except sqlite3.Error:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")


def check_wal(path: str) -> None:
    """Look for a hole in the write-ahead log: DiskError where a bad frame is followed by whole transactions.

    A tail torn by a crash belongs to one transaction at the most, since each is synced before the next
    begins. After https://www.sqlite.org/fileformat2.html, section 4.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError:
        return
    if len(data) < 32:
        return
    magic, _, page, _, salt1, salt2, sum1, sum2 = struct.unpack(">8I", data[:32])
    if magic not in (0x377F0682, 0x377F0683) or not 512 <= page <= 65536:
        return  # SQLite passes over it too
    order = ">" if magic & 1 else "<"
    sums = _sums(data[:24], (0, 0), order)
    if sums != (sum1, sum2):
        return
    bad, size = None, 24 + page
    frames = range(32, len(data) - size + 1, size)
    for at in frames:
        head = struct.unpack(">6I", data[at : at + 24])
        if head[2:4] != (salt1, salt2):
            break  # left over from before the log began anew
        if bad is None:
            sums = _sums(data[at : at + 8] + data[at + 24 : at + size], sums, order)
            if sums != head[4:]:
                bad, commits = (at - 32) // size, 0
        if bad is not None:
            commits += head[1] != 0
    if bad is not None and commits > 1:
        raise DiskError(
            f"{path}: frame {bad}: its checksum does not match, and {commits} transactions end at or after it"
        )


def _sums(data: bytes, sums: tuple[int, int], order: str) -> tuple[int, int]:
    one, two = sums
    for x, y in struct.iter_unpack(order + "II", data):
        one = (one + x + two) & 0xFFFFFFFF
        two = (two + y + one) & 0xFFFFFFFF
    return one, two
