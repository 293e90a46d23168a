"""Silent upstreams, and single streams that stop."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import host, hosts
from limerudder.core.operations.counters import CounterName
from limerudder.policy.events import AttemptEnded, AttemptOutcome
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("sent", [b"M 1\r\n", b"M 1\r\nM"], ids=["a line", "a line and a half"])
def test_a_stopped_stream_is_detected_and_its_client_migrated_between_two_lines(
    tmp_path: Path, sent: bytes
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport, attempt = testbed.establish_client()
    upstream = testbed.node.upstreams.by_name["s-1"]
    session.data_received(sent, testbed.now)
    for _ in range(25):  # The upstream answers on other connections
        for other in testbed.node.upstreams.by_number.values():
            other.last_health_check_answer_us = testbed.now
        attempt.machine._framer.feed(b"half a li")
        assert not transport.half_closed
        assert upstream.liveness.silent_since_us is None
        testbed.run(100_000)
    testbed.run(5000)
    assert transport.sent == b"UP 77\r\nMOVE\r\n"
    assert transport.half_closed and attempt.closed
    (ended,) = (event for event in events if isinstance(event, AttemptEnded))
    assert ended.outcome == AttemptOutcome.CANCELLED, "the outcome does not count against the capacity"


@pytest.mark.parametrize("recovers", [False, True], ids=["gone", "recovers"])
def test_the_clients_of_a_silent_upstream_are_migrated_step_by_step_while_it_is_silent(
    tmp_path: Path, recovers: bool
) -> None:
    """Regression: 42 clients waited until the two unreachable machines of their upstreams had recovered."""
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")))
    established = [testbed.establish_client() for _ in range(20)]
    first_session, _, _ = established[0]
    _, _, last_attempt = established[-1]
    first_session.data_received(b"M 1\r\n", testbed.now)  # The other clients send nothing
    testbed.run(990_000)
    migrated = [sum(transport.half_closed for _, transport, _ in established)]
    for _ in range(20):
        testbed.run(200_000)
        migrated.append(sum(transport.half_closed for _, transport, _ in established))
        if recovers and migrated[-1]:
            last_attempt.machine.data_received(b"LOAD 1\r\n", testbed.now)
    assert migrated[0] == 0
    assert 0 < migrated[1] < 10
    assert migrated[-1] < 10 if recovers else migrated[-1] == 20
    assert testbed.node.counters[CounterName.UPSTREAMS_UNRESPONSIVE] == 1
    assert len([text for text in testbed.logged if "s-1 is unresponsive" in text]) == 1
