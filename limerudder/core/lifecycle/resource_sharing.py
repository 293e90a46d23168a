"""Accounting of file descriptors and connections across the two processes of a hot restart."""

from __future__ import annotations

from collections import Counter

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.lifecycle.hot_restart import ProcessUsage
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.services import NodeServices
from limerudder.core.upstream.registry import UpstreamRegistry
from limerudder.policy.events import PredecessorConnections


class ResourceSharing:
    """Reports the usage of this process, and accounts for the usage of the other process."""

    def __init__(
        self,
        requests: RequestTable,
        upstreams: UpstreamRegistry,
        admission: AdmissionControl,
        services: NodeServices,
    ) -> None:
        self._requests = requests
        self._upstreams = upstreams
        self._admission = admission
        self._dispatch = services.dispatch
        self._other_process_upstreams: set[str] = set()  # upstreams that the other process is connected to

    def usage(self) -> ProcessUsage:
        """Return this process's descriptors of clients and attempts, and its connections per upstream."""
        connections = Counter(
            connection.upstream.name
            for connection in self._requests.values()
            if connection.attempt and connection.upstream
        )
        return ProcessUsage(self._admission.descriptors_in_use(), dict(connections))

    def set_other_process_usage(self, usage: ProcessUsage, now_us: int) -> None:
        """Reserve the other process's descriptors; the policy counts its connections as this node's."""
        self._admission.set_other_process_descriptors(usage.descriptors)
        for name in self._other_process_upstreams | usage.connections_by_upstream.keys():
            upstream = self._upstreams.by_name.get(name)
            if upstream:
                connections = usage.connections_by_upstream.get(name, 0)
                self._dispatch(PredecessorConnections(upstream.number, connections), now_us)
        self._other_process_upstreams = set(usage.connections_by_upstream)
