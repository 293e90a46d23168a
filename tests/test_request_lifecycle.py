"""A request from its acceptance to its final answer, and reconnects of pinned connections."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE, SECOND, hosts, settings
from limerudder.core.operations.counters import CounterName
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
from tests.node_testbed import node_testbed, policy_events


def test_what_comes_before_the_answer_ends_the_request_and_its_attempt(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport = testbed.send_request()
    (attempt,) = testbed.attempts()
    attempt.accept(testbed.now)
    session.data_received(LINE.encode() + b"\r\n", testbed.now)
    assert transport.sent == b"ERR\r\n" and attempt.closed and b"OPEN" not in attempt.sent[5:]
    assert not testbed.node.requests and [type(e) for e in events] == [
        NewRequest,
        ClientDisconnected,
        AttemptEnded,
    ]


def test_a_request_with_the_id_of_an_open_one_is_rejected_and_that_one_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    first, transport, attempt = testbed.establish_client()
    line = attempt.sent.partition(b"d=")[0] + b"d=2000\r\n"
    for turn in range(2):
        session, other = testbed.connect()
        session.data_received(line, testbed.now)
        assert other.sent == b"ERR\r\n" and not attempt.closed and testbed.attempts() == [attempt]
        assert (
            testbed.node.counters[CounterName.REQUESTS_DUPLICATE_ID]
            == turn + 1
            == testbed.node.counters[CounterName.REQUESTS] + turn
        )
    assert [type(e) for e in events] == [NewRequest, ConnectionEstablished], "the policy is not told of it"
    first.connection_lost(testbed.now)
    session, other = testbed.connect()
    session.data_received(line, testbed.now)
    assert (
        other.sent == b"ERR\r\n" and not testbed.attempts()
    ), "a copy may come when the request has just ended"
    monkeypatch.setattr("limerudder.core.requests.request_table.MAX_RECENT_IDS", 3)
    for _ in range(4):
        testbed.establish_client()[0].connection_lost(testbed.now)
    assert (
        len(testbed.node.requests.recent_ids) == 3 and not testbed.node.requests.open_ids
    ), "what is kept is bounded"


def test_a_request_given_up_is_answered_at_once_and_in_time(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    _, transport = testbed.send_request()
    for _ in range(2):  # as many upstreams as there are
        testbed.attempts()[0].machine.connection_lost(testbed.now)
    testbed.run(1_990_000)
    assert transport.sent == b"BUSY\r\n" and not testbed.node.requests and not testbed.attempts()


@pytest.mark.parametrize(("allowed", "advice"), [(False, b"BUSY\r\n"), (True, b"BUSY 700\r\n")])
def test_advice_is_given_where_allowed_and_never_more_than_clients_follow(
    tmp_path: Path, allowed: bool, advice: bytes
) -> None:
    changed = settings(retryAfter=allowed, maxRetryAfterUs=700_000)
    testbed = node_testbed(tmp_path, settings=changed, known=hosts())
    _, transport = testbed.send_request()
    testbed.run(400_000)
    assert transport.sent == advice


def test_a_client_that_disconnects_early_cancels_its_attempt(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport = testbed.send_request()
    (attempt,) = testbed.attempts()
    session.eof_received(testbed.now)
    assert attempt.closed and transport.closed and not testbed.node.requests
    (end,) = (e for e in events if isinstance(e, AttemptEnded))
    assert (end.outcome, end.request_closed) == (AttemptOutcome.CANCELLED, 1)
    assert any(isinstance(e, ClientDisconnected) for e in events)


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
    assert [type(e) for e in events if not isinstance(e, TimerFired | HealthCheckResult)] == [
        ExistingConnection
    ]


def test_a_pinned_connection_at_an_unlisted_host_fails_and_leaves_nothing(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    known = len(testbed.node.upstreams.by_number)
    _, transport = testbed.send_request(LINE + ",at=s-99")
    testbed.run(31 * SECOND)
    assert transport.sent == b"ERR\r\n" and not testbed.node.requests and not testbed.attempts()
    assert len(testbed.node.upstreams.by_number) == known and not [
        e for e in events if isinstance(e, ExistingConnection)
    ]


def test_a_request_that_the_policy_never_answers_is_answered_as_failed(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
    _, transport = testbed.send_request()
    testbed.run(2 * SECOND + 15_000)
    assert not transport.half_closed
    testbed.run(10_000)
    assert transport.sent == b"ERR\r\n" and not testbed.node.requests
