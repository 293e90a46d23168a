"""Errors of a member's data directory, of backups and of join tokens."""

from __future__ import annotations


class DiskError(Exception):
    """A data directory, backup or join token cannot be used; the message gives the reason."""


class DirectoryUnavailableError(DiskError):
    """The directory cannot be created or opened."""


class DiskBusyError(DiskError):
    """The directory is locked by another process."""


class DiskClosedError(DiskError):
    """The data directory has been closed."""


class MemberExistsError(DiskError):
    """A new member cannot be created in a directory that already contains one."""


class MemberMissingError(DiskError):
    """The directory contains no member."""


class MemberMismatchError(DiskError):
    """The directory belongs to a different member than expected."""


class DatabaseError(DiskError):
    """SQLite cannot open or read the database."""


class DiskCorruptedError(DiskError):
    """Stored data has a wrong checksum, cannot be decoded or is incomplete."""


class UnsupportedFormatError(DiskError):
    """The data has a newer format than this build supports."""


class InvalidBackupError(DiskError):
    """A backup file is unreadable, damaged or incomplete."""


class InvalidJoinTokenError(DiskError):
    """A join token cannot be decoded."""


class InvalidMembersError(DiskError):
    """The listed members cannot form a cluster."""
