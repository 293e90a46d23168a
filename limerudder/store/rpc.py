"""What members say to each other beside the agreement: writes and reads passed on to whoever leads."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from limerudder.store.raft.messages import RaftMessage


class RequestKind(IntEnum):
    """What is wanted of the leader."""

    WRITE = 0  #: a command; comes back once it is applied
    INDEX = 1  #: an index that a linearizable read must see
    ADD = 2  #: a member, as `Member`
    REMOVE = 3  #: a member's number
    LEAD = 4  #: the member of this number is to lead


class ReplyStatus(IntEnum):
    """How it went."""

    DONE = 0
    REFUSED = 1  #: it cannot be, and why
    BUSY = 2  #: too much waits already: nothing was done
    NOT_LEADING = 3  #: nothing was done


class Request(msgspec.Struct, frozen=True, array_like=True, tag="Ask"):
    """A wish; `number` is given back with the answer."""

    number: int
    wish: RequestKind
    data: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="Told"):
    """The answer."""

    number: int
    status: ReplyStatus
    data: bytes


Rpc = Request | Reply
StoreMessage = RaftMessage | Rpc

_encode = msgspec.msgpack.Encoder().encode
_decode: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(StoreMessage)


def encode_message(message: StoreMessage) -> bytes:
    """A message as it goes over the wire."""
    return _encode(message)


def decode_message(data: bytes) -> StoreMessage:
    """A message; msgspec.DecodeError where it is none."""
    message: StoreMessage = _decode.decode(data)
    return message
