"""The durable log: what is told durable is there, and what is spoiled is found and named."""

from __future__ import annotations

import asyncio
import os
import shutil
import sqlite3
import threading
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.memory_disk import MemoryDisk
from limerudder.core.operations.log_events import LogKind
from limerudder.store.backup import read_backup, write_backup
from limerudder.store.commands import Command, OpenSession, Put, SessionWrite, Transaction, encode_command
from limerudder.store.data_directory import (
    encode_join_token,
    init_cluster,
    join_cluster,
    restore_backup,
)
from limerudder.store.disk import DATABASE_FILE, Disk, MemberIdentity
from limerudder.store.disk_errors import DiskError
from limerudder.store.disk_writer import DiskWriter
from limerudder.store.drain_log import DrainObserved, MaintenanceHold, NumberedFact
from limerudder.store.durability import DurabilityJob, KnownValue, SnapshotJob
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import (
    ClusterConfig,
    Entry,
    EntryKind,
    MemberRole,
    SnapshotMeta,
    snapshot_digest,
)
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.raft.persistence import HardState, RaftWrite, SnapshotChunk
from limerudder.store.recovery import recover_single_member
from limerudder.store.sqlite_schema import MetaName
from limerudder.store.sqlite_writer import SqliteWriter
from limerudder.store.state_machine import KeyValueState

CONFIG = ClusterConfig((MemberEntry(5, "n0", "127.0.0.1:7000"),))
ME = MemberIdentity(9, 5, "n0")


def disk(folder: Path) -> Disk:
    return Disk(str(folder / "s"), ME, CONFIG)


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, EntryKind.DATA, f"{n}.{term}".encode()) for n in range(first, last + 1))


def write(number: int, **given: Any) -> DurabilityJob:
    return DurabilityJob(number, RaftWrite(number, **given))


def reopened(folder: Path) -> Any:
    again = Disk(str(folder / "s"))
    try:
        return again.load(count_start=False).durable_state.raft_state
    finally:
        again.close()


def test_a_folder_is_made_once_and_had_by_one_process(tmp_path: Path) -> None:
    first = disk(tmp_path)
    with pytest.raises(DiskError, match="in use by another process"):
        Disk(str(tmp_path / "s"))
    opened = first.load()
    assert opened.identity == ME and opened.incarnation.number == 1
    first.close()
    with pytest.raises(DiskError, match="holds a member already"):
        disk(tmp_path)
    with pytest.raises(DiskError, match="holds no member; `limerudder state init`"):
        os.mkdir(tmp_path / "empty")
        Disk(str(tmp_path / "empty"))
    with pytest.raises(DiskError, match="No such file"):
        Disk(str(tmp_path / "none"))
    second = Disk(str(tmp_path / "s"))
    assert second.load().incarnation.number == 2, "each start is counted"
    second.close()


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 30))
def test_any_jobs_leave_what_the_disk_in_memory_has(
    tmp_path_factory: pytest.TempPathFactory, seed: int
) -> None:
    random, folder = Random(seed), tmp_path_factory.mktemp("disk")
    real, model = disk(folder), MemoryDisk(CONFIG)
    real.load()
    last, number, term = 0, 0, 1
    records = KeyValueState()
    for _ in range(random.randrange(1, 12)):
        jobs = []
        for _ in range(random.randrange(1, 4)):
            number += 1
            kind = random.randrange(6)
            if kind <= 1:
                more = random.randrange(4)
                jobs.append(write(number, entries=entries(last + 1, last + more, term)))
                last += more
            elif kind == 2 and last > records.applied_index:
                first = random.randrange(records.applied_index + 1, last + 1)
                term += 1
                hard = HardState(term, random.randrange(3))
                jobs.append(
                    write(number, hard_state=hard, truncate_from=first, entries=entries(first, first, term))
                )
                last = first
            elif kind == 3 and last > records.applied_index:
                records.applied_index = random.randrange(records.applied_index + 1, last + 1)
                frozen = records.snapshot_view(64)
                jobs.append(
                    DurabilityJob(
                        number,
                        None,
                        SnapshotJob(records.applied_index, 1, CONFIG, frozen, records.applied_index + 1),
                    )
                )
            elif kind == 4:
                pieces = (b"a" * random.randrange(1, 9), b"b")
                index = last + random.randrange(1, 5)
                meta = SnapshotMeta(index, term, CONFIG, 2, snapshot_digest(pieces))
                held = tuple(SnapshotChunk(meta, n, piece) for n, piece in enumerate(pieces))
                jobs.append(write(number, snapshot_chunks=held, install_snapshot=meta))
                last = records.applied_index = index
            else:
                facts = (
                    NumberedFact(number, DrainObserved(f"h{random.randrange(3)}", number)),
                    NumberedFact(number + 1000, MaintenanceHold("h", "x")),
                )
                known = {f"hosts/{random.randrange(3)}": KnownValue(number, random.choice((None, b"{}")))}
                shown = {random.randrange(3): DurabilityProof(Incarnation(number, 7), 1, number)}
                gone = (random.randrange(1, number + 1),)
                jobs.append(DurabilityJob(number, None, None, facts, gone, known, shown))
        real.persist(jobs)
        for job in jobs:
            model.apply(job)
        real.close()
        real = Disk(str(folder / "s"))
        opened = real.load()
        saved, told = opened.durable_state.raft_state, model.load()
        assert (saved.hard_state, list(saved.entries)) == (
            told.raft_state.hard_state,
            list(told.raft_state.entries),
        )
        assert (saved.snapshot, saved.incoming_snapshot) == (
            told.raft_state.snapshot,
            told.raft_state.incoming_snapshot,
        )
        assert (opened.durable_state.drain_facts, opened.durable_state.known_values) == (
            told.drain_facts,
            told.known_values,
        )
        assert opened.durability_proofs == model.proofs
    real.close()


def test_a_transaction_that_fails_leaves_nothing(tmp_path: Path) -> None:
    one = disk(tmp_path)
    one.load()
    one.persist([write(1, entries=entries(1, 3))])
    with pytest.raises(sqlite3.IntegrityError):
        one.persist([write(2, hard_state=HardState(7, 7)), write(3, entries=entries(3, 5))])
    one.close()
    saved = reopened(tmp_path)
    assert saved.hard_state == HardState(0, 0) and [e.index for e in saved.entries] == [1, 2, 3]


def filled(folder: Path, rounds: int = 30) -> Path:
    """A member's folder as a kill leaves it: with a write-ahead log of so many transactions."""
    one = disk(folder)
    one.load()
    for n in range(1, rounds + 1):
        one.persist([write(n, entries=entries(n, n))])
    shutil.copytree(folder / "s", folder / "killed")
    one.close()
    return folder / "killed"


@pytest.mark.parametrize("cut", [1, 700, 4119, 4120])
def test_a_torn_tail_is_cut_and_the_rest_is_there(tmp_path: Path, cut: int) -> None:
    killed = filled(tmp_path)
    wal = killed / (DATABASE_FILE + "-wal")
    os.truncate(wal, wal.stat().st_size - cut)
    again = Disk(str(killed))
    found = [entry.index for entry in again.load(count_start=False).durable_state.raft_state.entries]
    again.close()
    assert found == list(range(1, len(found) + 1)) and 28 <= len(found) <= 29


def test_a_hole_in_the_write_ahead_log_is_no_torn_tail(tmp_path: Path) -> None:
    killed = filled(tmp_path)
    wal = killed / (DATABASE_FILE + "-wal")
    data = bytearray(wal.read_bytes())
    data[len(data) // 2] ^= 4
    wal.write_bytes(data)
    with pytest.raises(
        DiskError, match=r"store.sqlite-wal: frame \d+: its checksum does not match, and \d+ trans"
    ):
        Disk(str(killed))


def test_a_flipped_bit_is_found_and_named(tmp_path: Path) -> None:
    one = disk(tmp_path)
    one.load()
    one.persist(
        [
            write(1, entries=entries(1, 40), hard_state=HardState(3, 5)),
            DurabilityJob(2, new_facts=(NumberedFact(1, DrainObserved("h", 7)),)),
        ]
    )
    one.close()
    path = tmp_path / "s" / DATABASE_FILE
    whole = path.read_bytes()
    for what, named in [(b"17.1", "log entry 17"), (b"drain", "fact 1")]:
        spoiled = bytearray(whole)
        spoiled[whole.rindex(what)] ^= 1
        path.write_bytes(spoiled)
        again = Disk(str(tmp_path / "s"))
        with pytest.raises(DiskError, match=f"{named}: its checksum does not match"):
            again.load()
        again.close()
    path.write_bytes(whole[: len(whole) // 2])
    with pytest.raises(DiskError, match="malformed|disk image|missing|no such"):
        again = Disk(str(tmp_path / "s"))
        try:
            again.load()
        finally:
            again.close()


def test_an_older_format_is_read_and_a_newer_one_refused(tmp_path: Path) -> None:
    one = disk(tmp_path)
    one.load()
    one.persist([write(1, entries=entries(1, 2))])
    one.connection.execute("DROP TABLE shown")  # as format 1 was
    SqliteWriter(one.connection).put_meta(MetaName.FORMAT, 1)
    one.close()
    again = Disk(str(tmp_path / "s"))
    opened = again.load()
    assert opened.durability_proofs == {} and len(opened.durable_state.raft_state.entries) == 2
    again.persist([DurabilityJob(1, proofs={3: DurabilityProof(Incarnation(1, 1))})])
    SqliteWriter(again.connection).put_meta(MetaName.FORMAT, 99)
    again.close()
    newer = Disk(str(tmp_path / "s"))
    with pytest.raises(DiskError, match="has format 99; this build reads up to 2"):
        newer.load()
    newer.close()


def test_a_gap_in_the_log_is_named(tmp_path: Path) -> None:
    one = disk(tmp_path)
    one.load()
    one.persist([write(1, entries=entries(1, 5))])
    one.connection.execute("DELETE FROM log WHERE idx=3")
    one.close()
    with pytest.raises(DiskError, match="log entry 3 is missing"):
        reopened(tmp_path)


def test_a_full_disk_is_tried_until_there_is_room_and_nothing_is_told_before(tmp_path: Path) -> None:
    async def story() -> None:
        one = disk(tmp_path)
        one.load()
        pages = one.connection.execute("PRAGMA page_count").fetchone()[0]
        one.connection.execute(f"PRAGMA max_page_count={pages}")
        told, lines, failed = list[int](), list[str](), asyncio.Event()

        def log(kind: LogKind, text: str, /, detail: str = "") -> None:
            lines.append(text)
            failed.set()

        done = asyncio.Event()

        def durable(jobs: list[DurabilityJob], results: object) -> None:
            told.extend(job.number for job in jobs)
            done.set()

        writer = DiskWriter(one, durable, log)
        big = tuple(Entry(n, 1, EntryKind.DATA, b"x" * 9000) for n in range(1, 9))
        writer.submit(write(1, entries=big))
        await failed.wait()
        assert not told and "full" in lines[0] and "retrying" in lines[0]
        one.connection.execute("PRAGMA max_page_count=100000")
        await done.wait()
        assert told == [1] and await asyncio.to_thread(writer.close, 5.0)

    uvloop.run(asyncio.wait_for(story(), 30))
    assert len(reopened(tmp_path).entries) == 8


def test_a_stuck_sync_holds_up_neither_the_loop_nor_the_order(tmp_path: Path) -> None:
    async def story() -> None:
        one = disk(tmp_path)
        one.load()
        release, entered, persist = threading.Event(), threading.Event(), one.persist

        def stuck(jobs: Sequence[DurabilityJob]) -> Any:
            entered.set()
            release.wait(20)
            return persist(jobs)

        one.persist = stuck  # type: ignore[method-assign]
        order, all_done = list[int](), asyncio.Event()

        def durable(jobs: list[DurabilityJob], results: object) -> None:
            order.extend(job.number for job in jobs)
            if len(order) == 3:
                all_done.set()

        writer = DiskWriter(one, durable, lambda kind, text, detail="": None)
        for n in (1, 2, 3):
            writer.submit(write(n, entries=entries(n, n)))
        await asyncio.to_thread(entered.wait, 20)
        for _ in range(100):  # the loop goes on
            await asyncio.sleep(0)
        assert order == []
        release.set()
        await all_done.wait()
        assert order == [1, 2, 3] and await asyncio.to_thread(writer.close, 5.0)

    uvloop.run(asyncio.wait_for(story(), 30))


def some_records(many: int) -> KeyValueState:
    records = KeyValueState()
    records.apply(1, encode_command(OpenSession()))
    for n in range(many):
        records.apply(
            n + 2, encode_command(SessionWrite(1, n + 1, n, Transaction((), (Put(f"kv/{n}", b"v%d" % n),))))
        )
    return records


def test_a_backup_is_restored_as_another_cluster_and_a_cut_one_is_refused(tmp_path: Path) -> None:
    frozen = some_records(30).snapshot_view(100)
    snapshot = SnapshotJob(31, 4, CONFIG, frozen, 0).build()
    assert snapshot.meta.chunk_count > 3
    write_backup(str(tmp_path / "b"), 9, snapshot)
    assert read_backup(str(tmp_path / "b"))[1] == snapshot
    made = restore_backup(
        str(tmp_path / "new"), str(tmp_path / "b"), [("a", "127.0.0.1:1"), ("b", "127.0.0.1:2")]
    )
    clusters = set()
    for path in made:
        one = Disk(path)
        opened = one.load()
        one.close()
        clusters.add(opened.identity.cluster_id)
        member = Member(opened.identity.member_id, opened.durable_state, Random(1), 0)
        assert member.state.items == some_records(30).items and len(member.config.members) == 2
    assert len(clusters) == 1 and clusters != {9}
    whole = (tmp_path / "b").read_bytes()
    for spoiled in (
        whole[:-3],
        whole[: len(whole) // 2],
        whole[:40] + b"?" + whole[41:],
        b"",
        b"garbage" * 9,
    ):
        (tmp_path / "c").write_bytes(spoiled)
        with pytest.raises(DiskError):
            restore_backup(str(tmp_path / "newer"), str(tmp_path / "c"), [("a", "127.0.0.1:1")])
        assert not (tmp_path / "newer").exists()


def test_recovery_tells_first_and_then_begins_a_cluster_of_one_with_all_there_is(tmp_path: Path) -> None:
    paths = init_cluster(str(tmp_path), [("n0", "127.0.0.1:1"), ("n1", "127.0.0.1:2"), ("n2", "127.0.0.1:3")])
    one = Disk(paths[0])
    before = one.load()
    commands: list[Command] = [
        OpenSession(),
        SessionWrite(1, 1, 0, Transaction((), (Put("kv/a", b"1"),))),
        SessionWrite(1, 2, 0, Transaction((), (Put("kv/b", b"2"),))),
    ]
    log = tuple(Entry(n + 1, 2, EntryKind.DATA, encode_command(c)) for n, c in enumerate(commands))
    one.persist([write(1, hard_state=HardState(2, 1), entries=log)])
    one.close()
    told = recover_single_member(paths[0], confirmed=False)
    assert (told.last_index, told.uncertain_entries, told.other_members) == (3, 3, ("n1", "n2"))
    one = Disk(paths[0])
    assert one.load().identity == before.identity, "nothing was done"
    one.close()
    recover_single_member(paths[0], confirmed=True)
    one = Disk(paths[0])
    opened = one.load()
    one.close()
    assert opened.identity.cluster_id != before.identity.cluster_id
    member = Member(opened.identity.member_id, opened.durable_state, Random(1), 0, MemberLimits())
    assert [m.name for m in member.config.members] == ["n0"] and member.raft.term == 3
    assert {key: item.value for key, item in member.state.items.items()} == {"kv/a": b"1", "kv/b": b"2"}


def test_a_ticket_makes_one_members_folder(tmp_path: Path) -> None:
    new = MemberEntry(77, "n4", "127.0.0.1:9", MemberRole.JOINING)
    assert join_cluster(str(tmp_path / "n4"), encode_join_token(9, new)) == new
    one = Disk(str(tmp_path / "n4"))
    opened = one.load()
    one.close()
    assert (
        opened.identity == MemberIdentity(9, 77, "n4")
        and opened.durable_state.raft_state.initial_config.members == ()
    )
    with pytest.raises(DiskError, match="no ticket"):
        join_cluster(str(tmp_path / "n5"), "nonsense")
    with pytest.raises(DiskError, match="a name and an address of its own"):
        init_cluster(str(tmp_path / "x"), [("a", "127.0.0.1:1"), ("a", "127.0.0.1:2")])
