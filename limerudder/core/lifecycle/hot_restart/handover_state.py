"""The initial state of a successor, and the line of JSON in which the parent sends it.

The two processes may run different releases: the JSON keys must stay compatible.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from limerudder.core.discovery.endpoint_list import EndpointList, format_endpoint_list, parse_endpoint_list
from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError

#: Exceptions raised when a malformed value is parsed.
MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class ProcessUsage(NamedTuple):
    """Usage by one process of the resources that all processes of a node share."""

    descriptors: int  #: File descriptors of clients and attempts.
    connections_by_upstream: dict[str, int]  #: Connection counts keyed by upstream name.


class HandoverState(NamedTuple):
    """The parent's state at the time a successor connects."""

    endpoints: EndpointList
    request_ids: tuple[int, ...]  #: Ids of open and recently closed requests.
    usage: ProcessUsage
    return_to_service_times: dict[str, int]  #: Microseconds since 1970, keyed by upstream name.
    config_reloaded: bool  #: Whether discovery's address comes from the file, not the environment.
    drained_starts: dict[str, int]  #: Latest draining start, ms since 1970, keyed by upstream name.


def usage_to_json(usage: ProcessUsage) -> dict[str, Any]:
    """Return the usage as a JSON object, as sent in messages."""
    return {"descriptors": usage.descriptors, "at": usage.connections_by_upstream}


def usage_from_json(document: Any) -> ProcessUsage:
    """Parse the usage from its JSON object; raises one of MALFORMED_VALUE_ERRORS."""
    descriptors = int(document["descriptors"])
    return ProcessUsage(descriptors, _integers_by_name(document["at"]))


def format_handover_state(state: HandoverState) -> bytes:
    """Return the state as one line of JSON, including the newline."""
    document = {
        "hosts": format_endpoint_list(state.endpoints),
        "ids": [f"{request_id:016x}" for request_id in state.request_ids],
        "holds": usage_to_json(state.usage),
        "returned": state.return_to_service_times,
        "reloaded": state.config_reloaded,
        "drained": state.drained_starts,
    }
    return json.dumps(document).encode() + b"\n"


def parse_handover_state(line: bytes) -> HandoverState:
    """Parse the state line; raises HandoverFormatError."""
    try:
        document = json.loads(line)
        request_ids = tuple(int(request_id, 16) for request_id in document["ids"])
        return_to_service_times = _integers_by_name(document["returned"])
        usage = usage_from_json(document["holds"])
        config_reloaded = bool(document["reloaded"])
        drained_starts = _integers_by_name(document.get("drained", {}))  # the first release does not send it
        endpoints = parse_endpoint_list(document["hosts"])
    except (*MALFORMED_VALUE_ERRORS, RecursionError) as exc:
        raise HandoverFormatError(f"malformed handover state: {type(exc).__name__} {exc}") from exc
    return HandoverState(
        endpoints, request_ids, usage, return_to_service_times, config_reloaded, drained_starts
    )


def _integers_by_name(document: Any) -> dict[str, int]:
    return {str(name): int(value) for name, value in document.items()}
