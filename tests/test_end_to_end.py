"""End-to-end tests over loopback sockets: a real node with scripted clients, upstreams and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest.mock import Mock

import pytest
import uvloop

from harness.configurations import LINE, configuration, host, hosts, settings
from limerudder.core.transport import parse_address
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.net.clock import Clock
from limerudder.net.tcp import TcpConnection
from tests.loopback_testbed import Listener, LoopbackTestbed

Scenario = Callable[[LoopbackTestbed], Awaitable[None]]


async def lines_are_relayed_both_ways_until_the_upstream_ends(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        client.send_lines("M 1")
        assert await upstream.read_line() == "M 1"
        upstream.send_lines("LOAD 12.5", "M 1", "BYE")
        upstream.writer.close()
        assert [await client.read_line() for _ in range(4)] == ["LOAD 12.5", "M 1", "BYE", ""]


async def a_reset_on_one_side_resets_the_other(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        upstream.reset()
        with pytest.raises(ConnectionResetError):
            await client.read_line()
        client, upstream = await testbed.establish_connection()
        client.reset()
        with pytest.raises(ConnectionResetError):
            await upstream.read_line()


async def a_client_that_half_closes_still_gets_its_upstreams_last_lines(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        client.writer.write_eof()
        assert await upstream.read_line() == ""
        last_lines = ["x" * 4000] * 100 + ["BYE"]
        upstream.send_lines(*last_lines)
        upstream.writer.close()
        assert [await client.read_line() for _ in last_lines] == last_lines
        assert await client.read_line() == ""


async def a_slow_reader_gets_all_data_that_exceeds_the_buffers(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        lines = ["x" * 4000] * 2000
        upstream.send_lines(*lines)
        upstream.writer.close()
        assert [await client.read_line() for _ in lines] == lines
        assert await client.read_line() == ""


async def an_endless_line_is_answered_with_an_error_and_closed(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        endless = await testbed.connect()
        for _ in range(200):
            endless.send_lines("k" * 300_000)
        assert await endless.read_line() == "ERR"
        with pytest.raises(ConnectionError):
            await endless.writer.drain()
        client.send_lines("M 1")
        assert await upstream.read_line() == "M 1"


async def a_request_is_rejected_if_its_upstream_refuses_the_connection(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node(known=hosts(host("s-1", "127.0.0.1:9"))):
        client = await testbed.connect()
        client.send_lines(LINE)
        assert [await client.read_line(), await client.read_line()] == ["BUSY", ""]


async def a_cancelled_attempt_is_closed_at_its_upstream(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node():
        client = await testbed.connect()
        client.send_lines(LINE)
        upstream = await testbed.upstream.accept()
        await upstream.read_line()
        client.writer.close()
        assert await upstream.read_line() == ""


async def discovery_adds_an_upstream_that_was_not_known(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node(known=hosts()):
        watch = await testbed.discovery.accept()
        assert await watch.read_line() == "GET /discovery/hosts?watch=1&after=41 HTTP/1.1"
        watch.send_watch_answer(hosts(host("s-1", await testbed.upstream.start())))
        await testbed.establish_connection()


async def a_graceful_shutdown_migrates_its_clients_and_ends(testbed: LoopbackTestbed) -> None:
    fast_settings = settings()
    fast_settings["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
    async with testbed.running_node(settings=fast_settings) as node:
        clients = [(await testbed.establish_connection())[0] for _ in range(3)]
        os.kill(os.getpid(), signal.SIGTERM)
        late_client = await testbed.connect()
        late_client.send_lines(LINE)
        assert await late_client.read_line() == "BUSY"
        assert [await client.read_line() for client in clients] == ["MOVE"] * 3
        await node
    lines = [await testbed.logged.get() for _ in range(testbed.logged.qsize())]
    assert "answers_served=3" in lines[-1] and "migrations=3" in lines[-1]
    assert any(line.endswith("node: SIGTERM received") for line in lines)


async def a_reload_watches_the_new_address_and_keeps_connections(testbed: LoopbackTestbed) -> None:
    async with testbed.running_node() as node:
        client, upstream = await testbed.establish_connection()
        old_watch = await testbed.discovery.accept()
        config = testbed.folder / "config.json"
        new_discovery = Listener()
        values = json.loads(config.read_text())
        config.write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        while not (await testbed.logged.get()).endswith("; keeping the previous configuration"):
            pass
        config.write_text(json.dumps(values | {"discovery": await new_discovery.start()}))
        for _ in range(2):  # the repeated reload changes nothing
            os.kill(os.getpid(), signal.SIGHUP)
        watch = await new_discovery.accept()
        assert await watch.read_line() == "GET /discovery/hosts?watch=1&after=0 HTTP/1.1"
        assert await old_watch.reader.read() != b""
        assert old_watch.reader.at_eof()
        client.send_lines("M 1")
        assert await upstream.read_line() == "M 1"
        assert new_discovery.connections.empty()
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        assert await client.read_line() == "MOVE"
        await node


async def a_transport_resumes_reading_only_after_a_pause(testbed: LoopbackTestbed) -> None:
    transport = Mock(is_closing=lambda: False)
    connection = TcpConnection(HealthCheckConnection((), lambda *result: None), Clock())
    connection.connection_made(transport)
    for paused in (False, True, True, False, False):
        connection.set_reading_paused(paused)
    calls = [name for name, _, _ in transport.method_calls if name.endswith("_reading")]
    assert calls == ["pause_reading", "resume_reading"], "uvloop reports a FIN again after each resume"


async def a_transport_is_shut_down_before_close_returns(testbed: LoopbackTestbed) -> None:
    near_end, far_end = socket.socketpair()
    connection = TcpConnection(HealthCheckConnection((), lambda *result: None), Clock())
    connection.dialled_socket = near_end
    connection.close()
    far_end.setblocking(False)
    # the event loop has not run since, so a later attempt cannot overtake this close
    assert far_end.recv(1) == b""


async def unsent_bytes_become_fewer_as_the_other_side_reads(testbed: LoopbackTestbed) -> None:
    address = parse_address(await testbed.upstream.start())
    connection = TcpConnection(HealthCheckConnection((), lambda *result: None), Clock())
    await asyncio.get_running_loop().create_connection(lambda: connection, *address)
    upstream = await testbed.upstream.accept()
    upstream.reader._transport.pause_reading()  # type: ignore[attr-defined]
    data = b"x" * (16 << 20)
    connection.write(data)
    unread_bytes = connection.unsent_bytes()
    assert 0 < unread_bytes <= len(data)
    upstream.reader._transport.resume_reading()  # type: ignore[attr-defined]
    await upstream.reader.readexactly(len(data) // 2)
    assert connection.unsent_bytes() < unread_bytes
    await upstream.reader.readexactly(len(data) // 2)
    while connection.unsent_bytes():
        await asyncio.sleep(0)
    connection.close()
    assert connection.unsent_bytes() == 0


SCENARIOS = [
    unsent_bytes_become_fewer_as_the_other_side_reads,
    a_transport_resumes_reading_only_after_a_pause,
    a_transport_is_shut_down_before_close_returns,
    lines_are_relayed_both_ways_until_the_upstream_ends,
    a_reset_on_one_side_resets_the_other,
    a_client_that_half_closes_still_gets_its_upstreams_last_lines,
    a_slow_reader_gets_all_data_that_exceeds_the_buffers,
    an_endless_line_is_answered_with_an_error_and_closed,
    a_request_is_rejected_if_its_upstream_refuses_the_connection,
    a_cancelled_attempt_is_closed_at_its_upstream,
    discovery_adds_an_upstream_that_was_not_known,
    a_graceful_shutdown_migrates_its_clients_and_ends,
    a_reload_watches_the_new_address_and_keeps_connections,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_scenario(scenario: Scenario, tmp_path: Path) -> None:
    async def run() -> None:
        # generous: only a scenario that hangs exceeds it
        await asyncio.wait_for(scenario(LoopbackTestbed(tmp_path)), 60)

    uvloop.run(run())


@pytest.mark.parametrize("message", ["not an address", "cannot listen on 127.0.0.1:"])
def test_an_invalid_configuration_prints_one_line_and_exits_with_code_2(tmp_path: Path, message: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        listen = "nowhere" if message == "not an address" else "{}:{}".format(*occupied.getsockname())
        environment = os.environ | configuration(tmp_path, listen=listen)
        completed = subprocess.run(
            [sys.executable, "-m", "limerudder"], env=environment, capture_output=True, text=True, check=False
        )
    assert (completed.returncode, completed.stdout) == (2, "")
    assert completed.stderr.count("\n") == 1 and message in completed.stderr
