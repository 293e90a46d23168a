"""Registry of a node's upstreams, by number and by name."""

from __future__ import annotations

from zlib import crc32

from limerudder.core.discovery.endpoint_list import Endpoint, EndpointList
from limerudder.core.transport import Address
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.core.upstream.liveness import LivenessMonitor
from limerudder.policy.events import ServerState

_MICROSECONDS_PER_SECOND = 1_000_000
_NUMBER_SPACE = 1 << 32


class Upstream:
    """An upstream and its state at this node. Times are in microseconds."""

    def __init__(self, number: int, name: str) -> None:
        self.number = number
        self.name = name
        self.endpoint: Endpoint | None = None  # Last entry from discovery
        self.address: Address = ("", 0)
        self.state: ServerState = ServerState.GONE
        self.ready_since_us = 0  # Last start or return to service, by the node's clock; 0: long ago
        self.health_check: HealthCheckConnection | None = None
        self.liveness = LivenessMonitor()
        self.last_health_check_answer_us = 0
        self.is_slow = False  # Whether the policy's last latency sample of this upstream was slow
        self.latency_reported_us = -_MICROSECONDS_PER_SECOND  # Time of the last sample; at first long ago
        self.returned_to_service_us = 0  # Time at which operators last ended its maintenance; 0: never
        self.awaiting_listing_after_return = False  # Whether it has returned and is not yet listed as ready

    @property
    def is_listed(self) -> bool:
        """Whether discovery lists this upstream, in any state."""
        return self.state != ServerState.GONE


class UpstreamRegistry:
    """All upstreams that were ever listed. An upstream keeps its number for the life of the process."""

    def __init__(self) -> None:
        self.by_number: dict[int, Upstream] = {}
        self.by_name: dict[str, Upstream] = {}
        self.listed_count = 0  #: Number of upstreams that discovery lists, in any state

    def set_state(self, upstream: Upstream, state: ServerState) -> None:
        """Change the state in which an upstream is listed."""
        self.listed_count -= upstream.is_listed
        upstream.state = state
        self.listed_count += upstream.is_listed

    def get_or_create(self, name: str) -> Upstream:
        """Return the upstream of this name.

        The number is derived from the name, so that all nodes of a tier build the same hash ring.
        """
        upstream = self.by_name.get(name)
        if upstream is None:
            upstream = Upstream(self._unused_number(name), name)
            self.by_number[upstream.number] = upstream
            self.by_name[name] = upstream
        return upstream

    def listed(self, name: str) -> Upstream | None:
        """Return the upstream of this name if discovery lists it."""
        upstream = self.by_name.get(name)
        return upstream if upstream and upstream.is_listed else None

    def endpoint_list(self, version: int) -> EndpointList:
        """Return the complete endpoint list with the current entries."""
        endpoints = (
            upstream.endpoint
            for upstream in self.by_number.values()
            if upstream.endpoint and upstream.is_listed
        )
        return EndpointList(version, True, tuple(endpoints))

    def _unused_number(self, name: str) -> int:
        number = crc32(name.encode())
        while number in self.by_number:
            number = (number + 1) % _NUMBER_SPACE
        return number
