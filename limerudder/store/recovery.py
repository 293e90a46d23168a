"""Recovery after the permanent loss of a quorum: one member's data becomes a new single-member cluster.

Raft cannot continue without a quorum. This member's data may be outdated, and its last entries may never have
been committed: `DataLoss` reports how many are uncertain.
"""

from __future__ import annotations

import msgspec

from limerudder.store.data_directory import NO_VOTE, random_id
from limerudder.store.disk import Disk, DiskContents, MemberIdentity
from limerudder.store.disk_errors import DiskCorruptedError
from limerudder.store.raft.messages import (
    ClusterConfig,
    Entry,
    EntryKind,
    Member,
    MemberRole,
    Snapshot,
    SnapshotMeta,
    snapshot_digest,
)
from limerudder.store.raft.persistence import HardState, PersistentState
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import KeyValueState

UNKNOWN_ADDRESS = "127.0.0.1:1"  #: Address of the member if the configuration does not contain it


class DataLoss(msgspec.Struct, frozen=True):
    """The extent of a member's data, and what a recovery from it may lose."""

    name: str
    last_index: int = msgspec.field(name="last")  # last index of this member's log
    snapshot_index: int = msgspec.field(name="snapshot")
    uncertain_entries: int = msgspec.field(name="unknown")  # possibly uncommitted; kept by a recovery
    other_members: tuple[str, ...] = msgspec.field(name="others")  # members with possibly more data


def recover_single_member(directory: str, confirmed: bool) -> DataLoss:
    """Make this member a new single-member cluster with all its data.

    Changes nothing unless `confirmed`. Raises DiskError.
    """
    with Disk(directory) as disk:
        contents = disk.load(begin_incarnation=False)
        try:
            recovered = _RecoveredState(contents.durable_state.raft_state)
        except SnapshotError as error:
            raise DiskCorruptedError(f"{directory}: {error}") from error
        if confirmed:
            _start_single_member_cluster(disk, contents, recovered)
        return recovered.data_loss(contents.identity)


class _RecoveredState:
    """The state and configuration after all entries of the log, committed or not."""

    def __init__(self, raft_state: PersistentState) -> None:
        self.state = KeyValueState()
        self.config = raft_state.initial_config
        if raft_state.snapshot:
            self.state.restore(raft_state.snapshot.chunks)
            self.config = raft_state.snapshot.meta.config
        self.snapshot_index = self.state.applied_index
        for entry in raft_state.entries:
            if entry.index > self.snapshot_index:
                self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        if entry.kind == EntryKind.DATA:
            self.state.apply(entry.index, entry.data)
        self.state.applied_index = entry.index
        if entry.kind == EntryKind.CONFIG:
            self.config = msgspec.msgpack.decode(entry.data, type=ClusterConfig)

    def data_loss(self, identity: MemberIdentity) -> DataLoss:
        """Return the possible data loss of a recovery from this member."""
        return DataLoss(
            name=identity.name,
            last_index=self.state.applied_index,
            snapshot_index=self.snapshot_index,
            uncertain_entries=self.state.applied_index - self.snapshot_index,
            other_members=tuple(
                member.name for member in self.config.members if member.id != identity.member_id
            ),
        )


def _start_single_member_cluster(disk: Disk, contents: DiskContents, recovered: _RecoveredState) -> None:
    old_identity = contents.identity
    old_member = recovered.config.find_by_id(old_identity.member_id)
    address = old_member.address if old_member else UNKNOWN_ADDRESS
    member = Member(random_id(), old_identity.name, address, MemberRole.VOTER)
    chunks = tuple(recovered.state.snapshot_view().chunks())
    term = contents.durable_state.raft_state.hard_state.term + 1
    meta = SnapshotMeta(
        recovered.state.applied_index, term, ClusterConfig((member,)), len(chunks), snapshot_digest(chunks)
    )
    identity = MemberIdentity(random_id(), member.id, member.name)
    disk.start_new_cluster(identity, HardState(term, NO_VOTE), Snapshot(meta, chunks))
