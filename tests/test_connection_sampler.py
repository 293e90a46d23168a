"""Latency samples for the policy."""

from __future__ import annotations

from pathlib import Path

from limerudder.policy.events import LatencySample, LoadSample
from tests.scripted_peers import policy_events, world


def test_slow_messages_are_sampled_once_a_second_and_the_first_fast_one_once(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    session, _, attempt = here.served()
    for took in (30_000, 30_000, 5000, 5000):
        session.data_received(b"M\r\n", here.now)
        here.run(took)
        attempt.machine.data_received(b"M\r\n", here.now)
    samples = [(type(e), e[2]) for e in events if isinstance(e, LatencySample | LoadSample)]
    assert samples == [(LatencySample, 30.0), (LatencySample, 5.0)]
