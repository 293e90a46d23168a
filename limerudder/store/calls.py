"""Callback types and failures of the calls that clients make to a member.

Every callback receives the time, in microseconds of the member's clock, as its last argument.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from limerudder.store.commands import CommandResult


class CallFailureKind(StrEnum):
    """Reason why a call failed; the values are part of the control socket's protocol."""

    REJECTED = "refused"  #: The request is invalid
    BUSY = "busy"  #: Too many requests are pending
    UNAVAILABLE = "not_now"  #: There is no leader, or no reply arrived before the deadline
    NOT_FOUND = "not_there"  #: The key or member does not exist


class CallFailure(NamedTuple):
    """A failed call; if `outcome_unknown`, the request may have been or may still be carried out."""

    kind: CallFailureKind
    text: str
    outcome_unknown: bool = False


TimeCallback = Callable[[int], None]
ReplyCallback = Callable[[bytes | CallFailure, int], None]  #: Receives the data of the leader's reply
ResultCallback = Callable[[CommandResult | CallFailure, int], None]
ReadCallback = Callable[[CallFailure | None, int], None]  #: Receives None once the read may proceed
