"""The state machine of a health check's connection."""

from __future__ import annotations

from typing import Any

import pytest

from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.policy.events import AttemptOutcome
from tests.node_testbed import FakeTransport


@pytest.mark.parametrize(
    ("answer", "heard"),
    [
        (b"PONG inflight=7,x0=0.61\r\n", (AttemptOutcome.OK, (7.0, 0.61))),
        (b"PONG\r\n", (AttemptOutcome.OK, ())),
        (b"ERR\r\n", (AttemptOutcome.ERROR, ())),
        (b"BUSY\r\n", (AttemptOutcome.FULL, ())),
        (b"x" * 5000, (AttemptOutcome.ERROR, ())),
    ],
)
def test_a_health_check_is_answered_once(answer: bytes, heard: tuple[Any, ...]) -> None:
    got: list[tuple[Any, ...]] = []
    probe = HealthCheckConnection(
        ("inflight", "x0"), lambda took, ending, report, now: got.append((took, ending, report))
    )
    probe.send_check(0)
    transport = FakeTransport(probe)
    assert transport.accept(30) == "STATS\r\n"
    probe.data_received(answer, 40)
    probe.expire_pending(50, 60)
    assert got == [(10, *heard)], "setting up the connection does not count"
