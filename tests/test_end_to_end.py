"""End to end over loopback sockets: a real node among scripted clients, upstreams and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest.mock import Mock

import pytest
import uvloop

from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.net.clock import Clock
from limerudder.net.tcp import TcpConnection
from tests.scripted_peers import LINE, Listener, Loopback, Peer, configuration, host, hosts, settings

Scenario = Callable[[Loopback], Awaitable[None]]


def reset(peer: Peer) -> None:
    """Reset a scripted connection."""
    sock = peer.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.writer.transport.abort()


async def served(here: Loopback) -> tuple[Peer, Peer]:
    """A client whose connection is established, and its upstream's side."""
    client = await here.client()
    client.say("PING")
    assert await client.line() == "PONG"
    line = here.line()
    client.say(line)
    upstream = await here.upstream.take()
    assert (await upstream.line()).startswith(line.partition("d=")[0])
    upstream.say("UP 77")
    assert await client.line() == "UP 77"
    return client, upstream


async def lines_are_relayed_both_ways_until_the_upstream_ends(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        client.say("M 1")
        assert await upstream.line() == "M 1"
        upstream.say("LOAD 12.5", "M 1", "BYE")
        upstream.writer.close()
        assert [await client.line() for _ in range(4)] == ["LOAD 12.5", "M 1", "BYE", ""]


async def a_reset_on_one_side_resets_the_other(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        reset(upstream)
        with pytest.raises(ConnectionResetError):
            await client.line()
        client, upstream = await served(here)
        reset(client)
        with pytest.raises(ConnectionResetError):
            await upstream.line()


async def a_client_that_half_closes_still_gets_its_upstreams_last_lines(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        client.writer.write_eof()
        assert await upstream.line() == ""
        last = ["x" * 4000] * 100 + ["BYE"]
        upstream.say(*last)
        upstream.writer.close()
        assert [await client.line() for _ in last] == last and await client.line() == ""


async def a_slow_reader_gets_more_than_the_buffers_hold_completely(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        text = ["x" * 4000] * 2000
        upstream.say(*text)
        upstream.writer.close()
        assert [await client.line() for _ in text] == text and await client.line() == ""


async def an_endless_line_is_answered_with_an_error_and_closed(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        bad = await here.client()
        for _ in range(200):
            bad.say("k" * 300_000)
        assert await bad.line() == "ERR"
        with pytest.raises(ConnectionError):
            await bad.writer.drain()
        client.say("M 1")
        assert await upstream.line() == "M 1"


async def a_request_is_rejected_if_its_upstream_refuses_the_connection(here: Loopback) -> None:
    async with here.running(known=hosts(host("s-1", "127.0.0.1:9"))):
        client = await here.client()
        client.say(LINE)
        assert [await client.line(), await client.line()] == ["BUSY", ""]


async def a_cancelled_attempt_is_closed_at_its_upstream(here: Loopback) -> None:
    async with here.running():
        client = await here.client()
        client.say(LINE)
        upstream = await here.upstream.take()
        await upstream.line()
        client.writer.close()
        assert await upstream.line() == ""


async def discovery_adds_an_upstream_that_was_not_known(here: Loopback) -> None:
    async with here.running(known=hosts()):
        watch = await here.discovery.take()
        assert await watch.line() == "GET /discovery/hosts?watch=1&after=41 HTTP/1.1"
        text = json.dumps(hosts(host("s-1", await here.upstream.start()))) + "\n"
        watch.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(text):x}", text)
        await served(here)


async def a_graceful_shutdown_migrates_its_clients_and_ends(here: Loopback) -> None:
    quick = settings()
    quick["classes"][0] |= {"aimUs": 100_000, "deadlineUs": 800_000}
    async with here.running(settings=quick) as node:
        clients = [(await served(here))[0] for _ in range(3)]
        os.kill(os.getpid(), signal.SIGTERM)
        late = await here.client()
        late.say(LINE)
        assert await late.line() == "BUSY"
        assert [await client.line() for client in clients] == ["MOVE"] * 3
        await node
    lines = [await here.logged.get() for _ in range(here.logged.qsize())]
    assert "answers_served=3" in lines[-1] and "migrations=3" in lines[-1]
    assert any(line.endswith("node: SIGTERM received") for line in lines)


async def a_reload_watches_the_new_address_and_keeps_connections(here: Loopback) -> None:
    async with here.running() as node:
        client, upstream = await served(here)
        old = await here.discovery.take()
        config = here.folder / "config.json"
        new = Listener()
        given = json.loads(config.read_text())
        config.write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        while not (await here.logged.get()).endswith("; keeping the previous configuration"):
            pass
        config.write_text(json.dumps(given | {"discovery": await new.start()}))
        for _ in range(2):  # a repeat changes nothing
            os.kill(os.getpid(), signal.SIGHUP)
        watch = await new.take()
        assert await watch.line() == "GET /discovery/hosts?watch=1&after=0 HTTP/1.1"
        assert await old.reader.read() != b"" and old.reader.at_eof()
        client.say("M 1")
        assert await upstream.line() == "M 1" and new.came.empty()
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        assert await client.line() == "MOVE"
        await node


async def a_transport_resumes_reading_only_after_a_pause(here: Loopback) -> None:
    transport = Mock(is_closing=lambda: False)
    connection = TcpConnection(HealthCheckConnection((), lambda *result: None), Clock())
    connection.connection_made(transport)
    for paused in (False, True, True, False, False):
        connection.set_reading_paused(paused)
    calls = [name for name, _, _ in transport.method_calls if name.endswith("_reading")]
    assert calls == ["pause_reading", "resume_reading"], "uvloop reports a FIN again for each resume"


async def a_transport_is_shut_down_before_close_returns(here: Loopback) -> None:
    ours, theirs = socket.socketpair()
    connection = TcpConnection(HealthCheckConnection((), lambda *result: None), Clock())
    connection.dialled_socket = ours
    connection.close()
    theirs.setblocking(False)
    # the event loop has not run since: an attempt that follows cannot overtake this end
    assert theirs.recv(1) == b""


SCENARIOS = [
    a_transport_resumes_reading_only_after_a_pause,
    a_transport_is_shut_down_before_close_returns,
    lines_are_relayed_both_ways_until_the_upstream_ends,
    a_reset_on_one_side_resets_the_other,
    a_client_that_half_closes_still_gets_its_upstreams_last_lines,
    a_slow_reader_gets_more_than_the_buffers_hold_completely,
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
        # a scenario that hangs fails, on any machine
        await asyncio.wait_for(scenario(Loopback(tmp_path)), 60)

    uvloop.run(run())


@pytest.mark.parametrize("message", ["not an address", "cannot listen on 127.0.0.1:"])
def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path: Path, message: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = "nowhere" if message == "not an address" else "{}:{}".format(*taken.getsockname())
        given = os.environ | configuration(tmp_path, listen=listen)
        ran = subprocess.run(
            [sys.executable, "-m", "limerudder"], env=given, capture_output=True, text=True, check=False
        )
    assert (ran.returncode, ran.stdout) == (2, "")
    assert ran.stderr.count("\n") == 1 and message in ran.stderr
