"""Types of the calls that clients make on a member: the callbacks, and the ways in which a call fails.

Every callback gets the time, in microseconds of the member's clock, as its last argument.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from limerudder.store.commands import CommandResult


class CallFailureKind(StrEnum):
    """Why a call was not carried out; the values are those of the control socket's protocol."""

    REFUSED = "refused"  #: the request is invalid
    BUSY = "busy"  #: too many requests are pending
    NOT_NOW = "not_now"  #: no leader, or no reply before the deadline
    NOT_THERE = "not_there"  #: the key or member does not exist


class CallFailure(NamedTuple):
    """A call that failed; with `outcome_unknown` the request may have been carried out, or may be yet."""

    kind: CallFailureKind
    text: str
    outcome_unknown: bool = False


TimeCallback = Callable[[int], None]
ReplyCallback = Callable[[bytes | CallFailure, int], None]  #: gets the data of the leader's reply
ResultCallback = Callable[[CommandResult | CallFailure, int], None]
ReadCallback = Callable[[CallFailure | None, int], None]  #: gets None once the read may go on
