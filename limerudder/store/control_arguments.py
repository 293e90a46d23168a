"""Parses the arguments of control calls from JSON; all functions may raise one of `CALL_ERRORS`."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

from limerudder.core.transport import parse_address
from limerudder.store.commands import (
    Compare,
    CompareTarget,
    Delete,
    Get,
    Operation,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.control_protocol import ControlError, ControlErrorKind, JsonObject, decode_value
from limerudder.store.data_directory import random_id
from limerudder.store.raft.messages import Member, MemberRole

MAX_ITEMS = 10_000  #: Maximum number of items in an answer
MAX_NUMBER = (1 << 63) - 1  #: Largest revision, version, session or serial number


class GetArguments(NamedTuple):
    """A read of one key, or of all keys with a prefix."""

    key: str
    prefix: str | None
    max_items: int
    allow_stale: bool  # Answer from this member's state, without contacting a quorum


class WatchArguments(NamedTuple):
    """A watch of the changes after a revision."""

    prefix: str
    after_revision: int


def parse_get(call: JsonObject) -> GetArguments:
    """Return the arguments of `get`."""
    prefix = call.get("prefix")
    return GetArguments(
        key="" if "prefix" in call else str(call["key"]),
        prefix=None if prefix is None else str(prefix),
        max_items=min(int(call.get("most", MAX_ITEMS)), MAX_ITEMS),
        allow_stale=bool(call.get("stale")),
    )


def parse_put(call: JsonObject) -> Transaction:
    """Return the transaction of `put`, which reads the existing item if its comparison fails."""
    key = str(call["key"])
    value = decode_value(call["value"])
    return Transaction(_expected_revision(key, call), (Put(key, value),), (Get(key),))


def parse_delete(call: JsonObject) -> Transaction:
    """Return the transaction of `delete`, which reads the existing item in either case."""
    key = str(call["key"])
    return Transaction(_expected_revision(key, call), (Get(key), Delete(key)), (Get(key),))


def _expected_revision(key: str, call: JsonObject) -> tuple[Compare, ...]:
    if "modified" not in call:
        return ()
    return (_parse_compare({"key": key, "modified": call["modified"]}),)


def parse_transaction(call: JsonObject) -> Transaction:
    """Return the transaction of `txn` or `do`: its fields `if`, `then` and `else`."""
    try:
        return Transaction(
            tuple(map(_parse_compare, call.get("if", []))),
            tuple(map(_parse_operation, call.get("then", []))),
            tuple(map(_parse_operation, call.get("else", []))),
        )
    except (AttributeError, KeyError, TypeError) as error:
        text = f"a transaction that cannot be read: {type(error).__name__} {error}"
        raise ControlError(ControlErrorKind.INVALID, text) from error


def _parse_compare(compare: Any) -> Compare:
    key = str(compare["key"])
    if "value" in compare:
        return Compare(key, CompareTarget.VALUE, decode_value(compare["value"]))
    if "modified" in compare:
        return Compare(key, CompareTarget.MODIFIED, number=_parse_revision(compare["modified"]))
    return Compare(key, CompareTarget.VERSION, number=_parse_revision(compare["version"]))


def _parse_revision(number: Any) -> int:
    if not isinstance(number, int) or not 0 <= number <= MAX_NUMBER:
        raise ControlError(ControlErrorKind.INVALID, f"{number!r} is no revision")
    return number


def _parse_operation(operation: Any) -> Operation:
    if "put" in operation:
        return Put(str(operation["put"]), decode_value(operation["value"]))
    if "delete" in operation:
        return Delete(str(operation["delete"]))
    return Get(str(operation["get"]))


def parse_session_write(call: JsonObject) -> SessionWrite:
    """Return the command of `do`."""
    transaction = parse_transaction(call)
    session_id = int(call["session"])
    serial = int(call["serial"])
    acknowledged_serial = int(call["seen"])
    if not all(0 <= number <= MAX_NUMBER for number in (session_id, serial, acknowledged_serial)):
        raise ControlError(ControlErrorKind.INVALID, "session, serial and seen are numbers from 0 on")
    return SessionWrite(session_id, serial, acknowledged_serial, transaction)


def parse_watch(call: JsonObject, current_revision: int) -> WatchArguments:
    """Return the arguments of `watch`, which starts at the current revision by default."""
    after_revision = call.get("after", current_revision)
    if not isinstance(after_revision, int) or after_revision < 0:
        raise ControlError(ControlErrorKind.INVALID, f"after: {after_revision!r} is no revision")
    return WatchArguments(str(call.get("prefix", "")), after_revision)


def parse_new_member(call: JsonObject) -> Member:
    """Return the member to be added by `add`, with a new identifier."""
    role = MemberRole.LEARNER if call.get("learner") else MemberRole.JOINING
    member = Member(random_id(), str(call["member"]), str(call["address"]), role)
    try:
        parse_address(member.address)
    except ValueError as error:
        raise ControlError(ControlErrorKind.INVALID, str(error)) from error
    return member


def parse_backup_path(call: JsonObject) -> str:
    """Return the path that `backup` writes to."""
    path = str(call["path"])
    if not os.path.isabs(path):
        raise ControlError(ControlErrorKind.INVALID, "path: an absolute path is wanted")
    return path
