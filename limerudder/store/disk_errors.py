"""Errors of a member's data directory and of the files made from it."""

from __future__ import annotations


class DiskError(Exception):
    """A data directory or backup that cannot be used; the text says which and why."""


class DirectoryUnavailableError(DiskError):
    """The directory cannot be created or opened."""


class DiskBusyError(DiskError):
    """The directory is locked by another process."""


class DiskClosedError(DiskError):
    """The data directory has been closed."""


class MemberExistsError(DiskError):
    """A new member was to be created in a directory that holds one already."""


class MemberMissingError(DiskError):
    """The directory holds no member."""


class MemberMismatchError(DiskError):
    """The directory holds another member than the one it was opened for."""


class DatabaseError(DiskError):
    """SQLite cannot open or read the database."""


class DiskCorruptedError(DiskError):
    """Stored data does not match its checksum, cannot be decoded or is incomplete."""


class UnsupportedFormatError(DiskError):
    """The data was written in a newer format than this build reads."""


class InvalidBackupError(DiskError):
    """A backup file that cannot be read, is damaged or is incomplete."""


class InvalidJoinTokenError(DiskError):
    """A join token that cannot be decoded."""


class InvalidMembersError(DiskError):
    """A list of members that cannot form a cluster."""
