"""What a node derives from the load reports of all servers is decided by no single one of them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limerudder.policy.events import ServerState
from limerudder.policy.records import SECOND, Server
from limerudder.policy.reported_loads import ReportedLoads
from tests.policy_driver import BASE_SETTINGS

CONNECTIONS = 20
LOAD = 0.5
NOW_US = 100 * SECOND
WRONG_CONNECTIONS = [200.0, 65_535.0, 2.0**32 - 1, 1e308]


def loads_of(*connections: float) -> ReportedLoads:
    """Return the loads after one report of each server, with these numbers of connections."""
    settings = replace(BASE_SETTINGS, report_fields=("eps", "inflight", "x0"))
    loads = ReportedLoads(settings, SECOND)
    for number, count in enumerate(connections):
        server = Server(number)
        server.state = ServerState.READY
        loads.record_report(server, LOAD, count, len(connections), NOW_US)
    loads.update_levels(4, False, NOW_US)
    return loads


@pytest.mark.parametrize("wrong", WRONG_CONNECTIONS)
def test_one_wrong_report_changes_what_fills_a_server_by_less_than_half(wrong: float) -> None:
    """Guards against one server's report that pushes a server in slow start over (review case 2)."""
    right = loads_of(*[CONNECTIONS] * 8)
    wrongly = loads_of(*[CONNECTIONS] * 7, wrong)
    assert right.connections_per_weight == CONNECTIONS / LOAD
    assert right.connections_per_weight <= wrongly.connections_per_weight < 1.5 * right.connections_per_weight
    assert wrongly.load_per_connection > right.load_per_connection / 1.5


def test_uneven_reports_are_summed_as_they_are() -> None:
    counts = [8, 12, 20, 30, 45]
    assert loads_of(*counts).connections_per_weight == sum(counts) / (LOAD * len(counts))
    assert loads_of(0, 0, 0).connections_per_weight == 0
