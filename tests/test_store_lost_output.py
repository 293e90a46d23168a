"""A member's output is processed completely, whatever fails: jobs, messages and notifications."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop

from harness.memory_disk import MemoryDisk
from limerudder.net.clock import Clock
from limerudder.store import rpc
from limerudder.store.callback_guard import CallbackGuard
from limerudder.store.commands import OpenSession
from limerudder.store.disk_writer import DiskWriter
from limerudder.store.durability import DurabilityJob
from limerudder.store.member import Member, MemberOutput
from limerudder.store.output_dispatcher import LostJobError, OutputDispatcher
from limerudder.store.raft.errors import LostWriteError
from limerudder.store.raft.messages import AppendEntries, ClusterConfig
from limerudder.store.raft.messages import Member as MemberEntry
from limerudder.store.store import Store
from tests.in_process_cluster import InProcessCluster, ignore_log, other_member, run_scenario
from tests.store_disk_helpers import create_disk, entries, load_raft_state, write_job

ELECTION_US = 1_000_000
MESSAGE = rpc.Reply(1, rpc.ReplyStatus.DONE, b"")


class FailingTransport:
    """Sends messages to every member but one, for which it raises."""

    def __init__(self, failing_member: int) -> None:
        self.sent_to: list[int] = []
        self._failing_member = failing_member

    def send(self, recipient_id: int, message: rpc.StoreMessage) -> None:
        if recipient_id == self._failing_member:
            raise RuntimeError("cannot be sent")
        self.sent_to.append(recipient_id)


class RecordingWriter:
    """Records the numbers of submitted jobs."""

    def __init__(self) -> None:
        self.jobs: list[int] = []

    def submit(self, job: DurabilityJob) -> None:
        self.jobs.append(job.number)


def create_dispatcher(transport: Any, errors: list[Exception]) -> OutputDispatcher:
    return OutputDispatcher(transport, CallbackGuard(errors.append))


def test_a_message_that_cannot_be_sent_drops_neither_the_job_nor_other_messages() -> None:
    """Guards against log entries that are proposed and never written (review case 3)."""
    transport, writer, errors = FailingTransport(2), RecordingWriter(), list[Exception]()
    dispatcher = create_dispatcher(transport, errors)
    messages = [(2, MESSAGE), (3, MESSAGE)]
    output = MemberOutput(list(messages), DurabilityJob(1), [(2, MESSAGE), (4, MESSAGE)])
    dispatcher.dispatch(output, writer)  # type: ignore[arg-type]
    assert writer.jobs == [1] and transport.sent_to == [3]
    dispatcher.on_job_durable(1)
    dispatcher.send_deferred()
    assert transport.sent_to == [3, 4]
    assert [str(error) for error in errors] == ["cannot be sent"] * 2


def test_no_job_is_written_after_a_lost_one() -> None:
    """Guards against a gap in the log on the disk, with which a member cannot start."""
    writer = RecordingWriter()
    dispatcher = create_dispatcher(FailingTransport(0), [])
    dispatcher.dispatch(MemberOutput(job=DurabilityJob(1)), writer)  # type: ignore[arg-type]
    for number in (3, 4):
        with pytest.raises(LostJobError):
            dispatcher.dispatch(MemberOutput(job=DurabilityJob(number)), writer)  # type: ignore[arg-type]
    assert writer.jobs == [1]


class SingleMember:
    """A member that is its whole cluster, with a disk in memory and callbacks that may raise."""

    def __init__(self) -> None:
        config = ClusterConfig((MemberEntry(1, "a", "127.0.0.1:1"),))
        self.now_us = 0
        self.errors: list[Exception] = []
        self.disk = MemoryDisk(config)
        self.member = Member(1, self.disk.load(), Random(1), self.now_us)
        self.member.callback_guard.on_error = self.errors.append
        self.run_for(ELECTION_US)
        assert self.member.is_leader

    def run_for(self, duration_us: int) -> None:
        for _ in range(0, duration_us, 10_000):
            self.now_us += 10_000
            self.member.tick(self.now_us)
            self.run_output()

    def run_output(self) -> None:
        while output := self.member.take_output(self.now_us):
            if output.job:
                snapshot = self.disk.apply(output.job)
                self.member.on_job_durable(output.job.number, snapshot, self.now_us)

    def open_session(self, on_result: Callable[[Any], None]) -> None:
        deadline_us = self.now_us + 10 * ELECTION_US
        self.member.write(OpenSession(), deadline_us, lambda result, now_us: on_result(result), self.now_us)


def fail(*arguments: object) -> None:
    raise RuntimeError("a callback failed")


def test_callbacks_that_fail_lose_no_entry_on_the_disk_and_no_notification() -> None:
    """Guards against a listener or caller whose exception drops the job of the same output."""
    single = SingleMember()
    results: list[Any] = []
    notified: list[int] = []
    single.member.change_listeners += [fail, notified.append]
    single.open_session(fail)
    single.open_session(results.append)
    single.run_output()
    assert len(results) == 1 and notified
    assert len(single.errors) == 2
    raft = single.member.raft
    assert sorted(single.disk.log) == list(range(1, raft.log.last_index + 1))
    assert raft.durable_index == raft.log.last_index


def test_an_entry_that_cannot_be_applied_is_neither_skipped_nor_missing_on_the_disk(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a member whose state silently lacks a committed entry."""
    single = SingleMember()
    results: list[Any] = []
    with monkeypatch.context() as patch:
        patch.setattr(single.member.state, "apply", fail)
        single.open_session(results.append)
        single.run_output()
        assert not results and single.errors
    single.run_for(10_000)
    assert results[0].index == single.member.state.applied_index == single.member.raft.log.last_index
    assert sorted(single.disk.log) == list(range(1, single.member.raft.log.last_index + 1))


def test_a_write_does_not_count_as_durable_because_a_later_one_is() -> None:
    """Guards against a leader that counts itself for entries that it does not have."""
    single = SingleMember()
    raft = single.member.raft
    durable_index = raft.durable_index
    raft.propose([b"a"], single.now_us)
    lost = raft.take_output(single.now_us)
    raft.propose([b"b"], single.now_us)
    later = raft.take_output(single.now_us)
    assert lost and lost.write and later and later.write
    with pytest.raises(LostWriteError):
        raft.on_write_durable(later.write.number, single.now_us)
    assert raft.durable_index == durable_index == raft.commit_index


def test_a_leader_that_cannot_send_a_message_keeps_its_log_on_the_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a killed member that cannot start since an entry is missing (review case 3)."""
    refused: list[int] = []

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        number = await cluster.leader()
        store = cluster.stores[number]
        send = store.transport.send
        unreachable = other_member(store)

        def refuse_entries(recipient_id: int, message: rpc.StoreMessage) -> None:
            if recipient_id == unreachable and isinstance(message, AppendEntries) and message.entries:
                refused.append(recipient_id)
                raise RuntimeError("cannot be sent")
            send(recipient_id, message)

        monkeypatch.setattr(store.transport, "send", refuse_entries)
        for n in range(20):
            assert (await cluster.call("put", number, key=f"kv/{n}", value="x"))["ok"]
        last_index = store.member.raft.log.last_index
        cluster.close()
        assert refused
        reopened = Store(store.settings, ignore_log, Clock().now_us)
        assert reopened.member.raft.log.last_index >= last_index
        reopened.close()

    run_scenario(scenario, tmp_path)


def test_a_drain_that_was_recorded_as_the_store_closes_is_kept(tmp_path: Path) -> None:
    """Guards against facts that are dropped since the last output of a closing store is not processed."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        await cluster.leader()
        store = cluster.stores[0]
        store.member.drain_log.record_drain("h", 7)
        cluster.close()
        reopened = Store(store.settings, ignore_log, Clock().now_us)
        assert reopened.member.drain_log.effective_record("h").excludes(7)
        reopened.close()

    run_scenario(scenario, tmp_path)


def test_an_unexpected_error_does_not_end_the_disk_writer(tmp_path: Path) -> None:
    """Guards against a thread that ends, after which no job is written and nobody is told."""

    async def scenario() -> None:
        member_disk = create_disk(tmp_path)
        member_disk.load()
        persist = member_disk.persist
        failures = [MemoryError("no memory")]

        def fail_once(jobs: Any) -> Any:
            if failures:
                raise failures.pop()
            return persist(jobs)

        member_disk.persist = fail_once  # type: ignore[method-assign]
        durable = asyncio.Event()
        lines: list[str] = []
        writer = DiskWriter(
            member_disk,
            lambda jobs, snapshots: durable.set(),
            lambda kind, text, detail="": lines.append(text),
        )
        writer.submit(write_job(1, entries=entries(1, 1)))
        await durable.wait()
        assert "no memory" in lines[0]
        assert await asyncio.to_thread(writer.close, 5.0)

    uvloop.run(asyncio.wait_for(scenario(), 30))
    assert len(load_raft_state(tmp_path).entries) == 1


def test_a_snapshot_that_cannot_be_captured_loses_no_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job whose preparation fails after Raft has put out its write."""
    single = SingleMember()
    results: list[Any] = []
    single.open_session(results.append)
    with monkeypatch.context() as patch:
        patch.setattr(single.member._scheduler, "_due_snapshot", fail)
        for _ in range(3):
            with pytest.raises(RuntimeError):
                single.member.take_output(single.now_us)
            single.member.raft.propose([b"a"], single.now_us)
    single.run_output()
    assert len(results) == 1
    assert sorted(single.disk.log) == list(range(1, single.member.raft.log.last_index + 1))
