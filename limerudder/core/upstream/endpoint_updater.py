"""Applies discovery's endpoint lists to the registry of upstreams, and notifies the policy."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.discovery.endpoint_list import Endpoint, EndpointList
from limerudder.core.discovery.recorded_drains import RecordedDrains
from limerudder.core.discovery.start_times import ListedStart, StartTimes
from limerudder.core.node_config import Names
from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.traffic_log import HostChange
from limerudder.core.requests.attempt_runner import AttemptRunner
from limerudder.core.services import NodeServices
from limerudder.core.upstream.health_checker import HealthChecker
from limerudder.core.upstream.registry import UpstreamRegistry
from limerudder.policy.events import EndpointUpdate, ServerEntry, ServerState, UpdateKind


class EndpointUpdater:
    """Applies endpoint lists. Recorded drains and maintenance can make a state worse than listed."""

    def __init__(
        self,
        upstreams: UpstreamRegistry,
        names: Names,
        attempts: AttemptRunner,
        health_checker: HealthChecker,
        admission: AdmissionControl,
        is_in_maintenance: Callable[[str], bool],
        recorded_drains: RecordedDrains | None,
        services: NodeServices,
    ) -> None:
        self.recorded_drains = recorded_drains  # These outlast discovery's entries
        self._upstreams = upstreams
        self._start_times = StartTimes()
        self._names = names
        self._attempts = attempts
        self._health_checker = health_checker
        self._admission = admission
        self._is_in_maintenance = is_in_maintenance
        self._checks_health = services.settings.allows_health_checks
        self._counters = services.counters
        self._traffic_log = services.traffic_log
        self._dispatch = services.dispatch

    def apply(self, endpoints: EndpointList, kind: UpdateKind, now_us: int) -> None:
        """Apply a list, notify the policy, and end unsent attempts and health checks of unready upstreams."""
        if kind != UpdateKind.OPERATOR:
            self._counters.increment(CounterName.ENDPOINT_UPDATES)
        starts = [ListedStart(endpoint.name, endpoint.started_ms) for endpoint in endpoints.endpoints]
        self._start_times.observe(starts, now_us)
        changes: list[HostChange] = []
        entries = [self._update_upstream(endpoint, changes) for endpoint in endpoints.endpoints]
        self._traffic_log.hosts_changed(changes, now_us)
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self._mark_unlisted_gone(entries)
        self._report_returned(entries, kind, endpoints.version, now_us)
        if self._checks_health:  # Health checks use up to one descriptor for each upstream
            self._admission.listed_upstreams = self._upstreams.listed_count
        self._dispatch(EndpointUpdate(kind, endpoints.version, entries), now_us)
        self._attempts.abort_unsent_to_unready(now_us)
        self._health_checker.close_unready()

    def refresh(self, name: str, version: int, kind: UpdateKind, now_us: int) -> None:
        """Apply an endpoint's last entry again after a change of its drain, maintenance or return time."""
        upstream = self._upstreams.listed(name)
        if upstream and upstream.endpoint:
            self.apply(EndpointList(version, False, (upstream.endpoint,)), kind, now_us)

    def _mark_unlisted_gone(self, entries: Sequence[ServerEntry]) -> None:
        listed = {entry.server_id for entry in entries}
        for upstream in self._upstreams.by_number.values():
            if upstream.number not in listed:
                self._upstreams.set_state(upstream, ServerState.GONE)

    def _report_returned(
        self, entries: Sequence[ServerEntry], kind: UpdateKind, version: int, now_us: int
    ) -> None:
        """Notify the policy first of upstreams that are listed as ready again after maintenance.

        They are reported as operator updates; discovery's own entry, which follows, then changes nothing.
        """
        by_number = self._upstreams.by_number
        returned = [
            entry
            for entry in entries
            if entry.state == ServerState.READY and by_number[entry.server_id].awaiting_listing_after_return
        ]
        for entry in returned:
            by_number[entry.server_id].awaiting_listing_after_return = False
            if kind != UpdateKind.OPERATOR:
                self._dispatch(EndpointUpdate(UpdateKind.OPERATOR, version, [entry]), now_us)

    def _update_upstream(self, endpoint: Endpoint, changes: list[HostChange]) -> ServerEntry:
        """Apply an endpoint, and append it to `changes` if its state or start has changed."""
        upstream = self._upstreams.get_or_create(endpoint.name)
        upstream.endpoint = endpoint
        upstream.address = endpoint.address
        previous = (upstream.state, upstream.ready_since_us)
        self._upstreams.set_state(upstream, self._effective_state(endpoint))
        # An upstream returned to service may have restarted before discovery lists its new start.
        started_us = self._start_times.local_us(endpoint.name, endpoint.started_ms)
        ready_since_us = max(started_us, upstream.returned_to_service_us)
        upstream.ready_since_us = ready_since_us
        if previous != (upstream.state, ready_since_us):
            changes.append(HostChange(upstream.name, upstream.state, ready_since_us))
        return ServerEntry(
            upstream.number,
            index_or_length(self._names.zones, endpoint.zone),
            index_or_length(self._names.kinds, endpoint.machine_type),
            endpoint.cell,
            upstream.state,
            endpoint.weight,
            ready_since_us,
        )

    def _effective_state(self, endpoint: Endpoint) -> ServerState:
        """Return the worst of the listed state, recorded drains and maintenance."""
        # `observe` is called for every endpoint, because it also records those that are listed as draining.
        drains = self.recorded_drains.observe(endpoint) if self.recorded_drains else False
        if endpoint.state == ServerState.READY and (drains or self._is_in_maintenance(endpoint.name)):
            return ServerState.DRAINING
        return endpoint.state


def index_or_length(names: Sequence[str], name: str) -> int:
    """Return the index of a name, or one past the last index if the name is not in the settings."""
    return names.index(name) if name in names else len(names)
