"""Data written by release 0.2.0: this code reads each format and writes the same bytes."""

from __future__ import annotations

import json
import shutil
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from harness.configurations import configuration, host, hosts
from limerudder.config import load_config
from limerudder.core.discovery.endpoint_list import EndpointList, parse_endpoint_list
from limerudder.core.discovery.recorded_drains import InheritedDrains
from limerudder.core.lifecycle.hot_restart import (
    ProcessUsage,
    SuccessorConnection,
    parse_handover_state,
)
from limerudder.core.lifecycle.hot_restart.messages import EndpointDrained, ParentStopping
from limerudder.core.lifecycle.hot_restart.node_binding import create_parent, create_successor
from limerudder.core.operations.log_events import LogKind
from limerudder.net.mark_files import MarkFiles
from limerudder.policy import gossip
from limerudder.store import drain_log, rpc
from limerudder.store.backup import read_backup, write_backup
from limerudder.store.commands import (
    CloseSession,
    Command,
    Compare,
    CompareTarget,
    Delete,
    Get,
    OpenSession,
    Put,
    SessionWrite,
    Transaction,
    decode_command,
    encode_command,
)
from limerudder.store.data_directory import encode_join_token, join_cluster
from limerudder.store.disk import DATABASE_FILE, Disk, MemberIdentity
from limerudder.store.durability import DurabilityJob, PersistedValue, SnapshotJob
from limerudder.store.framing import FrameDecoder, encode_frame
from limerudder.store.peer_authentication import DurabilityProof, Handshake, Incarnation
from limerudder.store.raft import messages as raft
from limerudder.store.raft.messages import snapshot_digest
from limerudder.store.raft.persistence import HardState, IncomingSnapshot, RaftWrite, SnapshotChunk
from limerudder.store.state_machine import KeyValueState

DATA = Path(__file__).parent / "data" / "formats"
GOLDEN: dict[str, Any] = json.loads((DATA / "formats.json").read_text())

CONFIG = raft.ClusterConfig(
    (
        raft.Member(5, "n0", "127.0.0.1:7000"),
        raft.Member(6, "n1", "127.0.0.1:7001", raft.MemberRole.JOINING),
        raft.Member(7, "n2", "127.0.0.1:7002", raft.MemberRole.LEARNER),
    )
)
INCOMING = raft.SnapshotMeta(40, 2, CONFIG, 3, 12345)
HOST_RECORD = drain_log.HostRecord(1700000000000, True, "n0", 17)
FACTS: dict[str, drain_log.DrainFact] = {
    "drain": drain_log.DrainObserved("s-2", 1700000000123),
    "hold": drain_log.MaintenanceHold("s-3", "n1"),
    "back": drain_log.ReturnToService("s-1", 1700000001000000, 2),
}
ENTRIES = (
    raft.Entry(11, 3, raft.EntryKind.EMPTY),
    raft.Entry(12, 3, raft.EntryKind.DATA, b"data"),
    raft.Entry(13, 3, raft.EntryKind.CONFIG, raft.encode_config(CONFIG)),
)
MESSAGES: dict[str, Any] = {
    "Vote": raft.RequestVote(3, 10, 2, True, False),
    "Voted": raft.RequestVoteReply(3, True, True),
    "Append": raft.AppendEntries(3, 10, 2, ENTRIES, 9, 4),
    "Appended": raft.AppendEntriesReply(3, False, 10, 8, 2, 4),
    "Piece": raft.InstallSnapshotChunk(3, INCOMING, 1, b"piece", 4),
    "PieceHeld": raft.InstallSnapshotReply(3, 40, 12345, 2, 4),
    "TakeOver": raft.TimeoutNow(3),
    "Ask": rpc.Request(17, rpc.RequestKind.TRANSFER_LEADERSHIP, b"5"),
    "Told": rpc.Reply(17, rpc.ReplyStatus.BUSY, b"why"),
}


def _put(serial: int, key: str, value: bytes) -> SessionWrite:
    return SessionWrite(2, serial, serial - 1, Transaction((), (Put(key, value),)))


COMMANDS: tuple[Command, ...] = (
    OpenSession(),
    _put(1, "config/log", b'{"format":"json"}'),
    _put(2, "hosts/s-1", drain_log.encode_host_record(HOST_RECORD)),
    _put(3, "gone", b"x"),
    SessionWrite(
        2,
        4,
        3,
        Transaction(
            (
                Compare("gone", CompareTarget.VALUE, b"x"),
                Compare("none", CompareTarget.VERSION, b"", 0),
                Compare("gone", CompareTarget.MODIFIED, b"", 3),
            ),
            (Delete("gone"), Get("config/log")),
            (Put("never", b""),),
        ),
    ),
    OpenSession(),
    CloseSession(7),
    _put(5, "after", b"the snapshot"),
    SessionWrite(2, 6, 4, Transaction((), (Delete("after"),))),
    _put(7, "last", b"entry"),
)


def test_every_kind_of_store_message_is_covered() -> None:
    tags = {kind.__struct_config__.tag for kind in rpc.StoreMessage.__args__}
    assert tags == set(MESSAGES) == set(GOLDEN["store_messages"])


@pytest.mark.parametrize("tag", MESSAGES)
def test_store_messages(tag: str) -> None:
    framed = bytes.fromhex(GOLDEN["store_messages"][tag])
    (body,) = FrameDecoder().feed(framed)
    assert rpc.decode_message(body) == MESSAGES[tag]
    assert encode_frame(rpc.encode_message(MESSAGES[tag])) == framed


def test_peer_handshake() -> None:
    handshake = Handshake(1, 9, 5, 6, "n0", Incarnation(3, 77), 4, 12)
    rejection = "build 2 of the protocol; this member speaks 1"
    for name, value in (("peer_hello", handshake), ("peer_refusal", rejection)):
        framed = bytes.fromhex(GOLDEN[name])
        (body,) = FrameDecoder().feed(framed)
        assert msgspec.msgpack.decode(body, type=Handshake | str) == value
        assert encode_frame(msgspec.msgpack.encode(value)) == framed


def test_commands_and_configurations() -> None:
    written = [bytes.fromhex(command) for command in GOLDEN["commands"]]
    assert tuple(map(decode_command, written)) == COMMANDS
    assert list(map(encode_command, COMMANDS)) == written
    config = bytes.fromhex(GOLDEN["config"])
    assert raft.decode_config(config) == CONFIG
    assert raft.encode_config(CONFIG) == config


def test_snapshot_chunks() -> None:
    written = [bytes.fromhex(chunk) for chunk in GOLDEN["snapshot_pieces"]]
    applied = KeyValueState()
    for index, command in enumerate(COMMANDS, 2):
        applied.apply(index, encode_command(command))
    assert list(applied.snapshot_view(200).chunks()) == written
    restored = KeyValueState()
    restored.restore(written)
    assert restored.items == applied.items
    assert list(restored.sessions) == list(applied.sessions) == [2]
    assert list(restored.snapshot_view(200).chunks()) == written


def test_drain_facts_and_host_records() -> None:
    for name, fact in FACTS.items():
        written = bytes.fromhex(GOLDEN["facts"][name])
        assert drain_log.decode_fact(written) == fact
        assert drain_log.encode_fact(fact) == written
    for text, record in zip(GOLDEN["host_records"], (drain_log.HostRecord(), HOST_RECORD), strict=True):
        assert drain_log.decode_host_record(text.encode()) == record
        assert drain_log.encode_host_record(record).decode() == text


@pytest.fixture
def killed_store(tmp_path: Path) -> Path:
    """Return a copy of the data directory of a member that was killed during a transaction."""
    folder = tmp_path / "killed"
    shutil.copytree(DATA / "killed-store", folder)
    return folder


def _rows(folder: Path) -> Iterator[tuple[Any, ...]]:
    """Yield all rows of a closed database except the incarnation, which contains a random number."""
    database = sqlite3.connect(folder / DATABASE_FILE)
    try:
        for table in ("meta", "log", "snapshot", "incoming", "facts", "known", "shown"):
            for row in database.execute(f"SELECT * FROM {table} ORDER BY 1"):
                if row[0] != "boot":
                    yield table, *row
    finally:
        database.close()


def test_a_killed_members_data_directory_is_read(killed_store: Path) -> None:
    disk = Disk(str(killed_store))
    contents = disk.load(begin_incarnation=False)
    disk.close()
    assert contents.identity == MemberIdentity(9, 5, "n0")
    assert contents.incarnation.number == 1
    assert contents.durability_proofs == {6: DurabilityProof(Incarnation(3, 77), 1, 9)}
    assert contents.durable_state.drain_facts == {1: FACTS["drain"], 3: FACTS["back"]}
    assert contents.durable_state.persisted_values == {
        "hosts/s-1": (2, drain_log.encode_host_record(HOST_RECORD)),
        "config/log": (1, None),
    }
    saved = contents.durable_state.raft_state
    assert saved.hard_state == HardState(2, 6)
    assert saved.initial_config == CONFIG
    assert saved.incoming_snapshot == IncomingSnapshot(INCOMING, (b"first", b"second"))
    assert saved.snapshot is not None
    assert saved.snapshot.meta.index == 7
    state = KeyValueState()
    state.restore(saved.snapshot.chunks)
    assert [entry.index for entry in saved.entries] == list(range(5, 13))
    assert saved.entries[-1].kind == raft.EntryKind.CONFIG
    for entry in saved.entries:
        if entry.index > 7 and entry.kind == raft.EntryKind.DATA:
            state.apply(entry.index, entry.data)
    assert sorted(state.items) == ["config/log", "hosts/s-1", "last"]


def test_the_same_jobs_write_the_same_rows(killed_store: Path, tmp_path: Path) -> None:
    folder = tmp_path / "written"
    disk = Disk(str(folder), MemberIdentity(9, 5, "n0"), CONFIG)
    disk.load()
    entries = [raft.Entry(1, 1, raft.EntryKind.EMPTY)]
    entries += [
        raft.Entry(index, 1, raft.EntryKind.DATA, encode_command(command))
        for index, command in enumerate(COMMANDS, 2)
    ]
    entries.append(raft.Entry(12, 1, raft.EntryKind.CONFIG, raft.encode_config(CONFIG)))
    disk.persist([DurabilityJob(1, RaftWrite(1, hard_state=HardState(1, 5), entries=tuple(entries[:8])))])
    state = KeyValueState()
    for entry in entries[1:7]:
        state.apply(entry.index, entry.data)
    disk.persist([DurabilityJob(2, None, SnapshotJob(7, 1, CONFIG, state.snapshot_view(200), 5))])
    facts = tuple(drain_log.NumberedFact(number, fact) for number, fact in enumerate(FACTS.values(), 1))
    persisted_values = {
        "hosts/s-1": PersistedValue(2, drain_log.encode_host_record(HOST_RECORD)),
        "config/log": PersistedValue(1, None),
    }
    proofs = {6: DurabilityProof(Incarnation(3, 77), 1, 9)}
    write = RaftWrite(3, entries=tuple(entries[8:]))
    disk.persist([DurabilityJob(3, write, new_facts=facts, persisted_values=persisted_values, proofs=proofs)])
    chunks = (SnapshotChunk(INCOMING, 0, b"first"), SnapshotChunk(INCOMING, 1, b"second"))
    write = RaftWrite(4, hard_state=HardState(2, 6), snapshot_chunks=chunks)
    disk.persist([DurabilityJob(4, write, deleted_facts=(2,))])
    disk.close()
    assert list(_rows(folder)) == list(_rows(killed_store))


def test_backup_file(tmp_path: Path) -> None:
    header, snapshot = read_backup(str(DATA / "backup"))
    assert (header.cluster_id, snapshot.meta.index, snapshot.meta.config) == (9, 11, CONFIG)
    assert [chunk.hex() for chunk in snapshot.chunks] == GOLDEN["snapshot_pieces"]
    assert snapshot.meta.digest == snapshot_digest(snapshot.chunks)
    write_backup(str(tmp_path / "backup"), 9, snapshot)
    assert (tmp_path / "backup").read_bytes() == (DATA / "backup").read_bytes()


def test_join_token(tmp_path: Path) -> None:
    member = CONFIG.members[1]
    assert encode_join_token(9, member) == GOLDEN["join_ticket"]
    assert join_cluster(str(tmp_path / "joined"), GOLDEN["join_ticket"]) == member


def test_marks_of_the_state_directory(tmp_path: Path) -> None:
    folder = DATA / "state-folder"
    assert MarkFiles(str(folder)).read() == set(GOLDEN["state_folder_marks"])
    files = MarkFiles(str(tmp_path))
    for name in GOLDEN["state_folder_marks"]:
        files.add(name)
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted(path.name for path in folder.iterdir())


def test_peer_datagram() -> None:
    written = bytes.fromhex(GOLDEN["peer_datagram"])
    assert gossip.decode(written) == ((12.34, 5.6), [(70000 & 0xFFFF, 0.5, 3), (2, 255 / 64, 255)])
    rows = [gossip.LoadRow(70000, 0.5, 3), gossip.LoadRow(2, 9.0, 400)]
    assert next(gossip.encode(gossip.ConnectionRates(12.34, 5.6), rows)) == written


class _RecordingTransport:
    def __init__(self) -> None:
        self.sent = b""

    def write(self, data: bytes) -> None:
        self.sent += data


class _StoppedTimerWheel:
    def schedule(self, due_us: int, callback: Any) -> None:
        """Never call the callback."""


class _FakeNode:
    """The node as used by hot restart; records all notifications."""

    def __init__(self) -> None:
        self.timer_wheel = _StoppedTimerWheel()
        self.shutdown_deadline_us = 0
        self.has_successor = False
        self.config_reloaded = True
        self.on_request_accepted: list[Any] = []
        self.recorded_drains = InheritedDrains({"s-2": 1700000000123})
        self.notified: list[Any] = []

    def log(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """Ignored in these tests."""

    def stop_using_turns(self) -> None:
        """Ignored in these tests."""

    def start_using_turns(self, delay_us: int = 0) -> None:
        """Ignored in these tests."""

    def endpoint_list(self) -> EndpointList:
        return parse_endpoint_list(hosts(host("s-1"), host("s-2", "127.0.0.1:10", "leaving"), reset=True))

    def recent_request_ids(self) -> list[int]:
        return [1, 0x9B1F03AA5C7E2D41]

    def return_to_service_times(self) -> dict[str, int]:
        return {"s-1": 1700000001000000}

    def resource_usage(self) -> ProcessUsage:
        return ProcessUsage(12, {"s-1": 7, "s-2": 3})

    def set_other_process_usage(self, usage: ProcessUsage, now_us: int) -> None:
        self.notified.append(usage)

    def apply_return_to_service_times(self, returned: dict[str, int], now_us: int) -> None:
        self.notified.append(returned)

    def record_request_of_other_process(self, request_id: int) -> None:
        self.notified.append(request_id)

    def refresh_endpoint(self, name: str, now_us: int) -> None:
        self.notified.append(f"relist {name}")

    def is_ready_to_serve(self) -> bool:
        return False


def test_handover_lines_of_the_parent() -> None:
    node: Any = _FakeNode()
    parent = create_parent(node, lambda: None, lambda: None)
    assert parent.state_line().decode() == GOLDEN["handover"]["hello"]
    connection = SuccessorConnection(parent)
    transport = _RecordingTransport()
    connection.connection_made(transport, 0)  # type: ignore[arg-type]
    for request_accepted in node.on_request_accepted:
        request_accepted(0x9B1F03AA5C7E2D42)
    parent.announce(EndpointDrained("s-1", 1700000000999))
    connection.data_received(GOLDEN["handover"]["successor_lines"].encode(), 0)
    parent.announce(ParentStopping())
    assert transport.sent.decode() == GOLDEN["handover"]["parent_lines"]
    assert node.has_successor


def test_handover_lines_read_by_the_successor() -> None:
    node: Any = _FakeNode()
    state = parse_handover_state(GOLDEN["handover"]["hello"].encode())
    assert state.endpoints == node.endpoint_list()
    assert state.request_ids == (1, 0x9B1F03AA5C7E2D41)
    assert state.config_reloaded
    assert state.drained_starts == {"s-2": 1700000000123}
    called: list[str] = []
    successor = create_successor(node, state, 0, lambda: called.append("ready"), lambda: None)
    successor.data_received(GOLDEN["handover"]["parent_lines"].encode(), 0)
    assert node.notified == [
        node.resource_usage(),
        node.return_to_service_times(),
        *state.request_ids,
        0x9B1F03AA5C7E2D42,
        "relist s-1",
        node.resource_usage(),
    ]
    assert node.recorded_drains.drained_starts() == {"s-1": 1700000000999, "s-2": 1700000000123}
    assert called == ["ready"]
    transport = _RecordingTransport()
    successor.connection_made(transport, 0)  # type: ignore[arg-type]
    successor.announce_serving()
    assert transport.sent.decode() == GOLDEN["handover"]["successor_lines"]


def test_the_state_directorys_name_is_that_of_the_previous_release(tmp_path: Path) -> None:
    peers = ["127.0.0.1:8081", "127.0.0.2:8081"]
    environment = configuration(tmp_path, listen="127.0.0.1:8080", peer_listen="127.0.0.1:8081", peers=peers)
    assert load_config({**environment, "TMPDIR": "/tmp"}).state == GOLDEN["state_folder_name"]
