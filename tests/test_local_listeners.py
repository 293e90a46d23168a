"""Hand-over and control sockets beside callers that send very much or never read (picture b of issue 51)."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from limerudder.core.lifecycle.hot_restart.line_connection import MAX_LINES_PER_TICK, MAX_UNSENT_BYTES
from limerudder.core.lifecycle.hot_restart.messages import RequestAccepted
from limerudder.core.lifecycle.hot_restart.node_binding import create_parent
from limerudder.core.lifecycle.hot_restart.parent import (
    MAX_SUCCESSOR_LINE_BYTES,
    MAX_SUCCESSORS,
    HotRestartParent,
    SuccessorConnection,
)
from limerudder.store import control_session
from limerudder.store.control_session import MAX_CALLS_PER_TURN, MAX_SESSIONS, ControlSession
from tests.in_process_cluster import InProcessCluster, run_scenario
from tests.node_testbed import TICK_US, FakeTransport, NodeTestbed, node_testbed


def connect(testbed: NodeTestbed, parent: HotRestartParent) -> tuple[SuccessorConnection, FakeTransport]:
    connection, transport = SuccessorConnection(parent), FakeTransport()
    connection.connection_made(transport, testbed.now)
    return connection, transport


@pytest.fixture
def testbed(tmp_path: Path) -> NodeTestbed:
    return node_testbed(tmp_path)


@pytest.fixture
def parent(testbed: NodeTestbed) -> HotRestartParent:
    return create_parent(testbed.node, lambda: None, lambda: None)


def test_many_lines_of_a_successor_are_handled_over_many_ticks(
    testbed: NodeTestbed, parent: HotRestartParent
) -> None:
    connection, transport = connect(testbed, parent)
    count = 3 * MAX_LINES_PER_TICK
    lines = b"".join(b"taken %016x\n" % number for number in range(count))
    connection.data_received(lines + b"serving\ntaken", testbed.now)
    ids = testbed.node.requests.recent_ids
    assert len(ids) == MAX_LINES_PER_TICK and transport.reading_paused
    connection.data_received(b" ffffffffffffffff\n", testbed.now)  # read before reading was paused
    assert len(ids) == MAX_LINES_PER_TICK
    testbed.run(10 * TICK_US)
    assert list(ids) == [*range(count), 0xFFFFFFFFFFFFFFFF] and not transport.reading_paused
    assert testbed.node.has_successor


def test_a_successor_that_sends_an_endless_line_or_reads_nothing_is_given_up(
    testbed: NodeTestbed, parent: HotRestartParent
) -> None:
    endless, endless_transport = connect(testbed, parent)
    endless.data_received(b"x" * (MAX_SUCCESSOR_LINE_BYTES + 1), testbed.now)
    assert endless_transport.closed and not parent.connections
    deaf, deaf_transport = connect(testbed, parent)
    deaf.set_writing_paused(True)
    deaf_transport.unsent = MAX_UNSENT_BYTES
    parent.announce(RequestAccepted(1))
    testbed.run(TICK_US)
    assert not deaf_transport.closed
    deaf_transport.unsent += 1
    for _ in range(2):
        parent.announce(RequestAccepted(1))
    testbed.run(TICK_US)
    assert deaf_transport.closed and not parent.connections


def test_the_number_of_processes_that_wait_to_take_over_is_limited(
    testbed: NodeTestbed, parent: HotRestartParent
) -> None:
    first, first_transport = connect(testbed, parent)
    first.data_received(b"serving\n", testbed.now)
    waiting = [connect(testbed, parent)[1] for _ in range(MAX_SUCCESSORS + 1)]
    testbed.run(TICK_US)
    assert [transport.closed for transport in waiting] == [True] + [False] * MAX_SUCCESSORS
    assert not first_transport.closed and testbed.node.has_successor


def test_many_calls_of_one_caller_leave_turns_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[Any] = []
    start_call = ControlSession._start_call

    def record(self: ControlSession, call: dict[str, Any], tag: Any) -> None:
        started.append(tag)
        start_call(self, call, tag)

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(ControlSession, "_start_call", record)
        count = 10 * MAX_CALLS_PER_TURN
        started_by_turn: list[int] = []

        def count_turn() -> None:
            started_by_turn.append(len(started))
            if len(started) < count:
                loop.call_soon(count_turn)

        reader, writer = await cluster.connect()
        writer.write(b"".join(b'{"call":"status","tag":%d}\n' % number for number in range(count)))
        count_turn()
        tags = [json.loads(await reader.readline())["tag"] for _ in range(count)]
        assert tags == list(range(count)) == started
        steps = [after - before for before, after in pairwise(started_by_turn)]
        assert max(steps) <= 2 * MAX_CALLS_PER_TURN, "a read may come between two turns"
        writer.close()

    run_scenario(scenario, tmp_path)


def test_callers_of_the_control_socket_use_bounded_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control_session, "MAX_PARTIAL_BYTES", 1 << 20)

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        half_lines = []
        for _ in range(3):
            reader, writer = await cluster.connect()
            writer.write(b"x" * (400 << 10))
            half_lines.append((reader, writer))
        answers = [asyncio.create_task(reader.readline()) for reader, _ in half_lines]
        done, _ = await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
        assert [json.loads(answer.result())["kind"] for answer in done] == ["busy"]
        assert (await cluster.call("status"))["ok"], "short calls are answered"
        for answer in answers:
            answer.cancel()
        for _, writer in half_lines:
            writer.close()
        deaf_reader, deaf_writer = await cluster.connect()
        deaf_reader._transport.pause_reading()  # type: ignore[attr-defined]
        deaf_writer.write(b'{"call":"members"}\n' * 50_000)
        sessions = cluster.controls[0]._sessions
        while not any(session._is_writing_paused for session in sessions):
            await asyncio.sleep(0)
        (deaf,) = (session for session in sessions if session._is_writing_paused)
        assert deaf._transport and not deaf._transport.is_reading()
        buffered = deaf._transport.get_write_buffer_size()
        assert (await cluster.call("status"))["ok"]
        assert deaf._transport.get_write_buffer_size() <= buffered
        deaf_writer.transport.abort()

    run_scenario(scenario, tmp_path)


def test_the_number_of_callers_of_the_control_socket_is_limited(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        callers = [await cluster.connect() for _ in range(MAX_SESSIONS + 1)]
        answer = json.loads(await callers[-1][0].readline())
        assert answer["kind"] == "busy" and await callers[-1][0].readline() == b""
        callers[0][1].write(b'{"call":"status"}\n')
        assert json.loads(await callers[0][0].readline())["ok"]
        for _, writer in callers:
            writer.close()

    run_scenario(scenario, tmp_path)
