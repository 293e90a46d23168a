"""A member's data directory: its durable log, snapshots, drain facts and persisted values, in SQLite.

Each batch of jobs is one transaction, which is synced before `persist` returns (write-ahead log,
`synchronous=FULL`). Every row contains a CRC-32, so that corrupted rows are detected and reported on loading.
SQLite discards the torn tail of the write-ahead log; `wal_check` detects damage before the tail.

All functions block; `disk_writer.DiskWriter` calls them in a thread outside the event loop.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import sqlite3
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from limerudder.store.disk_errors import (
    DatabaseError,
    DirectoryUnavailableError,
    DiskBusyError,
    DiskClosedError,
    MemberExistsError,
    MemberMissingError,
    UnsupportedFormatError,
)
from limerudder.store.durability import DurabilityJob, DurableState
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import ClusterConfig, Snapshot
from limerudder.store.raft.persistence import HardState
from limerudder.store.sqlite_reader import SqliteReader
from limerudder.store.sqlite_schema import (
    FORMAT_VERSION,
    PROOFS_TABLE,
    MetaName,
    connect,
    create_tables,
    transaction,
)
from limerudder.store.sqlite_writer import SqliteWriter
from limerudder.store.wal_check import check_write_ahead_log

DATABASE_FILE = "store.sqlite"
WRITE_AHEAD_LOG_SUFFIX = "-wal"
LOCK_FILE = "lock"
INCARNATION_NONCE_BITS = 32
INITIAL_HARD_STATE = HardState(0, 0)
INITIAL_INCARNATION = Incarnation(0, 0)


class MemberIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The member that a data directory belongs to."""

    cluster_id: int
    member_id: int
    name: str


class DiskContents(NamedTuple):
    """The complete contents of a data directory."""

    identity: MemberIdentity
    incarnation: Incarnation
    durable_state: DurableState
    durability_proofs: dict[int, DurabilityProof]  # member id -> proof


class Disk:
    """One member's data directory, locked against other processes while it is open."""

    def __init__(
        self, directory: str, identity: MemberIdentity | None = None, config: ClusterConfig | None = None
    ) -> None:
        """Open a data directory, or create one if an identity is given; raises DiskError."""
        self.path = os.path.join(directory, DATABASE_FILE)
        self._directory = directory
        self._connection: sqlite3.Connection | None = None
        self._lock_file: int | None = _lock_directory(directory, create=identity is not None)
        try:
            self._check_database_exists(identity is None)
            check_write_ahead_log(self.path + WRITE_AHEAD_LOG_SUFFIX)
            self._connection = connect(self.path)
            if identity is not None:
                self._initialize(identity, config or ClusterConfig(()))
        except sqlite3.Error as error:
            self.close()
            raise DatabaseError(f"{self.path}: {error}") from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the database and release the lock; may be called again."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        if self._lock_file is not None:
            os.close(self._lock_file)
            self._lock_file = None

    def __enter__(self) -> Disk:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    @property
    def connection(self) -> sqlite3.Connection:
        """The database; raises DiskClosedError."""
        if self._connection is None:
            raise DiskClosedError("the data directory is closed")
        return self._connection

    def load(self, begin_incarnation: bool = True) -> DiskContents:
        """Read and verify all data; `begin_incarnation` records a new incarnation. Raises DiskError."""
        try:
            return self._load(begin_incarnation)
        except sqlite3.Error as error:
            raise DatabaseError(f"{self.path}: {error}") from error

    def persist(self, jobs: Sequence[DurabilityJob]) -> list[Snapshot | None]:
        """Make jobs durable in one transaction; return the snapshot built for each of them.

        Raises sqlite3.Error on failure; nothing has been written then, and the call can be retried.
        """
        connection = self.connection
        writer = SqliteWriter(connection)
        with transaction(connection):
            return [writer.write_job(job) for job in jobs]

    def start_new_cluster(self, identity: MemberIdentity, hard_state: HardState, snapshot: Snapshot) -> None:
        """Convert this directory to a member of a new cluster that starts with the state of the snapshot."""
        connection = self.connection
        writer = SqliteWriter(connection)
        with transaction(connection):
            writer.clear_for_new_cluster()
            writer.put_meta(MetaName.IDENTITY, identity)
            writer.put_hard_state(hard_state)
            writer.put_meta(MetaName.CONFIG, snapshot.meta.config)
            writer.put_snapshot(snapshot)

    def _check_database_exists(self, expected: bool) -> None:
        exists = os.path.exists(self.path)
        if exists and not expected:
            raise MemberExistsError(f"{self._directory} already contains a member")
        if expected and not exists:
            raise MemberMissingError(
                f"{self._directory} contains no member; create one with `limerudder state init`"
            )

    def _initialize(self, identity: MemberIdentity, config: ClusterConfig) -> None:
        connection = self.connection
        writer = SqliteWriter(connection)
        with transaction(connection):
            create_tables(connection)
            writer.put_meta(MetaName.FORMAT, FORMAT_VERSION)
            writer.put_meta(MetaName.IDENTITY, identity)
            writer.put_meta(MetaName.CONFIG, config)
            writer.put_hard_state(INITIAL_HARD_STATE)
            writer.put_meta(MetaName.INCARNATION, INITIAL_INCARNATION)
        # Without these syncs, a power failure could lose the directory entries of the new file and folder
        _sync_directory(self._directory)
        _sync_directory(os.path.dirname(os.path.abspath(self._directory)))

    def _load(self, begin_incarnation: bool) -> DiskContents:
        reader = SqliteReader(self.connection, self.path)
        self._migrate(reader.require_meta(MetaName.FORMAT, int))
        identity = reader.require_meta(MetaName.IDENTITY, MemberIdentity)
        incarnation = reader.require_meta(MetaName.INCARNATION, Incarnation)
        if begin_incarnation:
            incarnation = self._begin_incarnation(incarnation)
        return DiskContents(identity, incarnation, reader.durable_state(), reader.durability_proofs())

    def _migrate(self, format_version: int) -> None:
        if format_version > FORMAT_VERSION:
            raise UnsupportedFormatError(
                f"{self.path} has format {format_version}; this build reads up to {FORMAT_VERSION}"
            )
        if format_version == FORMAT_VERSION:
            return
        connection = self.connection
        with transaction(connection):
            connection.execute(PROOFS_TABLE)
            SqliteWriter(connection).put_meta(MetaName.FORMAT, FORMAT_VERSION)

    def _begin_incarnation(self, previous: Incarnation) -> Incarnation:
        incarnation = Incarnation(previous.number + 1, secrets.randbits(INCARNATION_NONCE_BITS))
        connection = self.connection
        with transaction(connection):
            SqliteWriter(connection).put_meta(MetaName.INCARNATION, incarnation)
        return incarnation


def _lock_directory(directory: str, create: bool) -> int:
    """Lock the directory and return the descriptor of its lock file."""
    try:
        if create:
            os.makedirs(directory, mode=0o700, exist_ok=True)
        lock_file = os.open(os.path.join(directory, LOCK_FILE), os.O_CREAT | os.O_RDWR, 0o600)
    except OSError as error:
        raise DirectoryUnavailableError(
            f"{directory}: {error.strerror}; create a member with `limerudder state init`"
        ) from error
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock_file)
        raise DiskBusyError(f"{directory} is in use by another process") from error
    return lock_file


def _sync_directory(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
