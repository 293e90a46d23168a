"""Messages between members in addition to Raft's: requests forwarded to the leader, and its replies."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from limerudder.store.raft.messages import RaftMessage


class RequestKind(IntEnum):
    """Operation that is requested from the leader."""

    WRITE = 0  #: Append the command in `data`; the reply carries its `CommandResult`
    READ_INDEX = 1  #: Return the log index that a linearizable read must wait for
    ADD_MEMBER = 2  #: Add the `raft.messages.Member` in `data`
    REMOVE_MEMBER = 3  #: Remove the member whose identifier is in `data`
    TRANSFER_LEADERSHIP = 4  #: Transfer the leadership to the member whose identifier is in `data`


class ReplyStatus(IntEnum):
    """Outcome of a request."""

    DONE = 0
    REJECTED = 1  #: The request is invalid; `data` contains the reason as text
    BUSY = 2  #: Too many requests are pending; nothing was done
    NOT_LEADER = 3  #: The receiver does not lead; nothing was done
    #: Done, but the result is too large for a reply: the sender of the request has it in the write's session
    #: once it has applied the log up to the index in `data`
    RESULT_IN_SESSION = 4


class Request(msgspec.Struct, frozen=True, array_like=True, tag="Ask"):
    """A request to the leader; the reply echoes `number`."""

    number: int
    kind: RequestKind
    data: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="Told"):
    """The reply to the request with this number, normally sent by the leader."""

    number: int
    status: ReplyStatus
    data: bytes


StoreMessage = RaftMessage | Request | Reply
AddressedMessage = tuple[int, StoreMessage]  #: The recipient's identifier and the message

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(StoreMessage)


def encode_message(message: StoreMessage) -> bytes:
    """Encodes a message as the payload of a frame."""
    return _encode(message)


def decode_message(data: bytes) -> StoreMessage:
    """Decodes a message from the payload of a frame; raises msgspec.DecodeError if it is malformed."""
    message: StoreMessage = _decoder.decode(data)
    return message
