"""What members say to each other beside the agreement: writes and reads passed on to whoever leads."""

from __future__ import annotations

from enum import IntEnum
from typing import Any as Whatever

import msgspec

from .raft.messages import AnyMessage


class Wish(IntEnum):
    """What is wanted of the leader."""

    WRITE = 0  #: a command; comes back once it is applied
    INDEX = 1  #: an index that a linearizable read must see
    ADD = 2  #: a member, as `Member`
    REMOVE = 3  #: a member's number
    LEAD = 4  #: the member of this number is to lead


class Status(IntEnum):
    """How it went."""

    DONE = 0
    REFUSED = 1  #: it cannot be, and why
    BUSY = 2  #: too much waits already: nothing was done
    NOT_LEADING = 3  #: nothing was done


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="Ask"):
    """A wish; `number` is given back with the answer."""

    number: int
    wish: Wish
    data: bytes


class Told(msgspec.Struct, frozen=True, array_like=True, tag="Told"):
    """The answer."""

    number: int
    status: Status
    data: bytes


Talk = Ask | Told
Any = AnyMessage | Talk

_encode = msgspec.msgpack.Encoder().encode
_decode: msgspec.msgpack.Decoder[Whatever] = msgspec.msgpack.Decoder(Any)


def write(message: Any) -> bytes:
    """A message as it goes over the wire."""
    return _encode(message)


def read(data: bytes) -> Any:
    """A message; msgspec.DecodeError where it is none."""
    message: Any = _decode.decode(data)
    return message
