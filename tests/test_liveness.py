"""Upstreams that fall silent, and single streams that stop."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import host, hosts
from limerudder.core.operations.counters import CounterName
from limerudder.policy.events import AttemptEnded, AttemptOutcome
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("sent", [b"M 1\r\n", b"M 1\r\nM"], ids=["a line", "a line and a half"])
def test_a_stream_that_stops_is_noticed_and_its_client_migrated_between_two_lines(
    tmp_path: Path, sent: bytes
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport, attempt = testbed.establish_client()
    upstream = testbed.node.upstreams.by_name["s-1"]
    session.data_received(sent, testbed.now)
    for _ in range(25):  # the machine answers on other connections
        for each in testbed.node.upstreams.by_number.values():
            each.last_health_check_answer_us = testbed.now
        attempt.machine._framer.feed(b"half a li")
        assert not transport.half_closed and upstream.liveness.silent_since_us is None
        testbed.run(100_000)
    testbed.run(5000)
    assert transport.sent == b"UP 77\r\nMOVE\r\n" and transport.half_closed and attempt.closed
    (end,) = (e for e in events if isinstance(e, AttemptEnded))
    assert end.outcome == AttemptOutcome.CANCELLED, "nothing is learned of what the upstream can hold"


@pytest.mark.parametrize("back", [False, True], ids=["gone", "heard again"])
def test_the_clients_of_a_silent_upstream_are_migrated_step_by_step_while_it_is_silent(
    tmp_path: Path, back: bool
) -> None:
    """Incident rcd69b2: two machines were cut off, and 42 clients waited until they were back."""
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")))
    all_up = [testbed.establish_client() for _ in range(20)]
    all_up[0][0].data_received(b"M 1\r\n", testbed.now)  # the others have nothing to say
    testbed.run(990_000)
    moved = [sum(transport.half_closed for _, transport, _ in all_up)]
    for _ in range(20):
        testbed.run(200_000)
        moved.append(sum(transport.half_closed for _, transport, _ in all_up))
        if back and moved[-1]:
            all_up[-1][2].machine.data_received(b"LOAD 1\r\n", testbed.now)
    assert moved[0] == 0 and 0 < moved[1] < 10 and (moved[-1] < 10 if back else moved[-1] == 20)
    assert testbed.node.counters[CounterName.UPSTREAMS_UNRESPONSIVE] == 1
    assert len([text for text in testbed.logged if "s-1 is unresponsive" in text]) == 1
