"""Dispatch of events to the policy: exceptions in the policy and in its actions."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import SECOND
from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import Action, SendPeerMessage
from limerudder.policy.events import Event, NewRequest, TimerFired
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("kind", [NewRequest, TimerFired])
def test_an_exception_in_the_policy_fails_one_request_at_most(tmp_path: Path, kind: type) -> None:
    testbed = node_testbed(tmp_path)
    handle, seen = testbed.node.balancer.handle, list[Event]()

    def fails_once(event: Event, now_us: int) -> list[Action]:
        if isinstance(event, kind):
            seen.append(event)
            if len(seen) == 1:
                raise ZeroDivisionError("in a test")
        return handle(event, now_us)

    testbed.node.balancer.handle = fails_once  # type: ignore[method-assign]
    testbed.node.dispatch(TimerFired(77), testbed.now)
    _, transport = testbed.send_request()
    assert (transport.sent == b"ERR\r\n") is (kind is NewRequest)
    assert len([text for text in testbed.logged if "ZeroDivisionError: in a test" in text]) == 1
    testbed.establish_client()
    testbed.run(SECOND + 5000)
    assert testbed.node.counters[CounterName.POLICY_ERRORS] == 1
    assert seen.count(TimerFired(77)) == (2 if kind is TimerFired else 0), "the timer is retried"


def test_after_an_exception_in_an_action_events_are_still_dispatched(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.node.balancer.handle = lambda event, now_us: [SendPeerMessage(1, b"")]  # type: ignore[method-assign]
    testbed.send_datagram = lambda peer, data: 1 / 0  # type: ignore[method-assign, assignment]
    with pytest.raises(ZeroDivisionError):
        testbed.node.dispatch(TimerFired(5), testbed.now)
    events = policy_events(testbed)
    with pytest.raises(ZeroDivisionError):
        testbed.node.dispatch(TimerFired(6), testbed.now)
    assert events == [TimerFired(6)]


def test_an_action_that_raises_does_not_prevent_others_from_being_carried_out(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    sent: list[bytes] = []
    errors: list[Exception] = []

    def send(peer: int, data: bytes) -> None:
        if not data:
            raise ZeroDivisionError
        sent.append(data)

    actions: list[Action] = [SendPeerMessage(1, b""), SendPeerMessage(1, b"x")]
    testbed.node.balancer.handle = lambda event, now_us: actions  # type: ignore[method-assign]
    testbed.send_datagram = send  # type: ignore[method-assign]
    testbed.node.set_error_handler(errors.append)
    testbed.node.dispatch(TimerFired(5), testbed.now)
    assert sent == [b"x"]
    assert [type(error) for error in errors] == [ZeroDivisionError]
