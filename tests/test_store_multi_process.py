"""Real node processes with the store: killed in overlapping order, replaced, and told things by one alone."""

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


def run_scenario(
    scenario: Callable[[MultiProcessTier], Awaitable[None]], folder: Path, nodes: int = 4
) -> None:
    async def run() -> None:
        tier = MultiProcessTier(folder, nodes)
        try:
            await asyncio.wait_for(scenario(tier), 120)
        finally:
            await tier.close()

    uvloop.run(run())


Rows = dict[str, dict[str, object]]  #: what a node knows of hosts, by host


def is_held(rows: Rows) -> bool:
    return bool(rows.get("h1", {}).get("held"))


async def wait_until_all_nodes(
    tier: MultiProcessTier, condition: Callable[[Rows], bool], description: str
) -> None:
    """Until all nodes say so of their hosts."""
    for node in tier.nodes:
        end = time.monotonic() + 20
        while True:
            answer = await node.call_store("hosts")
            if answer["ok"] and condition({row["host"]: row for row in answer["hosts"]}):
                break
            assert time.monotonic() < end, f"{node.name} never knew: {description}; {answer}"
            await asyncio.sleep(0.01)


def test_four_nodes_killed_in_overlapping_order_remember_drains_and_lose_nothing(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        tier.discovery.entries["h0"]["lifecycle"] = "leaving"
        tier.discovery.publish(only=1)  # one node alone hears it
        assert await tier.nodes[2].call_console("maint-on h1") == "done"
        await wait_until_all_nodes(tier, lambda rows: "h0" in rows and is_held(rows), "h0 and h1")
        tier.discovery.entries["h0"]["lifecycle"] = "active"  # the same start: discovery's stale word
        tier.discovery.publish()
        since = time.monotonic()
        tier.start_clients(12)
        acknowledged: dict[str, int] = {}

        async def write() -> None:
            for n in range(10_000):
                answer = await tier.nodes[n % 4].call_store("put", 1.0, key=f"kv/{n}", value="x")
                if answer["ok"]:
                    acknowledged[f"kv/{n}"] = answer["revision"]
                await asyncio.sleep(0.01)

        writing = asyncio.create_task(write())
        # how many writes fit between the kills depends on the machine's pace, so some are waited for
        await wait_until(lambda: len(acknowledged) > 5, "writes are acknowledged")
        await overlapping_kills(tier, [2, 0, 3, 1], gap_seconds=0.2, down_seconds=0.5)
        await tier.wait_until_settled()
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        await tier.wait_until_settled()
        before = tier.answer_counts["UP"]
        await wait_until(lambda: tier.answer_counts["UP"] > before + 20, "clients are served again")
        for node in tier.nodes:
            answer = await node.call_store("get", prefix="kv/", stale=True)
            revisions = {item["key"]: item["modified"] for item in answer["items"]}
            found = {key: revisions.get(key) for key in acknowledged}
            assert found == acknowledged, f"{node.name} lost an acknowledged write"
        assert tier.violations == []
        assert (tier.count_requests_since("h0", since), tier.count_requests_since("h1", since)) == (0, 0)
        assert sum(tier.count_requests_since(name, since) for name in ("h2", "h3", "h4")) > 20
        assert await tier.nodes[0].call_console("maint-off h1") == "done"
        tier.discovery.entries["h0"]["startedAtMs"] = 1000  # a newer start
        tier.discovery.publish()
        await wait_until(
            lambda: tier.count_requests_since("h0", since) and tier.count_requests_since("h1", since),
            "both are back",
        )

    run_scenario(scenario, tmp_path)


def test_without_a_store_the_same_drain_is_forgotten(tmp_path: Path) -> None:
    """So the scenario above can fail."""

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
            await wait_until(lambda: tier.count_requests_since("h0", since), "the drained host gets new work")
        finally:
            await tier.close()

    uvloop.run(asyncio.wait_for(run(), 60))


def test_settings_take_effect_in_service_and_at_one_revision_everywhere(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        answer = await tier.nodes[1].call_store("put", key="config/log", value='{"format":"json","lines":50}')
        assert answer["ok"]
        log_text = f"store: config/log of revision {answer['revision']} applied"
        for node in tier.nodes:
            await wait_until(lambda node=node: any(log_text in line for line in node.lines), log_text)  # type: ignore[misc]
            line_found = next(line for line in node.lines if log_text in line)
            assert json.loads(line_found)["event"] == "store.config", "by then it is JSON"
        await tier.nodes[3].kill()
        await tier.nodes[3].start()
        again = [line for line in tier.nodes[3].lines if log_text in line]
        assert len(again) == 2, "a restarted node has it from its own disk"

    run_scenario(scenario, tmp_path)


def test_a_node_serves_without_a_quorum_and_keeps_what_it_hears_then(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        alone = tier.nodes[0]
        for node in tier.nodes[1:]:
            await node.kill()
        tier.start_clients(4)
        assert await alone.call_console("maint-on h1") == "done", "durable here, quorum or not"
        assert (await alone.call_store("put", 0.5, key="kv/a", value="1"))["kind"] in ("not_now", "unsure")
        await alone.kill()
        await alone.start()
        since = time.monotonic()
        assert (await alone.call_store("hosts"))["hosts"][0]["held"]
        before = tier.answer_counts["UP"]
        await wait_until(lambda: tier.answer_counts["UP"] > before + 10, "it serves alone, from its own disk")
        assert tier.count_requests_since("h1", since) == 0
        for node in tier.nodes[1:]:
            await node.start()
        await tier.wait_until_settled()
        await wait_until_all_nodes(tier, is_held, "what one heard alone")
        assert tier.violations == []

    run_scenario(scenario, tmp_path)


def test_a_successor_takes_the_store_over_and_knows_drains_all_along(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        old = tier.nodes[0]
        tier.discovery.entries["h0"]["lifecycle"] = "leaving"
        tier.discovery.publish()
        await wait_until_all_nodes(tier, lambda rows: "h0" in rows, "h0")
        tier.discovery.entries["h0"]["lifecycle"] = "active"
        tier.discovery.publish()
        since = time.monotonic()
        tier.start_clients(8)
        old_process, reading = old.process, old.reading
        old.console = f"127.0.0.1:{free_ports(1)[0]}"
        old.environment["PROXY_CONSOLE"] = old.console
        await old.start()  # beside the old process: the same files and TMPDIR
        assert old_process and old_process.returncode is None and reading
        old_process.terminate()
        await old_process.wait()
        await wait_until(lambda: (old.store / "control").exists(), "the new process has the store")
        await tier.wait_until_settled()
        assert tier.count_requests_since("h0", since) == 0 and tier.violations == []
        assert (await old.call_store("status"))["start"] == 2

    run_scenario(scenario, tmp_path, nodes=3)


def test_a_node_whose_old_process_hangs_serves_and_has_the_store_after_it(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        await tier.wait_until_settled()
        one = tier.nodes[0]
        hangs, reading = one.process, one.reading
        assert hangs and reading
        hangs.send_signal(signal.SIGSTOP)
        one.console = f"127.0.0.1:{free_ports(1)[0]}"
        one.environment["PROXY_CONSOLE"] = one.console
        await one.start()
        assert any("runs without it until that one has exited" in line for line in one.lines)
        assert await one.call_console("maint-on h1") == "done"
        hangs.kill()
        await hangs.wait()
        await wait_until_all_nodes(tier, is_held, "the hold of meanwhile")
        await tier.wait_until_settled()

    run_scenario(scenario, tmp_path, nodes=3)


def test_a_folder_of_another_member_stops_a_node_at_its_start(tmp_path: Path) -> None:
    async def scenario(tier: MultiProcessTier) -> None:
        await tier.start()
        one, other = tier.nodes[0], tier.nodes[1]
        await one.kill()
        await other.kill()
        file: Path = one.folder / "limerudder.cue"
        file.write_text(file.read_text().replace("/n0", "/n1"))
        await NodeProcess.start(one)
        assert one.process and await one.process.wait() == 2
        assert any("is the folder of n1; this node is n0" in line for line in one.lines)

    run_scenario(scenario, tmp_path, nodes=2)
