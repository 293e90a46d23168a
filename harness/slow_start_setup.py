"""Sets up fleets of several sizes for the simulation of slow start, and warms them up."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from harness.slow_start_fleet import SECOND, SlowStartFleet
from limerudder.policy.settings import Settings, TrafficClass

RATE_SIGMA = 0.8  #: Sigma of the nodes' lognormal rates; some nodes get several times the mean
MEAN_CONNECTION_SECONDS = 60.0
WARM_SECONDS = 75.0  #: Service before a fault; longer than the window in which nodes measure their rates

SETTINGS = Settings(
    node_count=1,
    zone=0,
    classes=(TrafficClass(latency_objective_us=300_000, deadline_us=1_800_000, effect="safe"),),
    discovery="on_request",
    poll_interval_us=10 * SECOND,
    drain_grace_us=500_000,
    initial_capacity=0.13,
    warm_up_us=24 * SECOND,
    overload_factor=3.0,
    overload_window_us=2 * SECOND,
    max_attempts=3,
    allows_cancellation=True,
    connect_timeout_us=100_000,
    tick_us=5000,
)


@dataclass(frozen=True)
class FleetSetup:
    """Size and traffic of a fleet before a fault."""

    node_count: int
    server_count: int = 90
    connections_per_second: float = 120.0  #: Total over all nodes
    load: float = 0.85  #: Utilization of warm servers before the fault
    configured_node_count: int = 0  #: Node count in the settings, if it differs from the actual one


SETUPS = {
    "1 node": FleetSetup(1, server_count=12, connections_per_second=15.0),
    "4 nodes": FleetSetup(4, server_count=12, connections_per_second=15.0),
    "30 nodes": FleetSetup(30),
    "30 busy nodes": FleetSetup(30, server_count=30, connections_per_second=400.0),
    "200 nodes": FleetSetup(200),
    "200 overloaded nodes": FleetSetup(200, load=1.2),
}


def make_fleet(setup: FleetSetup, seed: int) -> SlowStartFleet:
    """Return a fleet that has served for `WARM_SECONDS`."""
    rng = Random(seed)
    weights = [rng.lognormvariate(0, RATE_SIGMA) for _ in range(setup.node_count)]
    rates = [setup.connections_per_second * weight / sum(weights) for weight in weights]
    settings = replace(SETTINGS, node_count=setup.configured_node_count or setup.node_count)
    fleet = SlowStartFleet(settings, rates, setup.server_count, setup.load, MEAN_CONNECTION_SECONDS, seed)
    fleet.run(WARM_SECONDS)
    return fleet
