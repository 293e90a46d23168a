"""Passes loads and latencies reported by nodes and servers to the parts of the policy that use them."""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.policy import events
from limerudder.policy.connection_table import ConnectionTable
from limerudder.policy.context import PolicyContext
from limerudder.policy.gossip_exchange import GossipExchange
from limerudder.policy.load_inference import InferredLoads
from limerudder.policy.load_polling import LoadPoller
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.overload_relief import OverloadRelief
from limerudder.policy.records import Server
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.server_registry import ServerRegistry


@dataclass(eq=False, repr=False)
class LoadEvents:
    """Handles load samples, latency samples, health checks and peers' datagrams."""

    context: PolicyContext
    registry: ServerRegistry
    connections: ConnectionTable
    loads: ReportedLoads
    inferred_loads: InferredLoads | None
    poller: LoadPoller
    outliers: OutlierDetector
    gossip_exchange: GossipExchange
    overload_relief: OverloadRelief

    def on_load_sample(self, event: events.LoadSample) -> None:
        """Record the load that an established connection has reported."""
        connection = self.connections.find_attempt(event)
        if connection is not None and event.load_us_per_second >= 0:
            self.loads.record_connection_load(connection, event.load_us_per_second)

    def on_latency_sample(self, event: events.LatencySample) -> None:
        """Handle the sampled latency of a message on an established connection."""
        connection = self.connections.find_attempt(event)
        if connection is None or connection.server is None:
            return
        server = connection.server
        latency_us = event.latency_ms * 1000
        self.outliers.on_message_latency(server, latency_us)
        if self.inferred_loads:
            self.overload_relief.on_message_latency(self.inferred_loads, server, latency_us)
        elif self.poller.on_demand and latency_us > connection.traffic_class.message_objective_us:
            self.overload_relief.on_slow_message(server)

    def on_health_check_result(self, event: events.HealthCheckResult) -> None:
        """Handle the result of a health check, which usually includes a load report."""
        server = self.registry.servers.get(event.server_id)
        if server is None:
            return
        self.outliers.on_health_check(server, event)
        report = self.poller.read_report(event)
        if report is not None:
            self._on_load_report(server, *report)

    def on_peer_message(self, event: events.PeerMessage) -> None:
        """Handle the load reports that a peer has sent in its gossip round."""
        for report in self.gossip_exchange.receive(event):
            self._on_load_report(*report)

    def _on_load_report(self, server: Server, load: float, connection_count: float) -> None:
        self.poller.on_report(server)
        load_with_backlog = self.loads.record_report(
            server, load, connection_count, len(self.registry.ready), self.context.clock.now_us
        )
        self.overload_relief.on_report(server, load, load_with_backlog)
