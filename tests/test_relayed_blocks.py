"""What a node reads from the lines of an upstream that arrive together."""

from __future__ import annotations

from pathlib import Path

import pytest

from limerudder.policy.events import AttemptEnded, AttemptOutcome, LatencySample, LoadSample
from tests.node_testbed import node_testbed, policy_events


@pytest.mark.parametrize(
    ("block", "loads"),
    [
        (b"LOAD 1\r\n", [1.0]),
        (b"LOAD 1\r\nLOAD 2\r\nM\r\n" * 3000 + b"LOAD 3\r\nM\r\n", [3.0]),
        (b"M\r\nLOAD 1\r\nLOAD nan\r\n", []),
        (b"M LOAD 1\r\nLOADED 2\r\n", []),
        (b"LOAD 4\r\nM LOAD 1\r\n", [4.0]),
    ],
    ids=["one", "thousands", "malformed", "none", "first line"],
)
def test_the_newest_load_of_a_read_is_reported_once(tmp_path: Path, block: bytes, loads: list[float]) -> None:
    """Guards against a policy event for each of thousands of lines: no other client was answered for 5 s."""
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    _, transport, attempt = testbed.establish_client()
    attempt.machine.data_received(block, testbed.now)
    assert [event.load_us_per_second for event in events if isinstance(event, LoadSample)] == loads
    assert transport.sent == b"UP 77\r\n" + block


@pytest.mark.parametrize(
    ("block", "is_answer"),
    [(b"LOAD 1\r\nLOAD 2\r\n", False), (b"LOAD 1\r\nM 1\r\nLOAD 2\r\n", True)],
    ids=["loads", "an answer between loads"],
)
def test_lines_other_than_loads_answer_a_message(tmp_path: Path, block: bytes, is_answer: bool) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    session, _, attempt = testbed.establish_client()
    session.data_received(b"M 1\r\n", testbed.now)
    testbed.run(300_000)
    attempt.machine.data_received(block, testbed.now)
    assert (attempt.machine.oldest_unanswered_us is None) == is_answer
    assert any(isinstance(event, LatencySample) for event in events) == is_answer


@pytest.mark.parametrize(
    ("block", "outcome"),
    [
        (b"M\r\n" * 1000 + b"BYE inflight=1,x0=0.1\r\n", AttemptOutcome.OK),
        (b"BYE\r\nM\r\n", AttemptOutcome.RESET),
        (b"M\r\nMOVE\r\n", AttemptOutcome.CANCELLED),
        (b"\r\nM BYE\r\n", AttemptOutcome.RESET),
    ],
    ids=["BYE", "BYE before another line", "MOVE", "BYE within a line"],
)
def test_the_last_line_of_a_read_decides_the_outcome(
    tmp_path: Path, block: bytes, outcome: AttemptOutcome
) -> None:
    testbed = node_testbed(tmp_path)
    events = policy_events(testbed)
    _, _, attempt = testbed.establish_client()
    attempt.machine.data_received(block, testbed.now)
    attempt.machine.eof_received(testbed.now)
    assert [event.outcome for event in events if isinstance(event, AttemptEnded)] == [outcome]
