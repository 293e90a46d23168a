"""The data directory: persisted data is restored, and corrupted data is detected."""

from __future__ import annotations

import os
import shutil
import sqlite3
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.memory_disk import MemoryDisk
from limerudder.store.disk import DATABASE_FILE, Disk
from limerudder.store.disk_errors import DiskError
from limerudder.store.drain_log import DrainObserved, MaintenanceHold, NumberedFact
from limerudder.store.durability import DurabilityJob, PersistedValue, SnapshotJob
from limerudder.store.peer_authentication import DurabilityProof, Incarnation
from limerudder.store.raft.messages import SnapshotMeta, snapshot_digest
from limerudder.store.raft.persistence import HardState, SnapshotChunk
from limerudder.store.sqlite_schema import MetaName
from limerudder.store.sqlite_writer import SqliteWriter
from limerudder.store.state_machine import KeyValueState
from tests.store_disk_helpers import CONFIG, IDENTITY, create_disk, entries, load_raft_state, write_job


def test_a_directory_is_created_once_and_used_by_one_process(tmp_path: Path) -> None:
    first = create_disk(tmp_path)
    with pytest.raises(DiskError, match="in use by another process"):
        Disk(str(tmp_path / "s"))
    contents = first.load()
    assert contents.identity == IDENTITY and contents.incarnation.number == 1
    first.close()
    with pytest.raises(DiskError, match="already contains a member"):
        create_disk(tmp_path)
    with pytest.raises(DiskError, match="contains no member; create one with `limerudder state init`"):
        os.mkdir(tmp_path / "empty")
        Disk(str(tmp_path / "empty"))
    with pytest.raises(DiskError, match="No such file"):
        Disk(str(tmp_path / "none"))
    second = Disk(str(tmp_path / "s"))
    assert second.load().incarnation.number == 2, "each start increments the incarnation"
    second.close()


class RandomJobs:
    """Draws sequences of valid durability jobs of all kinds."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last_index = 0
        self._job_number = 0
        self._term = 1
        self._state = KeyValueState()

    def draw_batch(self) -> list[DurabilityJob]:
        return [self._draw_job() for _ in range(self._random.randrange(1, 4))]

    def _draw_job(self) -> DurabilityJob:
        self._job_number += 1
        kind = self._random.randrange(6)
        if kind <= 1:
            return self._append_job()
        if kind == 2 and self._last_index > self._state.applied_index:
            return self._truncate_job()
        if kind == 3 and self._last_index > self._state.applied_index:
            return self._snapshot_job()
        if kind == 4:
            return self._install_snapshot_job()
        return self._facts_job()

    def _append_job(self) -> DurabilityJob:
        count = self._random.randrange(4)
        first = self._last_index + 1
        self._last_index += count
        return write_job(self._job_number, entries=entries(first, self._last_index, self._term))

    def _truncate_job(self) -> DurabilityJob:
        first = self._random.randrange(self._state.applied_index + 1, self._last_index + 1)
        self._term += 1
        self._last_index = first
        return write_job(
            self._job_number,
            hard_state=HardState(self._term, self._random.randrange(3)),
            truncate_from=first,
            entries=entries(first, first, self._term),
        )

    def _snapshot_job(self) -> DurabilityJob:
        state = self._state
        state.applied_index = self._random.randrange(state.applied_index + 1, self._last_index + 1)
        index = state.applied_index
        return DurabilityJob(
            self._job_number, None, SnapshotJob(index, 1, CONFIG, state.snapshot_view(64), index + 1)
        )

    def _install_snapshot_job(self) -> DurabilityJob:
        chunks = (b"a" * self._random.randrange(1, 9), b"b")
        index = self._last_index + self._random.randrange(1, 5)
        meta = SnapshotMeta(index, self._term, CONFIG, 2, snapshot_digest(chunks))
        snapshot_chunks = tuple(SnapshotChunk(meta, number, chunk) for number, chunk in enumerate(chunks))
        self._last_index = index
        self._state.applied_index = index
        return write_job(self._job_number, snapshot_chunks=snapshot_chunks, install_snapshot=meta)

    def _facts_job(self) -> DurabilityJob:
        random = self._random
        number = self._job_number
        facts = (
            NumberedFact(number, DrainObserved(f"h{random.randrange(3)}", number)),
            NumberedFact(number + 1000, MaintenanceHold("h", "x")),
        )
        persisted_values = {
            f"hosts/{random.randrange(3)}": PersistedValue(number, random.choice((None, b"{}")))
        }
        proofs = {random.randrange(3): DurabilityProof(Incarnation(number, 7), 1, number)}
        deleted_facts = (random.randrange(1, number + 1),)
        return DurabilityJob(number, None, None, facts, deleted_facts, persisted_values, proofs)


def assert_same_state(disk: Disk, model: MemoryDisk) -> None:
    """Assert that the data directory has the same contents as the model."""
    contents = disk.load()
    durable = contents.durable_state
    expected = model.load()
    assert durable.raft_state.hard_state == expected.raft_state.hard_state
    assert list(durable.raft_state.entries) == list(expected.raft_state.entries)
    assert durable.raft_state.snapshot == expected.raft_state.snapshot
    assert durable.raft_state.incoming_snapshot == expected.raft_state.incoming_snapshot
    assert durable.drain_facts == expected.drain_facts
    assert durable.persisted_values == expected.persisted_values
    assert contents.durability_proofs == model.proofs


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 30))
def test_the_disk_holds_what_the_memory_disk_holds_after_any_jobs(
    tmp_path_factory: pytest.TempPathFactory, seed: int
) -> None:
    random = Random(seed)
    folder = tmp_path_factory.mktemp("disk")
    disk = create_disk(folder)
    disk.load()
    model = MemoryDisk(CONFIG)
    random_jobs = RandomJobs(random)
    for _ in range(random.randrange(1, 12)):
        jobs = random_jobs.draw_batch()
        disk.persist(jobs)
        for job in jobs:
            model.apply(job)
        disk.close()
        disk = Disk(str(folder / "s"))
        assert_same_state(disk, model)
    disk.close()


def test_a_failed_transaction_changes_nothing(tmp_path: Path) -> None:
    member_disk = create_disk(tmp_path)
    member_disk.load()
    member_disk.persist([write_job(1, entries=entries(1, 3))])
    with pytest.raises(sqlite3.IntegrityError):
        member_disk.persist([write_job(2, hard_state=HardState(7, 7)), write_job(3, entries=entries(3, 5))])
    member_disk.close()
    saved = load_raft_state(tmp_path)
    assert saved.hard_state == HardState(0, 0) and [e.index for e in saved.entries] == [1, 2, 3]


def killed_directory(folder: Path, rounds: int = 30) -> Path:
    """Return a copy of a running member's directory, as after a kill, with `rounds` WAL transactions."""
    member_disk = create_disk(folder)
    member_disk.load()
    for n in range(1, rounds + 1):
        member_disk.persist([write_job(n, entries=entries(n, n))])
    shutil.copytree(folder / "s", folder / "killed")
    member_disk.close()
    return folder / "killed"


@pytest.mark.parametrize("cut", [1, 700, 4119, 4120])
def test_a_torn_tail_is_discarded_and_the_rest_is_kept(tmp_path: Path, cut: int) -> None:
    killed = killed_directory(tmp_path)
    wal = killed / (DATABASE_FILE + "-wal")
    os.truncate(wal, wal.stat().st_size - cut)
    reopened_disk = Disk(str(killed))
    found = [
        entry.index for entry in reopened_disk.load(begin_incarnation=False).durable_state.raft_state.entries
    ]
    reopened_disk.close()
    assert found == list(range(1, len(found) + 1)) and 28 <= len(found) <= 29


def test_damage_within_the_write_ahead_log_is_not_treated_as_a_torn_tail(tmp_path: Path) -> None:
    killed = killed_directory(tmp_path)
    wal = killed / (DATABASE_FILE + "-wal")
    data = bytearray(wal.read_bytes())
    data[len(data) // 2] ^= 4
    wal.write_bytes(data)
    with pytest.raises(
        DiskError, match=r"store.sqlite-wal: frame \d+: checksum does not match, and \d+ trans"
    ):
        Disk(str(killed))


def test_a_flipped_bit_is_detected_and_located(tmp_path: Path) -> None:
    member_disk = create_disk(tmp_path)
    member_disk.load()
    member_disk.persist(
        [
            write_job(1, entries=entries(1, 40), hard_state=HardState(3, 5)),
            DurabilityJob(2, new_facts=(NumberedFact(1, DrainObserved("h", 7)),)),
        ]
    )
    member_disk.close()
    path = tmp_path / "s" / DATABASE_FILE
    intact = path.read_bytes()
    for content, row_name in [(b"17.1", "log entry 17"), (b"drain", "fact 1")]:
        damaged = bytearray(intact)
        damaged[intact.rindex(content)] ^= 1
        path.write_bytes(damaged)
        reopened_disk = Disk(str(tmp_path / "s"))
        with pytest.raises(DiskError, match=f"{row_name}: checksum does not match"):
            reopened_disk.load()
        reopened_disk.close()
    path.write_bytes(intact[: len(intact) // 2])
    with pytest.raises(DiskError, match="malformed|disk image|missing|no such"):
        reopened_disk = Disk(str(tmp_path / "s"))
        try:
            reopened_disk.load()
        finally:
            reopened_disk.close()


def test_an_older_format_is_migrated_and_a_newer_one_rejected(tmp_path: Path) -> None:
    member_disk = create_disk(tmp_path)
    member_disk.load()
    member_disk.persist([write_job(1, entries=entries(1, 2))])
    member_disk.connection.execute("DROP TABLE shown")  # format 1 did not have it
    SqliteWriter(member_disk.connection).put_meta(MetaName.FORMAT, 1)
    member_disk.close()
    reopened_disk = Disk(str(tmp_path / "s"))
    contents = reopened_disk.load()
    assert contents.durability_proofs == {} and len(contents.durable_state.raft_state.entries) == 2
    reopened_disk.persist([DurabilityJob(1, proofs={3: DurabilityProof(Incarnation(1, 1))})])
    SqliteWriter(reopened_disk.connection).put_meta(MetaName.FORMAT, 99)
    reopened_disk.close()
    newer = Disk(str(tmp_path / "s"))
    with pytest.raises(DiskError, match="has format 99; this build reads up to 2"):
        newer.load()
    newer.close()


def test_a_gap_in_the_log_is_detected(tmp_path: Path) -> None:
    member_disk = create_disk(tmp_path)
    member_disk.load()
    member_disk.persist([write_job(1, entries=entries(1, 5))])
    member_disk.connection.execute("DELETE FROM log WHERE idx=3")
    member_disk.close()
    with pytest.raises(DiskError, match="log entry 3 is missing"):
        load_raft_state(tmp_path)
