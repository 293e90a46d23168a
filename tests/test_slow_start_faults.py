"""Issue 33: what all nodes together send servers in slow start, while servers, nodes and clocks fail."""

from __future__ import annotations

import pytest

from harness.slow_start_faults import FAULTS, Fault
from harness.slow_start_setup import SETUPS, FleetSetup, make_fleet


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("setup", SETUPS.values(), ids=list(SETUPS))
def test_servers_in_slow_start_are_not_overloaded_whatever_fails(setup: FleetSetup, fault: Fault) -> None:
    """Guards against issue 33: N + 2 * sqrt(N) + 2 requests in a window were passed (N < 30: 3, 3)."""
    fleet = make_fleet(setup, seed=1)
    fault(fleet)
    excess = fleet.excess()
    assert excess.worst <= 1, excess
