"""The control socket: answers and errors of calls, malformed input, watches, and the state commands."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner

from limerudder.cli import main
from limerudder.exit_codes import ExitCode
from limerudder.net.clock import Clock
from limerudder.store.raft.errors import LeaderNotReadyError
from limerudder.store.raft.messages import ClusterConfig
from limerudder.store.raft.raft import Raft
from limerudder.store.store import Store
from tests.in_process_cluster import (
    InProcessCluster,
    bind_loopback_socket,
    ignore_log,
    run_scenario,
    start_joined_member,
)


class InvalidCall(NamedTuple):
    """A control socket call that must fail, and the expected error kind."""

    name: str
    arguments: dict[str, Any]
    error_kind: str


INVALID_CALLS = [
    InvalidCall("nothing", {}, "wrong"),
    InvalidCall("put", {"key": "kv/a"}, "wrong"),
    InvalidCall("put", {"key": "kv/a", "value": 7}, "wrong"),
    InvalidCall("put", {"key": "kv/a", "value": {"base64": "?"}}, "wrong"),
    InvalidCall("put", {"key": "nowhere/a", "value": ""}, "refused"),
    InvalidCall("put", {"key": "kv/a", "value": "x" * 100_000}, "refused"),
    InvalidCall("put", {"key": "config/log", "value": "{}", "wait_ms": -1}, "wrong"),
    InvalidCall("put", {"key": "config/log", "value": '{"format": 3}'}, "refused"),
    InvalidCall("txn", {"then": [{"jump": 1}]}, "wrong"),
    InvalidCall("txn", {"then": 7}, "wrong"),
    InvalidCall("watch", {"after": "x"}, "wrong"),
    InvalidCall("do", {"session": 999, "serial": 1, "seen": 0, "then": []}, "refused"),
    InvalidCall("do", {"session": -1, "serial": 1, "seen": 0, "then": []}, "wrong"),
    InvalidCall("add", {"member": "x", "address": "nowhere"}, "wrong"),
    InvalidCall("remove", {"member": "x"}, "not_there"),
    InvalidCall("remove", {"member": "n0"}, "refused"),
    InvalidCall("backup", {"path": "relative"}, "wrong"),
    InvalidCall("backup", {"path": "/proc/nothing/there"}, "refused"),
]


class CommandResult(NamedTuple):
    """The exit code and standard output of a command."""

    exit_code: int
    output: str


def test_calls_and_their_errors(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        put = await cluster.call("put", key="kv/a", value="1")
        assert put["ok"] and put["done"] and put["revision"] == 1
        assert (await cluster.call("get", key="kv/a"))["items"][0]["value"] == "1"
        assert (await cluster.call("get", key="kv/b"))["kind"] == "not_there"
        conflict = await cluster.call("put", key="kv/a", value="2", modified=0)
        assert conflict["ok"] and not conflict["done"] and conflict["items"][0]["modified"] == 1
        assert (await cluster.call("put", key="kv/raw", value={"base64": "/wA="}))["done"]
        assert (await cluster.call("get", key="kv/raw"))["items"][0]["value"] == {"base64": "/wA="}
        transaction: dict[str, Any] = {
            "if": [{"key": "kv/a", "version": 1}],
            "then": [{"put": "kv/c", "value": "x"}, {"get": "kv/a"}],
        }
        assert (await cluster.call("txn", **transaction))["items"][0]["value"] == "1"
        assert (await cluster.call("delete", key="kv/c"))["done"]
        status = await cluster.call("status")
        assert (status["standing"], status["revision"], status["keys"]) == ("leader", 4, 2)
        for invalid in INVALID_CALLS:
            answer = await cluster.call(invalid.name, **invalid.arguments)
            assert (answer["ok"], answer.get("kind")) == (False, invalid.error_kind), (invalid, answer)
        assert (await cluster.call("status"))["revision"] == 4, "an invalid call must not change the state"

    run_scenario(scenario, tmp_path)


def test_an_overlong_line_and_malformed_input_affect_only_the_caller(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        reader, writer = await cluster.connect()
        writer.write(b'{"call":"put","key":"kv/a","value":"' + b"x" * 10_000_000)
        assert json.loads(await reader.readline())["error"].startswith("a line of more than")
        for line in (b"\xff\xfe", b"[]", b"7", b"[" * 50_000, b'{"call":7}', b'{"call":"get"}'):
            reader, writer = await cluster.connect()
            writer.write(line + b"\n")
            assert json.loads(await reader.readline())["kind"] == "wrong"
            writer.close()
        # Malformed input at the members' port also affects only its sender
        for data in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(300), (1 << 31).to_bytes(4, "big") + bytes(4)):
            reader, writer = await asyncio.open_connection(*cluster.stores[0].settings.listen)
            writer.write(data)
            writer.write_eof()
            assert await reader.read() == b"", "an unknown peer receives no answer"
            writer.close()
        assert any("store: rejected" in line for line in cluster.logged)
        assert (await cluster.call("put", key="kv/a", value="1"))["ok"]

    run_scenario(scenario, tmp_path)


def test_a_watch_sends_changes_and_fails_once_they_are_compacted(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        reader, writer = await cluster.connect()
        writer.write(b'{"call":"watch","prefix":"kv/a"}\n')
        assert json.loads(await reader.readline()) == {"ok": True, "watching": True, "after": 0}
        for n in range(150):
            assert (await cluster.call("put", key=f"kv/{'ab'[n % 2]}", value=str(n)))["ok"]
        changes = [json.loads(await reader.readline()) for _ in range(75)]
        assert [change["value"] for change in changes] == [str(n) for n in range(0, 150, 2)]
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
        assert [answer["revision"] for answer in answers] == [1] * 4, "every member returns the same result"

    run_scenario(scenario, tmp_path)


def test_a_restarted_member_restores_drains_without_a_quorum(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        for number in range(3):
            assert (await cluster.call("put", number, key="hosts/h", value='{"drained":7}'))["ok"]
        stopped = cluster.stores[1]
        while stopped.member.state.revision < 3:
            await asyncio.sleep(0.001)
        stopped.schedule_output()
        cluster.close()
        restarted = Store(stopped.settings, ignore_log, Clock().now_us)  # The other members are stopped
        record = restarted.member.drain_log.effective_record("h")
        assert record.excludes(7)
        assert not record.excludes(8)
        restarted.close()

    run_scenario(scenario, tmp_path)


def run_command(*args: str) -> CommandResult:
    """Run `limerudder state` with these arguments."""
    result = CliRunner().invoke(main, ["state", *args], prog_name="limerudder")
    return CommandResult(result.exit_code, result.stdout)


def check_commands_without_a_member(folder: Path) -> None:
    created = str(folder / "created")
    member_folder = created + "/n0"
    assert run_command("init", created, "n0=127.0.0.1:1", "n1=127.0.0.1:2").exit_code == ExitCode.OK
    assert run_command("init", created, "n0=127.0.0.1:1").exit_code == ExitCode.REJECTED, "directory exists"
    assert run_command("init", created).exit_code == ExitCode.INVALID_INPUT
    assert run_command("init", created, "n0=nowhere").exit_code == ExitCode.INVALID_INPUT
    assert run_command("--folder", member_folder, "status").exit_code == ExitCode.UNAVAILABLE
    assert run_command("status").exit_code == ExitCode.INVALID_INPUT
    dry_run = run_command("recover", member_folder)
    assert dry_run.exit_code == ExitCode.OK
    assert "Nothing was done" in dry_run.output and "n1 may have more" in dry_run.output
    recovered = run_command("--json", "recover", member_folder, "--do-it")
    assert recovered.exit_code == ExitCode.OK and json.loads(recovered.output)["done"]
    assert run_command("recover", str(folder)).exit_code == ExitCode.REJECTED
    restored = run_command("restore", str(folder / "none"), created + "2", "n0=127.0.0.1:1")
    assert restored.exit_code == ExitCode.REJECTED


async def check_commands_of_a_member(cluster: InProcessCluster) -> None:
    async def run_on_member(*args: str) -> CommandResult:
        return await asyncio.to_thread(run_command, "--folder", member_folder, *args)

    await cluster.start()
    member_folder = cluster.stores[0].settings.folder
    assert (await run_on_member("put", "kv/a", "one")).exit_code == ExitCode.OK
    assert (await run_on_member("get", "kv/a")).output == "one\n"
    assert (await run_on_member("get", "kv/b")).exit_code == ExitCode.NOT_FOUND
    assert (await run_on_member("put", "kv/a", "two", "--modified", "0")).exit_code == ExitCode.REJECTED
    assert (await run_on_member("put", "config/log", "nonsense")).exit_code == ExitCode.REJECTED
    rows = (await run_on_member("get", "--prefix", "kv/", "--stale")).output.splitlines()
    assert rows[1].split()[:2] == ["kv/a", "one"]
    watched = await run_on_member("watch", "kv/", "--after", "0", "--most", "1")
    assert watched.exit_code == ExitCode.OK and json.loads(watched.output)["value"] == "one"
    assert "leader" in (await run_on_member("status")).output
    assert (await run_on_member("members")).output.splitlines()[1].startswith("n0")
    assert (await run_on_member("transfer", "n9")).exit_code == ExitCode.NOT_FOUND
    backup = str(cluster.folder / "backup")
    assert (await run_on_member("backup", backup)).exit_code == ExitCode.OK
    restored = run_command("restore", backup, str(cluster.folder / "again"), "m0=127.0.0.1:3")
    assert restored.exit_code == ExitCode.OK
    assert (await run_on_member("delete", "kv/a")).exit_code == ExitCode.OK
    assert (await run_on_member("hosts")).exit_code == ExitCode.OK


def test_the_commands_from_init_to_recover(tmp_path: Path) -> None:
    check_commands_without_a_member(tmp_path)
    run_scenario(check_commands_of_a_member, tmp_path)


@pytest.mark.parametrize("role", ["voter", "learner"])
def test_a_member_joins_catches_up_and_is_removed(tmp_path: Path, role: str) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(snapshot_entries=100)
        for n in range(250):  # Enough entries that the new member requires a snapshot
            await cluster.call("put", key=f"kv/{n}", value="x" * 200)
        bound_socket = bind_loopback_socket()
        address = "{}:{}".format(*bound_socket.getsockname())
        added = await cluster.call("add", member="n1", address=address, learner=role == "learner")
        assert added["ok"], added
        joined = await start_joined_member(str(tmp_path / "joined"), added["ticket"], bound_socket)
        cluster.stores.append(joined)
        while True:
            rows = {row["name"]: row for row in (await cluster.call("members"))["members"]}
            if rows["n1"]["role"] == role and len(joined.member.state.items) == 250:
                break
            await asyncio.sleep(0.005)
        assert joined.member.raft.snapshot, "the member must catch up through a snapshot"
        added_twice = await cluster.call("add", member="n1", address="127.0.0.1:9")
        assert added_twice["kind"] == "refused" and "is a member already" in added_twice["error"]
        removed = await cluster.call("remove", member="n1")
        while not removed["ok"]:
            # The promotion to voter may not be committed yet
            assert "another change is under way" in removed["error"]
            removed = await cluster.call("remove", member="n1")
        assert [row["name"] for row in (await cluster.call("members"))["members"]] == ["n0"]
        assert (await cluster.call("put", key="kv/last", value="1"))["ok"], "n0 accepts writes alone again"

    run_scenario(scenario, tmp_path)


def test_a_member_is_added_once_a_new_leader_has_committed_its_first_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: `add` right after a restart was refused before the leader's first disk write had ended."""
    propose_config = Raft.propose_config
    attempts: list[int] = []

    def fail_first(self: Raft, config: ClusterConfig, now_us: int) -> int:
        attempts.append(now_us)
        if len(attempts) == 1:
            raise LeaderNotReadyError("nothing is committed yet")
        return propose_config(self, config, now_us)

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start()
        await cluster.leader()
        assert (await cluster.call("put", key="kv/a", value="1"))["ok"]
        monkeypatch.setattr(Raft, "propose_config", fail_first)
        assert (await cluster.call("add", member="new", address="127.0.0.1:1"))["ok"]
        assert len(attempts) == 2

    run_scenario(scenario, tmp_path)
