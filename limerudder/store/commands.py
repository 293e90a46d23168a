"""Commands of the replicated key-value state: types, encoding in the log, and size limits.

All types in this module are stored in the log or in snapshots as MessagePack arrays: tags and the order of
the fields are part of the stored format, field names are not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from limerudder.store.raft.messages import MAX_DATA_BYTES

MAX_KEY_BYTES = 256
MAX_OPERATIONS = 64  #: Maximum total of comparisons and operations per transaction
MAX_TRANSACTION_VALUES = 4  #: Maximum bytes written per transaction, in multiples of the value size limit
MAX_QUOTED_KEY_CHARACTERS = 40  #: Maximum length of a rejected key in an error message


class Item(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key; `version` is the number of changes since the key was created."""

    value: bytes
    created_revision: int
    modified_revision: int
    version: int


class CompareTarget(IntEnum):
    """The property of a key that is compared."""

    VALUE = 0
    MODIFIED = 1  #: Revision of the last change, 0 if the key does not exist
    VERSION = 2  #: Number of changes, 0 if the key does not exist


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """True if the key's value equals `value`, or its revision or version equals `number`."""

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
    """Returns the item of a key at this point of the transaction."""

    key: str


Operation = Put | Delete | Get


class Transaction(msgspec.Struct, frozen=True, array_like=True):
    """Atomically runs `on_success` if all comparisons are true, else `on_failure`, at one revision."""

    comparisons: tuple[Compare, ...] = ()
    on_success: tuple[Operation, ...] = ()
    on_failure: tuple[Operation, ...] = ()


class OpenSession(msgspec.Struct, frozen=True, array_like=True, tag="open"):
    """Opens a session, whose identifier is the log index of this command."""


class CloseSession(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Closes a session."""

    session_id: int


class SessionWrite(msgspec.Struct, frozen=True, array_like=True, tag="do"):
    """A transaction within a session, applied only once even if the client retries it.

    The client has received the results of all its writes up to `acknowledged_serial`.
    """

    session_id: int
    serial: int
    acknowledged_serial: int
    transaction: Transaction


Command = OpenSession | CloseSession | SessionWrite


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a command."""

    index: int  # log index of the command; for `OpenSession` also the session's identifier
    revision: int  # revision of the state after the command
    succeeded: bool = True  # all comparisons were true
    items: tuple[Item | None, ...] = ()  # results of the `Get` operations, in order
    error: str = ""  # reason for not applying the command, such as an unknown session; empty if applied


_encode = msgspec.msgpack.Encoder().encode
_command_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Command)
_result_decoder: msgspec.msgpack.Decoder[CommandResult] = msgspec.msgpack.Decoder(CommandResult)


def encode_command(command: Command) -> bytes:
    """Encodes a command as the data of a log entry."""
    return _encode(command)


def decode_command(data: bytes) -> Command:
    """Decodes a command from a log entry; raises msgspec.DecodeError if it is malformed."""
    command: Command = _command_decoder.decode(data)
    return command


def encode_result(result: CommandResult) -> bytes:
    """Encodes a result for the leader's reply."""
    return _encode(result)


def decode_result(data: bytes) -> CommandResult:
    """Decodes a result from the leader's reply; raises msgspec.DecodeError if it is malformed."""
    return _result_decoder.decode(data)


def encoded_size_error(command: bytes) -> str | None:
    """Returns why an encoded command cannot be sent to other members, or None if it can."""
    if len(command) <= MAX_DATA_BYTES:
        return None
    size = f"a transaction of {len(command)} bytes with its keys and comparisons"
    return f"{size}; at most {MAX_DATA_BYTES} are taken"


def transaction_error(transaction: Transaction, max_value_bytes: int) -> str | None:
    """Returns the size limit or key rule that a transaction violates, or None if it is valid."""
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
