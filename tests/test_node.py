"""A complete node in memory."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE
from limerudder.policy.events import AttemptEnded, AttemptOutcome, LoadSample
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("chunk_count", [1, 2, 5])
def test_a_served_client_and_its_end(tmp_path: Path, chunk_count: int) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport, attempt = testbed.establish_client()
    forwarded = attempt.sent.decode()
    assert forwarded.startswith(LINE.split("d=")[0])
    assert "d=1000," in forwarded
    session.data_received(b"M 1\r\nM 2\r\n", testbed.now)
    assert attempt.sent.endswith(b"M 1\r\nM 2\r\n")
    data = b"LOAD 2500.5\r\nM 1\r\nBYE\r\n"
    chunk_bytes = -(-len(data) // chunk_count)
    for start in range(0, len(data), chunk_bytes):
        attempt.machine.data_received(data[start : start + chunk_bytes], testbed.now)
    attempt.machine.eof_received(testbed.now)
    assert transport.sent == b"UP 77\r\n" + data
    assert transport.half_closed and attempt.closed
    load_samples = [event for event in events if isinstance(event, LoadSample)]
    assert [sample.load_us_per_second for sample in load_samples] == [2500.5]
    (ended,) = (event for event in events if isinstance(event, AttemptEnded))
    assert (ended.outcome, ended.request_closed) == (AttemptOutcome.OK, 1)
    assert not testbed.node.requests
