"""Race conditions between events, reproduced over real loopback sockets, one scenario each.

docs/design/race-conditions.md has the table of states and events.
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

from harness.configurations import LINE, SECOND, host, hosts, settings
from limerudder.core.client.session import LineSession
from limerudder.net.tcp import TcpConnection, TcpConnector
from tests.loopback_testbed import Listener, LoopbackTestbed, unused_address

Scenario = Callable[[LoopbackTestbed, pytest.MonkeyPatch], Awaitable[None]]


def quick_settings(deadline_us: int = 800_000, **caps: Any) -> dict[str, Any]:
    """Return settings with short deadlines, so that a graceful shutdown is quick."""
    quick = settings(**caps)
    quick["classes"][0] |= {"aimUs": deadline_us // 8, "deadlineUs": deadline_us}
    return quick


class DelayedDials:
    """An event loop for dials: hosts accept immediately, but dials complete only when `gate` is set."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.gate = asyncio.Event()
        self.loop: Any = None
        delayed_dials = self
        original_init = TcpConnector.__init__

        def init(dialler: TcpConnector, loop: Any, clock: Any) -> None:
            original_init(dialler, loop, clock)
            delayed_dials.loop = loop
            dialler.loop = delayed_dials  # type: ignore[assignment]

        patch.setattr(TcpConnector, "__init__", init)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        await self.loop.sock_connect(sock, address)
        await self.gate.wait()


def record_sessions(patch: pytest.MonkeyPatch) -> list[LineSession]:
    """Return a list that the sessions of newly connected clients are added to."""
    sessions = list[LineSession]()
    original_connection_made = LineSession.connection_made

    def spy(session: LineSession, transport: Any, now_us: int) -> None:
        sessions.append(session)
        original_connection_made(session, transport, now_us)

    patch.setattr(LineSession, "connection_made", spy)
    return sessions


# an idle client


async def an_idle_client_gets_busy_before_its_connection_ends(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """BUSY is also the final answer to a first line in transit, which is neither read nor forwarded."""
    patch.setattr("limerudder.core.client.session.PING_IDLE_TIMEOUT_US", 50_000)
    async with testbed.running_node():
        client = await testbed.connect()
        client.send_lines("PING")
        assert [await client.read_line(), await client.read_line()] == ["PONG", "BUSY"]
        client.send_lines(testbed.request_line())
        assert await client.read_line() == ""
        patch.undo()
        await testbed.establish_connection()  # the only connection to its host
        assert testbed.upstream.connections.empty()


async def a_graceful_shutdown_evicts_idle_clients(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """Without eviction, clients would stay until the process exits, and a late request would be reset."""
    async with testbed.running_node(settings=quick_settings()) as node:
        client = await testbed.connect()
        silent = await testbed.connect()
        client.send_lines("PING")
        assert await client.read_line() == "PONG"
        os.kill(os.getpid(), signal.SIGTERM)
        assert [await client.read_line(), await client.read_line()] == ["BUSY", ""]
        assert [await silent.read_line(), await silent.read_line()] == ["BUSY", ""]
        assert not node.done(), "answered while the process can still receive data in transit"
        client.send_lines(testbed.request_line())
        await node
    assert testbed.upstream.connections.empty()


# a close with unread data


async def move_reaches_a_client_that_never_stops_sending(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    async with testbed.running_node(settings=quick_settings()) as node:
        client, upstream = await testbed.establish_connection()
        reading = asyncio.create_task(upstream.read_to_end())

        async def send() -> None:
            while True:
                client.send_lines("M " + "x" * 4000)
                await client.writer.drain()
                await asyncio.sleep(0)

        sending = asyncio.create_task(send())
        os.kill(os.getpid(), signal.SIGTERM)
        assert await client.read_line() == "MOVE"
        assert await client.read_line() == ""
        sending.cancel()
        await node
        await reading


async def small_writes_are_not_delayed(testbed: LoopbackTestbed, patch: pytest.MonkeyPatch) -> None:
    """Data that the system has delayed is lost when a socket with unread data is closed."""
    no_delay = list[int]()
    original_connection_made = TcpConnection.connection_made

    def spy(stream: TcpConnection, transport: Any) -> None:
        sock = transport.get_extra_info("socket")
        no_delay.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        original_connection_made(stream, transport)

    patch.setattr(TcpConnection, "connection_made", spy)
    async with testbed.running_node():
        await testbed.discovery.accept()
        await testbed.establish_connection()
        assert len(no_delay) >= 3, "client, upstream and discovery"
        assert all(no_delay)


# a client that disconnects


async def a_request_is_not_forwarded_if_its_client_disconnects_during_the_dial(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    for cancel in (True, False):
        dials = DelayedDials(patch)
        async with testbed.running_node(settings=settings(dialTimeoutUs=5 * SECOND, cancel=cancel)):
            client = await testbed.connect()
            client.send_lines(testbed.request_line())
            upstream = await testbed.upstream.accept()
            client.writer.write_eof()  # a half-close counts as a disconnect
            assert await client.read_line() == "", "the node has seen the disconnect"
            dials.gate.set()
            assert await upstream.read_to_end() == b""
        patch.undo()


async def a_request_is_not_forwarded_if_a_disconnect_is_hidden_by_unread_data(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    dials = DelayedDials(patch)
    sessions = record_sessions(patch)
    async with testbed.running_node(settings=settings(dialTimeoutUs=5 * SECOND)):
        client = await testbed.connect()
        client.send_lines(testbed.request_line())
        upstream = await testbed.upstream.accept()
        transport = sessions[-1].transport
        assert isinstance(transport, TcpConnection) and not transport.has_disconnected()
        transport.set_reading_paused(True)  # simulates data that the event loop has not read yet
        client.send_lines("M 1")
        client.writer.close()
        while not transport.has_disconnected():
            await asyncio.sleep(0)
        dials.gate.set()
        assert await upstream.read_to_end() == b""


async def no_request_is_forwarded_if_hundreds_of_clients_disconnect_at_once(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    dials = DelayedDials(patch)
    client_count = 120
    async with testbed.running_node(settings=settings(dialTimeoutUs=5 * SECOND)):
        clients = [await testbed.connect() for _ in range(client_count)]
        for client in clients:
            client.send_lines(testbed.request_line())
        # four attempts at a time are in progress at the host
        upstreams = [await testbed.upstream.accept() for _ in range(4)]
        for client in clients:
            client.writer.close()
        for client in clients:
            await client.writer.wait_closed()
        dials.gate.set()
        assert [await upstream.read_to_end() for upstream in upstreams] == [b""] * len(upstreams)
        while not testbed.upstream.connections.empty():
            assert await (await testbed.upstream.accept()).read_to_end() == b""
        await testbed.establish_connection()


# attempts


async def a_dial_that_connects_after_its_timeout_writes_nothing(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    dials = DelayedDials(patch)
    address = await testbed.upstream.start()
    async with testbed.running_node(known=hosts(host("s-1", address), host("s-2", address))):
        client = await testbed.connect()
        client.send_lines(testbed.request_line())
        first = await testbed.upstream.accept()
        second = await testbed.upstream.accept()  # the first dial times out after 100 ms
        dials.gate.set()
        assert await first.read_to_end() == b""
        assert (await second.read_line()).startswith("OPEN")
        second.send_lines("UP 7")
        assert await client.read_line() == "UP 7"
        assert testbed.upstream.connections.empty()


@pytest.mark.parametrize("ending", ["reset", "end"])
def test_an_incomplete_answer_is_retried_once_elsewhere(ending: str, tmp_path: Path) -> None:
    """After `UP` without a line end the request may have run; a safe request is retried once elsewhere."""

    async def scenario(testbed: LoopbackTestbed, patch: pytest.MonkeyPatch) -> None:
        address = await testbed.upstream.start()
        async with testbed.running_node(known=hosts(host("s-1", address), host("s-2", address))):
            client = await testbed.connect()
            client.send_lines(testbed.request_line())
            first = await testbed.upstream.accept()
            assert (await first.read_line()).startswith("OPEN")
            first.writer.write(b"UP 8")
            await first.writer.drain()
            if ending == "reset":
                first.reset()
            else:
                first.writer.close()
            second = await testbed.upstream.accept()
            assert (await second.read_line()).startswith("OPEN")
            second.send_lines("BUSY")
            assert [await client.read_line(), await client.read_line()] == ["BUSY", ""]

    run_scenario(scenario, tmp_path)


async def a_second_answer_is_dropped(testbed: LoopbackTestbed, patch: pytest.MonkeyPatch) -> None:
    """The host sends ERR and, some milliseconds later, UP; the client gets exactly one answer."""
    async with testbed.running_node(settings=quick_settings(tryLimit=1)):
        client = await testbed.connect()
        client.send_lines(testbed.request_line())
        upstream = await testbed.upstream.accept()
        assert (await upstream.read_line()).startswith("OPEN")
        upstream.send_lines("ERR")
        answer = await client.read_line()
        upstream.send_lines("UP 7")
        assert answer in ("BUSY", "ERR")
        assert await client.read_line() == ""


async def an_answer_that_never_ends_does_not_delay_the_final_answer(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    async with testbed.running_node(settings=quick_settings(400_000)):
        client = await testbed.connect()
        client.send_lines(LINE.replace("d=2000", "d=400"))
        upstream = await testbed.upstream.accept()
        assert (await upstream.read_line()).startswith("OPEN")

        async def send_slowly() -> None:
            while True:
                upstream.writer.write(b"U")
                await asyncio.sleep(0.01)

        slow_sending = asyncio.create_task(send_slowly())
        assert await client.read_line() in ("BUSY", "ERR")
        assert await client.read_line() == ""
        slow_sending.cancel()


# signals


async def a_shutdown_with_hanging_hosts_and_dials_answers_every_client(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """SIGTERM arrives twice; one client's host has the request and hangs, another's is being dialled."""
    dials = DelayedDials(patch)
    dials.gate.set()
    async with testbed.running_node(settings=quick_settings(dialTimeoutUs=5 * SECOND)) as node:
        hanging = await testbed.connect()
        hanging.send_lines(testbed.request_line())
        upstream = await testbed.upstream.accept()
        assert (await upstream.read_line()).startswith("OPEN")
        dials.gate.clear()
        dialling = await testbed.connect()
        dialling.send_lines(testbed.request_line())
        dialled = await testbed.upstream.accept()
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        for client in (hanging, dialling):
            assert await client.read_line() in ("BUSY", "ERR")
            assert await client.read_line() == ""
        await node
        assert await dialled.read_to_end() == b""


async def a_reload_drops_a_partly_received_list(testbed: LoopbackTestbed, patch: pytest.MonkeyPatch) -> None:
    async with testbed.running_node():
        old_watch = await testbed.discovery.accept()
        await old_watch.read_line()
        drained = json.dumps(hosts(host("s-1", lifecycle="leaving"))) + "\n"
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", f"{len(drained):x}"]
        old_watch.send_lines(*head, drained[:40])
        await old_watch.writer.drain()
        config = testbed.folder / "config.json"
        new_discovery = Listener()
        values = json.loads(config.read_text())
        config.write_text(json.dumps(values | {"discovery": await new_discovery.start()}))
        os.kill(os.getpid(), signal.SIGHUP)
        new_watch = await new_discovery.accept()
        assert "after=0" in await new_watch.read_line()
        old_watch.send_lines(drained[40:])
        assert await old_watch.read_to_end() != b"", "the rest of the watch's HTTP request, then the end"
        # the previous list is still active; the partial one from the old service is discarded
        await testbed.establish_connection()


# descriptors, floods, restarts


async def a_flood_from_a_client_that_disconnects_is_bounded(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """The host does not read: the amount of buffered data is bounded, and finally both sides are closed."""
    patch.setattr("limerudder.core.upstream.attempt.MESSAGE_TIMEOUT_US", 400_000)
    sessions = record_sessions(patch)
    message_count = 5000
    async with testbed.running_node():
        client, upstream = await testbed.establish_connection()
        attempt = sessions[-1].attempt
        assert attempt
        transport = attempt.transport
        assert isinstance(transport, TcpConnection) and transport.transport
        upstream.reader._transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(message_count):  # 20 MB
            client.send_lines("M " + "x" * 4000)
        buffered_bytes = list[int]()
        while not transport.transport.is_closing():  # it is closed because no message is answered
            buffered_bytes.append(transport.transport.get_write_buffer_size())
            await asyncio.sleep(0)
        assert 0 < max(buffered_bytes) < 1 << 20, "buffered for a host that does not read"
        client.writer.transport.abort()
        await testbed.establish_connection()
        upstream.reader._transport.resume_reading()  # type: ignore[attr-defined]
        assert len(await upstream.read_to_end()) < message_count * 4000


async def idle_clients_cannot_exhaust_descriptors_while_discovery_is_down(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """Ordinary clients, attempts and discovery still get descriptors; nothing raises, accept continues."""
    upstream_address = await testbed.upstream.start()
    discovery_address = unused_address()
    config = {
        "listen": unused_address(),
        "discovery": discovery_address,
        "known": hosts(host("s-1", upstream_address)),
        "settings": settings(peers=False),
        "limits": {"sockets": 64},
    }
    testbed.configure_processes(config, "t")
    async with testbed.node_process() as process:
        idle = [await testbed.connect() for _ in range(200)]
        first, _ = await testbed.establish_connection()
        for _ in range(3):
            idle += [await testbed.connect() for _ in range(60)]
            await testbed.establish_connection()
        service = await asyncio.start_server(testbed.discovery.connected, *discovery_address.rsplit(":", 1))
        watch = await testbed.discovery.accept()
        watch.send_watch_answer(
            hosts(host("s-1", upstream_address, "leaving"), host("s-9", upstream_address))
        )
        assert await first.read_line() == "MOVE", "the node has received the list in which the host drains"
        process.send_signal(signal.SIGTERM)
        assert process.subprocess.stderr
        logged = (await process.subprocess.stderr.read()).decode()
        assert "Traceback" not in logged
        assert "Errno" not in logged
        assert "clients_evicted" in logged
        service.close()


async def a_restarted_process_serves_regardless_of_discovery(
    testbed: LoopbackTestbed, patch: pytest.MonkeyPatch
) -> None:
    """Discovery sends nothing or closes the connection; PONG and the previous list do not depend on it."""
    address = await testbed.upstream.start()
    config = {
        "listen": unused_address(),
        "discovery": await testbed.discovery.start(),
        "known": hosts(host("s-1", address)),
        "settings": settings(peers=False),
    }
    testbed.configure_processes(config, "t")
    for behaviour in ("silent", "closed"):
        testbed.has_started = False
        async with testbed.node_process():
            watch = await testbed.discovery.accept()
            if behaviour == "closed":
                watch.writer.close()
            await testbed.establish_connection()


SCENARIOS = [
    an_idle_client_gets_busy_before_its_connection_ends,
    a_graceful_shutdown_evicts_idle_clients,
    move_reaches_a_client_that_never_stops_sending,
    small_writes_are_not_delayed,
    a_request_is_not_forwarded_if_its_client_disconnects_during_the_dial,
    a_request_is_not_forwarded_if_a_disconnect_is_hidden_by_unread_data,
    no_request_is_forwarded_if_hundreds_of_clients_disconnect_at_once,
    a_dial_that_connects_after_its_timeout_writes_nothing,
    a_second_answer_is_dropped,
    an_answer_that_never_ends_does_not_delay_the_final_answer,
    a_shutdown_with_hanging_hosts_and_dials_answers_every_client,
    a_reload_drops_a_partly_received_list,
    a_flood_from_a_client_that_disconnects_is_bounded,
    idle_clients_cannot_exhaust_descriptors_while_discovery_is_down,
    a_restarted_process_serves_regardless_of_discovery,
]


def run_scenario(scenario: Scenario, folder: Path) -> None:
    """Run a scenario; it fails after 60 s, so that one that hangs fails on any machine."""

    async def run() -> None:
        with pytest.MonkeyPatch.context() as patch:
            await asyncio.wait_for(scenario(LoopbackTestbed(folder), patch), 60)

    uvloop.run(run())


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_race(scenario: Scenario, tmp_path: Path) -> None:
    run_scenario(scenario, tmp_path)
