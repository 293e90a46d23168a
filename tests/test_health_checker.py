"""Health checks that the policy requests."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import SECOND, host, hosts, settings
from limerudder.core.operations.counters import CounterName
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.policy.actions import CheckHealth
from limerudder.policy.events import HealthCheckResult
from tests.node_testbed import TICK_US, FakeTransport, NodeTestbed, node_testbed, policy_events


def health_check_dials(testbed: NodeTestbed) -> list[FakeTransport]:
    return [dial for dial in testbed.dials if isinstance(dial.machine, HealthCheckConnection)]


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
    assert [type(event) for event in events] == [HealthCheckResult], "the policy receives the result"
    assert testbed.node.counters[CounterName.LOAD_REPORTS_MALFORMED] == malformed
    assert sum("load report" in text for text in testbed.logged) == malformed


def test_health_checks_use_no_more_descriptors_than_are_reserved_for_them(tmp_path: Path) -> None:
    """Guards against report 47952f: checks of 3,200 upstreams used all descriptors of a process."""
    listed = hosts(*(host(f"s-{n}") for n in range(3200)))
    testbed = node_testbed(tmp_path, known=listed, settings=settings(probes=True), limits={"sockets": 384})
    events = policy_events(testbed)
    node = testbed.node
    numbers = list(node.upstreams.by_number)
    for number in numbers:
        node.health_checker.check(CheckHealth(number), testbed.now)
    reserve = 384 - node.admission.capacity
    dials = health_check_dials(testbed)
    assert len(dials) == node.admission.max_health_checks == reserve - 96
    assert node.counters[CounterName.HEALTH_CHECKS_OBSOLETE] == 3200 - len(dials)
    assert not events, "a check that was not sent gives no result"
    first, second = dials[:2]
    for dial in (second, first):
        dial.accept(testbed.now)
        dial.machine.data_received(b"PONG inflight=1,x0=0.5\r\n", testbed.now)
    node.health_checker.check(CheckHealth(numbers[-1]), testbed.now)
    assert second.closed and not first.closed, "the connection that was idle longest is closed"
    second_number, first_number = numbers[1], numbers[0]
    node.health_checker.check(CheckHealth(first_number), testbed.now)
    assert first.sent.count(b"STATS") == 2, "the open connection is reused"
    node.health_checker.check(CheckHealth(second_number), testbed.now)
    assert len(health_check_dials(testbed)) == len(dials) + 1, "all other connections have a pending check"


def test_lost_connections_free_descriptors_for_others(tmp_path: Path) -> None:
    listed = hosts(*(host(f"s-{n}") for n in range(300)))
    testbed = node_testbed(tmp_path, known=listed, settings=settings(probes=True), limits={"sockets": 384})
    numbers = list(testbed.node.upstreams.by_number)
    for number in numbers:
        testbed.node.health_checker.check(CheckHealth(number), testbed.now)
    lost = health_check_dials(testbed)
    limit = len(lost)
    for dial in lost:
        dial.machine.connection_lost(testbed.now)
    for number in numbers[limit : 2 * limit]:
        testbed.node.health_checker.check(CheckHealth(number), testbed.now)
    assert len(health_check_dials(testbed)) == 2 * limit


def test_the_first_round_of_health_checks_has_a_descriptor_for_every_upstream(tmp_path: Path) -> None:
    tier = settings(probes=True) | {"balancers": 8, "discovery": "pushed"}
    listed = hosts(*(host(f"s-{n}") for n in range(100)))
    testbed = node_testbed(tmp_path, known=listed, settings=tier, limits={"sockets": 1024})
    testbed.now += SECOND  # Time that a process with a small CPU share may need to load its endpoints
    testbed.run(TICK_US)
    assert len(health_check_dials(testbed)) == 100
    assert not testbed.node.counters[CounterName.HEALTH_CHECKS_TIMEOUT]
    assert not testbed.node.counters[CounterName.HEALTH_CHECKS_OBSOLETE]
