"""Stories over loopback sockets: a real node among scripted clients, upstreams and a director."""

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

Story = Callable[[Loopback], Awaitable[None]]


def reset(peer: Peer) -> None:
    """End a scripted connection with a reset."""
    sock = peer.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.writer.transport.abort()


async def served(here: Loopback) -> tuple[Peer, Peer]:
    """A client that is up, and its upstream's side."""
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


async def lines_pass_both_ways_until_the_upstream_ends(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        client.say("M 1")
        assert await upstream.line() == "M 1"
        upstream.say("LOAD 12.5", "M 1", "BYE")
        upstream.writer.close()
        assert [await client.line() for _ in range(4)] == ["LOAD 12.5", "M 1", "BYE", ""]


async def a_reset_ends_the_other_side_with_a_reset(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        reset(upstream)
        with pytest.raises(ConnectionResetError):
            await client.line()
        client, upstream = await served(here)
        reset(client)
        with pytest.raises(ConnectionResetError):
            await upstream.line()


async def a_client_that_ends_its_side_hears_its_upstreams_last_words(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        client.writer.write_eof()
        assert await upstream.line() == ""
        last = ["x" * 4000] * 100 + ["BYE"]
        upstream.say(*last)
        upstream.writer.close()
        assert [await client.line() for _ in last] == last and await client.line() == ""


async def more_than_the_buffers_hold_passes_whole_to_a_slow_reader(here: Loopback) -> None:
    async with here.running():
        client, upstream = await served(here)
        text = ["x" * 4000] * 2000
        upstream.say(*text)
        upstream.writer.close()
        assert [await client.line() for _ in text] == text and await client.line() == ""


async def a_line_without_end_at_full_speed_is_an_error_and_a_close(here: Loopback) -> None:
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


async def a_upstream_that_refuses_leaves_the_request_to_be_answered(here: Loopback) -> None:
    async with here.running(known=hosts(host("s-1", "127.0.0.1:9"))):
        client = await here.client()
        client.say(LINE)
        assert [await client.line(), await client.line()] == ["BUSY", ""]


async def a_attempt_given_up_is_closed_at_its_upstream(here: Loopback) -> None:
    async with here.running():
        client = await here.client()
        client.say(LINE)
        upstream = await here.upstream.take()
        await upstream.line()
        client.writer.close()
        assert await upstream.line() == ""


async def the_director_brings_a_upstream_that_was_not_known(here: Loopback) -> None:
    async with here.running(known=hosts()):
        director = await here.discovery.take()
        assert await director.line() == "GET /discovery/hosts?watch=1&after=41 HTTP/1.1"
        told = json.dumps(hosts(host("s-1", await here.upstream.start()))) + "\n"
        director.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(told):x}", told)
        await served(here)


async def a_planned_stop_moves_its_clients_and_ends(here: Loopback) -> None:
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


async def a_reload_watches_at_the_new_address_and_keeps_what_stands(here: Loopback) -> None:
    async with here.running() as node:
        client, upstream = await served(here)
        old = await here.discovery.take()
        config, new = here.folder / "config.json", Listener()
        given = json.loads(config.read_text())
        config.write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        while not (await here.logged.get()).endswith("; keeping the previous configuration"):
            pass
        config.write_text(json.dumps(given | {"discovery": await new.start()}))
        for _ in range(2):  # a repeat changes nothing
            os.kill(os.getpid(), signal.SIGHUP)
        director = await new.take()
        assert await director.line() == "GET /discovery/hosts?watch=1&after=0 HTTP/1.1"
        assert await old.reader.read() != b"" and old.reader.at_eof()
        client.say("M 1")
        assert await upstream.line() == "M 1" and new.came.empty()
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        assert await client.line() == "MOVE"
        await node


async def a_link_reads_on_only_where_it_had_stopped(here: Loopback) -> None:
    transport = Mock(is_closing=lambda: False)
    link = TcpConnection(HealthCheckConnection((), lambda *heard: None), Clock())
    link.connection_made(transport)
    for on in (False, True, True, False, False):
        link.set_reading_paused(on)
    asked = [name for name, _, _ in transport.method_calls if name.endswith("_reading")]
    assert asked == ["pause_reading", "resume_reading"], "uvloop brings a FIN again for each resume"


async def a_link_that_is_closed_is_ended_before_close_returns(here: Loopback) -> None:
    ours, theirs = socket.socketpair()
    link = TcpConnection(HealthCheckConnection((), lambda *heard: None), Clock())
    link.dialled_socket = ours
    link.close()
    theirs.setblocking(False)
    assert (
        theirs.recv(1) == b""
    ), "the loop has not run since: an attempt that follows cannot overtake this end"


STORIES = [
    a_link_reads_on_only_where_it_had_stopped,
    a_link_that_is_closed_is_ended_before_close_returns,
    lines_pass_both_ways_until_the_upstream_ends,
    a_reset_ends_the_other_side_with_a_reset,
    a_client_that_ends_its_side_hears_its_upstreams_last_words,
    more_than_the_buffers_hold_passes_whole_to_a_slow_reader,
    a_line_without_end_at_full_speed_is_an_error_and_a_close,
    a_upstream_that_refuses_leaves_the_request_to_be_answered,
    a_attempt_given_up_is_closed_at_its_upstream,
    the_director_brings_a_upstream_that_was_not_known,
    a_planned_stop_moves_its_clients_and_ends,
    a_reload_watches_at_the_new_address_and_keeps_what_stands,
]


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_story(story: Story, tmp_path: Path) -> None:
    async def told() -> None:
        await asyncio.wait_for(
            story(Loopback(tmp_path)), 60
        )  # a story that hangs fails, whatever the machine

    uvloop.run(told())


@pytest.mark.parametrize("words", ["not an address", "cannot listen on 127.0.0.1:"])
def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path: Path, words: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = "nowhere" if words == "not an address" else "{}:{}".format(*taken.getsockname())
        given = os.environ | configuration(tmp_path, listen=listen)
        ran = subprocess.run([sys.executable, "-m", "limerudder"], env=given, capture_output=True, text=True)
    assert (ran.returncode, ran.stdout) == (2, "")
    assert ran.stderr.count("\n") == 1 and words in ran.stderr
