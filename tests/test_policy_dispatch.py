"""The dispatch of events to the policy: faults in the policy and in its actions."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import SECOND
from limerudder.core.operations.counters import CounterName
from limerudder.policy.actions import Action, SendPeerMessage
from limerudder.policy.events import Event, NewRequest, TimerFired
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("kind", [NewRequest, TimerFired])
def test_an_exception_in_the_policy_costs_one_request_at_most(tmp_path: Path, kind: type) -> None:
    here = node_testbed(tmp_path)
    handle, met = here.node.balancer.handle, list[Event]()

    def fails_once(event: Event, now_us: int) -> list[Action]:
        if isinstance(event, kind):
            met.append(event)
            if len(met) == 1:
                raise ZeroDivisionError("in a test")
        return handle(event, now_us)

    here.node.balancer.handle = fails_once  # type: ignore[method-assign]
    here.node.dispatch(TimerFired(77), here.now)
    _, link = here.send_request()
    assert (link.sent == b"ERR\r\n") is (kind is NewRequest)
    assert len([t for t in here.logged if "ZeroDivisionError: in a test" in t]) == 1
    here.establish_client()
    here.run(SECOND + 5000)
    assert here.node.counters[CounterName.POLICY_ERRORS] == 1
    assert met.count(TimerFired(77)) == (2 if kind is TimerFired else 0), "the timer it would have set anew"


def test_after_an_exception_in_an_action_events_are_still_dispatched(tmp_path: Path) -> None:
    here = node_testbed(tmp_path)
    here.node.balancer.handle = lambda event, now_us: [SendPeerMessage(1, b"")]  # type: ignore[method-assign]
    here.send_datagram = lambda peer, data: 1 / 0  # type: ignore[method-assign, assignment]
    with pytest.raises(ZeroDivisionError):
        here.node.dispatch(TimerFired(5), here.now)
    events = policy_events(here)
    with pytest.raises(ZeroDivisionError):
        here.node.dispatch(TimerFired(6), here.now)
    assert events == [TimerFired(6)]


def test_an_action_that_raises_does_not_keep_the_others_from_being_carried_out(tmp_path: Path) -> None:
    here = node_testbed(tmp_path)
    sent: list[bytes] = []
    errors: list[Exception] = []

    def send(peer: int, data: bytes) -> None:
        if not data:
            raise ZeroDivisionError
        sent.append(data)

    actions: list[Action] = [SendPeerMessage(1, b""), SendPeerMessage(1, b"x")]
    here.node.balancer.handle = lambda event, now_us: actions  # type: ignore[method-assign]
    here.send_datagram = send  # type: ignore[method-assign]
    here.node.set_error_handler(errors.append)
    here.node.dispatch(TimerFired(5), here.now)
    assert sent == [b"x"]
    assert [type(error) for error in errors] == [ZeroDivisionError]
