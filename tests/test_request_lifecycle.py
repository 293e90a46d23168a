"""A request from its acceptance to its final answer, and reconnects of pinned connections."""

from __future__ import annotations

from pathlib import Path

import pytest

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
from tests.scripted_peers import LINE, SECOND, hosts, policy_events, settings, world


def test_what_comes_before_the_answer_ends_the_request_and_its_attempt(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    session, link = here.client()
    (attempt,) = here.attempts()
    attempt.accept(here.now)
    session.data_received(LINE.encode() + b"\r\n", here.now)
    assert link.sent == b"ERR\r\n" and attempt.closed and b"OPEN" not in attempt.sent[5:]
    assert not here.node.requests and [type(e) for e in events] == [
        NewRequest,
        ClientDisconnected,
        AttemptEnded,
    ]


def test_a_request_with_the_id_of_an_open_one_is_rejected_and_that_one_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    first, link, attempt = here.served()
    line = attempt.sent.partition(b"d=")[0] + b"d=2000\r\n"
    for turn in range(2):
        session, other = here.connect()
        session.data_received(line, here.now)
        assert other.sent == b"ERR\r\n" and not attempt.closed and here.attempts() == [attempt]
        assert (
            here.node.counters[CounterName.REQUESTS_DUPLICATE_ID]
            == turn + 1
            == here.node.counters[CounterName.REQUESTS] + turn
        )
    assert [type(e) for e in events] == [NewRequest, ConnectionEstablished], "the policy is not told of it"
    first.connection_lost(here.now)
    session, other = here.connect()
    session.data_received(line, here.now)
    assert other.sent == b"ERR\r\n" and not here.attempts(), "a copy may come when the request has just ended"
    monkeypatch.setattr("limerudder.core.requests.request_table.MAX_RECENT_IDS", 3)
    for _ in range(4):
        here.served()[0].connection_lost(here.now)
    assert (
        len(here.node.requests.recent_ids) == 3 and not here.node.requests.open_ids
    ), "what is kept is bounded"


def test_a_request_given_up_is_answered_at_once_and_in_time(tmp_path: Path) -> None:
    here = world(tmp_path)
    _, link = here.client()
    for _ in range(2):  # as many upstreams as there are
        here.attempts()[0].machine.connection_lost(here.now)
    here.run(1_990_000)
    assert link.sent == b"BUSY\r\n" and not here.node.requests and not here.attempts()


@pytest.mark.parametrize(("allowed", "advice"), [(False, b"BUSY\r\n"), (True, b"BUSY 700\r\n")])
def test_advice_is_given_where_allowed_and_never_more_than_clients_follow(
    tmp_path: Path, allowed: bool, advice: bytes
) -> None:
    changed = settings(retryAfter=allowed, maxRetryAfterUs=700_000)
    here = world(tmp_path, settings=changed, known=hosts())
    _, link = here.client()
    here.run(400_000)
    assert link.sent == advice


def test_a_client_that_disconnects_early_cancels_its_attempt(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    session, link = here.client()
    (attempt,) = here.attempts()
    session.eof_received(here.now)
    assert attempt.closed and link.closed and not here.node.requests
    (end,) = (e for e in events if isinstance(e, AttemptEnded))
    assert (end.outcome, end.request_closed) == (AttemptOutcome.CANCELLED, 1)
    assert any(isinstance(e, ClientDisconnected) for e in events)


def test_a_pinned_connection_goes_to_its_upstream_and_is_retried(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    line = LINE.replace("d=2000", "d=4294967") + ",at=s-2"
    _, link = here.client(line)
    here.attempts()[0].machine.connection_lost(here.now)
    assert not here.attempts()
    here.run(260_000)
    (attempt,) = here.attempts()
    assert attempt.accept(here.now) == line + "\r\n"
    attempt.machine.data_received(b"UP 5\r\n", here.now)
    assert link.sent == b"UP 5\r\n"
    assert [type(e) for e in events if not isinstance(e, TimerFired | HealthCheckResult)] == [
        ExistingConnection
    ]


def test_a_pinned_connection_at_an_unlisted_host_fails_and_leaves_nothing(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    known = len(here.node.upstreams.by_number)
    _, link = here.client(LINE + ",at=s-99")
    here.run(31 * SECOND)
    assert link.sent == b"ERR\r\n" and not here.node.requests and not here.attempts()
    assert len(here.node.upstreams.by_number) == known and not [
        e for e in events if isinstance(e, ExistingConnection)
    ]


def test_a_request_that_the_policy_never_answers_is_answered_as_failed(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.node.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
    _, link = here.client()
    here.run(2 * SECOND + 15_000)
    assert not link.half_closed
    here.run(10_000)
    assert link.sent == b"ERR\r\n" and not here.node.requests
