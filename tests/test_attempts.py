"""Attempts at upstreams: their failures, their order, and the relay between both sides."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import host, hosts, settings
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import StartAttempt
from limerudder.policy.events import AttemptEnded, AttemptOutcome, NewRequest, ServerState
from tests.node_testbed import node_testbed, policy_events


def test_a_client_that_disconnects_while_its_attempt_is_dialled_is_never_forwarded(tmp_path: Path) -> None:
    """Applies even if the settings forbid cancelling attempts, since the upstream has received no data."""
    testbed = node_testbed(tmp_path, settings=settings(cancel=False))
    session, _ = testbed.send_request()
    (attempt,) = testbed.attempts()
    session.eof_received(testbed.now)
    assert attempt.accept(testbed.now) == "" and attempt.closed
    assert not testbed.node.requests and testbed.node.counters[CounterName.ATTEMPTS_CONNECT_FAILED] == 1


@pytest.mark.parametrize(
    ("failure", "ending"),
    [
        ("refused", AttemptOutcome.CONNECT_FAILED),
        ("no answer to the dial", AttemptOutcome.CONNECT_FAILED),
        ("broken after the line", AttemptOutcome.RESET),
        ("silent", AttemptOutcome.TIMEOUT),
        ("BUSY", AttemptOutcome.FULL),
        ("ERR inflight=1", AttemptOutcome.ERROR),
        ("UP", AttemptOutcome.ERROR),
        ("x" * 5000, AttemptOutcome.ERROR),
    ],
    ids=lambda value: str(value)[:20],
)
def test_an_attempt_that_fails_is_closed_before_the_next(
    tmp_path: Path, failure: str, ending: AttemptOutcome
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    _, transport = testbed.send_request()
    (first,) = testbed.attempts()
    if failure == "no answer to the dial":
        testbed.run(110_000)
    elif failure != "refused":
        first.accept(testbed.now)
    if failure in ("refused", "broken after the line"):
        first.machine.connection_lost(testbed.now)
    elif failure == "silent":
        testbed.run(1_010_000)
    else:
        first.machine.data_received(failure.encode() + b"\r\n", testbed.now)
    assert [event.outcome for event in events if isinstance(event, AttemptEnded)] == [ending]
    (second,) = testbed.attempts()
    assert first.closed and second is not first
    assert not transport.sent


def test_attempt_rules_are_enforced_regardless_of_policy_actions(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    ready, draining = testbed.node.upstreams.by_number.values()
    draining.state = ServerState.DRAINING
    actions = [
        StartAttempt(1, draining.number, 0),
        StartAttempt(1, ready.number, 0),
        StartAttempt(1, ready.number, 0),
    ]
    testbed.node.balancer.handle = lambda event, now_us: (  # type: ignore[method-assign]
        list(actions) if isinstance(event, NewRequest) else []
    )
    testbed.send_request()
    assert len(testbed.attempts()) == 1 and testbed.node.counters[CounterName.ATTEMPTS_OBSOLETE] == 2


@pytest.mark.parametrize("ending_side", ["upstream resets", "client resets", "client ends"])
def test_the_end_of_one_side_is_relayed_to_the_other(tmp_path: Path, ending_side: str) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    if ending_side == "upstream resets":
        attempt.machine.connection_lost(testbed.now)
        assert transport.was_reset
    elif ending_side == "client resets":
        session.connection_lost(testbed.now)
        assert attempt.was_reset
    else:
        session.eof_received(testbed.now)
        assert attempt.half_closed and not attempt.closed
        testbed.run(800_000)
        assert attempt.closed and transport.half_closed
    assert not testbed.node.requests


def test_the_wait_for_an_upstream_after_its_client_has_ended_is_bounded(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    session.data_received(b"M 1\r\n", testbed.now)
    session.eof_received(testbed.now)
    attempt.machine.data_received(b"M 1\r\n", testbed.now)
    testbed.run(800_000)
    assert attempt.closed and transport.half_closed and not testbed.node.requests


def test_reading_from_one_side_is_paused_while_the_other_reads_slowly(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    for paused in (True, False):
        session.set_writing_paused(paused)
        attempt.machine.set_writing_paused(paused)
        assert (transport.reading_paused, attempt.reading_paused) == (paused, paused)


def test_a_dial_to_an_upstream_that_begins_to_drain_is_cancelled(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    (attempt,) = testbed.attempts()
    (connection,) = testbed.node.requests.values()
    assert connection.upstream
    drains = parse_endpoint_list(hosts(host(connection.upstream.name, lifecycle="leaving"), reset=False))
    testbed.node.endpoints_received(drains, testbed.now)
    assert attempt.closed and len(testbed.attempts()) == 1
