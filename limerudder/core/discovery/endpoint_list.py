"""Discovery's endpoint list as records, and its JSON format."""

from __future__ import annotations

from typing import Any, NamedTuple

from limerudder.core.transport import Address, parse_address
from limerudder.policy.events import ServerState

#: Endpoint states by their names in discovery.
STATES_BY_LIFECYCLE = {
    "active": ServerState.READY,
    "leaving": ServerState.DRAINING,
    "left": ServerState.GONE,
}
LIFECYCLES_BY_STATE = {state: lifecycle for lifecycle, state in STATES_BY_LIFECYCLE.items()}


class EndpointListError(ValueError):
    """An endpoint list that cannot be read."""


class Endpoint(NamedTuple):
    """An entry of discovery's list: one upstream."""

    name: str
    address: Address
    zone: str
    machine_type: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int  # Milliseconds since 1970


class EndpointList(NamedTuple):
    """The complete list, or only the endpoints that have changed."""

    version: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...]


def parse_endpoint_list(document: Any) -> EndpointList:
    """Parse discovery's JSON object. Raises EndpointListError if it is malformed."""
    try:
        endpoints = tuple(_parse_endpoint(instance) for instance in document["instances"])
        return EndpointList(int(document["generation"]), bool(document["reset"]), endpoints)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"bad list of hosts: {type(error).__name__} {error}") from error


def format_endpoint_list(endpoint_list: EndpointList) -> dict[str, Any]:
    """Return the list as discovery's JSON object."""
    return {
        "generation": endpoint_list.version,
        "reset": endpoint_list.is_complete,
        "instances": [_format_endpoint(endpoint) for endpoint in endpoint_list.endpoints],
    }


def _parse_endpoint(instance: Any) -> Endpoint:
    address = parse_address(instance["hostPort"])
    if address[1] == 0:
        raise ValueError("port 0")
    name = str(instance["instanceId"])
    name.encode()  # Rejects unpaired surrogates, which JSON allows
    return Endpoint(
        name=name,
        address=address,
        zone=str(instance["zone"]),
        machine_type=str(instance["machineType"]),
        cell=int(instance["cell"]),
        state=STATES_BY_LIFECYCLE[instance["lifecycle"]],
        weight=float(instance["weight"]),
        started_ms=int(instance["startedAtMs"]),
    )


def _format_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "instanceId": endpoint.name,
        "hostPort": "{}:{}".format(*endpoint.address),
        "zone": endpoint.zone,
        "machineType": endpoint.machine_type,
        "cell": endpoint.cell,
        "lifecycle": LIFECYCLES_BY_STATE[endpoint.state],
        "weight": endpoint.weight,
        "startedAtMs": endpoint.started_ms,
    }
