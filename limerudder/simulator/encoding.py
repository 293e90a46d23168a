"""Encodes actions of the connection policy as records of the simulator's protocol."""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from limerudder.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateClient,
    PolicyError,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from limerudder.simulator.protocol import ActionCode

MAX_MESSAGE_BYTES = 256  #: Maximum size of a message to a peer; longer messages are truncated
MAX_TEXT_BYTES = 4000  #: Maximum size of a log message or an error; longer texts are truncated
MESSAGE_HEADER = Struct("<BHIH")  #: Code, instance, peer, size of the message in bytes
TEXT_HEADER = Struct("<BHH")  #: Code, instance, size of the text in bytes


class _FixedRecord(NamedTuple):
    """A record whose fields after the code and the instance are those of its action."""

    code: int
    layout: Struct


_FIXED_RECORDS: dict[type, _FixedRecord] = {
    StartAttempt: _FixedRecord(ActionCode.START_ATTEMPT, Struct("<BHQII")),
    RejectRequest: _FixedRecord(ActionCode.REJECT_REQUEST, Struct("<BHQI")),
    FailRequest: _FixedRecord(ActionCode.FAIL_REQUEST, Struct("<BHQ")),
    CancelAttempt: _FixedRecord(ActionCode.CANCEL_ATTEMPT, Struct("<BHQB")),
    SetTimer: _FixedRecord(ActionCode.SET_TIMER, Struct("<BHQI")),
    CheckHealth: _FixedRecord(ActionCode.CHECK_HEALTH, Struct("<BHI")),
    CloseIdleConnections: _FixedRecord(ActionCode.CLOSE_IDLE_CONNECTIONS, Struct("<BHI")),
    WatchEndpoints: _FixedRecord(ActionCode.WATCH_ENDPOINTS, Struct("<BH?")),
    PollEndpoints: _FixedRecord(ActionCode.POLL_ENDPOINTS, Struct("<BH")),
    MigrateClient: _FixedRecord(ActionCode.MIGRATE_CLIENT, Struct("<BHQ")),
}


def encode(instance: int, action: Action) -> bytes:
    """Return one action as a record."""
    record = _FIXED_RECORDS.get(type(action))
    if record is not None:
        code, layout = record
        return layout.pack(code, instance, *action)
    if isinstance(action, SendPeerMessage):
        data = action.data[:MAX_MESSAGE_BYTES]
        header = MESSAGE_HEADER.pack(ActionCode.SEND_PEER_MESSAGE, instance, action.peer, len(data))
        return header + data
    if isinstance(action, LogMessage):
        return _encode_text(ActionCode.LOG_MESSAGE, instance, action.text)
    if isinstance(action, PolicyError):
        return _encode_text(ActionCode.POLICY_ERROR, instance, action.text)
    raise TypeError(f"not an action: {action!r}")


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return TEXT_HEADER.pack(code, instance, len(data)) + data
