"""Data written by release 0.2.0: this code reads each form and writes the same bytes."""

from __future__ import annotations

import json
import shutil
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from firgrade import sharing
from limerudder.config import load
from limerudder.core.discovery import HostList, read_hosts
from limerudder.core.handover import Asker, Elder, Heir, Holds, read_hello
from limerudder.core.recall import Inherited
from limerudder.net.marks import Files
from limerudder.store import ledger, talk
from limerudder.store.disk import FILE, Disk, Identity
from limerudder.store.doorman import Boot, Hello, Shown
from limerudder.store.folder import join, read_backup, write_backup, write_ticket
from limerudder.store.member import Job, SnapshotJob
from limerudder.store.raft import messages as raft
from limerudder.store.raft.machine import HardState, Write, digest
from limerudder.store.records import (
    Compare,
    Delete,
    Do,
    End,
    Get,
    Open,
    Put,
    Records,
    Txn,
    What,
    read_command,
    write_command,
)
from limerudder.store.wire import Frames, frame
from rigs.given import configuration, host, hosts

DATA = Path(__file__).parent / "data" / "formats"
WRITTEN: dict[str, Any] = json.loads((DATA / "formats.json").read_text())

CONFIG = raft.Config(
    (
        raft.Member(5, "n0", "127.0.0.1:7000"),
        raft.Member(6, "n1", "127.0.0.1:7001", raft.Role.JOINING),
        raft.Member(7, "n2", "127.0.0.1:7002", raft.Role.LEARNER),
    )
)
INCOMING = raft.SnapshotMeta(40, 2, CONFIG, 3, 12345)
HOST_RECORD = ledger.HostRecord(1700000000000, True, "n0", 17)
FACTS = {
    "drain": ledger.Drain("s-2", 1700000000123),
    "hold": ledger.Hold("s-3", "n1"),
    "back": ledger.Back("s-1", 1700000001000000, 2),
}
ENTRIES = (
    raft.Entry(11, 3, raft.Kind.EMPTY),
    raft.Entry(12, 3, raft.Kind.DATA, b"data"),
    raft.Entry(13, 3, raft.Kind.CONFIG, raft.write_config(CONFIG)),
)
MESSAGES: dict[str, Any] = {
    "Vote": raft.Vote(3, 10, 2, True, False),
    "Voted": raft.Voted(3, True, True),
    "Append": raft.Append(3, 10, 2, ENTRIES, 9, 4),
    "Appended": raft.Appended(3, False, 10, 8, 2, 4),
    "Piece": raft.Piece(3, INCOMING, 1, b"piece", 4),
    "PieceHeld": raft.PieceHeld(3, 40, 12345, 2, 4),
    "TakeOver": raft.TakeOver(3),
    "Ask": talk.Ask(17, talk.Wish.LEAD, b"5"),
    "Told": talk.Told(17, talk.Status.BUSY, b"why"),
}


def _put(serial: int, key: str, value: bytes) -> Do:
    return Do(2, serial, serial - 1, Txn((), (Put(key, value),)))


COMMANDS = (
    Open(),
    _put(1, "config/log", b'{"format":"json"}'),
    _put(2, "hosts/s-1", ledger.write_record(HOST_RECORD)),
    _put(3, "gone", b"x"),
    Do(
        2,
        4,
        3,
        Txn(
            (
                Compare("gone", What.VALUE, b"x"),
                Compare("none", What.VERSION, b"", 0),
                Compare("gone", What.MODIFIED, b"", 3),
            ),
            (Delete("gone"), Get("config/log")),
            (Put("never", b""),),
        ),
    ),
    Open(),
    End(7),
    _put(5, "after", b"the snapshot"),
    Do(2, 6, 4, Txn((), (Delete("after"),))),
    _put(7, "last", b"entry"),
)


def test_every_kind_of_store_message_is_covered() -> None:
    tags = {kind.__struct_config__.tag for kind in talk.Any.__args__}
    assert tags == set(MESSAGES) == set(WRITTEN["store_messages"])


@pytest.mark.parametrize("tag", MESSAGES)
def test_store_messages(tag: str) -> None:
    framed = bytes.fromhex(WRITTEN["store_messages"][tag])
    (body,) = Frames().feed(framed)
    assert talk.read(body) == MESSAGES[tag]
    assert frame(talk.write(MESSAGES[tag])) == framed


def test_peer_handshake() -> None:
    hello = Hello(1, 9, 5, 6, "n0", Boot(3, 77), 4, 12)
    refusal = "build 2 of the protocol; this member speaks 1"
    for name, value in (("peer_hello", hello), ("peer_refusal", refusal)):
        framed = bytes.fromhex(WRITTEN[name])
        (body,) = Frames().feed(framed)
        assert msgspec.msgpack.decode(body, type=Hello | str) == value
        assert frame(msgspec.msgpack.encode(value)) == framed


def test_commands_and_configurations() -> None:
    written = [bytes.fromhex(command) for command in WRITTEN["commands"]]
    assert tuple(map(read_command, written)) == COMMANDS
    assert list(map(write_command, COMMANDS)) == written
    config = bytes.fromhex(WRITTEN["config"])
    assert raft.read_config(config) == CONFIG
    assert raft.write_config(CONFIG) == config


def test_snapshot_pieces() -> None:
    written = [bytes.fromhex(piece) for piece in WRITTEN["snapshot_pieces"]]
    applied = Records()
    for index, command in enumerate(COMMANDS, 2):
        applied.apply(index, write_command(command))
    assert list(applied.freeze(200).pieces()) == written
    restored = Records()
    restored.restore(written)
    assert restored.items == applied.items
    assert list(restored.sessions) == list(applied.sessions) == [2]
    assert list(restored.freeze(200).pieces()) == written


def test_drain_facts_and_host_records() -> None:
    for name, fact in FACTS.items():
        written = bytes.fromhex(WRITTEN["facts"][name])
        assert ledger.read_fact(written) == fact
        assert ledger.write_fact(fact) == written
    for text, record in zip(WRITTEN["host_records"], (ledger.HostRecord(), HOST_RECORD), strict=True):
        assert ledger.read_record(text.encode()) == record
        assert ledger.write_record(record).decode() == text


@pytest.fixture
def killed_store(tmp_path: Path) -> Path:
    """A copy of the folder of a member that was killed amid a transaction."""
    folder = tmp_path / "killed"
    shutil.copytree(DATA / "killed-store", folder)
    return folder


def _rows(folder: Path) -> Iterator[tuple[Any, ...]]:
    """Every row of a closed store's file, but for the start's random word."""
    database = sqlite3.connect(folder / FILE)
    try:
        for table in ("meta", "log", "snapshot", "incoming", "facts", "known", "shown"):
            for row in database.execute(f"SELECT * FROM {table} ORDER BY 1"):
                if row[0] != "boot":
                    yield table, *row
    finally:
        database.close()


def test_a_killed_members_folder_is_read(killed_store: Path) -> None:
    disk = Disk(str(killed_store))
    opened = disk.load(start=False)
    disk.close()
    assert opened.identity == Identity(9, 5, "n0")
    assert opened.boot.number == 1
    assert opened.shown == {6: Shown(Boot(3, 77), 1, 9)}
    assert opened.start.facts == {1: FACTS["drain"], 3: FACTS["back"]}
    assert opened.start.known == {
        "hosts/s-1": (2, ledger.write_record(HOST_RECORD)),
        "config/log": (1, None),
    }
    saved = opened.start.saved
    assert saved.hard == HardState(2, 6)
    assert saved.config == CONFIG
    assert saved.incoming == (INCOMING, (b"first", b"second"))
    assert saved.snapshot is not None
    assert saved.snapshot.meta.index == 7
    records = Records()
    records.restore(saved.snapshot.pieces)
    assert [entry.index for entry in saved.entries] == list(range(5, 13))
    assert saved.entries[-1].kind == raft.Kind.CONFIG
    for entry in saved.entries:
        if entry.index > 7 and entry.kind == raft.Kind.DATA:
            records.apply(entry.index, entry.data)
    assert sorted(records.items) == ["config/log", "hosts/s-1", "last"]


def test_the_same_jobs_write_the_same_rows(killed_store: Path, tmp_path: Path) -> None:
    folder = tmp_path / "anew"
    disk = Disk(str(folder), Identity(9, 5, "n0"), CONFIG)
    disk.load()
    entries = [raft.Entry(1, 1, raft.Kind.EMPTY)]
    entries += [raft.Entry(i, 1, raft.Kind.DATA, write_command(one)) for i, one in enumerate(COMMANDS, 2)]
    entries.append(raft.Entry(12, 1, raft.Kind.CONFIG, raft.write_config(CONFIG)))
    disk.do([Job(1, Write(1, hard=HardState(1, 5), entries=tuple(entries[:8])))])
    records = Records()
    for entry in entries[1:7]:
        records.apply(entry.index, entry.data)
    disk.do([Job(2, None, SnapshotJob(7, 1, CONFIG, records.freeze(200), 5))])
    facts = tuple(enumerate(FACTS.values(), 1))
    known = (("hosts/s-1", 2, ledger.write_record(HOST_RECORD)), ("config/log", 1, None))
    shown = ((6, Shown(Boot(3, 77), 1, 9)),)
    write = Write(3, entries=tuple(entries[8:]))
    disk.do([Job(3, write, facts=facts, known=known, shown=shown)])
    pieces = ((INCOMING, 0, b"first"), (INCOMING, 1, b"second"))
    disk.do([Job(4, Write(4, hard=HardState(2, 6), pieces=pieces), gone_facts=(2,))])
    disk.close()
    assert list(_rows(folder)) == list(_rows(killed_store))


def test_backup_file(tmp_path: Path) -> None:
    head, snapshot = read_backup(str(DATA / "backup"))
    assert (head.cluster, snapshot.meta.index, snapshot.meta.config) == (9, 11, CONFIG)
    assert [piece.hex() for piece in snapshot.pieces] == WRITTEN["snapshot_pieces"]
    assert snapshot.meta.digest == digest(snapshot.pieces)
    write_backup(str(tmp_path / "backup"), 9, snapshot)
    assert (tmp_path / "backup").read_bytes() == (DATA / "backup").read_bytes()


def test_join_ticket(tmp_path: Path) -> None:
    member = CONFIG.members[1]
    assert write_ticket(9, member) == WRITTEN["join_ticket"]
    assert join(str(tmp_path / "joined"), WRITTEN["join_ticket"]) == member


def test_marks_of_the_state_folder(tmp_path: Path) -> None:
    folder = DATA / "state-folder"
    assert Files(str(folder)).read() == set(WRITTEN["state_folder_marks"])
    files = Files(str(tmp_path))
    for name in WRITTEN["state_folder_marks"]:
        files.put(name)
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted(path.name for path in folder.iterdir())


def test_peer_datagram() -> None:
    written = bytes.fromhex(WRITTEN["peer_datagram"])
    assert sharing.decode(written) == ((12.34, 5.6), [(70000 & 0xFFFF, 0.5, 3), (2, 255 / 64, 255)])
    assert next(sharing.encode((12.34, 5.6), [(70000, 0.5, 3), (2, 9.0, 400)])) == written


class _Link:
    def __init__(self) -> None:
        self.sent = b""

    def write(self, data: bytes) -> None:
        self.sent += data


class _Wheel:
    def at(self, when: int, call: Any) -> None:
        """No time passes."""


class _Node:
    """What hot restart asks of a node, and what it tells it."""

    def __init__(self) -> None:
        self.wheel = _Wheel()
        self.stopping = 0
        self.succeeded = False
        self.reloaded = True
        self.hear_taken: list[Any] = []
        self.recall = Inherited({"s-2": 1700000000123})
        self.heard: list[Any] = []

    def log(self, kind: str, text: str) -> None:
        """Not looked at here."""

    def listed(self) -> HostList:
        return read_hosts(hosts(host("s-1"), host("s-2", "127.0.0.1:10", "leaving"), reset=True))

    def ids_lately(self) -> list[int]:
        return [1, 0x9B1F03AA5C7E2D41]

    def returned(self) -> dict[str, int]:
        return {"s-1": 1700000001000000}

    def holds(self) -> Holds:
        return Holds(12, {"s-1": 7, "s-2": 3})

    def held_elsewhere(self, holds: Holds, now: int) -> None:
        self.heard.append(holds)

    def returned_elsewhere(self, returned: dict[str, int], now: int) -> None:
        self.heard.append(returned)

    def taken_elsewhere(self, number: int) -> None:
        self.heard.append(number)

    def relist(self, name: str, now: int) -> None:
        self.heard.append(f"relist {name}")

    def informed(self) -> bool:
        return False


def test_handover_lines_of_the_old_process() -> None:
    node: Any = _Node()
    elder = Elder(node, lambda: None, lambda: None)
    assert elder.hello().decode() == WRITTEN["handover"]["hello"]
    asker, link = Asker(elder), _Link()
    asker.connected(link, 0)  # type: ignore[arg-type]
    for hear in node.hear_taken:
        hear(0x9B1F03AA5C7E2D42)
    elder.tell("drained 1700000000999 s-1")
    asker.feed(WRITTEN["handover"]["successor_lines"].encode(), 0)
    elder.tell("stopping")
    assert link.sent.decode() == WRITTEN["handover"]["parent_lines"]
    assert node.succeeded


def test_handover_lines_as_the_successor_reads_them() -> None:
    node: Any = _Node()
    hello = read_hello(WRITTEN["handover"]["hello"].encode())
    assert hello.hosts == node.listed()
    assert hello.ids == (1, 0x9B1F03AA5C7E2D41)
    assert hello.reloaded
    assert hello.drained == {"s-2": 1700000000123}
    called: list[str] = []
    heir = Heir(node, hello, lambda: called.append("ready"), 0)
    heir.feed(WRITTEN["handover"]["parent_lines"].encode(), 0)
    assert node.heard == [
        node.holds(),
        node.returned(),
        *hello.ids,
        0x9B1F03AA5C7E2D42,
        "relist s-1",
        node.holds(),
    ]
    assert node.recall.drained() == {"s-1": 1700000000999, "s-2": 1700000000123}
    assert called == ["ready"]
    link = _Link()
    heir.connected(link, 0)  # type: ignore[arg-type]
    heir.say("serving")
    assert link.sent.decode() == WRITTEN["handover"]["successor_lines"]


def test_the_state_folders_name_is_that_of_the_release_before(tmp_path: Path) -> None:
    peers = ["127.0.0.1:8081", "127.0.0.2:8081"]
    environment = configuration(
        tmp_path, listen="127.0.0.1:8080", peer_listen="127.0.0.1:8081", peers=peers
    )
    assert load({**environment, "TMPDIR": "/tmp"}).state == WRITTEN["state_folder_name"]
