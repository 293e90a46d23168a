"""The records: a versioned key space that every member builds from the same log, and so in the same way.

Every change has a revision. A session's writes are applied once however often they come: the records keep the
results that their writer has not seen (Ongaro's thesis, 6.3). Nothing here depends on time or chance.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from enum import IntEnum
from typing import Any

import msgspec

MAX_SESSIONS = 4096  #: the longest unused goes for one more
MAX_UNACKNOWLEDGED_RESULTS = (
    512  #: of a session that its writer has not seen: so many writes may be under way in it
)
MAX_KEY_BYTES = 256  #: bytes
MAX_OPERATIONS = 64  #: comparisons and operations of one transaction
SNAPSHOT_CHUNK_BYTES = 128 * 1024  #: bytes of a snapshot's piece, about
FORMAT = 1  #: of snapshots; older ones are read as well, newer ones refused


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key's value; `version` counts its changes since it was `created`."""

    value: bytes
    created: int  # revisions
    modified: int
    version: int


class CompareTarget(IntEnum):
    """What of a key is compared."""

    VALUE = 0
    MODIFIED = 1  #: the revision of its last change, 0 where it is not there
    VERSION = 2  #: 0 where it is not there


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """Whether what a key holds is just this."""

    key: str
    what: CompareTarget
    value: bytes = b""
    number: int = 0


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Set a key."""

    key: str
    value: bytes


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="del"):
    """Remove a key."""

    key: str


class Get(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """Give a key's item as it is at that point."""

    key: str


Op = Put | Delete | Get


class Transaction(msgspec.Struct, frozen=True, array_like=True):
    """`then` where all comparisons hold, `other` where not; all of it at one revision, or none."""

    compares: tuple[Compare, ...] = ()
    then: tuple[Op, ...] = ()
    other: tuple[Op, ...] = ()


class OpenSession(msgspec.Struct, frozen=True, array_like=True, tag="open"):
    """Begin a session; its number is the index of this command."""


class CloseSession(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """End a session."""

    session: int


class SessionWrite(msgspec.Struct, frozen=True, array_like=True, tag="do"):
    """A session's write. `seen`: the results of all its writes up to this serial have arrived."""

    session: int
    serial: int
    seen: int
    txn: Transaction


Command = OpenSession | CloseSession | SessionWrite


class Result(msgspec.Struct, frozen=True, array_like=True):
    """What came of a command."""

    index: int  # where it stands in the log; for `Open` this is the session
    revision: int  # of the records after it
    ok: bool = True  # the comparisons held
    items: tuple[Item | None, ...] = ()  # of its `Get`s
    error: str = ""  # nothing was done: the session is not known, or has passed this serial


class ChangeEvent(msgspec.Struct, frozen=True, array_like=True):
    """A change of a key; no item where it was removed."""

    revision: int
    key: str
    item: Item | None


class CompactedError(Exception):
    """Changes that are no longer kept were asked for; `revision` is the last that is gone."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"changes up to revision {revision} are no longer kept")
        self.revision = revision


class Session:
    """The results that its writer may not have seen, by serial."""

    __slots__ = ("results", "seen")

    def __init__(self, seen: int = 0, results: dict[int, Result] | None = None) -> None:
        self.seen = seen
        self.results = results or {}


class RequestSequence:
    """A session as its writer keeps it: the last serial, and up to which all have been answered."""

    def __init__(self) -> None:
        self.last = self.seen = 0
        self.answered: set[int] = set()

    def next(self) -> int:
        """A new one."""
        self.last += 1
        return self.last

    def done(self, serial: int) -> None:
        """It has been answered, or will not be said again."""
        self.answered.add(serial)
        while self.seen + 1 in self.answered:
            self.seen += 1
            self.answered.discard(self.seen)


class _Head(msgspec.Struct, frozen=True, array_like=True):
    format: int
    applied: int
    revision: int
    items: int
    sessions: int


_encode = msgspec.msgpack.Encoder().encode
_decode_command: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Command)
_decode_head: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(_Head)
_decode_items: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(list[tuple[str, Item]])
_decode_sessions: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    list[tuple[int, int, dict[int, Result]]]
)


def encode_command(command: Command) -> bytes:
    """A command as the log holds it."""
    return _encode(command)


def decode_command(data: bytes) -> Command:
    """A command from the log; msgspec.DecodeError where it is none."""
    command: Command = _decode_command.decode(data)
    return command


class SnapshotError(Exception):
    """A snapshot that cannot be read."""


class SnapshotView:
    """The records as they were at one moment, to be written out while they go on changing."""

    def __init__(self, records: KeyValueState, piece: int) -> None:
        self.piece = piece
        self.head = _Head(
            FORMAT, records.applied, records.revision, len(records.items), len(records.sessions)
        )
        self.items = list(records.items.items())
        self.sessions = [(n, one.seen, dict(one.results)) for n, one in records.sessions.items()]

    def pieces(self) -> Iterator[bytes]:
        """Them as bytes, a piece at a time: always the same for the same records."""
        yield _encode(self.head)
        yield from _batches(self.items, lambda one: len(one[1].value) + len(one[0]) + 32, self.piece)
        yield from _batches(self.sessions, lambda one: 32 + 64 * len(one[2]), self.piece)


def _batches(rows: Sequence[Any], size: Callable[[Any], int], piece: int) -> Iterator[bytes]:
    batch: list[Any] = []
    room = piece
    for row in rows:
        batch.append(row)
        room -= size(row)
        if room <= 0:
            yield _encode(batch)
            batch, room = [], piece
    if batch:
        yield _encode(batch)


class KeyValueState:
    """The key space, its sessions, and its last changes."""

    def __init__(self, history: int = 10_000) -> None:
        self.items: dict[str, Item] = {}
        self.keys: list[str] = []  # in order
        self.sessions: dict[int, Session] = {}  # the longest unused first
        self.revision = self.applied = 0
        self.history: deque[ChangeEvent] = deque()
        self.history_most = history
        self.compacted = 0  # changes up to this revision are gone

    # commands

    def apply(self, index: int, data: bytes) -> Result:
        """Carry out the command that stands at this index."""
        assert index > self.applied, "each entry is applied once, in order"
        self.applied = index
        try:
            command = decode_command(data)
        except msgspec.DecodeError as exc:  # alike at every member: it changes nothing
            return Result(index, self.revision, False, (), f"a command that cannot be read: {exc}")
        match command:
            case OpenSession():
                while len(self.sessions) >= MAX_SESSIONS:
                    del self.sessions[next(iter(self.sessions))]
                self.sessions[index] = Session()
                return Result(index, self.revision)
            case CloseSession(session):
                self.sessions.pop(session, None)
                return Result(index, self.revision)
            case SessionWrite():
                return self._do(index, command)
        raise AssertionError("all commands are above")

    def _do(self, index: int, command: SessionWrite) -> Result:
        session = self.sessions.pop(command.session, None)
        if session is None:
            return Result(index, self.revision, False, (), "the session has ended")
        self.sessions[command.session] = session  # used last
        if command.seen > session.seen:
            session.seen = command.seen
            for serial in [serial for serial in session.results if serial <= command.seen]:
                del session.results[serial]
        if command.serial in session.results:
            return session.results[command.serial]
        if command.serial <= session.seen:
            return Result(index, self.revision, False, (), "the session has passed this serial")
        if len(session.results) >= MAX_UNACKNOWLEDGED_RESULTS:
            return Result(index, self.revision, False, (), "too many results of the session are not seen")
        result = session.results[command.serial] = self._txn(index, command.txn)
        return result

    def _txn(self, index: int, txn: Transaction) -> Result:
        ok = all(map(self._holds, txn.compares))
        ops = txn.then if ok else txn.other
        revision = self.revision + 1
        changed, items = False, list[Item | None]()
        for op in ops:
            match op:
                case Put(key, value):
                    self._set(key, value, revision)
                    changed = True
                case Delete(key):
                    changed = self._remove(key, revision) or changed
                case Get(key):
                    items.append(self.items.get(key))
        if changed:
            self.revision = revision
        while len(self.history) > self.history_most:
            self.compacted = self.history.popleft().revision
        return Result(index, self.revision, ok, tuple(items))

    def _holds(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        match compare.what:
            case CompareTarget.VALUE:
                return item is not None and item.value == compare.value
            case CompareTarget.MODIFIED:
                return (item.modified if item else 0) == compare.number
            case CompareTarget.VERSION:
                return (item.version if item else 0) == compare.number

    def _set(self, key: str, value: bytes, revision: int) -> None:
        before = self.items.get(key)
        if before is None:
            insort(self.keys, key)
        item = Item(
            value, before.created if before else revision, revision, before.version + 1 if before else 1
        )
        self.items[key] = item
        self.history.append(ChangeEvent(revision, key, item))

    def _remove(self, key: str, revision: int) -> bool:
        if self.items.pop(key, None) is None:
            return False
        del self.keys[bisect_left(self.keys, key)]
        self.history.append(ChangeEvent(revision, key, None))
        return True

    # reading

    def get(self, key: str) -> Item | None:
        """A key's item."""
        return self.items.get(key)

    def under(self, prefix: str, most: int | None = None) -> list[tuple[str, Item]]:
        """The keys that begin so, in order."""
        found = list[tuple[str, Item]]()
        for number in range(bisect_left(self.keys, prefix), len(self.keys)):
            key = self.keys[number]
            if not key.startswith(prefix) or len(found) == most:
                break
            found.append((key, self.items[key]))
        return found

    def since(self, revision: int, prefix: str = "", most: int = 1000) -> tuple[list[ChangeEvent], int]:
        """Changes after a revision, and the revision up to which this is all; Compacted where some are gone.

        A transaction's changes come together, so that a watch never stops within one.
        """
        if revision < self.compacted:
            raise CompactedError(self.compacted)
        found: list[ChangeEvent] = []
        upto = self.revision
        for event in self._after(revision):
            if len(found) >= most and event.revision != found[-1].revision:
                upto = event.revision - 1
                break
            if event.key.startswith(prefix):
                found.append(event)
        return found, upto

    def _after(self, revision: int) -> Iterator[ChangeEvent]:
        tail = list[ChangeEvent]()
        for event in reversed(self.history):
            if event.revision <= revision:
                break
            tail.append(event)
        return reversed(tail)

    # snapshots

    def freeze(self, piece: int = SNAPSHOT_CHUNK_BYTES) -> SnapshotView:
        """What is needed to write them out later, in pieces of about so many bytes."""
        return SnapshotView(self, piece)

    def restore(self, pieces: Sequence[bytes]) -> None:
        """Become what a snapshot holds; RecordsError, and no change, where it cannot be read."""
        try:
            head = _decode_head.decode(pieces[0])
            if head.format > FORMAT:
                raise SnapshotError(f"a snapshot of format {head.format}; this build reads up to {FORMAT}")
            items: dict[str, Item] = {}
            sessions: dict[int, Session] = {}
            for piece in pieces[1:]:
                if len(items) < head.items:
                    items.update(_decode_items.decode(piece))
                else:
                    for number, seen, results in _decode_sessions.decode(piece):
                        sessions[number] = Session(seen, results)
        except (msgspec.DecodeError, IndexError) as exc:
            raise SnapshotError(f"a snapshot that cannot be read: {exc}") from None
        if (len(items), len(sessions)) != (head.items, head.sessions):
            raise SnapshotError("a snapshot that lacks a piece")
        self.items, self.sessions = items, sessions
        self.keys = sorted(items)
        self.revision, self.applied = head.revision, head.applied
        self.history.clear()
        self.compacted = head.revision  # what came before is gone for watches here


def validate_transaction(txn: Transaction, value_most: int) -> str:
    """What is wrong with a transaction's size and keys; nothing where it may go on."""
    if len(txn.compares) + len(txn.then) + len(txn.other) > MAX_OPERATIONS:
        return f"more than {MAX_OPERATIONS} comparisons and operations"
    for key in [one.key for one in (*txn.compares, *txn.then, *txn.other)]:
        if not key or len(key.encode()) > MAX_KEY_BYTES or not key.isprintable():
            return f"the key {key[:40]!r} is empty, longer than {MAX_KEY_BYTES} bytes or not printable"
    for op in (*txn.then, *txn.other):
        if isinstance(op, Put) and len(op.value) > value_most:
            return f"the value of {op.key} has {len(op.value)} bytes; at most {value_most} are taken"
    total = sum(len(op.value) for op in (*txn.then, *txn.other) if isinstance(op, Put))
    return f"{total} bytes of values; at most {4 * value_most} in one go" if total > 4 * value_most else ""
