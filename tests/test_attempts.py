"""Attempts at upstreams: their failures, their order, and the relay between two sides."""

from __future__ import annotations

from pathlib import Path

import pytest

from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import StartAttempt
from limerudder.policy.events import AttemptEnded, AttemptOutcome, NewRequest, ServerState
from tests.scripted_peers import host, hosts, policy_events, settings, world


def test_a_client_that_disconnects_while_its_attempt_is_dialled_is_never_forwarded(tmp_path: Path) -> None:
    """Also where the settings allow no attempt to be called off: this one has not begun."""
    here = world(tmp_path, settings=settings(cancel=False))
    session, _ = here.client()
    (attempt,) = here.attempts()
    session.eof_received(here.now)
    assert attempt.accept(here.now) == "" and attempt.closed
    assert not here.node.requests and here.node.counters[CounterName.ATTEMPTS_CONNECT_FAILED] == 1


@pytest.mark.parametrize(
    ("how", "ending"),
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
    tmp_path: Path, how: str, ending: AttemptOutcome
) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    _, link = here.client()
    (first,) = here.attempts()
    if how == "no answer to the dial":
        here.run(110_000)
    elif how != "refused":
        first.accept(here.now)
    if how in ("refused", "broken after the line"):
        first.machine.connection_lost(here.now)
    elif how == "silent":
        here.run(1_010_000)
    else:
        first.machine.data_received(how.encode() + b"\r\n", here.now)
    assert [e.outcome for e in events if isinstance(e, AttemptEnded)] == [ending]
    (second,) = here.attempts()
    assert first.closed and second is not first and not link.sent


def test_the_rules_of_attempts_hold_whatever_the_policy_decides(tmp_path: Path) -> None:
    here = world(tmp_path)
    first, other = here.node.upstreams.by_number.values()
    other.state = ServerState.DRAINING
    sends = [
        StartAttempt(1, other.number, 0),
        StartAttempt(1, first.number, 0),
        StartAttempt(1, first.number, 0),
    ]
    here.node.balancer.handle = lambda event, now_us: (  # type: ignore[method-assign]
        list(sends) if isinstance(event, NewRequest) else []
    )
    here.client()
    assert len(here.attempts()) == 1 and here.node.counters[CounterName.ATTEMPTS_OBSOLETE] == 2


@pytest.mark.parametrize("ending_side", ["upstream resets", "client resets", "client ends"])
def test_one_side_ends_as_the_other_did(tmp_path: Path, ending_side: str) -> None:
    here = world(tmp_path)
    session, link, attempt = here.served()
    if ending_side == "upstream resets":
        attempt.machine.connection_lost(here.now)
        assert link.was_reset
    elif ending_side == "client resets":
        session.connection_lost(here.now)
        assert attempt.was_reset
    else:
        session.eof_received(here.now)
        assert attempt.half_closed and not attempt.closed
        here.run(800_000)
        assert attempt.closed and link.half_closed
    assert not here.node.requests


def test_the_wait_for_an_upstream_after_its_client_has_ended_is_bounded(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link, attempt = here.served()
    session.data_received(b"M 1\r\n", here.now)
    session.eof_received(here.now)
    attempt.machine.data_received(b"M 1\r\n", here.now)
    here.run(800_000)
    assert attempt.closed and link.half_closed and not here.node.requests


def test_while_one_side_reads_slowly_reading_from_the_other_is_paused(tmp_path: Path) -> None:
    here = world(tmp_path)
    session, link, attempt = here.served()
    for on in (True, False):
        session.set_writing_paused(on)
        attempt.machine.set_writing_paused(on)
        assert (link.reading_paused, attempt.reading_paused) == (on, on)


def test_a_dial_to_an_upstream_that_begins_to_drain_is_given_up(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.client()
    (attempt,) = here.attempts()
    (connection,) = here.node.requests.values()
    assert connection.upstream
    drains = parse_endpoint_list(hosts(host(connection.upstream.name, lifecycle="leaving"), reset=False))
    here.node.endpoints_received(drains, here.now)
    assert attempt.closed and len(here.attempts()) == 1
