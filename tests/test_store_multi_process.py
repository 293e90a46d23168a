"""Node processes with the store: overlapping kills, hot restarts, and changes made through one node."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from harness.multi_process import MultiProcessTier, overlapping_kills, wait_until
from harness.node_process import NodeProcess, free_ports

SCENARIO_TIMEOUT_SECONDS = 120

Rows = dict[str, dict[str, object]]  #: A node's records of hosts, by host


def run_scenario(
    scenario: Callable[[MultiProcessTier], Awaitable[None]], folder: Path, nodes: int = 4
) -> None:
    async def run() -> None:
        tier = MultiProcessTier(folder, nodes)
        try:
            await asyncio.wait_for(scenario(tier), SCENARIO_TIMEOUT_SECONDS)
        finally:
            await tier.close()

    uvloop.run(run())


def is_held(rows: Rows) -> bool:
    return bool(rows.get("h1", {}).get("held"))


async def wait_until_all_nodes(
    tier: MultiProcessTier, condition: Callable[[Rows], bool], description: str
) -> None:
    """Wait until each node's records of hosts meet the condition."""
    for node in tier.nodes:
        deadline = time.monotonic() + 20
        while True:
            answer = await node.call_store("hosts")
            if answer["ok"] and condition({row["host"]: row for row in answer["hosts"]}):
                break
            assert time.monotonic() < deadline, f"{node.name} never recorded {description}: {answer}"
            await asyncio.sleep(0.01)


async def drain_two_hosts(tier: MultiProcessTier) -> None:
    """Drain h0 and set a hold on h1, each through a single node; then discovery lists h0 as active again."""
    tier.discovery.entries["h0"]["lifecycle"] = "leaving"
    tier.discovery.publish(only=1)  # Sent to one node only
    assert await tier.nodes[2].call_console("maint-on h1") == "done"
    await wait_until_all_nodes(tier, lambda rows: "h0" in rows and is_held(rows), "h0 and h1")
    tier.discovery.entries["h0"]["lifecycle"] = "active"  # A stale entry of the same start
    tier.discovery.publish()


async def write_continuously(tier: MultiProcessTier, acknowledged: dict[str, int]) -> None:
    """Write through all nodes in turn; record the revisions of acknowledged writes by key."""
    for n in range(10_000):
        answer = await tier.nodes[n % 4].call_store("put", 1.0, key=f"kv/{n}", value="x")
        if answer["ok"]:
            acknowledged[f"kv/{n}"] = answer["revision"]
        await asyncio.sleep(0.01)


async def kill_nodes_amid_writes(tier: MultiProcessTier) -> dict[str, int]:
    """Kill the nodes in overlapping order; return the revisions of writes acknowledged by then."""
    acknowledged: dict[str, int] = {}
    writing = asyncio.create_task(write_continuously(tier, acknowledged))
    # The number of writes between the kills depends on the machine's speed, so wait for a minimum
    await wait_until(lambda: len(acknowledged) > 5, "writes are acknowledged")
    await overlapping_kills(tier, [2, 0, 3, 1], gap_seconds=0.2, down_seconds=0.5)
    await tier.wait_until_settled()
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    await tier.wait_until_settled()
    return acknowledged


async def check_writes_are_kept(tier: MultiProcessTier, acknowledged: dict[str, int]) -> None:
    for node in tier.nodes:
        answer = await node.call_store("get", prefix="kv/", stale=True)
        revisions = {item["key"]: item["modified"] for item in answer["items"]}
        found = {key: revisions.get(key) for key in acknowledged}
        assert found == acknowledged, f"{node.name} lost an acknowledged write"


def test_overlapping_kills_of_four_nodes_lose_no_drains_or_acknowledged_writes(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        await drain_two_hosts(tier)
        since = time.monotonic()
        tier.start_clients(12)
        acknowledged = await kill_nodes_amid_writes(tier)
        answered = tier.answer_counts["UP"]
        await wait_until(lambda: tier.answer_counts["UP"] > answered + 20, "clients are served again")
        await check_writes_are_kept(tier, acknowledged)
        assert tier.violations == []
        assert (tier.count_requests_since("h0", since), tier.count_requests_since("h1", since)) == (0, 0)
        assert sum(tier.count_requests_since(name, since) for name in ("h2", "h3", "h4")) > 20
        assert await tier.nodes[0].call_console("maint-off h1") == "done"
        tier.discovery.entries["h0"]["startedAtMs"] = 1000  # A newer start
        tier.discovery.publish()
        await wait_until(
            lambda: tier.count_requests_since("h0", since) and tier.count_requests_since("h1", since),
            "both hosts receive requests again",
        )

    run_scenario(scenario, tmp_path)


def test_without_a_store_the_same_drain_is_forgotten(tmp_path: Path) -> None:
    """Shows that the scenario above can fail: without the store, the host receives requests again."""

    async def run() -> None:
        tier = MultiProcessTier(tmp_path, 1, with_store=False)
        try:
            await tier.start()
            tier.discovery.entries["h0"]["lifecycle"] = "leaving"
            tier.discovery.publish()
            tier.discovery.entries["h0"]["lifecycle"] = "active"
            tier.discovery.publish()
            since = time.monotonic()
            tier.start_clients(6)
            await wait_until(lambda: tier.count_requests_since("h0", since), "h0 receives requests again")
        finally:
            await tier.close()

    uvloop.run(asyncio.wait_for(run(), 60))


def test_settings_are_applied_to_running_nodes_at_the_same_revision(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        answer = await tier.nodes[1].call_store("put", key="config/log", value='{"format":"json","lines":50}')
        assert answer["ok"]
        log_text = f"store: config/log of revision {answer['revision']} applied"
        for node in tier.nodes:
            await wait_until(lambda node=node: any(log_text in line for line in node.lines), log_text)  # type: ignore[misc]
            line_found = next(line for line in node.lines if log_text in line)
            assert json.loads(line_found)["event"] == "store.config", "the line must be JSON already"
        await tier.nodes[3].kill()
        await tier.nodes[3].start()
        applied_lines = [line for line in tier.nodes[3].lines if log_text in line]
        assert len(applied_lines) == 2, "a restarted node must apply the setting from its disk"

    run_scenario(scenario, tmp_path)


def test_a_node_serves_without_a_quorum_and_keeps_the_holds_recorded_then(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        surviving_node = tier.nodes[0]
        for node in tier.nodes[1:]:
            await node.kill()
        tier.start_clients(4)
        assert (
            await surviving_node.call_console("maint-on h1") == "done"
        ), "the hold must be durable without a quorum"
        put = await surviving_node.call_store("put", 0.5, key="kv/a", value="1")
        assert put["kind"] in ("not_now", "unsure")
        await surviving_node.kill()
        await surviving_node.start()
        since = time.monotonic()
        assert (await surviving_node.call_store("hosts"))["hosts"][0]["held"]
        answered = tier.answer_counts["UP"]
        await wait_until(
            lambda: tier.answer_counts["UP"] > answered + 10, "clients are served without a quorum"
        )
        assert tier.count_requests_since("h1", since) == 0
        for node in tier.nodes[1:]:
            await node.start()
        await tier.wait_until_settled()
        await wait_until_all_nodes(tier, is_held, "the hold set without a quorum")
        assert tier.violations == []

    run_scenario(scenario, tmp_path)


async def start_beside_running_process(node: NodeProcess) -> None:
    """Start a second process of the node with a separate console and the same files and TMPDIR."""
    node.console = f"127.0.0.1:{free_ports(1)[0]}"
    node.environment["PROXY_CONSOLE"] = node.console
    await node.start()


def test_a_successor_opens_the_store_and_never_loses_drains(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        node = tier.nodes[0]
        tier.discovery.entries["h0"]["lifecycle"] = "leaving"
        tier.discovery.publish()
        await wait_until_all_nodes(tier, lambda rows: "h0" in rows, "h0")
        tier.discovery.entries["h0"]["lifecycle"] = "active"
        tier.discovery.publish()
        since = time.monotonic()
        tier.start_clients(8)
        old_process = node.process
        old_log_reader = node.reading  # A reference protects the task from garbage collection
        await start_beside_running_process(node)
        assert old_process and old_process.returncode is None and old_log_reader
        old_process.terminate()
        await old_process.wait()
        await wait_until(lambda: (node.store / "control").exists(), "the new process opens the store")
        await tier.wait_until_settled()
        assert tier.count_requests_since("h0", since) == 0
        assert tier.violations == []
        assert (await node.call_store("status"))["start"] == 2

    run_scenario(scenario, tmp_path, nodes=3)


def test_a_node_serves_while_its_old_process_hangs_and_then_opens_the_store(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        node = tier.nodes[0]
        hung_process = node.process
        old_log_reader = node.reading  # A reference protects the task from garbage collection
        assert hung_process and old_log_reader
        hung_process.send_signal(signal.SIGSTOP)
        await start_beside_running_process(node)
        assert any("runs without it until that one has exited" in line for line in node.lines)
        assert await node.call_console("maint-on h1") == "done"
        hung_process.kill()
        await hung_process.wait()
        await wait_until_all_nodes(tier, is_held, "the hold set while the old process hung")
        await tier.wait_until_settled()

    run_scenario(scenario, tmp_path, nodes=3)


def test_a_data_directory_of_another_member_prevents_the_start(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        node = tier.nodes[0]
        await node.kill()
        await tier.nodes[1].kill()
        operator_file: Path = node.folder / "limerudder.cue"
        operator_file.write_text(operator_file.read_text().replace("/n0", "/n1"))
        await NodeProcess.start(node)
        assert node.process and await node.process.wait() == 2
        assert any("is the folder of n1; this node is n0" in line for line in node.lines)

    run_scenario(scenario, tmp_path, nodes=2)
