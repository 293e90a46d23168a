"""Backup files: a header followed by the chunks of one snapshot, each in a frame."""

from __future__ import annotations

import os
from typing import NamedTuple

import msgspec

from limerudder.store.disk_errors import InvalidBackupError, UnsupportedFormatError
from limerudder.store.framing import FrameDecoder, FrameError, encode_frame
from limerudder.store.raft.messages import Snapshot, SnapshotMeta, snapshot_digest

BACKUP_FORMAT_VERSION = 1
PARTIAL_FILE_SUFFIX = ".part"  #: File name suffix while a backup is being written


class BackupHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a backup."""

    format: int
    cluster_id: int
    meta: SnapshotMeta


class Backup(NamedTuple):
    """A backup that has been read and verified."""

    header: BackupHeader
    snapshot: Snapshot


_encode = msgspec.msgpack.Encoder().encode


def write_backup(path: str, cluster_id: int, snapshot: Snapshot) -> None:
    """Write a backup and atomically move it to its path. Raises OSError."""
    partial_path = path + PARTIAL_FILE_SUFFIX
    header = BackupHeader(BACKUP_FORMAT_VERSION, cluster_id, snapshot.meta)
    with open(partial_path, "wb") as file:
        file.write(encode_frame(_encode(header)))
        for chunk in snapshot.chunks:
            file.write(encode_frame(chunk))
        file.flush()
        os.fsync(file.fileno())
    os.replace(partial_path, path)


def read_backup(path: str) -> Backup:
    """Read and verify a backup. Raises InvalidBackupError or UnsupportedFormatError."""
    try:
        with open(path, "rb") as file:
            first_frame, *chunks = FrameDecoder().feed(file.read())
        header: BackupHeader = msgspec.msgpack.decode(first_frame, type=BackupHeader)
    except OSError as error:
        raise InvalidBackupError(f"cannot read {path}: {error.strerror}") from error
    except (FrameError, ValueError, msgspec.DecodeError) as error:
        raise InvalidBackupError(f"{path} is not a valid backup: {error}") from error
    if header.format > BACKUP_FORMAT_VERSION:
        raise UnsupportedFormatError(
            f"{path} has format {header.format}; this build reads up to {BACKUP_FORMAT_VERSION}"
        )
    if len(chunks) != header.meta.chunk_count or snapshot_digest(chunks) != header.meta.digest:
        raise InvalidBackupError(f"{path} is incomplete or corrupted")
    return Backup(header, Snapshot(header.meta, tuple(chunks)))
