"""Replacing the process: two machines joined in memory, and two processes on loopback."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from harness.configurations import configuration, settings
from limerudder.config import load_config
from limerudder.core.discovery.endpoint_list import EndpointListError, parse_endpoints
from limerudder.core.lifecycle.hot_restart import (
    HotRestartParent,
    HotRestartSuccessor,
    SuccessorConnection,
    parse_handover_state,
)
from limerudder.policy.events import (
    PredecessorConnections,
    UpdateKind,
)
from tests.scripted_peers import LINE, SECOND, FakeTransport, Loopback, World, host, hosts, world
from tests.test_node import events


class Joined(FakeTransport):
    """One end of the connection between two processes: what is written comes out of the other in pieces."""

    def __init__(self, here: World, step: int) -> None:
        super().__init__()
        self.here, self.step = here, step
        self.other: Joined | None = None
        self.owner: SuccessorConnection | HotRestartSuccessor | None = None

    def write(self, data: bytes) -> None:
        other = self.other
        if other and other.owner and not self.closed:
            for at in range(0, len(data), self.step):
                other.owner.data_received(data[at : at + self.step], other.here.now)


class Pair:
    """The old process and one that has asked to take over."""

    def __init__(self, folder: Path, step: int = 5000) -> None:
        self.old, self.new = (
            world(folder, known=hosts(host("s-1"), host("s-2"))),
            world(folder, known=hosts()),
        )
        self.step, self.did = step, list[str]()
        self.elder = HotRestartParent(
            self.old.node, lambda: self.did.append("shut"), lambda: self.did.append("open")
        )

    def ask(self) -> HotRestartSuccessor:
        here, there = Joined(self.old, self.step), Joined(self.new, self.step)
        here.other, there.other = there, here
        hello = parse_handover_state(self.elder.hello())
        self.new.node._list(hello.hosts, UpdateKind.CACHED, self.new.now)
        there.owner = heir = HotRestartSuccessor(
            self.new.node, hello, lambda: self.did.append("ready"), self.new.now
        )
        heir.connection_made(there, self.new.now)
        here.owner = asker = SuccessorConnection(self.elder)
        asker.connection_made(here, self.old.now)
        return heir

    def run(self, duration: int) -> None:
        for _ in range(duration // 5000):
            self.old.run(5000)
            self.new.run(5000)


def told(here: World) -> None:
    """Discovery's watch gives its list."""
    body = json.dumps(hosts(host("s-1"), host("s-2"))).encode() + b"\n"
    watch = next(dial.machine for dial in here.dials if getattr(dial.machine, "watch", False))
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    watch.data_received(head + f"{len(body):x}".encode() + b"\r\n" + body + b"\r\n", here.now)


@pytest.mark.parametrize("step", [1, 7, 5000])
def test_a_successor_serves_once_it_knows_enough_and_the_old_one_takes_no_more(
    tmp_path: Path, step: int
) -> None:
    pair = Pair(tmp_path, step)
    heir = pair.ask()
    pair.run(SECOND // 10)
    assert pair.did == [], "discovery has told it nothing yet"
    told(pair.new)
    pair.run(SECOND // 10)
    assert pair.did == ["ready"] and not pair.old.node.has_successor
    heir.say("serving")
    assert pair.did == ["ready", "shut"] and pair.old.node.has_successor
    pair.run(3 * SECOND)
    assert pair.did == ["ready", "shut"]


@pytest.mark.parametrize(("why", "after"), [("discovery is down", 2 * SECOND), ("stopping", 0), ("gone", 0)])
def test_it_does_not_wait_for_ever(tmp_path: Path, why: str, after: int) -> None:
    pair = Pair(tmp_path)
    heir = pair.ask()
    if why == "stopping":
        pair.elder.tell("stopping")
    elif why == "gone":
        heir.connection_lost(pair.new.now)
    pair.run(after - 100_000 if after else 0)
    assert pair.did == ([] if after else ["ready"])
    pair.run(200_000)
    assert pair.did == ["ready"]


def test_one_that_asks_amid_a_stop_serves_at_once(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    pair.old.node.start_graceful_shutdown(pair.old.now)
    pair.ask()
    assert pair.did == ["ready"]


def test_the_old_one_takes_clients_again_if_its_successor_dies(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    heir = pair.ask()
    heir.say("serving")
    (asker,) = pair.elder.asking
    asker.connection_lost(pair.old.now)
    assert pair.did == ["shut", "open"] and not pair.old.node.has_successor and not pair.elder.asking
    pair.ask().say("serving")
    assert pair.did == ["shut", "open", "shut"]


def test_one_that_only_asked_and_left_changes_nothing(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    first, second = pair.ask(), pair.ask()
    second.say("serving")
    first.say("serving")
    assert pair.did == ["shut"], "one successor at a time"
    pair.elder.asking[0].connection_lost(pair.old.now)
    assert pair.did == ["shut"] and pair.old.node.has_successor


def test_a_hello_tells_list_ids_and_what_is_held(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    entries = [host("s-1") | {"startedAtMs": 7}, host("s-2", lifecycle="leaving")]
    pair.old.node.endpoints_received(parse_endpoints(hosts(*entries)), pair.old.now)
    pair.old.served()
    hello = parse_handover_state(pair.elder.hello())
    assert hello.hosts == parse_endpoints(hosts(*entries))
    assert hello.holds == (2, {"s-1": 1}) and len(hello.ids) == 1


@pytest.mark.parametrize("line", [b"", b"{}", b"[]", b'{"hosts": 1}', b"\xff", b"[" * 100_000])
def test_a_hello_that_cannot_be_read_is_an_error_of_its_own(line: bytes) -> None:
    with pytest.raises(EndpointListError):
        parse_handover_state(line)


@pytest.mark.parametrize("words", [b"holds x\n", b"holds {}\n", b"taken zz\n", b"what\n", b"\xff\n\n"])
def test_words_that_cannot_be_read_are_passed_over(tmp_path: Path, words: bytes) -> None:
    pair = Pair(tmp_path)
    heir = pair.ask()
    heir.data_received(words, pair.new.now)
    (asker,) = pair.elder.asking
    asker.data_received(words, pair.old.now)
    assert pair.did == []


def test_an_id_that_is_at_the_old_one_is_refused_at_the_new_one(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    pair.old.served()
    pair.ask()
    pair.old.served()
    for _ in range(2):
        _, link = pair.new.client()
        assert link.sent == b"ERR\r\n"
    _, link = pair.new.client()
    assert not link.sent


def test_both_together_keep_to_one_room_and_one_count(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    heard = events(pair.new)
    standing = [pair.old.served() for _ in range(5)]
    room = pair.new.node.admission.room
    heir = pair.ask()
    assert pair.new.node.admission.room == room - 10
    heir.say("serving")
    for session, _, _ in standing:
        session.connection_lost(pair.old.now)
    pair.run(SECOND // 5)
    assert pair.new.node.admission.room == room
    counts = {e.server: e.many for e in heard if isinstance(e, PredecessorConnections)}
    assert counts and set(counts.values()) == {0}
    assert max(e.many for e in heard if isinstance(e, PredecessorConnections)) >= 2


def test_what_the_old_one_holds_counts_in_the_draw(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    pair.ask()
    server = pair.new.node.upstreams.by_name["s-1"].number
    pair.new.node.dispatch(PredecessorConnections(server, 5), pair.new.now)
    for _ in range(4):
        pair.new.served()
    assert {dial.machine.owner.upstream.name for dial in pair.new.attempts()} == {"s-2"}


def test_after_a_stop_with_a_successor_nobody_is_refused_and_moves_take_all_the_time(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    here = pair.old
    standing = [here.served()[1] for _ in range(30)]
    _, waiting = here.client()
    (attempt,) = (d for d in here.attempts() if not d.machine.sent)
    quiet, late = here.connect()
    pair.ask().say("serving")
    here.node.start_graceful_shutdown(here.now)
    attempt.accept(here.now)
    attempt.machine.data_received(b"UP 7\r\n", here.now)
    quiet.data_received(LINE.replace("9b", "77").encode() + b"\r\n", here.now)
    assert not late.sent and not here.attempts()[-1].machine.sent, "it is tried like any other"
    seen = []
    for _ in range(
        12
    ):  # SIGKILL comes 2.7 s after the signal at the earliest, and 0.7 s before it all is done
        here.run(SECOND // 6)
        seen.append(sum(link.sent.endswith(b"MOVE\r\n") for link in standing))
    assert waiting.sent == b"UP 7\r\nMOVE\r\n"
    assert seen[-1] == 30 and max(b - a for a, b in zip([0, *seen], seen, strict=False)) <= 5, seen


async def a_successor_serves_and_nobody_is_turned_away(here: Loopback) -> None:
    async with here.process() as old:
        standing = await here.up()
        assert await here.call(old, "maint-on s-2") == "done"
        async with here.process() as new:
            await new.says("listening on")
            assert await here.call(new, "status") == "done"
            old.signal(signal.SIGTERM)
            assert (await here.call(old, "status")).startswith("error")
            fresh = await here.up()
            assert await standing.line() == "MOVE"
            assert await old.ended() == 0
            fresh.say("M 1")
            assert await fresh.line() == "M 1"
            assert "app.out_of_rotation:1|g" in await here.answer(new, "stats")
            assert await here.call(new, "maint-off s-2") == "done"
            async with here.process() as third:  # the name in the folder is the new one's by now
                await third.says("listening on")
                new.signal(signal.SIGTERM)
                assert await fresh.line() == "MOVE"
                assert await new.ended() == 0
                await here.up()
                assert "app.out_of_rotation:0|g" in await here.answer(third, "stats")


async def the_old_one_takes_clients_again_where_the_new_one_dies(here: Loopback) -> None:
    async with here.process() as old:
        standing = await here.up()
        async with here.process() as new:
            await new.says("listening on")
            new.signal(signal.SIGKILL)
            await new.ended()
        await old.says("listening on")
        assert await here.call(old, "status") == "done"
        standing.say("M 1")
        assert await standing.line() == "M 1"
        await here.up()
        async with here.process() as new:
            await new.says("listening on")
            await here.up()


async def a_stop_before_the_new_one_is_ready_hands_over_at_once(here: Loopback) -> None:
    async with here.process() as old:
        standing = await here.up()
        # discovery is not there: the new one would wait for its word
        async with here.process(discovery="127.0.0.1:9") as new:
            await old.says("another process has asked to take over")
            old.signal(signal.SIGTERM)
            await new.says("listening on")
            await old.says("another process takes the clients")
            fresh = await here.up()
            assert await standing.line() == "MOVE"
            assert await old.ended() == 0
            fresh.say("M 1")
            assert await fresh.line() == "M 1"


async def a_new_one_stopped_before_it_is_ready_leaves_the_old_one_as_it_was(here: Loopback) -> None:
    async with here.process() as old:
        async with here.process(discovery="127.0.0.1:9") as new:
            await old.says("another process has asked to take over")
            new.signal(signal.SIGTERM)
            assert await new.ended() in (0, -signal.SIGTERM)
        assert await here.call(old, "status") == "done"
        await here.up()


async def a_successor_asks_discovery_where_sighup_had_it_asked(here: Loopback) -> None:
    here.environment["PROXY_DISCOVERY"] = "127.0.0.1:9"
    async with here.process() as old:
        old.signal(signal.SIGHUP)
        await old.says("config: read again")
        async with here.process() as new:
            await new.says("listening on")
            assert len(here.watches) == 2, "the file's, as the old one"


async def one_that_fails_to_start_leaves_the_old_one_as_it_was(here: Loopback) -> None:
    async with here.process() as old:
        async with here.process(console="{}:{}".format(*old.console)) as new:
            assert await new.ended() == 2
        assert await here.call(old, "status") == "done"
        await here.up()


async def stale_files_are_passed_over(here: Loopback) -> None:
    async with here.process() as old:
        old.signal(signal.SIGKILL)
        await old.ended()
    async with here.process() as new:
        await new.says("listening on")
        await here.up()
        async with here.process() as newer:
            await newer.says("listening on")
            new.signal(signal.SIGTERM)
            assert await new.ended() == 0


STORIES = [
    a_successor_serves_and_nobody_is_turned_away,
    the_old_one_takes_clients_again_where_the_new_one_dies,
    one_that_fails_to_start_leaves_the_old_one_as_it_was,
    a_successor_asks_discovery_where_sighup_had_it_asked,
    a_stop_before_the_new_one_is_ready_hands_over_at_once,
    a_new_one_stopped_before_it_is_ready_leaves_the_old_one_as_it_was,
    stale_files_are_passed_over,
]


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_two_processes(story: Callable[[Loopback], Awaitable[None]], tmp_path: Path) -> None:
    uvloop.run(asyncio.wait_for(story(Loopback(tmp_path)), 60))


OTHERS = {
    "a tier of another size": {"settings": settings() | {"balancers": 180}},
    "another number in its tier": {"settings": settings() | {"me": 3}},
    "other peers": {"peers": ["127.0.0.1:7946"]},
    "another name": {"name": "n1"},
    "other tenants": {"settings": settings() | {"customers": [{"name": "cord"}]}},
}


def state(folder: Path, **given: object) -> str | None:
    """The folder in which a node so configured looks for the process before it."""
    return load_config(
        configuration(folder, listen="127.0.0.1:8081", **given) | {"TMPDIR": str(folder)}
    ).state


@pytest.mark.parametrize("given", OTHERS.values(), ids=OTHERS.keys())
def test_nothing_is_taken_over_from_a_node_of_another_deployment(
    given: dict[str, object], tmp_path: Path
) -> None:
    """Fleet days side by side: all have an n0 at one address. One ended with 0, and no signal was seen."""
    assert state(tmp_path) != state(tmp_path, **given)


def test_a_successor_with_a_newer_configuration_is_the_same_node(tmp_path: Path) -> None:
    news = {"seed": "1", "discovery": "127.0.0.1:10", "known": hosts(host("s-9")), "console": "127.0.0.1:11"}
    assert state(tmp_path) == state(tmp_path, **news)
