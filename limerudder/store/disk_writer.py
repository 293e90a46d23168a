"""A thread that makes a member's jobs durable, so that a slow disk does not stall the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.store.disk import Disk
from limerudder.store.durability import DurabilityJob
from limerudder.store.raft.messages import Snapshot

WRITE_RETRY_SECONDS = 0.1  #: Delay before a failed write is retried
NO_ERROR = ""

#: Called with the jobs that have become durable, and the snapshot built for each of them.
DurableCallback = Callable[[list[DurabilityJob], list[Snapshot | None]], None]


class JobBatch(NamedTuple):
    """Jobs that are written in one transaction; the thread ends after the batch with `is_last`."""

    jobs: list[DurabilityJob]
    is_last: bool


class DiskWriter:
    """Writes jobs in the order of submission; all queued jobs share one transaction.

    `on_durable` and the log are called in the event loop in which the writer was created. The writer closes
    the disk when its thread ends.
    """

    def __init__(self, disk: Disk, on_durable: DurableCallback, log: LogSink) -> None:
        self.current_error = NO_ERROR  # error of the write that is being retried
        self._disk = disk
        self._on_durable = on_durable
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[DurabilityJob | None] = queue.SimpleQueue()  # None ends the thread
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run, name="store-disk", daemon=True)
        self._thread.start()

    def submit(self, job: DurabilityJob) -> None:
        """Queue a job; `on_durable` is called once it is durable, without a time limit."""
        self._queue.put(job)

    def close(self, timeout_seconds: float) -> bool:
        """Write all queued jobs and stop; return whether this finished in time. Blocks."""
        self._queue.put(None)
        return self._finished.wait(timeout_seconds)

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            loop_is_running = not batch.jobs or self._write(batch.jobs)
            if batch.is_last or not loop_is_running:
                break
        self._disk.close()
        self._finished.set()

    def _next_batch(self) -> JobBatch:
        """Wait for a job, and return it with all others in the queue."""
        jobs: list[DurabilityJob] = []
        job = self._queue.get()
        while job is not None:
            jobs.append(job)
            try:
                job = self._queue.get_nowait()
            except queue.Empty:
                return JobBatch(jobs, is_last=False)
        return JobBatch(jobs, is_last=True)

    def _write(self, jobs: list[DurabilityJob]) -> bool:
        """Make jobs durable and report them; return False if the event loop has been closed."""
        snapshots = self._persist(jobs)
        return self._call_in_loop(self._on_durable, jobs, snapshots)

    def _persist(self, jobs: list[DurabilityJob]) -> list[Snapshot | None]:
        # retries until the write succeeds: messages that depend on these jobs must not be sent earlier
        while True:
            try:
                snapshots = self._disk.persist(jobs)
            except Exception as error:  # the thread must not end: nothing would be written any more
                self._report_error(str(error) or type(error).__name__)
                time.sleep(WRITE_RETRY_SECONDS)
            else:
                self._report_error(NO_ERROR)
                return snapshots

    def _report_error(self, error: str) -> None:
        """Log a new error, or that writes succeed again; repeated errors are not logged."""
        if error == self.current_error:
            return
        self.current_error = error
        text = f"store: disk write failed: {error}; retrying" if error else "store: disk writes succeed again"
        self._call_in_loop(self._log, LogKind.STORE_DISK, text)

    def _call_in_loop(self, callback: Callable[..., None], *arguments: object) -> bool:
        try:
            self._loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:  # the event loop has been closed
            return False
        return True
