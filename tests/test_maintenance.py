"""Maintenance: effective once the call is answered; hosts return to service promptly and in slow start."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND, host, hosts
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.discovery.recorded_drains import InheritedDrains
from limerudder.core.operations.maintenance import InMemoryMarks
from limerudder.net.mark_files import MarkFiles
from limerudder.policy.events import EndpointUpdate, ServerState
from tests.node_testbed import NodeTestbed, node_testbed, policy_events

START_MS = 1_700_000_000_000


def upstream_number(testbed: NodeTestbed, name: str) -> int:
    return testbed.node.upstreams.by_name[name].number


def put_all_into_maintenance_but(testbed: NodeTestbed, name: str) -> None:
    for other in set(testbed.node.upstreams.by_name) - {name}:
        assert testbed.node.maintenance.enable(other, testbed.now)


@pytest.mark.parametrize("listed_meanwhile", ["nothing", "ready", "restarted", "gone and back"])
def test_a_host_in_maintenance_gets_no_requests_regardless_of_discovery(
    tmp_path: Path, listed_meanwhile: str
) -> None:
    testbed = node_testbed(tmp_path)
    put_all_into_maintenance_but(testbed, "s-2")
    entry = host("s-1")
    if listed_meanwhile == "restarted":
        entry["startedAtMs"] = START_MS
    if listed_meanwhile == "gone and back":
        testbed.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), testbed.now)
    if listed_meanwhile != "nothing":
        testbed.node.endpoints_received(parse_endpoint_list(hosts(entry, host("s-2"))), testbed.now)
    for _ in range(20):
        testbed.send_request()
    assert {dial.machine.observer.upstream.name for dial in testbed.attempts()} == {"s-2"}


def test_maintenance_cancels_pending_attempts_and_migrates_connections_spread_over_time(
    tmp_path: Path,
) -> None:
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")))
    established = [testbed.establish_client() for _ in range(10)]
    _, late_client = testbed.send_request()
    established_attempts = [attempt for _, _, attempt in established]
    (awaiting_answer,) = (dial for dial in testbed.attempts() if dial not in established_attempts)
    awaiting_answer.accept(testbed.now)
    testbed.send_request()
    (dialling,) = (dial for dial in testbed.attempts() if not dial.machine.sent)
    assert testbed.node.maintenance.enable("s-1", testbed.now)
    assert dialling.closed, "no request is written once the call is answered"
    testbed.run(SECOND // 2)
    migrated = sum(transport.sent.endswith(b"MOVE\r\n") for _, transport, _ in established)
    assert 3 <= migrated <= 7
    awaiting_answer.machine.data_received(b"UP 8\r\n", testbed.now)
    testbed.run(SECOND // 2)
    assert all(transport.sent.endswith(b"MOVE\r\n") for _, transport, _ in established)
    assert late_client.sent == b"UP 8\r\nMOVE\r\n", "the connection was established after the call"


def test_a_connection_from_before_the_start_waits_for_its_host_in_maintenance(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    put_all_into_maintenance_but(testbed, "s-2")
    testbed.send_request(LINE + ",at=s-1")
    assert not testbed.attempts()
    assert testbed.node.maintenance.disable("s-1", testbed.now)
    testbed.run(SECOND // 4 + 5000)
    assert [dial.machine.observer.upstream.name for dial in testbed.attempts()] == ["s-1"]


def test_one_disable_reverts_two_enables_and_unknown_hosts_are_rejected(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    maintenance = testbed.node.maintenance
    assert not maintenance.enable("s-9", testbed.now)
    assert not maintenance.disable("s-9", testbed.now)
    assert not maintenance.hosts
    assert maintenance.enable("s-1", testbed.now)
    assert maintenance.enable("s-1", testbed.now)
    testbed.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), testbed.now)
    assert maintenance.enable("s-1", testbed.now), "in maintenance, though no longer listed"
    assert maintenance.disable("s-1", testbed.now)
    assert not maintenance.hosts
    assert not maintenance.disable("s-1", testbed.now)
    assert maintenance.disable("s-2", testbed.now), "listed, though not in maintenance"
    assert not testbed.node.is_listed("s-1")


@pytest.mark.parametrize("listing", ["listed all along", "listed again later", "listed with its new start"])
def test_a_returned_host_is_in_slow_start_and_used_at_once(tmp_path: Path, listing: str) -> None:
    testbed = node_testbed(tmp_path)
    reported = policy_events(testbed)
    put_all_into_maintenance_but(testbed, "s-2")
    if listing == "listed again later":
        testbed.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), testbed.now)
        testbed.node.maintenance.disable("s-1", testbed.now)
        testbed.node.endpoints_received(parse_endpoint_list(hosts(host("s-1"), host("s-2"))), testbed.now)
    else:
        testbed.node.maintenance.disable("s-1", testbed.now)
    if listing == "listed with its new start":
        assert testbed.node.upstreams.by_name["s-1"].returned_to_service_us == testbed.now
        testbed.node.endpoints_received(
            parse_endpoint_list(hosts(host("s-1") | {"startedAtMs": 40_000}, host("s-2"))), testbed.now
        )
    entries = [
        entry
        for event in reported
        if isinstance(event, EndpointUpdate)
        for entry in event.entries
        if entry.server_id == upstream_number(testbed, "s-1")
    ]
    assert entries[-1].state == ServerState.READY
    assert entries[-1].ready_since_us == testbed.now, "in slow start, regardless of the listed start"
    testbed.establish_client()
    assert (
        testbed.attempts()[-1].machine.observer.upstream.name == "s-1"
    ), "the next request goes to the returned host"
    chosen = set[str]()
    for _ in range(19):
        testbed.establish_client()
        chosen |= {dial.machine.observer.upstream.name for dial in testbed.attempts()}
    assert chosen == {"s-1", "s-2"}
    on_returned_host = sum(dial.machine.observer.upstream.name == "s-1" for dial in testbed.attempts())
    assert on_returned_host <= 4, "within the slow start budget"


def test_without_new_clients_connections_are_migrated_to_a_returned_host(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    put_all_into_maintenance_but(testbed, "s-2")
    established = [testbed.establish_client()[1] for _ in range(6)]
    testbed.node.maintenance.disable("s-1", testbed.now)
    testbed.run(SECOND + 10_000)
    migrated = sum(transport.sent.endswith(b"MOVE\r\n") for transport in established)
    assert migrated == 2
    testbed.establish_client()
    assert testbed.attempts()[-1].machine.observer.upstream.name == "s-1"
    testbed.run(5 * SECOND)
    migrated_later = sum(transport.sent.endswith(b"MOVE\r\n") for transport in established)
    assert migrated_later == migrated, "no further migrations than necessary"


@pytest.mark.parametrize("returned_ago_us", [SECOND, 20 * SECOND])
def test_a_successor_receives_the_return_times_of_hosts(tmp_path: Path, returned_ago_us: int) -> None:
    testbed = node_testbed(tmp_path)
    put_all_into_maintenance_but(testbed, "s-2")
    testbed.node.maintenance.disable("s-1", testbed.now)
    testbed.run(returned_ago_us)
    successor = node_testbed(tmp_path)
    successor.now = testbed.now
    reported = policy_events(successor)
    return_times = testbed.node.return_to_service_times()
    successor.node.apply_return_to_service_times(return_times, successor.now)
    updates = [event for event in reported if isinstance(event, EndpointUpdate)]
    (entry,) = (entry for update in updates for entry in update.entries)
    assert entry.ready_since_us == testbed.now - returned_ago_us
    successor.establish_client()
    (attempt,) = successor.attempts()
    assert returned_ago_us > SECOND or attempt.machine.observer.upstream.name == "s-1"


def test_maintenance_calls_do_not_delay_discovery(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.dials[0].machine.connection_lost(testbed.now)  # ends the watch
    dials_before = len(testbed.dials)
    put_all_into_maintenance_but(testbed, "s-2")
    testbed.run(2 * SECOND)
    assert len(testbed.dials) > dials_before


def test_gauges_count_a_host_in_maintenance_once(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    put_all_into_maintenance_but(testbed, "s-2")
    assert testbed.node.gauges(testbed.now)["out_of_rotation"] == 1
    testbed.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), testbed.now)
    gauges = testbed.node.gauges(testbed.now)
    assert (gauges["registry_entries"], gauges["out_of_rotation"]) == (1, 0)


def test_both_processes_apply_the_marks(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    other = node_testbed(tmp_path)
    marks = InMemoryMarks()
    testbed.node.maintenance.marks = marks
    other.node.maintenance.marks = marks
    assert testbed.node.maintenance.enable("s-1", testbed.now)
    other.run(SECOND // 10 + 10_000)
    assert other.node.maintenance.hosts == {"s-1"}
    assert other.node.upstreams.by_name["s-1"].state == ServerState.DRAINING
    assert other.node.maintenance.disable("s-1", other.now)
    testbed.run(SECOND // 10 + 10_000)
    assert not testbed.node.maintenance.hosts
    assert testbed.node.upstreams.by_name["s-1"].state == ServerState.READY


class BrokenMarks(InMemoryMarks):
    def add(self, name: str) -> None:
        raise OSError(28, "No space left on device")

    def read(self) -> set[str]:
        raise OSError(5, "gone")


def test_maintenance_does_not_begin_if_its_mark_cannot_be_written(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.maintenance.marks = BrokenMarks()
    with pytest.raises(OSError):
        testbed.node.maintenance.enable("s-1", testbed.now)
    testbed.run(SECOND)
    assert not testbed.node.maintenance.hosts


@pytest.mark.parametrize("name", ["s-1", "../s-1", "a/b", ".", "%2F", "é\n"])
def test_marks_are_files_in_their_directory_for_any_host_name(tmp_path: Path, name: str) -> None:
    directory = tmp_path / "state"
    directory.mkdir()
    marks = MarkFiles(str(directory))
    marks.add(name)
    marks.add(name)
    (directory / "handover").touch()
    assert MarkFiles(str(directory)).read() == {name} and len(list(tmp_path.iterdir())) == 1
    marks.remove(name)
    marks.remove(name)
    assert marks.read() == set()
    with pytest.raises(OSError):
        marks.add("x" * 300)


def test_a_recorded_drain_outlives_the_list_and_ends_only_with_a_newer_start(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    recorded_drains = InheritedDrains({"s-1": START_MS})
    testbed.node.recorded_drains = recorded_drains
    for started_ms, drains in [(START_MS, True), (START_MS - 5, True), (START_MS + 1, False)]:
        entry = host("s-1") | {"startedAtMs": started_ms}
        testbed.node.endpoints_received(parse_endpoint_list(hosts(entry, host("s-2"))), testbed.now)
        assert (testbed.node.upstreams.by_name["s-1"].state == ServerState.DRAINING) == drains, started_ms
    recorded_drains.record_drain("s-1", START_MS + 9)
    testbed.node.refresh_endpoint("s-1", testbed.now)
    assert testbed.node.upstreams.by_name["s-1"].state == ServerState.DRAINING
    leaving = host("s-2", lifecycle="leaving") | {"startedAtMs": 7}
    testbed.node.endpoints_received(parse_endpoint_list(hosts(leaving)), testbed.now)
    assert recorded_drains.unreported_drains == {"s-2": 7}
    assert recorded_drains.drained_starts() == {"s-1": START_MS + 9, "s-2": 7}
    assert upstream_number(testbed, "s-2") and not testbed.node.is_listed("s-1")


def test_a_return_time_in_the_future_is_treated_as_now(tmp_path: Path) -> None:
    """Guards against an hour of slow start for a host because the parent's clock was ahead."""
    testbed = node_testbed(tmp_path)
    reported = policy_events(testbed)
    testbed.node.apply_return_to_service_times({"s-1": testbed.now + 3600 * SECOND}, testbed.now)
    (entry,) = (entry for event in reported if isinstance(event, EndpointUpdate) for entry in event.entries)
    assert entry.ready_since_us == testbed.now


def test_an_earlier_return_to_service_does_not_replace_a_later_one(tmp_path: Path) -> None:
    """Guards against another process's older record that makes a returned host look warm."""
    testbed = node_testbed(tmp_path)
    returned_at = testbed.now
    testbed.node.apply_return_to_service_times({"s-1": returned_at}, testbed.now)
    testbed.node.apply_return_to_service_times({"s-1": returned_at - 30 * SECOND}, testbed.now)
    assert testbed.node.return_to_service_times() == {"s-1": returned_at}
