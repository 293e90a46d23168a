"""Health checks that the policy requests."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import settings
from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import CheckHealth
from limerudder.policy.events import HealthCheckResult
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize(
    ("report", "malformed"),
    [
        ("inflight=1,x0=0.5", 0),
        ("inflight=1,x0=nan", 1),
        ("inflight=1", 1),
        ("inflight=-1,x0=0.5", 1),
        ("who knows", 1),
        ("", 0),
    ],
)
def test_a_malformed_load_report_is_counted_and_logged(tmp_path: Path, report: str, malformed: int) -> None:
    testbed = node_testbed(tmp_path, settings=settings(probes=True))
    events = policy_events(testbed)
    server_id = next(iter(testbed.node.upstreams.by_number))
    testbed.node.health_checker.check(CheckHealth(server_id), testbed.now)
    transport = testbed.dials[-1]
    transport.accept(testbed.now)
    transport.machine.data_received(f"PONG {report}".strip().encode() + b"\r\n", testbed.now)
    assert [type(event) for event in events] == [HealthCheckResult], "the policy gets it either way"
    assert testbed.node.counters[CounterName.LOAD_REPORTS_MALFORMED] == malformed
    assert sum("load report" in text for text in testbed.logged) == malformed
