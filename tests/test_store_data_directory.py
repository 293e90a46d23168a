"""Creating data directories from a backup, a join token, or one member of a cluster that lost its quorum."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from limerudder.store.backup import read_backup, write_backup
from limerudder.store.commands import Command, OpenSession, Put, SessionWrite, Transaction, encode_command
from limerudder.store.data_directory import (
    encode_join_token,
    init_cluster,
    join_cluster,
    restore_backup,
)
from limerudder.store.disk import Disk, MemberIdentity
from limerudder.store.disk_errors import DiskError
from limerudder.store.durability import SnapshotJob
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.raft.messages import (
    Entry,
    EntryKind,
    MemberRole,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.persistence import HardState
from limerudder.store.recovery import recover_single_member
from limerudder.store.state_machine import KeyValueState
from tests.store_disk_helpers import CONFIG, write_job


def state_with_keys(count: int) -> KeyValueState:
    state = KeyValueState()
    state.apply(1, encode_command(OpenSession()))
    for n in range(count):
        state.apply(
            n + 2, encode_command(SessionWrite(1, n + 1, n, Transaction((), (Put(f"kv/{n}", b"v%d" % n),))))
        )
    return state


def test_a_backup_is_restored_as_another_cluster_and_a_damaged_one_rejected(tmp_path: Path) -> None:
    view = state_with_keys(30).snapshot_view(100)
    snapshot = SnapshotJob(31, 4, CONFIG, view, 0).build()
    assert snapshot.meta.chunk_count > 3
    write_backup(str(tmp_path / "b"), 9, snapshot)
    assert read_backup(str(tmp_path / "b"))[1] == snapshot
    directories = restore_backup(
        str(tmp_path / "new"), str(tmp_path / "b"), [("a", "127.0.0.1:1"), ("b", "127.0.0.1:2")]
    )
    clusters = set()
    for path in directories:
        member_disk = Disk(path)
        contents = member_disk.load()
        member_disk.close()
        clusters.add(contents.identity.cluster_id)
        member = Member(contents.identity.member_id, contents.durable_state, Random(1), 0)
        assert member.state.items == state_with_keys(30).items and len(member.config.members) == 2
    assert len(clusters) == 1 and clusters != {9}
    intact = (tmp_path / "b").read_bytes()
    for damaged in (
        intact[:-3],
        intact[: len(intact) // 2],
        intact[:40] + b"?" + intact[41:],
        b"",
        b"garbage" * 9,
    ):
        (tmp_path / "c").write_bytes(damaged)
        with pytest.raises(DiskError):
            restore_backup(str(tmp_path / "newer"), str(tmp_path / "c"), [("a", "127.0.0.1:1")])
        assert not (tmp_path / "newer").exists()


def test_recovery_reports_first_and_then_starts_a_single_member_cluster(tmp_path: Path) -> None:
    paths = init_cluster(str(tmp_path), [("n0", "127.0.0.1:1"), ("n1", "127.0.0.1:2"), ("n2", "127.0.0.1:3")])
    member_disk = Disk(paths[0])
    before = member_disk.load()
    commands: list[Command] = [
        OpenSession(),
        SessionWrite(1, 1, 0, Transaction((), (Put("kv/a", b"1"),))),
        SessionWrite(1, 2, 0, Transaction((), (Put("kv/b", b"2"),))),
    ]
    log = tuple(Entry(n + 1, 2, EntryKind.DATA, encode_command(c)) for n, c in enumerate(commands))
    member_disk.persist([write_job(1, hard_state=HardState(2, 1), entries=log)])
    member_disk.close()
    loss = recover_single_member(paths[0], confirmed=False)
    assert (loss.last_index, loss.uncertain_entries, loss.other_members) == (3, 3, ("n1", "n2"))
    member_disk = Disk(paths[0])
    assert member_disk.load().identity == before.identity, "unconfirmed recovery changes nothing"
    member_disk.close()
    recover_single_member(paths[0], confirmed=True)
    member_disk = Disk(paths[0])
    contents = member_disk.load()
    member_disk.close()
    assert contents.identity.cluster_id != before.identity.cluster_id
    member = Member(contents.identity.member_id, contents.durable_state, Random(1), 0, MemberLimits())
    assert [m.name for m in member.config.members] == ["n0"] and member.raft.term == 3
    assert {key: item.value for key, item in member.state.items.items()} == {"kv/a": b"1", "kv/b": b"2"}


def test_a_join_token_creates_one_members_directory(tmp_path: Path) -> None:
    new = MemberEntry(77, "n4", "127.0.0.1:9", MemberRole.JOINING)
    assert join_cluster(str(tmp_path / "n4"), encode_join_token(9, new)) == new
    member_disk = Disk(str(tmp_path / "n4"))
    contents = member_disk.load()
    member_disk.close()
    assert (
        contents.identity == MemberIdentity(9, 77, "n4")
        and contents.durable_state.raft_state.initial_config.members == ()
    )
    with pytest.raises(DiskError, match="invalid ticket"):
        join_cluster(str(tmp_path / "n5"), "nonsense")
    with pytest.raises(DiskError, match="names and addresses of members must be unique"):
        init_cluster(str(tmp_path / "x"), [("a", "127.0.0.1:1"), ("a", "127.0.0.1:2")])
