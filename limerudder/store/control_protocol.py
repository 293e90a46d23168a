"""The protocol of the control socket: JSON lines with one call per line.

A call is `{"call": NAME, …}`; its answer is `{"ok": true, …}`, or
`{"ok": false, "kind": KIND, "error": TEXT}` with a kind of ControlErrorKind. `wait_ms` in a call is the time
that the caller waits for the answer. Calls start in order, but are answered as they complete: a `tag`, which
may be any JSON value, is echoed in the answer. Values of keys are text; those that are not UTF-8 are
`{"base64": …}`. The answer to a `watch` is followed by a line for each change until the caller disconnects.
"""

from __future__ import annotations

import base64
import json
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import Any

from limerudder.store.calls import CallFailure
from limerudder.store.commands import Item

SOCKET_NAME = "control"  #: File name in the data directory
MAX_LINE_BYTES = 2 << 20
DEFAULT_WAIT_MS = 5_000
MAX_WAIT_MS = 600_000
MICROSECONDS_PER_MILLISECOND = 1000

JsonObject = dict[str, Any]
#: Receives the fields of an answer except `ok`, or the failure of the call
Respond = Callable[[JsonObject | CallFailure], None]


class ControlErrorKind(StrEnum):
    """Reason why a call failed."""

    INVALID = "wrong"  #: The call is malformed
    REJECTED = "refused"  #: The call is not allowed or not possible
    BUSY = "busy"  #: Too many calls are pending
    UNAVAILABLE = "not_now"  #: No leader, or no answer in time; the call had no effect
    OUTCOME_UNKNOWN = "unsure"  #: The call may have been or may still be carried out
    NOT_FOUND = "not_there"  #: The key or member does not exist
    COMPACTED = "compacted"  #: The changes requested by a watch are no longer kept


class ControlError(Exception):
    """A rejected call; the text states the reason."""

    def __init__(self, kind: ControlErrorKind, text: str) -> None:
        super().__init__(text)
        self.kind = kind


#: Exceptions that parsing a call from JSON may raise
CALL_ERRORS = (ControlError, ValueError, KeyError, TypeError, RecursionError)


@contextmanager
def socket_path(directory: str) -> Iterator[str]:
    """Provide a path of the control socket that fits into a Unix socket address. Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def parse_line(line: bytes) -> JsonObject:
    """Parse a call; raises one of CALL_ERRORS."""
    call = json.loads(line)
    if not isinstance(call, dict):
        raise ControlError(ControlErrorKind.INVALID, "a call is a JSON object")
    return call


def parse_wait_us(call: JsonObject) -> int:
    """Return the time that a call waits for its answer, in microseconds; raises ControlError."""
    wait_ms = call.get("wait_ms", DEFAULT_WAIT_MS)
    if not isinstance(wait_ms, int) or not 0 <= wait_ms <= MAX_WAIT_MS:
        raise ControlError(ControlErrorKind.INVALID, f"wait_ms: {wait_ms!r} is not from 0 to {MAX_WAIT_MS}")
    return wait_ms * MICROSECONDS_PER_MILLISECOND


def encode_line(message: JsonObject) -> bytes:
    """Return a message as a line."""
    return json.dumps(message).encode() + b"\n"


def with_tag(answer: JsonObject, tag: Any) -> JsonObject:
    """Return an answer with the tag of its call, if there is one."""
    return answer if tag is None else {**answer, "tag": tag}


def outcome_answer(outcome: JsonObject | CallFailure) -> JsonObject:
    """Return the answer to a completed call."""
    if not isinstance(outcome, CallFailure):
        return {"ok": True, **outcome}
    kind = ControlErrorKind.OUTCOME_UNKNOWN if outcome.outcome_unknown else ControlErrorKind(outcome.kind)
    return error_answer(kind, outcome.text)


def exception_answer(error: Exception) -> JsonObject:
    """Return the answer to a call whose handling raised one of CALL_ERRORS."""
    if isinstance(error, ControlError):
        return error_answer(error.kind, str(error))
    text = f"a call that cannot be read: {type(error).__name__} {error}"
    return error_answer(ControlErrorKind.INVALID, text)


def error_answer(kind: ControlErrorKind, text: str) -> JsonObject:
    """Return the answer to a failed call."""
    return {"ok": False, "kind": kind, "error": text}


def encode_value(value: bytes) -> str | JsonObject:
    """Return the JSON form of a key's value."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode()}


def decode_value(value: Any) -> bytes:
    """Return a key's value from its JSON form; raises ControlError."""
    if isinstance(value, str):
        return value.encode()
    if isinstance(value, dict) and isinstance(value.get("base64"), str):
        try:
            return base64.b64decode(value["base64"], validate=True)
        except ValueError as error:
            raise ControlError(ControlErrorKind.INVALID, f"base64: {error}") from error
    raise ControlError(ControlErrorKind.INVALID, 'a value is a string or {"base64": …}')


def item_to_json(key: str, item: Item | None) -> JsonObject:
    """Return the JSON form of a key's item, or of a key that does not exist."""
    if item is None:
        return {"key": key, "gone": True}
    return {
        "key": key,
        "value": encode_value(item.value),
        "modified": item.modified_revision,
        "created": item.created_revision,
        "version": item.version,
    }
