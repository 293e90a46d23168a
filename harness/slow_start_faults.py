"""Faults of servers, nodes, clocks and clients for the fleet simulation of slow start.

Each fault is a function that takes a warm fleet. It runs the simulation until the servers that it restarts
have been in slow start for long enough to check the limits.
"""

from __future__ import annotations

from collections.abc import Callable

from harness.slow_start_fleet import SECOND, SlowStartFleet

Fault = Callable[[SlowStartFleet], None]

RESTART_STEPS = 10
RESTART_STEP_SECONDS = 2.5
REPLACEMENT_SECONDS = 7.0
HOUR_US = 3600 * SECOND
SETTLING_SECONDS = 12.0
LOW_RATE_SECONDS = 10.0
LOW_RATE_FACTOR = 0.05


def rolling_restart(fleet: SlowStartFleet) -> None:
    """Half of the servers and all nodes restart in steps, a tenth of each at a time."""
    servers = list(fleet.ready_since)
    servers = servers[: len(servers) // 2]
    nodes = list(range(len(fleet.nodes)))
    for step in range(RESTART_STEPS):
        fleet.restart_servers(servers[step::RESTART_STEPS])
        fleet.restart_nodes(nodes[step::RESTART_STEPS])
        fleet.run(RESTART_STEP_SECONDS)
    fleet.run(SETTLING_SECONDS)


def fast_replacement(fleet: SlowStartFleet) -> None:
    """Six in ten servers are replaced within seven seconds."""
    servers = list(fleet.ready_since)
    servers = servers[: 6 * len(servers) // 10]
    for server in servers:
        fleet.restart_servers([server])
        fleet.run(REPLACEMENT_SECONDS / len(servers))
    fleet.run(SETTLING_SECONDS)


def clocks_ahead(fleet: SlowStartFleet) -> None:
    """A quarter of the servers and a third of the nodes restart, the nodes with clocks an hour ahead."""
    fleet.restart_servers(list(fleet.ready_since)[::4])
    fleet.restart_nodes(list(range(0, len(fleet.nodes), 3)), clock_step_us=HOUR_US)
    fleet.run(SETTLING_SECONDS)


def clocks_behind(fleet: SlowStartFleet) -> None:
    """A quarter of the servers and a third of the nodes restart, the nodes with clocks an hour behind."""
    fleet.restart_servers(list(fleet.ready_since)[::4])
    fleet.restart_nodes(list(range(0, len(fleet.nodes), 3)), clock_step_us=-HOUR_US)
    fleet.run(SETTLING_SECONDS)


def clocks_wrong_by_seconds(fleet: SlowStartFleet) -> None:
    """A quarter of the servers and all nodes restart, the nodes with clock errors of up to ten seconds."""
    fleet.restart_servers(list(fleet.ready_since)[::4])
    for node in range(len(fleet.nodes)):
        fleet.restart_nodes([node], clock_step_us=int(fleet.rng.uniform(-10, 10) * SECOND))
    fleet.run(SETTLING_SECONDS)


def correct_clocks(fleet: SlowStartFleet) -> None:
    """A quarter of the servers and a third of the nodes restart with correct clocks."""
    fleet.restart_servers(list(fleet.ready_since)[::4])
    fleet.restart_nodes(list(range(0, len(fleet.nodes), 3)))
    fleet.run(SETTLING_SECONDS)


def load_spike_after_low_traffic(fleet: SlowStartFleet) -> None:
    """A third of the servers restart during very low traffic; a spike at triple the usual rate follows."""
    usual = fleet.rate_factor
    fleet.rate_factor = LOW_RATE_FACTOR
    fleet.restart_servers(list(fleet.ready_since)[::3])
    fleet.run(LOW_RATE_SECONDS)
    fleet.rate_factor = 3 * usual
    fleet.run(SETTLING_SECONDS)


def most_nodes_restart(fleet: SlowStartFleet) -> None:
    """Seven in ten nodes and a third of the servers restart at once."""
    nodes = list(range(len(fleet.nodes)))
    fleet.restart_nodes([node for node in nodes if node % 10 < 7])
    fleet.restart_servers(list(fleet.ready_since)[::3])
    fleet.run(SETTLING_SECONDS)


def nodes_restart_repeatedly(fleet: SlowStartFleet) -> None:
    """A third of the servers restart; then each node restarts every two seconds, an eighth at a time."""
    fleet.restart_servers(list(fleet.ready_since)[::3])
    node_count = len(fleet.nodes)
    for _ in range(6):
        for start in range(0, node_count, -(-node_count // 8)):
            fleet.restart_nodes(list(range(start, min(start + -(-node_count // 8), node_count))))
            fleet.run(0.25)


FAULTS: list[Fault] = [
    rolling_restart,
    fast_replacement,
    clocks_ahead,
    clocks_behind,
    clocks_wrong_by_seconds,
    load_spike_after_low_traffic,
    most_nodes_restart,
    nodes_restart_repeatedly,
]
