"""What tools say to a member: JSON lines over a Unix socket in its folder, one call a line, answers in order.

A call is `{"call": NAME, …}`; its answer `{"ok": true, …}`, or `{"ok": false, "kind": KIND, "error": TEXT}`
where KIND is one of wrong (the call), refused, busy, not_now, unsure, not_there, compacted. Values are
text; those that are not UTF-8 stand as `{"base64": …}`. A `watch` is answered line after line until the
caller goes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

import msgspec

from limerudder.core.transport import parse_address
from limerudder.store import data_directory as folders
from limerudder.store.backup import write_backup
from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import (
    Command,
    CommandResult,
    Compare,
    CompareTarget,
    Delete,
    Get,
    Item,
    OpenSession,
    Operation,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.drain_log import HOST_KEY_PREFIX
from limerudder.store.raft.messages import Member, MemberRole
from limerudder.store.rpc import RequestKind
from limerudder.store.sessions import RequestSequence
from limerudder.store.state_machine import CompactedError
from limerudder.store.store import Store

NAME = "control"  #: the socket in the folder
MOST = 2 << 20  #: bytes of a line
BUFFER = 1 << 20  #: bytes that wait for a slow caller, before a watch waits too
WAIT = 5_000_000  #: for an answer, where the call says nothing else
WAIT_MOST = 600_000_000


class ControlError(Exception):
    """A call that is not done, and what kind of reason there is."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


def value_out(value: bytes) -> Any:
    """A value as JSON has it."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode()}


def value_in(value: Any) -> bytes:
    """A value from JSON."""
    if isinstance(value, str):
        return value.encode()
    if isinstance(value, dict) and isinstance(value.get("base64"), str):
        try:
            return base64.b64decode(value["base64"], validate=True)
        except ValueError as exc:
            raise ControlError("wrong", f"base64: {exc}") from None
    raise ControlError("wrong", 'a value is a string or {"base64": …}')


def item_out(key: str, item: Item | None) -> dict[str, Any]:
    """An item as JSON has it."""
    if item is None:
        return {"key": key, "gone": True}
    told = {"key": key, "value": value_out(item.value), "modified": item.modified_revision}
    return told | {"created": item.created_revision, "version": item.version}


def read_txn(given: Any) -> Transaction:
    """A transaction from JSON: `if`, `then` and `else`."""
    try:
        return Transaction(
            tuple(map(_read_compare, given.get("if", []))),
            tuple(map(_read_op, given.get("then", []))),
            tuple(map(_read_op, given.get("else", []))),
        )
    except (AttributeError, KeyError, TypeError) as exc:
        raise ControlError(
            "wrong", f"a transaction that cannot be read: {type(exc).__name__} {exc}"
        ) from None


def _read_compare(given: Any) -> Compare:
    key = str(given["key"])
    if "value" in given:
        return Compare(key, CompareTarget.VALUE, value_in(given["value"]))
    what = CompareTarget.MODIFIED if "modified" in given else CompareTarget.VERSION
    number = given["modified"] if "modified" in given else given["version"]
    if not isinstance(number, int) or not 0 <= number < 1 << 63:
        raise ControlError("wrong", f"{number!r} is no revision")
    return Compare(key, what, b"", number)


def _read_op(given: Any) -> Operation:
    if "put" in given:
        return Put(str(given["put"]), value_in(given["value"]))
    return Delete(str(given["delete"])) if "delete" in given else Get(str(given["get"]))


class ControlSession(asyncio.Protocol):
    """One tool's connection. Writes share a session, which ends with it."""

    def __init__(self, control: ControlServer) -> None:
        self.control, self.store = control, control.store
        self.transport: asyncio.Transport | None = None
        self.rest = b""
        self.session, self.serials = 0, RequestSequence()
        self.opening: list[Callable[[], None]] | None = None
        self.watching: tuple[str, int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A tool has come."""
        self.transport = cast(asyncio.Transport, transport)
        self.control.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self.control.callers.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Lines, in any pieces."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > MOST:
            self._say({"ok": False, "kind": "wrong", "error": f"a line of more than {MOST} bytes"})
            if self.transport:
                self.transport.close()
            return
        for line in lines:
            if line.strip():
                self._call(line)
        self.store.pump_soon()

    def _say(self, told: dict[str, Any]) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(json.dumps(told).encode() + b"\n")

    def _call(self, line: bytes) -> None:
        tag = None
        try:
            given = json.loads(line)
            if not isinstance(given, dict):
                raise ControlError("wrong", "a call is a JSON object")
            tag = given.get("tag")
            call = CALLS.get(str(given.get("call")))
            if call is None:
                raise ControlError("wrong", f"no such call; there are {', '.join(CALLS)}")
            wait = given.get("wait_ms", WAIT // 1000)
            if not isinstance(wait, int) or not 0 <= wait <= WAIT_MOST // 1000:
                raise ControlError("wrong", f"wait_ms: {wait!r} is not from 0 to {WAIT_MOST // 1000}")
            now = self.store.now()

            def told(outcome: Any) -> None:
                if isinstance(outcome, CallFailure):
                    kind = "unsure" if outcome.outcome_unknown else outcome.kind
                    outcome = {"ok": False, "kind": kind, "error": outcome.text}
                else:
                    outcome = {"ok": True, **outcome}
                self._say(outcome if tag is None else {**outcome, "tag": tag})

            call(self, given, now + wait * 1000, told)
        except ControlError as exc:
            self._wrong(exc.kind, str(exc), tag)
        except (ValueError, KeyError, TypeError, RecursionError) as exc:  # guards the member against any call
            self._wrong("wrong", f"a call that cannot be read: {type(exc).__name__} {exc}", tag)

    def _wrong(self, kind: str, text: str, tag: Any) -> None:
        told = {"ok": False, "kind": kind, "error": text}
        self._say(told if tag is None else {**told, "tag": tag})

    # the calls

    def status(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """How the member stands."""
        told(self.store.status())

    def members(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Who the members are."""
        told({"members": self.store.members()})

    def get(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """A key, or all under a prefix; `stale` asks this member alone and tells how old its word may be."""
        member = self.store.member
        prefix, key = given.get("prefix"), "" if "prefix" in given else str(given["key"])
        most = min(int(given.get("most", 10_000)), 10_000)

        def answer() -> None:
            if prefix is not None:
                items = [item_out(*one) for one in member.state.list_prefix(str(prefix), most)]
            else:
                item = member.state.get(key)
                if item is None:
                    return told(CallFailure(CallFailureKind.NOT_THERE, f"there is no {key}"))
                items = [item_out(key, item)]
            now = self.store.now()
            told(
                {
                    "items": items,
                    "revision": member.state.revision,
                    "age_ms": member.max_staleness_us(now) // 1000,
                }
            )

        if given.get("stale"):
            return answer()

        def read(outcome: CallFailure | None, at: int) -> None:
            if outcome:
                return told(outcome)
            answer()

        member.read_barrier(deadline, read, self.store.now())

    def put(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Set a key; `modified` only where that was its last change."""
        key, value = str(given["key"]), value_in(given["value"])
        compares = (
            (_read_compare({"key": key, "modified": given["modified"]}),) if "modified" in given else ()
        )
        self._write(Transaction(compares, (Put(key, value),), (Get(key),)), deadline, told)

    def delete(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Remove a key; `modified` only where that was its last change."""
        key = str(given["key"])
        compares = (
            (_read_compare({"key": key, "modified": given["modified"]}),) if "modified" in given else ()
        )
        self._write(Transaction(compares, (Get(key), Delete(key)), (Get(key),)), deadline, told)

    def txn(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """A transaction."""
        self._write(read_txn(given), deadline, told)

    def open(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Begin a session of the caller's own, to be used with `do` on any connection."""
        self._command(OpenSession(), deadline, told)

    def do(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """A transaction in a session, which may be said again with the same serial."""
        txn = read_txn(given)
        numbers = [int(given[name]) for name in ("session", "serial", "seen")]
        if not all(0 <= number < 1 << 63 for number in numbers):
            raise ControlError("wrong", "session, serial and seen are numbers from 0 on")
        session, serial, seen = numbers
        self._command(SessionWrite(session, serial, seen, txn), deadline, told)

    def _write(self, txn: Transaction, deadline: int, told: Callable[[Any], None]) -> None:
        """In this connection's own session, which is opened first."""

        def go() -> None:
            if not self.session:
                return told(
                    CallFailure(CallFailureKind.NOT_NOW, "no session could be opened: nothing was done")
                )
            serial = self.serials.next_serial()

            def answered(outcome: Any) -> None:
                self.serials.mark_answered(serial)
                told(outcome)

            self._command(
                SessionWrite(self.session, serial, self.serials.acknowledged_serial, txn), deadline, answered
            )
            self.store.pump_soon()

        if self.session:
            return go()
        if self.opening is not None:
            return self.opening.append(go)
        self.opening = [go]

        def opened(outcome: CommandResult | CallFailure, at: int) -> None:
            waiting, self.opening = self.opening or [], None
            if isinstance(outcome, CommandResult):
                self.session = outcome.index
            for one in waiting:
                one()

        self.store.member.write(OpenSession(), deadline, opened, self.store.now())

    def _command(self, command: Command, deadline: int, told: Callable[[Any], None]) -> None:
        def done(outcome: CommandResult | CallFailure, at: int) -> None:
            if isinstance(outcome, CallFailure):
                return told(outcome)
            if outcome.error:
                return told(CallFailure(CallFailureKind.REFUSED, outcome.error))
            if isinstance(command, OpenSession):
                return told({"session": outcome.index})
            txn = command.transaction if isinstance(command, SessionWrite) else Transaction()
            gets = [
                op.key
                for op in (txn.on_success if outcome.succeeded else txn.on_failure)
                if isinstance(op, Get)
            ]
            items = [item_out(*one) for one in zip(gets, outcome.items, strict=True)]
            told({"done": outcome.succeeded, "revision": outcome.revision, "items": items})

        self.store.member.write(command, deadline, done, self.store.now())

    def watch(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Changes under a prefix after a revision, as they come; the first answer tells where it begins."""
        records = self.store.member.state
        revision = given.get("after", records.revision)
        if not isinstance(revision, int) or revision < 0:
            raise ControlError("wrong", f"after: {revision!r} is no revision")
        if revision < records.compacted_revision:
            raise ControlError("compacted", str(CompactedError(records.compacted_revision)))
        told({"watching": True, "after": revision})
        self.watching = str(given.get("prefix", "")), revision
        self.watch_on()

    def watch_on(self) -> None:
        """Tell what has changed since; nothing while the caller reads slowly."""
        while self.watching and self.transport and self.transport.get_write_buffer_size() < BUFFER:
            prefix, revision = self.watching
            try:
                events, upto = self.store.member.state.changes_since(revision, prefix, 500)
            except CompactedError as exc:  # guards the caller against a gap that it would not notice
                self.watching = None
                self._say({"ok": False, "kind": "compacted", "error": str(exc), "revision": exc.revision})
                return
            for event in events:
                self._say({"ok": True, "revision": event.revision, **item_out(event.key, event.item)})
            if upto == revision:
                return
            self.watching = prefix, upto

    def resume_writing(self) -> None:
        """The caller reads again."""
        self.watch_on()

    def add(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Add a member; the answer holds the ticket that its folder is made from."""
        role = MemberRole.LEARNER if given.get("learner") else MemberRole.JOINING
        new = Member(folders.random_id(), str(given["member"]), str(given["address"]), role)
        try:
            parse_address(new.address)
        except ValueError as exc:
            raise ControlError("wrong", str(exc)) from None
        ticket = folders.encode_join_token(self.store.opened.identity.cluster_id, new)

        def done(outcome: bytes | CallFailure, at: int) -> None:
            told(
                outcome
                if isinstance(outcome, CallFailure)
                else {"member": f"{new.id:016x}", "ticket": ticket}
            )

        self.store.member.submit_request(
            RequestKind.ADD_MEMBER, msgspec.msgpack.encode(new), deadline, done, self.store.now()
        )

    def _named(self, given: dict[str, Any]) -> int:
        one = self.store.member.config.find_by_name(str(given["member"]))
        if one is None:
            raise ControlError("not_there", f"there is no member {given['member']}")
        return one.id

    def remove(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Take a member out."""
        self._simple(RequestKind.REMOVE_MEMBER, self._named(given), deadline, told)

    def transfer(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Have a member lead."""
        self._simple(RequestKind.TRANSFER_LEADERSHIP, self._named(given), deadline, told)

    def _simple(self, wish: RequestKind, number: int, deadline: int, told: Callable[[Any], None]) -> None:
        def done(outcome: bytes | CallFailure, at: int) -> None:
            told(outcome if isinstance(outcome, CallFailure) else {})

        self.store.member.submit_request(wish, number.to_bytes(8, "big"), deadline, done, self.store.now())

    def backup(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """Write the records, as of a linearizable read, into a file."""
        path = str(given["path"])
        if not os.path.isabs(path):
            raise ControlError("wrong", "path: an absolute path is wanted")
        member = self.store.member

        def read(outcome: CallFailure | None, at: int) -> None:
            if outcome:
                return told(outcome)
            job = member.capture_snapshot()
            revision = member.state.revision

            def write() -> None:
                write_backup(path, self.store.opened.identity.cluster_id, job.build())

            def written(future: asyncio.Future[None]) -> None:
                exc = future.exception()
                failed = CallFailure(CallFailureKind.REFUSED, f"cannot write {path}: {exc}") if exc else None
                told(failed or {"path": path, "revision": revision, "entry": job.index})

            # beside the loop: a large file would keep clients waiting
            self.store.loop.run_in_executor(None, write).add_done_callback(written)

        member.read_barrier(deadline, read, self.store.now())

    def hosts(self, given: dict[str, Any], deadline: int, told: Callable[[Any], None]) -> None:
        """What holds for hosts here and now, agreed on or not yet."""
        ledger = self.store.member.drain_log
        waiting = {fact.host for fact in ledger.pending_facts.values()}
        rows = [
            {
                "host": host,
                "agreed": host not in waiting,
                **msgspec.to_builtins(ledger.effective_record(host)),
            }
            for host in sorted(ledger.hosts())
        ]
        told({"hosts": rows, "key": HOST_KEY_PREFIX})


CALLS: dict[str, Callable[[ControlSession, dict[str, Any], int, Callable[[Any], None]], None]] = {
    "status": ControlSession.status,
    "members": ControlSession.members,
    "get": ControlSession.get,
    "put": ControlSession.put,
    "delete": ControlSession.delete,
    "txn": ControlSession.txn,
    "open": ControlSession.open,
    "do": ControlSession.do,
    "watch": ControlSession.watch,
    "add": ControlSession.add,
    "remove": ControlSession.remove,
    "transfer": ControlSession.transfer,
    "backup": ControlSession.backup,
    "hosts": ControlSession.hosts,
}


class ControlServer:
    """The socket, and who is calling."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.callers: set[ControlSession] = set()
        self.server: asyncio.Server | None = None
        self.path = os.path.join(store.settings.folder, NAME)
        store.member.change_listeners.append(self._changed)

    async def listen(self) -> None:
        """Take calls. A socket left by a process that was killed makes place: the folder is locked."""
        with suppress(FileNotFoundError):
            os.unlink(self.path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # by a way that is short enough for a Unix socket's name
        handle = os.open(self.store.settings.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            sock.bind(f"/proc/self/fd/{handle}/{NAME}")
        finally:
            os.close(handle)
        os.chmod(self.path, 0o600)
        sock.setblocking(False)
        self.server = await asyncio.get_running_loop().create_unix_server(
            lambda: ControlSession(self), sock=sock
        )

    def _changed(self, now: int) -> None:
        for caller in self.callers:
            caller.watch_on()

    def close(self) -> None:
        """Take no more calls."""
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport:
                caller.transport.close()
        with suppress(OSError):
            os.unlink(self.path)
