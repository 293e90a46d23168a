"""What comes between two lines: crossings forced over real loopback sockets, one story each.

docs/design/crossings.md has the table of states and events, with these names.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from limerudder.core.client.session import LineSession
from limerudder.net.tcp import TcpConnection, TcpConnector
from tests.scripted_peers import LINE, SECOND, Listener, Loopback, Peer, free, host, hosts, settings
from tests.test_end_to_end import reset, served

Story = Callable[[Loopback, pytest.MonkeyPatch], Awaitable[None]]


def quick(deadline: int = 800_000, **caps: Any) -> dict[str, Any]:
    """Settings under which a planned stop is soon over."""
    told = settings(**caps)
    told["classes"][0] |= {"aimUs": deadline // 8, "deadlineUs": deadline}
    return told


class Late:
    """The loop as a dial sees it: hosts take the connection at once, and the node learns of it at `open`."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.gate, begin = asyncio.Event(), TcpConnector.__init__
        self.loop: Any = None
        late = self

        def init(dialler: TcpConnector, loop: Any, clock: Any) -> None:
            begin(dialler, loop, clock)
            late.loop, dialler.loop = loop, late  # type: ignore[assignment]

        patch.setattr(TcpConnector, "__init__", init)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        await self.loop.sock_connect(sock, address)
        await self.gate.wait()


def sessions(patch: pytest.MonkeyPatch) -> list[LineSession]:
    """The clients that come from here on, as the node has them."""
    came, connected = list[LineSession](), LineSession.connection_made

    def spy(session: LineSession, link: Any, now: int) -> None:
        came.append(session)
        connected(session, link, now)

    patch.setattr(LineSession, "connection_made", spy)
    return came


async def all_that_comes(peer: Peer) -> bytes:
    """Whatever a host gets until the end, ended cleanly or not."""
    try:
        return await peer.reader.read()
    except ConnectionError:
        return b""


# a client that rests


async def a_resting_client_is_told_before_it_is_ended(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    """Its first line crosses the end: it has its final answer, is read by nobody and never sent on."""
    patch.setattr("limerudder.core.client.session.PING_IDLE_TIMEOUT_US", 50_000)
    async with here.running():
        client = await here.client()
        client.say("PING")
        assert [await client.line(), await client.line()] == ["PONG", "BUSY"]
        client.say(here.line())
        assert await client.line() == ""
        patch.undo()
        await served(here)  # and its host has this one alone
        assert here.upstream.came.empty()


async def a_planned_stop_ends_those_who_rest(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    """They would rest until the process ends, and what they ask then would be reset."""
    async with here.running(settings=quick()) as node:
        client, silent = await here.client(), await here.client()
        client.say("PING")
        assert await client.line() == "PONG"
        os.kill(os.getpid(), signal.SIGTERM)
        assert [await client.line(), await client.line()] == ["BUSY", ""]
        assert [await silent.line(), await silent.line()] == ["BUSY", ""]
        assert not node.done(), "told while the process is there to take what crosses"
        client.say(here.line())
        await node
    assert here.upstream.came.empty()


# a close over unread bytes


async def a_move_reaches_a_client_that_never_stops_sending(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    async with here.running(settings=quick()) as node:
        client, upstream = await served(here)
        taking = asyncio.create_task(all_that_comes(upstream))

        async def send() -> None:
            while True:
                client.say("M " + "x" * 4000)
                await client.writer.drain()
                await asyncio.sleep(0)

        sending = asyncio.create_task(send())
        os.kill(os.getpid(), signal.SIGTERM)
        assert await client.line() == "MOVE"
        assert await client.line() == ""
        sending.cancel()
        await node
        await taking


async def small_writes_are_never_held_back(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    """What the system still holds back goes with a close over unread bytes."""
    told, made = list[int](), TcpConnection.connection_made

    def spy(stream: TcpConnection, transport: Any) -> None:
        sock = transport.get_extra_info("socket")
        told.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        made(stream, transport)

    patch.setattr(TcpConnection, "connection_made", spy)
    async with here.running():
        await here.discovery.take()
        await served(here)
        assert len(told) >= 3 and all(told), "client, upstream and director"


# a client that has gone


async def one_that_leaves_as_its_host_is_dialled_is_never_sent_on(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    for cancel in (True, False):
        late = Late(patch)
        async with here.running(settings=settings(dialTimeoutUs=5 * SECOND, cancel=cancel)):
            client = await here.client()
            client.say(here.line())
            upstream = await here.upstream.take()
            client.writer.write_eof()  # it ends its sending: it leaves
            assert await client.line() == "", "the node has seen it"
            late.gate.set()
            assert await all_that_comes(upstream) == b""
        patch.undo()


async def one_whose_end_lies_behind_unread_bytes_is_never_sent_on(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    late, came = Late(patch), sessions(patch)
    async with here.running(settings=settings(dialTimeoutUs=5 * SECOND)):
        client = await here.client()
        client.say(here.line())
        upstream = await here.upstream.take()
        link = came[-1].transport
        assert isinstance(link, TcpConnection) and not link.has_disconnected()
        link.set_reading_paused(True)  # as where the loop has not come to it yet
        client.say("M 1")
        client.writer.close()
        while not link.has_disconnected():
            await asyncio.sleep(0)
        late.gate.set()
        assert await all_that_comes(upstream) == b""


async def hundreds_that_leave_at_once_are_never_sent_on(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    late, many = Late(patch), 120
    async with here.running(settings=settings(dialTimeoutUs=5 * SECOND)):
        clients = [await here.client() for _ in range(many)]
        for client in clients:
            client.say(here.line())
        upstreams = [await here.upstream.take() for _ in range(4)]  # as many are set up there at a time
        for client in clients:
            client.writer.close()
        for client in clients:
            await client.writer.wait_closed()
        late.gate.set()
        assert [await all_that_comes(upstream) for upstream in upstreams] == [b""] * len(upstreams)
        while not here.upstream.came.empty():
            assert await all_that_comes(await here.upstream.take()) == b""
        await served(here)


# attempts


async def a_dial_that_comes_up_after_it_was_given_up_writes_nothing(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    late = Late(patch)
    where = await here.upstream.start()
    async with here.running(known=hosts(host("s-1", where), host("s-2", where))):
        client = await here.client()
        client.say(here.line())
        first, second = await here.upstream.take(), await here.upstream.take()  # given up after 100 ms
        late.gate.set()
        assert await all_that_comes(first) == b""
        assert (await second.line()).startswith("OPEN")
        second.say("UP 7")
        assert await client.line() == "UP 7"
        assert here.upstream.came.empty()


@pytest.mark.parametrize("how", ["reset", "end"])
def test_half_an_answer_is_none(how: str, tmp_path: Path) -> None:
    """`UP` without its line's end, then nothing: it may have run; a safe one is tried elsewhere, once."""

    async def story(here: Loopback, patch: pytest.MonkeyPatch) -> None:
        where = await here.upstream.start()
        async with here.running(known=hosts(host("s-1", where), host("s-2", where))):
            client = await here.client()
            client.say(here.line())
            first = await here.upstream.take()
            assert (await first.line()).startswith("OPEN")
            first.writer.write(b"UP 8")
            await first.writer.drain()
            reset(first) if how == "reset" else first.writer.close()
            second = await here.upstream.take()
            assert (await second.line()).startswith("OPEN")
            second.say("BUSY")
            assert [await client.line(), await client.line()] == ["BUSY", ""]

    play(story, tmp_path)


async def a_second_answer_is_for_nobody(here: Loopback, patch: pytest.MonkeyPatch) -> None:
    """ERR, and some milliseconds later UP: the client has had its answer, and has one."""
    async with here.running(settings=quick(tryLimit=1)):
        client = await here.client()
        client.say(here.line())
        upstream = await here.upstream.take()
        assert (await upstream.line()).startswith("OPEN")
        upstream.say("ERR")
        answer = await client.line()
        upstream.say("UP 7")
        assert answer in ("BUSY", "ERR") and await client.line() == ""


async def an_answer_that_never_ends_leaves_the_client_its_own_in_time(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    async with here.running(settings=quick(400_000)):
        client = await here.client()
        client.say(LINE.replace("d=2000", "d=400"))
        upstream = await here.upstream.take()
        assert (await upstream.line()).startswith("OPEN")

        async def drip() -> None:
            while True:
                upstream.writer.write(b"U")
                await asyncio.sleep(0.01)

        dripping = asyncio.create_task(drip())
        assert await client.line() in ("BUSY", "ERR")
        assert await client.line() == ""
        dripping.cancel()


# signals


async def a_stop_as_hosts_hang_and_a_dial_is_under_way_leaves_nobody_without_an_answer(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    """SIGTERM comes twice; one client's host has its line and hangs, another's is dialled."""
    late = Late(patch)
    late.gate.set()
    async with here.running(settings=quick(dialTimeoutUs=5 * SECOND)) as node:
        hanging = await here.client()
        hanging.say(here.line())
        upstream = await here.upstream.take()
        assert (await upstream.line()).startswith("OPEN")
        late.gate.clear()
        dialling = await here.client()
        dialling.say(here.line())
        other = await here.upstream.take()
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        for client in (hanging, dialling):
            assert await client.line() in ("BUSY", "ERR")
            assert await client.line() == ""
        await node
        assert await all_that_comes(other) == b""


async def a_reload_in_the_middle_of_a_list_forgets_its_half(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    async with here.running():
        old = await here.discovery.take()
        await old.line()
        gone = json.dumps(hosts(host("s-1", lifecycle="leaving"))) + "\n"
        old.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(gone):x}", gone[:40])
        await old.writer.drain()
        config, new = here.folder / "config.json", Listener()
        given = json.loads(config.read_text())
        config.write_text(json.dumps(given | {"discovery": await new.start()}))
        os.kill(os.getpid(), signal.SIGHUP)
        asked = await new.take()
        assert "after=0" in await asked.line()
        old.say(gone[40:])
        assert await all_that_comes(old) != b"", "the rest of its call, and the end"
        await served(here)  # by the list of before: the old service's half is no word


# descriptors, floods, restarts


async def a_flood_of_one_that_then_leaves_is_bounded_and_others_are_served(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    """Its host does not read. What it sends waits with it, in bounds; both sides are let go in the end."""
    patch.setattr("limerudder.core.upstream.attempt.MESSAGE_TIMEOUT_US", 400_000)
    came, many = sessions(patch), 5000
    async with here.running():
        client, upstream = await served(here)
        link = came[-1].attempt and came[-1].attempt.transport
        assert isinstance(link, TcpConnection) and link.transport
        upstream.reader._transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(many):  # twenty megabytes
            client.say("M " + "x" * 4000)
        kept = list[int]()
        while not link.transport.is_closing():  # it is let go, since no message is answered
            kept.append(link.transport.get_write_buffer_size())
            await asyncio.sleep(0)
        assert 0 < max(kept) < 1 << 20, "what waits for a host that does not read"
        client.writer.transport.abort()
        await served(here)
        upstream.reader._transport.resume_reading()  # type: ignore[attr-defined]
        assert len(await all_that_comes(upstream)) < many * 4000


async def idle_clients_fill_the_descriptors_while_discovery_is_down(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    """Usual clients, their attempts and discovery still get theirs; nothing raises, accept goes on."""
    where, discovery = await here.upstream.start(), free()
    here.shared = here.folder / "t"
    here.shared.mkdir()
    here.given = {
        "listen": free(),
        "discovery": discovery,
        "known": hosts(host("s-1", where)),
        "settings": settings(peers=False),
        "limits": {"sockets": 64},
    }
    async with here.process() as process:
        idle = [await here.client() for _ in range(200)]
        first, _ = await served(here)
        for _ in range(3):
            idle += [await here.client() for _ in range(60)]
            await served(here)
        service = await asyncio.start_server(
            lambda r, w: here.discovery.came.put_nowait(Peer(r, w)), *discovery.rsplit(":", 1)
        )
        director = await here.discovery.take()
        told = json.dumps(hosts(host("s-1", where, "leaving"), host("s-9", where))) + "\n"
        director.say("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(told):x}", told)
        assert await first.line() == "MOVE", "its host drains, and the node has heard"
        process.signal(signal.SIGTERM)
        assert process.ran.stderr
        printed = (await process.ran.stderr.read()).decode()
        assert "Traceback" not in printed and "Errno" not in printed and "clients_evicted" in printed
        service.close()


async def a_restarted_process_is_ready_whatever_discovery_does(
    here: Loopback, patch: pytest.MonkeyPatch
) -> None:
    """It takes the connection and says nothing: PONG and the list of before do not wait for it."""
    where = await here.upstream.start()
    here.shared = here.folder / "t"
    here.shared.mkdir()
    here.given = {
        "listen": free(),
        "discovery": await here.discovery.start(),
        "known": hosts(host("s-1", where)),
        "settings": settings(peers=False),
    }
    for ends in ("silent", "closed"):
        here.before = False
        async with here.process():
            director = await here.discovery.take()
            if ends == "closed":
                director.writer.close()
            await served(here)


STORIES = [
    a_resting_client_is_told_before_it_is_ended,
    a_planned_stop_ends_those_who_rest,
    a_move_reaches_a_client_that_never_stops_sending,
    small_writes_are_never_held_back,
    one_that_leaves_as_its_host_is_dialled_is_never_sent_on,
    one_whose_end_lies_behind_unread_bytes_is_never_sent_on,
    hundreds_that_leave_at_once_are_never_sent_on,
    a_dial_that_comes_up_after_it_was_given_up_writes_nothing,
    a_second_answer_is_for_nobody,
    an_answer_that_never_ends_leaves_the_client_its_own_in_time,
    a_stop_as_hosts_hang_and_a_dial_is_under_way_leaves_nobody_without_an_answer,
    a_reload_in_the_middle_of_a_list_forgets_its_half,
    a_flood_of_one_that_then_leaves_is_bounded_and_others_are_served,
    idle_clients_fill_the_descriptors_while_discovery_is_down,
    a_restarted_process_is_ready_whatever_discovery_does,
]


def play(story: Story, folder: Path) -> None:
    """Play one; what hangs fails, whatever the machine."""

    async def told() -> None:
        with pytest.MonkeyPatch.context() as patch:
            await asyncio.wait_for(story(Loopback(folder), patch), 60)

    uvloop.run(told())


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_crossing(story: Story, tmp_path: Path) -> None:
    play(story, tmp_path)
