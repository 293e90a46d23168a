"""The send guard, and the counting of rule violations at run time."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import LINE, SECOND, host, hosts, settings
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.operations.counters import CounterName
from limerudder.core.requests.final_answers import FinalAnswer
from limerudder.core.requests.proxied_connection import ConnectionState
from limerudder.policy.events import ServerState
from tests.node_testbed import NodeTestbed, node_testbed

PINNED_LINE = f"{LINE},at=s-1"
MAX_BASE_TURNS = 3  #: Maximum number of turns of all nodes in any two slots


def restart_host(testbed: NodeTestbed, *names: str) -> None:
    """Apply an endpoint list in which these hosts have just restarted."""
    started = {"startedAtMs": testbed.now // 1000}
    listed = [host(name) | (started if name in names else {}) for name in ("s-1", "s-2")]
    testbed.node.endpoints_received(parse_endpoint_list(hosts(*listed)), testbed.now)


def use_all_turns(testbed: NodeTestbed, name: str) -> None:
    number = testbed.node.upstreams.by_name[name].number
    while testbed.node.balancer.confirm_send(0, number, testbed.now):
        pass


def test_a_request_whose_host_restarts_during_the_dial_is_written_only_in_a_turn(tmp_path: Path) -> None:
    """Guards against issue 33: after a dial, requests were written to a host that had just started."""
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    (dial,) = testbed.attempts()
    restart_host(testbed, "s-1", "s-2")
    use_all_turns(testbed, dial.machine.observer.upstream.name)
    assert dial.accept(testbed.now) == ""
    assert dial.closed
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] == 0


def test_a_pinned_request_waits_for_a_turn_at_a_host_in_slow_start(tmp_path: Path) -> None:
    """Guards against issue 33: pinned reconnects did not check the slow-start budget."""
    testbed = node_testbed(tmp_path, settings=settings(tryLimit=3) | {"balancers": 1})
    restart_host(testbed, "s-1")
    sent = 0
    for _ in range(12):
        testbed.send_request(PINNED_LINE)
    for _ in range(8):
        for dial in testbed.attempts():
            if not dial.machine.sent:
                sent += bool(dial.accept(testbed.now))
        testbed.run(SECOND // 2)
    assert 0 < sent <= 2 * MAX_BASE_TURNS


def test_two_processes_of_a_node_never_both_use_its_turns(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, settings=settings() | {"balancers": 1})
    restart_host(testbed, "s-1")
    number = testbed.node.upstreams.by_name["s-1"].number
    testbed.run(2 * SECOND + 5000)
    assert testbed.node.balancer.confirm_send(0, number, testbed.now)
    testbed.node.stop_using_turns()
    testbed.run(4 * SECOND)
    assert not testbed.node.balancer.confirm_send(0, number, testbed.now)
    testbed.node.start_using_turns(delay_us=SECOND)
    testbed.run(5000)
    assert not testbed.node.balancer.confirm_send(0, number, testbed.now)
    testbed.run(4 * SECOND)
    assert testbed.node.balancer.confirm_send(0, number, testbed.now)


def test_a_process_that_shuts_down_leaves_its_turns_to_its_replacement(tmp_path: Path) -> None:
    """Guards against issue 33: two processes with the same node index each used all turns of the node."""
    testbed = node_testbed(tmp_path, settings=settings() | {"balancers": 1})
    restart_host(testbed, "s-1")
    number = testbed.node.upstreams.by_name["s-1"].number
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.run(2 * SECOND + 5000)
    assert not testbed.node.balancer.confirm_send(0, number, testbed.now)


def test_a_send_that_bypasses_the_guard_is_counted(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    (dial,) = testbed.attempts()
    dial.machine.first_bytes_sent(testbed.now)
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] == 1
    assert "without confirmation by the send guard" in testbed.logged[-1]


def test_a_write_that_ends_late_at_a_host_that_drains_is_counted(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    (dial,) = testbed.attempts()
    assert dial.machine.first_bytes(testbed.now)
    dial.machine.observer.upstream.state = ServerState.DRAINING
    dial.machine.first_bytes_sent(testbed.now + SECOND)
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] == 1


def test_a_second_or_late_or_missing_answer_is_counted(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    (connection,) = testbed.node.requests.values()
    testbed.node.check_all_answered()
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] == 1, "the request would end without an answer"
    connection.deadline_us = testbed.now - SECOND
    testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] == 2, "a late answer"
    assert connection.state is ConnectionState.FINISHED
    testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)
    assert testbed.node.counters[CounterName.RULE_VIOLATIONS] >= 3, "a second answer"
