"""Errors of a member's data directory and of the files made from it."""

from __future__ import annotations


class DiskError(Exception):
    """A data directory or backup that cannot be used; the text says which and why."""


class DirectoryUnavailable(DiskError):
    """The directory cannot be created or opened."""


class DiskBusy(DiskError):
    """The directory is locked by another process."""


class DiskClosed(DiskError):
    """The data directory has been closed."""


class MemberExists(DiskError):
    """A new member was to be created in a directory that holds one already."""


class MemberMissing(DiskError):
    """The directory holds no member."""


class MemberMismatch(DiskError):
    """The directory holds another member than the one it was opened for."""


class DatabaseError(DiskError):
    """SQLite cannot open or read the database."""


class DiskCorrupted(DiskError):
    """Stored data does not match its checksum, cannot be decoded or is incomplete."""


class UnsupportedFormat(DiskError):
    """The data was written in a newer format than this build reads."""


class InvalidBackup(DiskError):
    """A backup file that cannot be read, is damaged or is incomplete."""


class InvalidJoinToken(DiskError):
    """A join token that cannot be decoded."""


class InvalidMembers(DiskError):
    """A list of members that cannot form a cluster."""
