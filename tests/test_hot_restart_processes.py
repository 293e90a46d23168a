"""Hot restart: real processes of a node on loopback."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from harness.configurations import configuration, host, hosts, settings
from limerudder.config import load_config
from tests.scripted_peers import Loopback


async def a_successor_serves_and_no_client_is_rejected(here: Loopback) -> None:
    async with here.process() as old:
        established = await here.up()
        assert await here.call(old, "maint-on s-2") == "done"
        async with here.process() as new:
            await new.says("listening on")
            assert await here.call(new, "status") == "done"
            old.signal(signal.SIGTERM)
            assert (await here.call(old, "status")).startswith("error")
            fresh = await here.up()
            assert await established.line() == "MOVE"
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


async def the_parent_accepts_clients_again_where_the_successor_dies(here: Loopback) -> None:
    async with here.process() as old:
        established = await here.up()
        async with here.process() as new:
            await new.says("listening on")
            new.signal(signal.SIGKILL)
            await new.ended()
        await old.says("listening on")
        assert await here.call(old, "status") == "done"
        established.say("M 1")
        assert await established.line() == "M 1"
        await here.up()
        async with here.process() as new:
            await new.says("listening on")
            await here.up()


async def a_stop_before_the_successor_is_ready_hands_over_at_once(here: Loopback) -> None:
    async with here.process() as old:
        established = await here.up()
        # discovery is not there: the new one would wait for its word
        async with here.process(discovery="127.0.0.1:9") as new:
            await old.says("another process has asked to take over")
            old.signal(signal.SIGTERM)
            await new.says("listening on")
            await old.says("another process accepts clients")
            fresh = await here.up()
            assert await established.line() == "MOVE"
            assert await old.ended() == 0
            fresh.say("M 1")
            assert await fresh.line() == "M 1"


async def a_successor_stopped_before_it_is_ready_leaves_its_parent_as_it_was(here: Loopback) -> None:
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
        await old.says("config: reloaded")
        async with here.process() as new:
            await new.says("listening on")
            assert len(here.watches) == 2, "the file's, as the parent"


async def a_successor_that_fails_to_start_leaves_its_parent_as_it_was(here: Loopback) -> None:
    async with here.process() as old:
        async with here.process(console="{}:{}".format(*old.console)) as new:
            assert await new.ended() == 2
        assert await here.call(old, "status") == "done"
        await here.up()


async def stale_socket_files_are_ignored(here: Loopback) -> None:
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


SCENARIOS = [
    a_successor_serves_and_no_client_is_rejected,
    the_parent_accepts_clients_again_where_the_successor_dies,
    a_successor_that_fails_to_start_leaves_its_parent_as_it_was,
    a_successor_asks_discovery_where_sighup_had_it_asked,
    a_stop_before_the_successor_is_ready_hands_over_at_once,
    a_successor_stopped_before_it_is_ready_leaves_its_parent_as_it_was,
    stale_socket_files_are_ignored,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_two_processes(scenario: Callable[[Loopback], Awaitable[None]], tmp_path: Path) -> None:
    uvloop.run(asyncio.wait_for(scenario(Loopback(tmp_path)), 60))


OTHER_DEPLOYMENTS = {
    "a tier of another size": {"settings": settings() | {"balancers": 180}},
    "another number in its tier": {"settings": settings() | {"me": 3}},
    "other peers": {"peers": ["127.0.0.1:7946"]},
    "another name": {"name": "n1"},
    "other tenants": {"settings": settings() | {"customers": [{"name": "cord"}]}},
}


def state_directory(folder: Path, **given: object) -> str | None:
    """The directory in which a node so configured looks for its parent process."""
    return load_config(
        configuration(folder, listen="127.0.0.1:8081", **given) | {"TMPDIR": str(folder)}
    ).state


@pytest.mark.parametrize("given", OTHER_DEPLOYMENTS.values(), ids=OTHER_DEPLOYMENTS.keys())
def test_nothing_is_taken_over_from_a_node_of_another_deployment(
    given: dict[str, object], tmp_path: Path
) -> None:
    """Fleet days side by side: all have an n0 at one address. One ended with 0, and no signal was seen."""
    assert state_directory(tmp_path) != state_directory(tmp_path, **given)


def test_a_successor_with_a_newer_configuration_is_the_same_node(tmp_path: Path) -> None:
    changes = {
        "seed": "1",
        "discovery": "127.0.0.1:10",
        "known": hosts(host("s-9")),
        "console": "127.0.0.1:11",
    }
    assert state_directory(tmp_path) == state_directory(tmp_path, **changes)
