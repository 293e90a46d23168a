"""The messages between parent and successor after the state line, and the lines that carry them.

A line is a word, followed by a space and a value for some words. The two processes may run different
releases: words and values must stay compatible, and unrecognised words are ignored.
"""

from __future__ import annotations

import json
from enum import StrEnum
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError
from limerudder.core.lifecycle.hot_restart.handover_state import (
    MALFORMED_VALUE_ERRORS,
    ProcessUsage,
    usage_from_json,
    usage_to_json,
)


class ParentWord(StrEnum):
    """The first word of a line from the parent."""

    REQUEST_ACCEPTED = "taken"
    USAGE_CHANGED = "holds"
    ENDPOINT_DRAINED = "drained"
    STOPPING = "stopping"
    CONFIG_RELOADED = "reloaded"


class SuccessorWord(StrEnum):
    """The first word of a line from the successor."""

    SERVING = "serving"
    REQUEST_ACCEPTED = "taken"


class RequestAccepted(NamedTuple):
    """The sender has accepted a request; its id is in use."""

    request_id: int


class UsageChanged(NamedTuple):
    """The parent's resource usage has changed."""

    usage: ProcessUsage


class EndpointDrained(NamedTuple):
    """The parent has recorded a drain of an upstream."""

    name: str
    started_ms: int  #: Start time of the draining upstream, in ms since 1970.


class ParentStopping:
    """The parent is stopping; the successor must accept clients at once."""


class ConfigReloaded:
    """The parent has reloaded the configuration file; discovery's address is the one that the file names."""


class SuccessorServing:
    """The successor accepts clients; the parent must stop accepting."""


ParentMessage = RequestAccepted | UsageChanged | EndpointDrained | ParentStopping | ConfigReloaded
SuccessorMessage = SuccessorServing | RequestAccepted
Message = ParentMessage | SuccessorMessage


def format_message(message: Message) -> str:
    """Return the message's line without its newline."""
    match message:
        case RequestAccepted(request_id):
            return f"{ParentWord.REQUEST_ACCEPTED} {request_id:016x}"
        case UsageChanged(usage):
            return f"{ParentWord.USAGE_CHANGED} {json.dumps(usage_to_json(usage))}"
        case EndpointDrained(name, started_ms):
            return f"{ParentWord.ENDPOINT_DRAINED} {started_ms} {name}"
        case ParentStopping():
            return ParentWord.STOPPING
        case ConfigReloaded():
            return ParentWord.CONFIG_RELOADED
        case SuccessorServing():
            return SuccessorWord.SERVING


def parse_parent_message(line: str) -> ParentMessage | None:
    """Parse a line from the parent; None if its word is not recognised. Raises HandoverFormatError."""
    word, _, value = line.partition(" ")
    try:
        match word:
            case ParentWord.REQUEST_ACCEPTED:
                return RequestAccepted(int(value, 16))
            case ParentWord.USAGE_CHANGED:
                return UsageChanged(usage_from_json(json.loads(value)))
            case ParentWord.ENDPOINT_DRAINED:
                started_ms, _, name = value.partition(" ")
                return EndpointDrained(name, int(started_ms))
            case ParentWord.STOPPING:
                return ParentStopping()
            case ParentWord.CONFIG_RELOADED:
                return ConfigReloaded()
    except MALFORMED_VALUE_ERRORS as exc:
        raise HandoverFormatError(f"malformed value of {word}: {exc}") from exc
    return None


def parse_successor_message(line: str) -> SuccessorMessage | None:
    """Parse a line from the successor; None if its word is not recognised. Raises HandoverFormatError."""
    word, _, value = line.partition(" ")
    match word:
        case SuccessorWord.SERVING:
            return SuccessorServing()
        case SuccessorWord.REQUEST_ACCEPTED:
            return RequestAccepted(_parse_request_id(word, value))
    return None


def _parse_request_id(word: str, value: str) -> int:
    try:
        return int(value, 16)
    except ValueError as exc:
        raise HandoverFormatError(f"malformed value of {word}: {exc}") from exc
