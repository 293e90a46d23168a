"""The lifecycle of requests, and reconnects of pinned connections."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND, hosts, settings
from limerudder.core.operations.counters import CounterName
from limerudder.core.requests.request_table import RECENT_ID_LIFETIME_US
from limerudder.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    ExistingConnection,
    HealthCheckResult,
    NewRequest,
    TimerFired,
)
from tests.node_testbed import NodeTestbed, node_testbed, policy_events


def test_data_before_the_answer_ends_the_request_and_its_attempt(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport = testbed.send_request()
    (attempt,) = testbed.attempts()
    attempt.accept(testbed.now)
    session.data_received(LINE.encode() + b"\r\n", testbed.now)
    assert transport.sent == b"ERR\r\n"
    assert attempt.closed and b"OPEN" not in attempt.sent[5:]
    assert not testbed.node.requests
    assert [type(event) for event in events] == [NewRequest, ClientDisconnected, AttemptEnded]


def test_a_request_with_the_id_of_an_open_one_is_rejected_and_that_one_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    first, transport, attempt = testbed.establish_client()
    line = attempt.sent.partition(b"d=")[0] + b"d=2000\r\n"
    counters = testbed.node.counters
    for duplicate_count in (1, 2):
        session, duplicate = testbed.connect()
        session.data_received(line, testbed.now)
        assert duplicate.sent == b"ERR\r\n"
        assert not attempt.closed and testbed.attempts() == [attempt]
        assert counters[CounterName.REQUESTS_DUPLICATE_ID] == duplicate_count
        assert counters[CounterName.REQUESTS] == 1
    event_types = [type(event) for event in events]
    assert event_types == [NewRequest, ConnectionEstablished], "the policy gets no event for the duplicate"
    first.connection_lost(testbed.now)
    session, duplicate = testbed.connect()
    session.data_received(line, testbed.now)
    assert duplicate.sent == b"ERR\r\n", "a copy may arrive just after the request has ended"
    assert not testbed.attempts()
    monkeypatch.setattr("limerudder.core.requests.request_table.MAX_RECENT_IDS", 3)
    for _ in range(4):
        testbed.establish_client()[0].connection_lost(testbed.now)
    assert len(testbed.node.requests.recent_ids) == 3, "memory is bounded"
    assert not testbed.node.requests.open_ids


def test_an_id_is_rejected_by_time_and_not_by_the_number_of_later_ones(tmp_path: Path) -> None:
    """Regression (picture c of issue 51): an id ran twice when it came again after 4,096 other requests."""
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    line = attempt.sent.partition(b"d=")[0] + b"d=2000\r\n"
    session.connection_lost(testbed.now)
    for _ in range(4200):
        testbed.establish_client()[0].connection_lost(testbed.now)
        testbed.dials.clear()
    testbed.run(RECENT_ID_LIFETIME_US - SECOND)
    assert copy_answer(testbed, line) == b"ERR\r\n"
    testbed.run(3 * SECOND)
    assert copy_answer(testbed, line) == b"", "accepted, and waiting for its upstream"
    assert len(testbed.node.requests.recent_ids) == 0


def copy_answer(testbed: NodeTestbed, line: bytes) -> bytes:
    """Return what a client gets at once that sends this line."""
    session, transport = testbed.connect()
    session.data_received(line, testbed.now)
    return transport.sent


def test_ids_of_requests_that_reached_no_upstream_are_not_kept(tmp_path: Path) -> None:
    """Guards against a flood of such requests that displaces the ids of those that have run."""
    testbed = node_testbed(tmp_path)
    session, _ = testbed.send_request()
    session.eof_received(testbed.now)
    assert not testbed.node.requests and not testbed.node.requests.recent_ids


def test_a_request_whose_upstreams_have_all_failed_is_answered_in_time(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    _, transport = testbed.send_request()
    for _ in range(2):  # the number of upstreams
        testbed.attempts()[0].machine.connection_lost(testbed.now)
    testbed.run(1_990_000)
    assert transport.sent == b"BUSY\r\n" and not testbed.node.requests and not testbed.attempts()


@pytest.mark.parametrize(("allowed", "answer"), [(False, b"BUSY\r\n"), (True, b"BUSY 700\r\n")])
def test_a_retry_delay_is_sent_if_allowed_and_never_longer_than_clients_accept(
    tmp_path: Path, allowed: bool, answer: bytes
) -> None:
    changed = settings(retryAfter=allowed, maxRetryAfterUs=700_000)
    testbed = node_testbed(tmp_path, settings=changed, known=hosts())
    _, transport = testbed.send_request()
    testbed.run(400_000)
    assert transport.sent == answer


def test_a_client_that_disconnects_early_cancels_its_attempt(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport = testbed.send_request()
    (attempt,) = testbed.attempts()
    session.eof_received(testbed.now)
    assert attempt.closed and transport.closed and not testbed.node.requests
    (ended,) = (event for event in events if isinstance(event, AttemptEnded))
    assert (ended.outcome, ended.request_closed) == (AttemptOutcome.CANCELLED, 1)
    assert any(isinstance(event, ClientDisconnected) for event in events)


def test_a_pinned_connection_goes_to_its_upstream_and_is_retried(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    line = LINE.replace("d=2000", "d=4294967") + ",at=s-2"
    _, transport = testbed.send_request(line)
    testbed.attempts()[0].machine.connection_lost(testbed.now)
    assert not testbed.attempts()
    testbed.run(260_000)
    (attempt,) = testbed.attempts()
    assert attempt.accept(testbed.now) == line + "\r\n"
    attempt.machine.data_received(b"UP 5\r\n", testbed.now)
    assert transport.sent == b"UP 5\r\n"
    event_types = [type(event) for event in events if not isinstance(event, TimerFired | HealthCheckResult)]
    assert event_types == [ExistingConnection]


def test_a_pinned_connection_to_an_unlisted_host_fails_and_leaves_no_state(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    upstream_count = len(testbed.node.upstreams.by_number)
    _, transport = testbed.send_request(LINE + ",at=s-99")
    testbed.run(31 * SECOND)
    assert transport.sent == b"ERR\r\n" and not testbed.node.requests and not testbed.attempts()
    assert len(testbed.node.upstreams.by_number) == upstream_count
    assert not any(isinstance(event, ExistingConnection) for event in events)


def test_a_request_that_the_policy_never_answers_is_answered_as_failed(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
    _, transport = testbed.send_request()
    testbed.run(2 * SECOND + 15_000)
    assert not transport.half_closed
    testbed.run(10_000)
    assert transport.sent == b"ERR\r\n" and not testbed.node.requests
