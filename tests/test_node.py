"""The node as a whole, in memory."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import LINE
from limerudder.policy.events import AttemptEnded, AttemptOutcome, LoadSample
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize("pieces", [1, 2, 5])
def test_a_served_client_and_its_end(tmp_path: Path, pieces: int) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, transport, attempt = testbed.establish_client()
    assert attempt.sent.decode().startswith(LINE.split("d=")[0]) and "d=1000," in attempt.sent.decode()
    session.data_received(b"M 1\r\nM 2\r\n", testbed.now)
    assert attempt.sent.endswith(b"M 1\r\nM 2\r\n")
    data = b"LOAD 2500.5\r\nM 1\r\nBYE\r\n"
    for at in range(0, len(data), -(-len(data) // pieces)):
        attempt.machine.data_received(data[at : at + -(-len(data) // pieces)], testbed.now)
    attempt.machine.eof_received(testbed.now)
    assert transport.sent == b"UP 77\r\n" + data and transport.half_closed and attempt.closed
    assert [e.load_us_per_second for e in events if isinstance(e, LoadSample)] == [2500.5]
    (end,) = (e for e in events if isinstance(e, AttemptEnded))
    assert (end.outcome, end.request_closed) == (AttemptOutcome.OK, 1) and not testbed.node.requests
