"""The state that a successor starts with, and the line of JSON in which the parent sends it.

The two processes may be of different releases: the keys of the JSON are a stored form.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from limerudder.core.discovery.endpoint_list import EndpointList, format_endpoint_list, parse_endpoint_list
from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError

#: What a value of the wrong form raises while it is read.
MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class ProcessUsage(NamedTuple):
    """What one process of a node holds of the limits that all its processes share."""

    descriptors: int  #: for clients and attempts
    connections_by_upstream: dict[str, int]  #: by the upstream's name


class HandoverState(NamedTuple):
    """What the parent knows when a successor connects."""

    endpoints: EndpointList
    request_ids: tuple[int, ...]  #: in use, or in use a moment ago
    usage: ProcessUsage
    return_to_service_times: dict[str, int]  #: by upstream: microseconds since 1970
    config_reloaded: bool  #: discovery is asked where the configuration file says, not the environment
    drained_starts: dict[str, int]  #: by upstream: the last start known to drain, in ms since 1970


def usage_to_json(usage: ProcessUsage) -> dict[str, Any]:
    """Return the usage as the JSON object that the lines carry."""
    return {"descriptors": usage.descriptors, "at": usage.connections_by_upstream}


def usage_from_json(given: Any) -> ProcessUsage:
    """Read the usage from its JSON object; raises one of MALFORMED_VALUE_ERRORS."""
    descriptors = int(given["descriptors"])
    return ProcessUsage(descriptors, _integers_by_name(given["at"]))


def format_handover_state(state: HandoverState) -> bytes:
    """Return the state as one line of JSON with its line end."""
    given = {
        "hosts": format_endpoint_list(state.endpoints),
        "ids": [f"{request_id:016x}" for request_id in state.request_ids],
        "holds": usage_to_json(state.usage),
        "returned": state.return_to_service_times,
        "reloaded": state.config_reloaded,
        "drained": state.drained_starts,
    }
    return json.dumps(given).encode() + b"\n"


def parse_handover_state(line: bytes) -> HandoverState:
    """Read the state from its line; raises HandoverFormatError."""
    try:
        given = json.loads(line)
        request_ids = tuple(int(request_id, 16) for request_id in given["ids"])
        return_to_service_times = _integers_by_name(given["returned"])
        usage = usage_from_json(given["holds"])
        config_reloaded = bool(given["reloaded"])
        drained_starts = _integers_by_name(given.get("drained", {}))  # the first release does not send it
        endpoints = parse_endpoint_list(given["hosts"])
    except (*MALFORMED_VALUE_ERRORS, RecursionError) as exc:
        raise HandoverFormatError(f"malformed handover state: {type(exc).__name__} {exc}") from exc
    return HandoverState(
        endpoints, request_ids, usage, return_to_service_times, config_reloaded, drained_starts
    )


def _integers_by_name(given: Any) -> dict[str, int]:
    return {str(name): int(value) for name, value in given.items()}
