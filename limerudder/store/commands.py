"""Commands of the replicated key-value state: types, encoding in the log, and size limits.

Every type here is stored in the log or in snapshots as a MessagePack array, so the order of the fields and
the tags are part of the stored format. Only the names of the fields are free to change.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

MAX_KEY_BYTES = 256
MAX_OPERATIONS = 64  #: comparisons and operations of one transaction, together
MAX_TRANSACTION_VALUES = 4  #: a transaction may write as many bytes as this many values of the largest size
MAX_QUOTED_KEY_CHARACTERS = 40  #: of a rejected key that an error message repeats


class Item(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key; `version` counts the changes since the key was created."""

    value: bytes
    created_revision: int
    modified_revision: int
    version: int


class CompareTarget(IntEnum):
    """The property of a key that a comparison looks at."""

    VALUE = 0
    MODIFIED = 1  #: the revision of the last change, 0 for a key that does not exist
    VERSION = 2  #: 0 for a key that does not exist


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """Holds if the key's value equals `value`, or its revision or version equals `number`."""

    key: str
    target: CompareTarget
    value: bytes = b""
    number: int = 0


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Sets the value of a key."""

    key: str
    value: bytes


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="del"):
    """Removes a key."""

    key: str


class Get(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """Returns the item of a key as it is at this point of the transaction."""

    key: str


Operation = Put | Delete | Get


class Transaction(msgspec.Struct, frozen=True, array_like=True):
    """Runs `on_success` if all comparisons hold, else `on_failure`: atomically, at one revision."""

    comparisons: tuple[Compare, ...] = ()
    on_success: tuple[Operation, ...] = ()
    on_failure: tuple[Operation, ...] = ()


class OpenSession(msgspec.Struct, frozen=True, array_like=True, tag="open"):
    """Opens a session, whose identifier is the log index of this command."""


class CloseSession(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Closes a session."""

    session_id: int


class SessionWrite(msgspec.Struct, frozen=True, array_like=True, tag="do"):
    """A transaction within a session, which is applied once however often the client retries it.

    `acknowledged_serial`: the client has the results of all its writes up to this serial number.
    """

    session_id: int
    serial: int
    acknowledged_serial: int
    transaction: Transaction


Command = OpenSession | CloseSession | SessionWrite


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a command."""

    index: int  # of the command in the log; for `OpenSession` this is the session's identifier
    revision: int  # of the state after the command
    succeeded: bool = True  # all comparisons held
    items: tuple[Item | None, ...] = ()  # of the `Get` operations, in order
    error: str = ""  # why the command was not applied: unknown session, or an outdated serial number


_encode = msgspec.msgpack.Encoder().encode
_command_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Command)
_result_decoder: msgspec.msgpack.Decoder[CommandResult] = msgspec.msgpack.Decoder(CommandResult)


def encode_command(command: Command) -> bytes:
    """Encodes a command as a log entry holds it."""
    return _encode(command)


def decode_command(data: bytes) -> Command:
    """Decodes a command from a log entry; raises msgspec.DecodeError if it is malformed."""
    command: Command = _command_decoder.decode(data)
    return command


def encode_result(result: CommandResult) -> bytes:
    """Encodes a result as the leader's reply carries it."""
    return _encode(result)


def decode_result(data: bytes) -> CommandResult:
    """Decodes a result from the leader's reply; raises msgspec.DecodeError if it is malformed."""
    return _result_decoder.decode(data)


def transaction_error(transaction: Transaction, max_value_bytes: int) -> str | None:
    """Returns why a transaction exceeds the size limits or has an invalid key, or None if it is valid."""
    operations = (*transaction.on_success, *transaction.on_failure)
    if len(transaction.comparisons) + len(operations) > MAX_OPERATIONS:
        return f"more than {MAX_OPERATIONS} comparisons and operations"
    for part in (*transaction.comparisons, *operations):
        if not _is_valid_key(part.key):
            quoted = part.key[:MAX_QUOTED_KEY_CHARACTERS]
            return f"the key {quoted!r} is empty, longer than {MAX_KEY_BYTES} bytes or not printable"
    puts = [operation for operation in operations if isinstance(operation, Put)]
    for put in puts:
        if len(put.value) > max_value_bytes:
            return f"the value of {put.key} has {len(put.value)} bytes; at most {max_value_bytes} are taken"
    total_bytes = sum(len(put.value) for put in puts)
    max_total_bytes = MAX_TRANSACTION_VALUES * max_value_bytes
    if total_bytes > max_total_bytes:
        return f"{total_bytes} bytes of values; at most {max_total_bytes} in one go"
    return None


def _is_valid_key(key: str) -> bool:
    return bool(key) and len(key.encode()) <= MAX_KEY_BYTES and key.isprintable()
