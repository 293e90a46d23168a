"""The backup file: a cluster's data as frames, a header and then the chunks of one snapshot."""

from __future__ import annotations

import os

import msgspec

from limerudder.store.disk import DiskError
from limerudder.store.framing import FrameDecoder, FrameError, encode_frame
from limerudder.store.raft.messages import Snapshot, SnapshotMeta
from limerudder.store.raft.raft import snapshot_digest

BACKUP = 1  #: format of a backup file; its frames are a head and the snapshot's pieces


class BackupHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a backup."""

    format: int
    cluster_id: int
    meta: SnapshotMeta


_encode = msgspec.msgpack.Encoder().encode


def write_backup(path: str, cluster_id: int, snapshot: Snapshot) -> None:
    """Write a backup; the file is there whole or not at all."""
    with open(path + ".part", "wb") as file:
        file.write(encode_frame(_encode(BackupHeader(BACKUP, cluster_id, snapshot.meta))))
        for piece in snapshot.pieces:
            file.write(encode_frame(piece))
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".part", path)


def read_backup(path: str) -> tuple[BackupHeader, Snapshot]:
    """Read a backup; DiskError where it is not whole."""
    try:
        with open(path, "rb") as file:
            first, *pieces = FrameDecoder().feed(file.read())
        head: BackupHeader = msgspec.msgpack.decode(first, type=BackupHeader)
    except OSError as exc:
        raise DiskError(f"cannot read {path}: {exc.strerror}") from None
    except (FrameError, ValueError, msgspec.DecodeError) as exc:
        raise DiskError(f"{path} is no backup: {exc}") from None
    if head.format > BACKUP:
        raise DiskError(f"{path} has format {head.format}; this build reads up to {BACKUP}")
    if len(pieces) != head.meta.pieces or snapshot_digest(pieces) != head.meta.digest:
        raise DiskError(f"{path} is not whole")
    return head, Snapshot(head.meta, tuple(pieces))
