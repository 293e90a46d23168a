"""The disk writer: jobs are acknowledged in order, once they are durable."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvloop

from limerudder.core.operations.log_events import LogKind
from limerudder.store.disk_writer import DiskWriter
from limerudder.store.durability import DurabilityJob
from limerudder.store.raft.messages import (
    Entry,
    EntryKind,
)
from tests.store_disk_helpers import create_disk, entries, load_raft_state, write_job


def test_a_write_to_a_full_disk_is_acknowledged_only_after_a_successful_retry(tmp_path: Path) -> None:
    async def scenario() -> None:
        member_disk = create_disk(tmp_path)
        member_disk.load()
        pages = member_disk.connection.execute("PRAGMA page_count").fetchone()[0]
        member_disk.connection.execute(f"PRAGMA max_page_count={pages}")
        durable_jobs = list[int]()
        lines = list[str]()
        failed = asyncio.Event()

        def log(kind: LogKind, text: str, /, detail: str = "") -> None:
            lines.append(text)
            failed.set()

        done = asyncio.Event()

        def on_durable(jobs: list[DurabilityJob], results: object) -> None:
            durable_jobs.extend(job.number for job in jobs)
            done.set()

        writer = DiskWriter(member_disk, on_durable, log)
        large_entries = tuple(Entry(n, 1, EntryKind.DATA, b"x" * 9000) for n in range(1, 9))
        writer.submit(write_job(1, entries=large_entries))
        await failed.wait()
        assert not durable_jobs and "full" in lines[0] and "retrying" in lines[0]
        member_disk.connection.execute("PRAGMA max_page_count=100000")
        await done.wait()
        assert durable_jobs == [1] and await asyncio.to_thread(writer.close, 5.0)

    uvloop.run(asyncio.wait_for(scenario(), 30))
    assert len(load_raft_state(tmp_path).entries) == 8


def test_a_stalled_sync_does_not_block_the_event_loop_or_change_the_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        member_disk = create_disk(tmp_path)
        member_disk.load()
        release = threading.Event()
        entered = threading.Event()
        persist = member_disk.persist

        def blocked_persist(jobs: Sequence[DurabilityJob]) -> Any:
            entered.set()
            release.wait(20)
            return persist(jobs)

        member_disk.persist = blocked_persist  # type: ignore[method-assign]
        order = list[int]()
        all_done = asyncio.Event()

        def on_durable(jobs: list[DurabilityJob], results: object) -> None:
            order.extend(job.number for job in jobs)
            if len(order) == 3:
                all_done.set()

        writer = DiskWriter(member_disk, on_durable, lambda kind, text, detail="": None)
        for n in (1, 2, 3):
            writer.submit(write_job(n, entries=entries(n, n)))
        await asyncio.to_thread(entered.wait, 20)
        for _ in range(100):  # the event loop is not blocked
            await asyncio.sleep(0)
        assert order == []
        release.set()
        await all_done.wait()
        assert order == [1, 2, 3] and await asyncio.to_thread(writer.close, 5.0)

    uvloop.run(asyncio.wait_for(scenario(), 30))
