"""The SQLite database of a data directory: its tables, row checksums, connections and transactions.

The tables, and the order of the values that a row's checksum covers, are part of the stored format.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from zlib import crc32

FORMAT_VERSION = 2  #: Format of the database; version 1 did not have the table `shown`
CHECKPOINT_PAGES = 500  #: Size of the write-ahead log in pages at which SQLite starts a checkpoint

TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB NOT NULL,
                  crc INTEGER NOT NULL);
CREATE TABLE snapshot (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE incoming (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE facts (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE known (name TEXT PRIMARY KEY, value BLOB NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID;
"""
PROOFS_TABLE = "CREATE TABLE shown (number INTEGER PRIMARY KEY, data BLOB NOT NULL, crc INTEGER NOT NULL)"


class MetaName(Enum):
    """Names of the rows in the table `meta`."""

    FORMAT = "format"
    IDENTITY = "identity"
    CONFIG = "config"
    HARD_STATE = "hard"
    INCARNATION = "boot"
    SNAPSHOT = "snapshot"
    INCOMING_SNAPSHOT = "incoming"


class ChunkTable(Enum):
    """Names of the tables for the chunks of a snapshot."""

    SNAPSHOT = "snapshot"
    INCOMING_SNAPSHOT = "incoming"


def connect(path: str) -> sqlite3.Connection:
    """Open the database exclusively, or create an empty one; commits are synced.

    Any thread can use the connection, but only one at a time. Raises sqlite3.Error.
    """
    connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    connection.execute("PRAGMA locking_mode=EXCLUSIVE")
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT_PAGES}")
    return connection


def create_tables(connection: sqlite3.Connection) -> None:
    """Create all tables of the current format; the caller has begun a transaction."""
    for statement in TABLES.split(";")[:-1]:
        connection.execute(statement)
    connection.execute(PROOFS_TABLE)


def row_checksum(*values: object) -> int:
    """Return the CRC-32 of a row's other values."""
    return crc32(repr(values).encode())


@contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Commit and sync on leaving the context; roll back on an exception."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise
