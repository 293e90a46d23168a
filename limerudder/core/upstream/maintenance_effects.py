"""Effects of the start and end of an upstream's maintenance on the node."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.services import NodeServices
from limerudder.core.upstream.liveness import LivenessMonitor
from limerudder.core.upstream.registry import UpstreamRegistry
from limerudder.policy.events import UpdateKind

_RETURN_TIMEOUT_US = 5_000_000  #: Maximum time until an upstream returned to service is in use again

#: Applies an upstream's last entry again; arguments: name, kind of update, time in microseconds.
EndpointRefresher = Callable[[str, UpdateKind, int], None]


class MaintenanceEffects:
    """The `MaintenanceTarget` of a node: drains an upstream for maintenance, and warms it up afterwards."""

    def __init__(
        self,
        upstreams: UpstreamRegistry,
        refresh_endpoint: EndpointRefresher,
        services: NodeServices,
    ) -> None:
        self._upstreams = upstreams
        self._refresh_endpoint = refresh_endpoint
        self._counters = services.counters
        self._log = services.log

    def is_listed(self, name: str) -> bool:
        """Return whether discovery lists this upstream."""
        return self._upstreams.listed(name) is not None

    def maintenance_started(self, name: str, now_us: int) -> None:
        """Operators have started maintenance of an upstream."""
        self._counters.increment(CounterName.MAINTENANCE_STARTED)
        self._log(LogKind.HOST_MAINTENANCE, f"node: host {name} entered maintenance")
        self._refresh_endpoint(name, UpdateKind.OPERATOR, now_us)

    def maintenance_ended(self, name: str, now_us: int) -> None:
        """Operators have ended maintenance. The upstream may have restarted, so learned state is reset."""
        self._counters.increment(CounterName.MAINTENANCE_ENDED)
        self._log(LogKind.HOST_MAINTENANCE, f"node: host {name} left maintenance")
        upstream = self._upstreams.by_name.get(name)
        if upstream:
            upstream.returned_to_service_us = now_us
            upstream.awaiting_listing_after_return = True
            upstream.liveness = LivenessMonitor()
            upstream.last_health_check_answer_us = now_us
            upstream.is_slow = False
        self._refresh_endpoint(name, UpdateKind.OPERATOR, now_us)

    def return_to_service_times(self) -> dict[str, int]:
        """Return the last return to service of each upstream that has one, by name."""
        return {
            upstream.name: upstream.returned_to_service_us
            for upstream in self._upstreams.by_number.values()
            if upstream.returned_to_service_us
        }

    def apply_return_to_service_times(self, times: dict[str, int], now_us: int) -> None:
        """Apply returns to service that another process recorded, as if they had been made here."""
        for name, returned_us in times.items():
            upstream = self._upstreams.by_name.get(name)
            if upstream is None or returned_us < upstream.returned_to_service_us:
                continue  # A later return has been applied already
            # The time is by another process's clock, which may be ahead of this one's.
            upstream.returned_to_service_us = min(returned_us, now_us)
            is_recent = returned_us > now_us - _RETURN_TIMEOUT_US
            upstream.awaiting_listing_after_return = is_recent
            kind = UpdateKind.OPERATOR if is_recent else UpdateKind.DELTA
            self._refresh_endpoint(name, kind, now_us)
