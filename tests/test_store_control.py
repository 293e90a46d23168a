"""The control socket: answers and errors of the calls, malformed input, watches, and the commands."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop
from click.testing import CliRunner

from limerudder.cli import main
from limerudder.exit_codes import ExitCode
from limerudder.net.clock import Clock
from limerudder.schema import StoreSettings
from limerudder.store.control import ControlServer
from limerudder.store.data_directory import init_cluster
from limerudder.store.store import Store

SCENARIO_TIMEOUT_SECONDS = 60
LIMITS = {"election": 50_000, "heartbeat": 10_000, "history": 100}


class InProcessCluster:
    """One or more members in this process, and callers of their control sockets."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.stores: list[Store] = []
        self.controls: list[ControlServer] = []
        self.lines: list[str] = []

    async def start(self, member_count: int = 1, **changes: Any) -> None:
        sockets = [socket.socket() for _ in range(member_count)]
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
            bound_socket.setblocking(False)
        addresses = ["{}:{}".format(*bound_socket.getsockname()) for bound_socket in sockets]
        paths = init_cluster(
            str(self.folder / "s"), [(f"n{n}", address) for n, address in enumerate(addresses)]
        )
        for bound_socket, path in zip(sockets, paths, strict=True):
            settings = StoreSettings(path, bound_socket.getsockname(), **{**LIMITS, **changes})
            store = Store(settings, lambda kind, text, detail="": self.lines.append(text), Clock().now_us)
            await store.run(bound_socket)
            control = ControlServer(store)
            await control.listen()
            self.stores.append(store)
            self.controls.append(control)

    async def caller(self, number: int = 0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        handle = os.open(self.stores[number].settings.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            return await asyncio.open_unix_connection(f"/proc/self/fd/{handle}/control", limit=1 << 23)
        finally:
            os.close(handle)

    async def call(self, name: str, number: int = 0, **arguments: Any) -> dict[str, Any]:
        reader, writer = await self.caller(number)
        writer.write(json.dumps({"call": name, **arguments}).encode() + b"\n")
        answer: dict[str, Any] = json.loads(await reader.readline())
        writer.close()
        return answer

    def close(self) -> None:
        for control in self.controls:
            control.close()
        for store in self.stores:
            store.close()


def run_scenario(scenario: Callable[[InProcessCluster], Awaitable[None]], folder: Path) -> None:
    async def run() -> None:
        cluster = InProcessCluster(folder)
        try:
            await asyncio.wait_for(scenario(cluster), SCENARIO_TIMEOUT_SECONDS)
        finally:
            cluster.close()

    uvloop.run(run())


def test_calls_and_their_errors(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        put = await cluster.call("put", key="kv/a", value="1")
        assert put["ok"] and put["done"] and put["revision"] == 1
        assert (await cluster.call("get", key="kv/a"))["items"][0]["value"] == "1"
        assert (await cluster.call("get", key="kv/b"))["kind"] == "not_there"
        again = await cluster.call("put", key="kv/a", value="2", modified=0)
        assert again["ok"] and not again["done"] and again["items"][0]["modified"] == 1
        assert (await cluster.call("put", key="kv/raw", value={"base64": "/wA="}))["done"]
        assert (await cluster.call("get", key="kv/raw"))["items"][0]["value"] == {"base64": "/wA="}
        txn: Any = {"if": [{"key": "kv/a", "version": 1}]}
        txn["then"] = [{"put": "kv/c", "value": "x"}, {"get": "kv/a"}]
        assert (await cluster.call("txn", **txn))["items"][0]["value"] == "1"
        assert (await cluster.call("delete", key="kv/c"))["done"]
        status = await cluster.call("status")
        assert status["standing"] == "leader" and status["revision"] == 4 and status["keys"] == 2
        invalid_calls: list[tuple[str, dict[str, Any], str]] = [
            ("nothing", {}, "wrong"),
            ("put", {"key": "kv/a"}, "wrong"),
            ("put", {"key": "kv/a", "value": 7}, "wrong"),
            ("put", {"key": "kv/a", "value": {"base64": "?"}}, "wrong"),
            ("put", {"key": "nowhere/a", "value": ""}, "refused"),
            ("put", {"key": "kv/a", "value": "x" * 100_000}, "refused"),
            ("put", {"key": "config/log", "value": "{}", "wait_ms": -1}, "wrong"),
            ("put", {"key": "config/log", "value": '{"format": 3}'}, "refused"),
            ("txn", {"then": [{"jump": 1}]}, "wrong"),
            ("txn", {"then": 7}, "wrong"),
            ("watch", {"after": "x"}, "wrong"),
            ("do", {"session": 999, "serial": 1, "seen": 0, "then": []}, "refused"),
            ("do", {"session": -1, "serial": 1, "seen": 0, "then": []}, "wrong"),
            ("add", {"member": "x", "address": "nowhere"}, "wrong"),
            ("remove", {"member": "x"}, "not_there"),
            ("remove", {"member": "n0"}, "refused"),
            ("backup", {"path": "relative"}, "wrong"),
            ("backup", {"path": "/proc/nothing/there"}, "refused"),
        ]
        for name, arguments, kind in invalid_calls:
            answer = await cluster.call(name, **arguments)
            assert (answer["ok"], answer.get("kind")) == (False, kind), (name, arguments, answer)
        assert (await cluster.call("status"))["revision"] == 4, "and nothing was done"

    run_scenario(scenario, tmp_path)


def test_a_too_long_line_and_malformed_input_cost_the_caller_alone(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        reader, writer = await cluster.caller()
        writer.write(b'{"call":"put","key":"kv/a","value":"' + b"x" * 10_000_000)
        assert json.loads(await reader.readline())["error"].startswith("a line of more than")
        for line in (b"\xff\xfe", b"[]", b"7", b"[" * 50_000, b'{"call":7}', b'{"call":"get"}'):
            reader, writer = await cluster.caller()
            writer.write(line + b"\n")
            assert json.loads(await reader.readline())["kind"] == "wrong"
            writer.close()
        # and on the members' port
        for data in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(300), (1 << 31).to_bytes(4, "big") + bytes(4)):
            peer, out = await asyncio.open_connection(*cluster.stores[0].settings.listen)
            out.write(data)
            out.write_eof()
            assert await peer.read() == b"", "whoever is unknown is told nothing"
            out.close()
        assert any("store: rejected" in line for line in cluster.lines)
        assert (await cluster.call("put", key="kv/a", value="1"))["ok"]

    run_scenario(scenario, tmp_path)


def test_a_watch_sends_changes_and_fails_once_they_are_compacted(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        reader, writer = await cluster.caller()
        writer.write(b'{"call":"watch","prefix":"kv/a"}\n')
        assert json.loads(await reader.readline()) == {"ok": True, "watching": True, "after": 0}
        for n in range(150):
            assert (await cluster.call("put", key=f"kv/{'ab'[n % 2]}", value=str(n)))["ok"]
        seen = [json.loads(await reader.readline()) for _ in range(75)]
        assert [one["value"] for one in seen] == [str(n) for n in range(0, 150, 2)]
        late = await cluster.call("watch", after=3)
        assert late["kind"] == "compacted" and "up to revision 50" in late["error"]
        writer.close()

    run_scenario(scenario, tmp_path)


def test_a_retried_write_is_applied_once(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        session = (await cluster.call("open", 0))["session"]
        arguments = {"session": session, "serial": 1, "seen": 0, "then": [{"put": "kv/a", "value": "1"}]}
        answers = [await cluster.call("do", number, **arguments) for number in (0, 1, 2, 0)]
        assert [one["revision"] for one in answers] == [1] * 4, "at whichever member it is said again"

    run_scenario(scenario, tmp_path)


def test_a_restarted_member_knows_drains_without_a_quorum(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        for number in range(3):
            assert (await cluster.call("put", number, key="hosts/h", value='{"drained":7}'))["ok"]
        one = cluster.stores[1]
        while one.member.state.revision < 3:
            await asyncio.sleep(0.001)
        one.schedule_output()
        for control in cluster.controls:
            control.close()
        for store in cluster.stores:
            store.close()
        again = Store(one.settings, lambda kind, text, detail="": None, Clock().now_us)  # and nobody else
        record = again.member.drain_log.effective_record("h")
        assert record.excludes(7)
        assert not record.excludes(8)
        again.close()

    run_scenario(scenario, tmp_path)


def test_the_commands_from_init_to_recover(tmp_path: Path) -> None:
    def run(*args: str) -> tuple[int, str, str]:
        result = CliRunner().invoke(main, ["state", *args], prog_name="limerudder")
        return result.exit_code, result.stdout, result.stderr

    made = str(tmp_path / "made")
    assert run("init", made, "n0=127.0.0.1:1", "n1=127.0.0.1:2")[0] == ExitCode.OK
    assert run("init", made, "n0=127.0.0.1:1")[0] == ExitCode.REJECTED, "it is there already"
    assert run("init", made)[0] == ExitCode.INVALID_INPUT
    assert run("init", made, "n0=nowhere")[0] == ExitCode.INVALID_INPUT
    assert run("--folder", made + "/n0", "status")[0] == ExitCode.UNAVAILABLE
    assert run("status")[0] == ExitCode.INVALID_INPUT
    code, out, _ = run("recover", made + "/n0")
    assert code == ExitCode.OK and "Nothing was done" in out and "n1 may have more" in out
    code, out, _ = run("--json", "recover", made + "/n0", "--do-it")
    assert code == ExitCode.OK and json.loads(out)["done"]
    assert run("recover", str(tmp_path))[0] == ExitCode.REJECTED
    assert run("restore", str(tmp_path / "none"), made + "2", "n0=127.0.0.1:1")[0] == ExitCode.REJECTED

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        folder = cluster.stores[0].settings.folder

        async def state(*args: str) -> tuple[int, str, str]:
            return await asyncio.to_thread(run, "--folder", folder, *args)

        assert (await state("put", "kv/a", "one"))[0] == ExitCode.OK
        assert (await state("get", "kv/a"))[1] == "one\n"
        assert (await state("get", "kv/b"))[0] == ExitCode.NOT_FOUND
        assert (await state("put", "kv/a", "two", "--modified", "0"))[0] == ExitCode.REJECTED
        assert (await state("put", "config/log", "nonsense"))[0] == ExitCode.REJECTED
        rows = (await state("get", "--prefix", "kv/", "--stale"))[1].splitlines()
        assert rows[1].split()[:2] == ["kv/a", "one"]
        code, out, _ = await state("watch", "kv/", "--after", "0", "--most", "1")
        assert code == ExitCode.OK and json.loads(out)["value"] == "one"
        assert "leader" in (await state("status"))[1]
        assert (await state("members"))[1].splitlines()[1].startswith("n0")
        assert (await state("transfer", "n9"))[0] == ExitCode.NOT_FOUND
        backup = str(tmp_path / "backup")
        assert (await state("backup", backup))[0] == ExitCode.OK
        assert run("restore", backup, str(tmp_path / "again"), "m0=127.0.0.1:3")[0] == ExitCode.OK
        assert (await state("delete", "kv/a"))[0] == ExitCode.OK
        assert (await state("hosts"))[0] == ExitCode.OK

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("role", ["voter", "learner"])
def test_a_member_joins_catches_up_and_is_removed(tmp_path: Path, role: str) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(snapshot_entries=100)
        for n in range(250):  # so that only a snapshot can bring it up
            await cluster.call("put", key=f"kv/{n}", value="x" * 200)
        bound_socket = socket.socket()
        bound_socket.bind(("127.0.0.1", 0))
        bound_socket.setblocking(False)
        address = "{}:{}".format(*bound_socket.getsockname())
        added = await cluster.call("add", member="n1", address=address, learner=role == "learner")
        assert added["ok"], added
        folder = str(tmp_path / "joined")
        result = CliRunner().invoke(main, ["state", "init", folder, "--ticket", added["ticket"]])
        assert result.exit_code == 0, result.output
        new = Store(
            StoreSettings(folder, bound_socket.getsockname(), **LIMITS),
            lambda kind, text, detail="": None,
            Clock().now_us,
        )
        await new.run(bound_socket)
        cluster.stores.append(new)
        while True:
            rows = {row["name"]: row for row in (await cluster.call("members"))["members"]}
            if rows["n1"]["role"] == role and len(new.member.state.items) == 250:
                break
            await asyncio.sleep(0.005)
        assert new.member.raft.snapshot, "it came by a snapshot"
        twice = await cluster.call("add", member="n1", address="127.0.0.1:9")
        assert twice["kind"] == "refused" and "is a member already" in twice["error"]
        while not (gone := await cluster.call("remove", member="n1"))["ok"]:
            assert "another change is under way" in gone["error"]  # it has just become a voter
        assert [row["name"] for row in (await cluster.call("members"))["members"]] == ["n0"]
        assert (await cluster.call("put", key="kv/last", value="1"))["ok"], "it leads alone again"

    run_scenario(scenario, tmp_path)
