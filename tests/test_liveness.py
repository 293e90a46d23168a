"""Upstreams that fall silent, and single streams that stop."""

from __future__ import annotations

from pathlib import Path

import pytest

from limerudder.core.operations.counters import CounterName
from limerudder.policy.events import AttemptEnded, AttemptOutcome
from tests.scripted_peers import host, hosts, policy_events, world


@pytest.mark.parametrize("sent", [b"M 1\r\n", b"M 1\r\nM"], ids=["a line", "a line and a half"])
def test_a_stream_that_stops_is_noticed_and_its_client_migrated_between_two_lines(
    tmp_path: Path, sent: bytes
) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    session, link, attempt = here.served()
    upstream = here.node.upstreams.by_name["s-1"]
    session.data_received(sent, here.now)
    for _ in range(25):  # the machine answers on other connections
        for each in here.node.upstreams.by_number.values():
            each.last_health_check_answer_us = here.now
        attempt.machine._framer.feed(b"half a li")
        assert not link.half_closed and upstream.liveness.silent_since_us is None
        here.run(100_000)
    here.run(5000)
    assert link.sent == b"UP 77\r\nMOVE\r\n" and link.half_closed and attempt.closed
    (end,) = (e for e in events if isinstance(e, AttemptEnded))
    assert end.outcome == AttemptOutcome.CANCELLED, "nothing is learned of what the upstream can hold"


@pytest.mark.parametrize("back", [False, True], ids=["gone", "heard again"])
def test_the_clients_of_a_silent_upstream_are_migrated_step_by_step_while_it_is_silent(
    tmp_path: Path, back: bool
) -> None:
    """Incident rcd69b2: two machines were cut off, and 42 clients waited until they were back."""
    here = world(tmp_path, known=hosts(host("s-1")))
    all_up = [here.served() for _ in range(20)]
    all_up[0][0].data_received(b"M 1\r\n", here.now)  # the others have nothing to say
    here.run(990_000)
    moved = [sum(link.half_closed for _, link, _ in all_up)]
    for _ in range(20):
        here.run(200_000)
        moved.append(sum(link.half_closed for _, link, _ in all_up))
        if back and moved[-1]:
            all_up[-1][2].machine.data_received(b"LOAD 1\r\n", here.now)
    assert moved[0] == 0 and 0 < moved[1] < 10 and (moved[-1] < 10 if back else moved[-1] == 20)
    assert here.node.counters[CounterName.UPSTREAMS_UNRESPONSIVE] == 1
    assert len([text for text in here.logged if "s-1 is unresponsive" in text]) == 1
