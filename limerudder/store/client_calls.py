"""Requests of this member's clients that wait for the leader's reply, and the ways in which they fail."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


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
