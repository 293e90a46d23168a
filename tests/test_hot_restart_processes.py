"""Hot restart tests with real processes of a node on loopback."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from harness.configurations import configuration, host, hosts, settings
from limerudder.config import load_config
from tests.loopback_testbed import LoopbackTestbed


async def a_successor_serves_and_no_client_is_rejected(testbed: LoopbackTestbed) -> None:
    async with testbed.node_process() as old:
        established = await testbed.establish_echo_client()
        assert await testbed.call_console(old, "maint-on s-2") == "done"
        async with testbed.node_process() as new:
            await new.wait_for_log("listening on")
            assert await testbed.call_console(new, "status") == "done"
            old.send_signal(signal.SIGTERM)
            assert (await testbed.call_console(old, "status")).startswith("error")
            new_client = await testbed.establish_echo_client()
            assert await established.read_line() == "MOVE"
            assert await old.wait_for_exit() == 0
            new_client.send_lines("M 1")
            assert await new_client.read_line() == "M 1"
            assert "app.out_of_rotation:1|g" in await testbed.read_console(new, "stats")
            assert await testbed.call_console(new, "maint-off s-2") == "done"
            async with testbed.node_process() as third:  # by now the second process owns the socket files
                await third.wait_for_log("listening on")
                new.send_signal(signal.SIGTERM)
                assert await new_client.read_line() == "MOVE"
                assert await new.wait_for_exit() == 0
                await testbed.establish_echo_client()
                assert "app.out_of_rotation:0|g" in await testbed.read_console(third, "stats")


async def the_parent_accepts_clients_again_if_the_successor_dies(testbed: LoopbackTestbed) -> None:
    async with testbed.node_process() as old:
        established = await testbed.establish_echo_client()
        async with testbed.node_process() as new:
            await new.wait_for_log("listening on")
            new.send_signal(signal.SIGKILL)
            await new.wait_for_exit()
        await old.wait_for_log("listening on")
        assert await testbed.call_console(old, "status") == "done"
        established.send_lines("M 1")
        assert await established.read_line() == "M 1"
        await testbed.establish_echo_client()
        async with testbed.node_process() as new:
            await new.wait_for_log("listening on")
            await testbed.establish_echo_client()


async def a_stop_before_the_successor_is_ready_hands_over_at_once(testbed: LoopbackTestbed) -> None:
    async with testbed.node_process() as old:
        established = await testbed.establish_echo_client()
        # discovery is unreachable, so the successor would wait for its list
        async with testbed.node_process(discovery="127.0.0.1:9") as new:
            await old.wait_for_log("another process has asked to take over")
            old.send_signal(signal.SIGTERM)
            await new.wait_for_log("listening on")
            await old.wait_for_log("another process accepts clients")
            new_client = await testbed.establish_echo_client()
            assert await established.read_line() == "MOVE"
            assert await old.wait_for_exit() == 0
            new_client.send_lines("M 1")
            assert await new_client.read_line() == "M 1"


async def a_successor_stopped_before_it_is_ready_leaves_its_parent_as_it_was(
    testbed: LoopbackTestbed,
) -> None:
    async with testbed.node_process() as old:
        async with testbed.node_process(discovery="127.0.0.1:9") as new:
            await old.wait_for_log("another process has asked to take over")
            new.send_signal(signal.SIGTERM)
            assert await new.wait_for_exit() in (0, -signal.SIGTERM)
        assert await testbed.call_console(old, "status") == "done"
        await testbed.establish_echo_client()


async def a_successor_uses_the_discovery_address_that_sighup_has_loaded(testbed: LoopbackTestbed) -> None:
    testbed.environment["PROXY_DISCOVERY"] = "127.0.0.1:9"
    async with testbed.node_process() as old:
        old.send_signal(signal.SIGHUP)
        await old.wait_for_log("config: reloaded")
        async with testbed.node_process() as new:
            await new.wait_for_log("listening on")
            assert len(testbed.watches) == 2, "the successor uses the address in the file, like its parent"


async def a_successor_that_fails_to_start_leaves_its_parent_as_it_was(testbed: LoopbackTestbed) -> None:
    async with testbed.node_process() as old:
        async with testbed.node_process(console="{}:{}".format(*old.console)) as new:
            assert await new.wait_for_exit() == 2
        assert await testbed.call_console(old, "status") == "done"
        await testbed.establish_echo_client()


async def stale_socket_files_are_ignored(testbed: LoopbackTestbed) -> None:
    async with testbed.node_process() as old:
        old.send_signal(signal.SIGKILL)
        await old.wait_for_exit()
    async with testbed.node_process() as new:
        await new.wait_for_log("listening on")
        await testbed.establish_echo_client()
        async with testbed.node_process() as newer:
            await newer.wait_for_log("listening on")
            new.send_signal(signal.SIGTERM)
            assert await new.wait_for_exit() == 0


SCENARIOS = [
    a_successor_serves_and_no_client_is_rejected,
    the_parent_accepts_clients_again_if_the_successor_dies,
    a_successor_that_fails_to_start_leaves_its_parent_as_it_was,
    a_successor_uses_the_discovery_address_that_sighup_has_loaded,
    a_stop_before_the_successor_is_ready_hands_over_at_once,
    a_successor_stopped_before_it_is_ready_leaves_its_parent_as_it_was,
    stale_socket_files_are_ignored,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_two_processes(scenario: Callable[[LoopbackTestbed], Awaitable[None]], tmp_path: Path) -> None:
    uvloop.run(asyncio.wait_for(scenario(LoopbackTestbed(tmp_path)), 60))


OTHER_DEPLOYMENTS = {
    "a tier of another size": {"settings": settings() | {"balancers": 180}},
    "another number in its tier": {"settings": settings() | {"me": 3}},
    "other peers": {"peers": ["127.0.0.1:7946"]},
    "another name": {"name": "n1"},
    "other tenants": {"settings": settings() | {"customers": [{"name": "cord"}]}},
}


def state_directory(folder: Path, **changes: object) -> str | None:
    """Return the directory in which a node with this configuration looks for its parent process."""
    environment = configuration(folder, listen="127.0.0.1:8081", **changes)
    return load_config({**environment, "TMPDIR": str(folder)}).state


@pytest.mark.parametrize("changes", OTHER_DEPLOYMENTS.values(), ids=OTHER_DEPLOYMENTS.keys())
def test_a_node_does_not_take_over_from_a_node_of_another_deployment(
    changes: dict[str, object], tmp_path: Path
) -> None:
    """Several deployments on one machine may each have a node n0 with the same address."""
    assert state_directory(tmp_path) != state_directory(tmp_path, **changes)


def test_a_successor_with_a_newer_configuration_is_the_same_node(tmp_path: Path) -> None:
    changes = {
        "seed": "1",
        "discovery": "127.0.0.1:10",
        "known": hosts(host("s-9")),
        "console": "127.0.0.1:11",
    }
    assert state_directory(tmp_path) == state_directory(tmp_path, **changes)
