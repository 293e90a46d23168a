"""Limits on the end of a connection count from its last progress, and let go of a side that has stopped."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import SECOND
from limerudder.core.operations.counters import CounterName
from limerudder.core.progress_timeout import DELIVERY_TIMEOUT_US, ProgressLimits, ProgressTimeout
from limerudder.core.upstream.attempt import MAX_MESSAGE_WAIT_US, MESSAGE_TIMEOUT_US
from tests.node_testbed import MANY_BYTES, START_TIME_US, STEP_US, FakeTransport, drain, node_testbed


@pytest.mark.parametrize("stops_at_us", [0, 20 * SECOND], ids=["dead", "slow, then dead"])
def test_an_upstream_that_still_reads_after_its_client_has_ended_is_waited_for(
    tmp_path: Path, stops_at_us: int
) -> None:
    """Regression (review/6): the limit of 0.7 s began with the client's end, and lines were lost."""
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    attempt.unsent = MANY_BYTES
    session.eof_received(testbed.now)
    drain(testbed, attempt, stops_at_us)
    assert not attempt.closed and not testbed.node.counters[CounterName.UPSTREAM_CLOSES_TIMED_OUT]
    testbed.run(DELIVERY_TIMEOUT_US * 5 // 4)
    assert attempt.closed and transport.half_closed and not testbed.node.requests
    assert testbed.node.counters[CounterName.UPSTREAM_CLOSES_TIMED_OUT] == 1


def test_an_upstream_that_still_answers_after_its_client_has_ended_is_waited_for(tmp_path: Path) -> None:
    """Regression (review/6), for an upstream that has all lines; the pauses are longer than 0.7 s."""
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    messages = [b"M %d\r\n" % number for number in range(4)]
    session.data_received(b"".join(messages), testbed.now)
    session.eof_received(testbed.now)
    for message in messages:
        testbed.run(MESSAGE_TIMEOUT_US - STEP_US)
        attempt.machine.data_received(message, testbed.now)
    assert transport.sent == b"UP 77\r\n" + b"".join(messages)
    testbed.run(800_000)
    assert attempt.closed, "all messages are answered, and the upstream does not end its side"


def test_an_upstream_is_waited_for_while_its_client_is_slow_to_take_the_last_lines(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    session.eof_received(testbed.now)
    transport.unsent = MANY_BYTES
    session.set_writing_paused(True)
    drain(testbed, transport, 20 * SECOND)
    assert not attempt.closed
    testbed.run(DELIVERY_TIMEOUT_US * 5 // 4)
    assert attempt.closed, "the client takes in nothing more"


@pytest.mark.parametrize("client_is_dead", [False, True])
def test_an_upstream_is_not_blamed_while_its_data_waits_for_a_slow_client(
    tmp_path: Path, client_is_dead: bool
) -> None:
    """Regression (review/7, third way): the node paused reading and took the upstream for silent."""
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    session.data_received(b"M 1\r\n", testbed.now)
    transport.unsent = MANY_BYTES
    session.set_writing_paused(True)
    if client_is_dead:
        testbed.run(DELIVERY_TIMEOUT_US * 5 // 4)
        assert attempt.closed and transport.sent.endswith(b"MOVE\r\n")
        return
    drain(testbed, transport, 20 * SECOND)
    assert not attempt.closed and not testbed.node.counters[CounterName.UPSTREAMS_UNRESPONSIVE]
    session.set_writing_paused(False)
    testbed.run(STEP_US)
    assert not attempt.closed
    testbed.run(MESSAGE_TIMEOUT_US)
    assert attempt.closed, "the upstream has not answered since it is read from again"


def test_the_wait_for_an_answer_is_longer_while_the_upstream_takes_in_bytes_but_bounded(
    tmp_path: Path,
) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    session.data_received(b"M 1\r\n", testbed.now)
    attempt.unsent = MANY_BYTES
    testbed.run(STEP_US)
    upstream = testbed.node.upstreams.by_name["s-1"]
    for _ in range((MAX_MESSAGE_WAIT_US - SECOND) // STEP_US):
        upstream.last_health_check_answer_us = testbed.now
        drain(testbed, attempt, STEP_US)
    assert not attempt.closed
    testbed.run(SECOND)
    assert attempt.closed and transport.sent.endswith(b"MOVE\r\n")


def test_a_progress_timeout_counts_from_the_last_progress(tmp_path: Path) -> None:
    wheel = node_testbed(tmp_path).node.timer_wheel
    transport = FakeTransport()
    timed_out_us: list[int] = []
    timeout = ProgressTimeout(wheel)
    timeout.start([transport], ProgressLimits(SECOND), START_TIME_US, timed_out_us.append)
    wheel.advance(START_TIME_US + SECOND - 1)
    timeout.record_progress(START_TIME_US + SECOND - 1)
    wheel.advance(START_TIME_US + SECOND * 3 // 2)
    assert not timed_out_us and timeout.limits
    wheel.advance(START_TIME_US + 2 * SECOND)
    assert len(timed_out_us) == 1 and timeout.limits is None
