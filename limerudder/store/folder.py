"""What is done to members' folders while no process has them: begin a cluster, join, restore, recover."""

from __future__ import annotations

import base64
import os
import secrets
from collections.abc import Sequence

import msgspec

from .disk import Disk, DiskError, Identity
from .raft.machine import HardState, digest
from .raft.messages import Config, Kind, Member, Role, Snapshot, SnapshotMeta
from .records import Records, RecordsError
from .wire import FrameError, Frames, frame

BACKUP = 1  #: format of a backup file; its frames are a head and the snapshot's pieces


class BackupHead(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a backup."""

    format: int
    cluster: int
    meta: SnapshotMeta


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """What a new member's folder is made from."""

    cluster: int
    member: Member


_encode = msgspec.msgpack.Encoder().encode


def new_number() -> int:
    """A member's or a cluster's number."""
    return secrets.randbits(63) | 1


def init(folder: str, members: Sequence[tuple[str, str]]) -> list[str]:
    """Begin a cluster: a folder for each member, to be taken to its machine; gives them."""
    names = [name for name, _ in members]
    addresses = [address for _, address in members]
    if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
        raise DiskError("each member needs a name and an address of its own")
    cluster = new_number()
    config = Config(tuple(Member(new_number(), name, address) for name, address in members))
    made = []
    for one in config.members:
        path = os.path.join(folder, one.name)
        Disk(path, Identity(cluster, one.id, one.name), config).close()
        made.append(path)
    return made


def write_ticket(cluster: int, member: Member) -> str:
    """A ticket as a word."""
    return base64.urlsafe_b64encode(_encode(Ticket(cluster, member))).decode()


def join(folder: str, ticket: str) -> Member:
    """Make a new member's folder from its ticket."""
    try:
        told: Ticket = msgspec.msgpack.decode(base64.urlsafe_b64decode(ticket.encode()), type=Ticket)
    except (ValueError, msgspec.DecodeError) as exc:
        raise DiskError(f"that is no ticket: {exc}") from None
    Disk(folder, Identity(told.cluster, told.member.id, told.member.name), Config(())).close()
    return told.member


def write_backup(path: str, cluster: int, snapshot: Snapshot) -> None:
    """Write a backup; the file is there whole or not at all."""
    with open(path + ".part", "wb") as file:
        file.write(frame(_encode(BackupHead(BACKUP, cluster, snapshot.meta))))
        for piece in snapshot.pieces:
            file.write(frame(piece))
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".part", path)


def read_backup(path: str) -> tuple[BackupHead, Snapshot]:
    """Read a backup; DiskError where it is not whole."""
    try:
        with open(path, "rb") as file:
            first, *pieces = Frames().feed(file.read())
        head: BackupHead = msgspec.msgpack.decode(first, type=BackupHead)
    except OSError as exc:
        raise DiskError(f"cannot read {path}: {exc.strerror}") from None
    except (FrameError, ValueError, msgspec.DecodeError) as exc:
        raise DiskError(f"{path} is no backup: {exc}") from None
    if head.format > BACKUP:
        raise DiskError(f"{path} has format {head.format}; this build reads up to {BACKUP}")
    if len(pieces) != head.meta.pieces or digest(pieces) != head.meta.digest:
        raise DiskError(f"{path} is not whole")
    return head, Snapshot(head.meta, tuple(pieces))


def restore(folder: str, backup: str, members: Sequence[tuple[str, str]]) -> list[str]:
    """Begin a new cluster with a backup's records."""
    _, old = read_backup(backup)
    records = Records()
    try:
        records.restore(old.pieces)
    except RecordsError as exc:
        raise DiskError(f"{backup}: {exc}") from None
    made = init(folder, members)
    for path in made:
        disk = Disk(path)
        try:
            opened = disk.load(start=False)
            config: Config = opened.start.saved.config
            meta = SnapshotMeta(old.meta.index, 1, config, old.meta.pieces, old.meta.digest)
            disk.begin_anew(opened.identity, HardState(1, 0), Snapshot(meta, old.pieces))
        finally:
            disk.close()
    return made


class Lost(msgspec.Struct, frozen=True):
    """What a recovery found, and what it cannot know."""

    name: str
    last: int  # the last entry here
    snapshot: int
    unknown: int  # entries here that may never have been agreed on, and are taken as if they had
    others: tuple[str, ...]  # members that may have had more


def recover(folder: str, do: bool) -> Lost:
    """Begin a new cluster of this one member with all that it has, after its quorum is lost for good.

    Without `do` only what that would mean is told.
    """
    disk = Disk(folder)
    try:
        opened = disk.load(start=False)
        saved = opened.start.saved
        records = Records()
        if saved.snapshot:
            records.restore(saved.snapshot.pieces)
        config = saved.snapshot.meta.config if saved.snapshot else saved.config
        base = records.applied
        for entry in saved.entries:
            if entry.index > base:
                if entry.kind == Kind.DATA:
                    records.apply(entry.index, entry.data)
                records.applied = entry.index
                if entry.kind == Kind.CONFIG:
                    config = msgspec.msgpack.decode(entry.data, type=Config)
        me = opened.identity
        others = tuple(one.name for one in config.members if one.id != me.me)
        lost = Lost(me.name, records.applied, base, records.applied - base, others)
        if do:
            mine = config.get(me.me) or Member(me.me, me.name, "127.0.0.1:1")
            alone = Config((Member(new_number(), me.name, mine.address, Role.VOTER),))
            pieces = tuple(records.freeze().pieces())
            term = saved.hard.term + 1
            meta = SnapshotMeta(records.applied, term, alone, len(pieces), digest(pieces))
            identity = Identity(new_number(), alone.members[0].id, me.name)
            disk.begin_anew(identity, HardState(term, 0), Snapshot(meta, pieces))
        return lost
    except RecordsError as exc:
        raise DiskError(f"{folder}: {exc}") from None
    finally:
        disk.close()
