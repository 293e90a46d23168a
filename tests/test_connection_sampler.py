"""Latency samples that are sent to the policy."""

from __future__ import annotations

from pathlib import Path

from limerudder.policy.events import LatencySample, LoadSample
from tests.node_testbed import node_testbed, policy_events


def test_slow_messages_are_sampled_once_a_second_and_the_first_fast_one_once(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, _, attempt = testbed.establish_client()
    for latency_us in (30_000, 30_000, 5000, 5000):
        session.data_received(b"M\r\n", testbed.now)
        testbed.run(latency_us)
        attempt.machine.data_received(b"M\r\n", testbed.now)
    samples = [(type(event), event[2]) for event in events if isinstance(event, LatencySample | LoadSample)]
    assert samples == [(LatencySample, 30.0), (LatencySample, 5.0)]
