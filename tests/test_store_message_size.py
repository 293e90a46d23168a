"""No message of a member exceeds the frame limit, whatever sizes the data within the limits have."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from limerudder.store import rpc, snapshots
from limerudder.store.commands import Delete, Get, Put, SessionWrite, Transaction, encode_command
from limerudder.store.commands import OpenSession as OpenSessionCommand
from limerudder.store.framing import MAX_FRAME_BYTES
from limerudder.store.raft.messages import (
    MAX_DATA_BYTES,
    ClusterConfig,
    InstallSnapshotChunk,
    Member,
    SnapshotMeta,
)
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import KeyValueState
from tests.in_process_cluster import (
    InProcessCluster,
    bind_loopback_socket,
    other_member,
    run_scenario,
    start_joined_member,
)

VALUE_BYTES = 64_000  #: Within the default limit of 64 KiB
LARGE = "x" * VALUE_BYTES
MANY_MEMBERS = 100
COMPACTING = {"snapshot_entries": 100}


class Client:
    """Writes to a state in one session, and acknowledges no result, as a caller that has disconnected."""

    def __init__(self) -> None:
        self.state = KeyValueState()
        self.session_id = self._apply(encode_command(OpenSessionCommand()))
        self.serial = 0

    def _apply(self, command: bytes) -> int:
        return self.state.apply(self.state.applied_index + 1, command).index

    def run(self, *operations: Put | Delete | Get) -> None:
        self.serial += 1
        command = SessionWrite(self.session_id, self.serial, 0, Transaction((), operations))
        self._apply(encode_command(command))


def state_with_large_results(result_count: int, reads_per_result: int) -> KeyValueState:
    client = Client()
    for number in range(result_count):
        key = f"kv/{number}"
        client.run(Put(key, LARGE.encode()))
        client.run(*[Get(key)] * reads_per_result)
        client.run(Delete(key))
    return client.state


@pytest.mark.parametrize(("result_count", "reads_per_result"), [(24, 1), (3, 64), (1, 1)])
def test_every_chunk_of_a_snapshot_can_be_sent(result_count: int, reads_per_result: int) -> None:
    """Guards against a chunk that contains all results of a session (review case 3)."""
    state = state_with_large_results(result_count, reads_per_result)
    chunks = tuple(state.snapshot_view().chunks())
    assert max(map(len, chunks)) <= MAX_DATA_BYTES
    restored = KeyValueState()
    restored.restore(chunks)
    assert restored.items == state.items and restored.sessions.keys() == state.sessions.keys()
    for session_id, session in state.sessions.items():
        assert restored.sessions[session_id].results == session.results
    assert tuple(restored.snapshot_view().chunks()) == chunks, "the same state gives the same bytes"


def test_a_truncated_stream_of_blocks_is_rejected() -> None:
    chunks = list(state_with_large_results(2, 64).snapshot_view().chunks())
    for truncated in (chunks[:-1], [*chunks[:-1], chunks[-1][:-1]], [*chunks, b"1234"]):
        with pytest.raises(SnapshotError):
            KeyValueState().restore(truncated)


def test_the_largest_data_fits_into_a_frame_with_the_other_fields() -> None:
    member = Member(1 << 62, "n" * 64, "255.255.255.255:65535")
    meta = SnapshotMeta(1 << 62, 1 << 62, ClusterConfig((member,) * MANY_MEMBERS), 1 << 30, 1 << 31)
    data = bytes(MAX_DATA_BYTES)
    messages: list[rpc.StoreMessage] = [
        InstallSnapshotChunk(1 << 62, meta, 1 << 30, data, 1 << 62),
        rpc.Request(1 << 62, rpc.RequestKind.WRITE, data),
        rpc.Reply(1 << 62, rpc.ReplyStatus.DONE, data),
    ]
    for message in messages:
        assert len(rpc.encode_message(message)) <= MAX_FRAME_BYTES


async def put_and_delete_large_values(cluster: InProcessCluster, count: int, number: int = 0) -> None:
    for n in range(count):
        assert (await cluster.call("put", number, key=f"kv/image-{n}", value=LARGE))["ok"]
    for n in range(count):
        assert (await cluster.call("delete", number, key=f"kv/image-{n}"))["ok"]


async def add_member(cluster: InProcessCluster, folder: Path) -> None:
    """Add a member that needs a snapshot, and wait until it is a voter."""
    bound_socket = bind_loopback_socket()
    address = "{}:{}".format(*bound_socket.getsockname())
    added = await cluster.call("add", await cluster.leader(), member="new", address=address)
    assert added["ok"], added
    joined = await start_joined_member(str(folder / "joined"), added["ticket"], bound_socket)
    cluster.stores.append(joined)
    while True:
        rows = {row["name"]: row for row in (await cluster.call("members"))["members"]}
        if rows["new"]["role"] == "voter":
            break
        await asyncio.sleep(0.005)
    assert joined.member.raft.snapshot


def test_a_member_joins_a_cluster_whose_sessions_keep_large_results(tmp_path: Path) -> None:
    """Guards against a new member that never catches up (review case 3)."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(**COMPACTING)
        await put_and_delete_large_values(cluster, 24)
        for n in range(150):
            assert (await cluster.call("put", key=f"kv/note-{n % 7}", value="y"))["ok"]
        await add_member(cluster, tmp_path)
        assert not [line for line in cluster.logged if "cannot send" in line]

    run_scenario(scenario, tmp_path)


def test_a_member_that_was_down_catches_up_by_a_snapshot_with_large_results(tmp_path: Path) -> None:
    """Guards against a member that is stuck at its old revision after an outage."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3, **COMPACTING)
        leader = await cluster.leader()
        down = (leader + 1) % 3
        cluster.stop(down)
        await put_and_delete_large_values(cluster, 24, leader)
        for n in range(150):
            assert (await cluster.call("put", leader, key=f"kv/note-{n % 7}", value="y"))["ok"]
        revision = cluster.stores[leader].member.state.revision
        last_index_of_down = cluster.stores[down].member.raft.log.last_index
        assert last_index_of_down < cluster.stores[leader].member.raft.log.base_index
        await cluster.restart(down)
        while cluster.stores[down].member.state.revision < revision:
            await asyncio.sleep(0.005)

    run_scenario(scenario, tmp_path)


def test_a_transaction_at_a_follower_returns_a_result_over_the_frame_limit(tmp_path: Path) -> None:
    """Guards against a reply that cannot be sent, for which the caller waits in vain."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        leader = await cluster.leader()
        assert (await cluster.call("put", leader, key="kv/a", value=LARGE))["ok"]
        for number in range(3):
            reads = [{"get": "kv/a"}] * 20
            answer = await cluster.call("txn", number, then=[{"put": "kv/b", "value": str(number)}, *reads])
            assert answer["ok"], answer
            assert [item["value"] for item in answer["items"]] == [LARGE] * 20
            assert (await cluster.call("get", number, key="kv/b"))["items"][0]["version"] == number + 1

    run_scenario(scenario, tmp_path)


TOO_LARGE: list[dict[str, Any]] = [
    {"if": [{"key": "kv/a", "value": "x" * 1_100_000}], "then": [{"get": "kv/a"}]},
    {"then": [{"put": f"kv/{n}", "value": "x" * 500_000} for n in range(3)]},
]


@pytest.mark.parametrize("transaction", TOO_LARGE)
def test_a_transaction_that_no_message_can_contain_is_rejected(
    tmp_path: Path, transaction: dict[str, Any]
) -> None:
    """Guards against an entry that the leader can never replicate, behind which all others wait."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3, value_most=512 << 10)
        for number in range(3):
            answer = await cluster.call("txn", number, **transaction)
            assert (answer["ok"], answer.get("kind")) == (False, "refused")
            assert f"at most {MAX_DATA_BYTES} are taken" in answer["error"]
            assert (await cluster.call("put", number, key="kv/c", value="1"))["ok"]

    run_scenario(scenario, tmp_path)


def test_an_oversized_snapshot_of_an_earlier_release_is_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a data directory whose snapshot keeps new members out until the next one is due."""

    async def scenario(cluster: InProcessCluster) -> None:
        with monkeypatch.context() as earlier_release:
            earlier_release.setattr(snapshots, "_result_bytes", lambda result: 0)
            earlier_release.setattr(snapshots, "MAX_DATA_BYTES", 1 << 40)
            await cluster.start(**COMPACTING)
            await put_and_delete_large_values(cluster, 24)
            for _ in range(100):
                assert (await cluster.call("put", key="kv/note", value="y"))["ok"]
            store = cluster.stores[0]
            while not (store.member.raft.snapshot and store.member.raft.snapshot.has_oversized_chunk()):
                await asyncio.sleep(0.005)
            cluster.stop(0)
        await cluster.restart(0)
        await add_member(cluster, tmp_path)
        snapshot = cluster.stores[0].member.raft.snapshot
        assert snapshot and not snapshot.has_oversized_chunk()

    run_scenario(scenario, tmp_path)


def test_a_message_over_the_frame_limit_is_dropped_and_logged(tmp_path: Path) -> None:
    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3)
        store = cluster.stores[await cluster.leader()]
        recipient = other_member(store)
        dropped = store.transport.dropped_messages
        store.transport.send(recipient, rpc.Reply(1, rpc.ReplyStatus.DONE, bytes(MAX_FRAME_BYTES + 1)))
        assert store.transport.dropped_messages == dropped + 1
        assert any("cannot send Reply" in line for line in cluster.logged)

    run_scenario(scenario, tmp_path)
