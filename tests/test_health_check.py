"""The state machine of a health check connection."""

from __future__ import annotations

from typing import Any

import pytest

from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.policy.events import AttemptOutcome
from tests.node_testbed import FakeTransport


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"PONG inflight=7,x0=0.61\r\n", (AttemptOutcome.OK, (7.0, 0.61))),
        (b"PONG\r\n", (AttemptOutcome.OK, ())),
        (b"ERR\r\n", (AttemptOutcome.ERROR, ())),
        (b"BUSY\r\n", (AttemptOutcome.FULL, ())),
        (b"x" * 5000, (AttemptOutcome.ERROR, ())),
    ],
)
def test_a_health_check_is_answered_once(answer: bytes, expected: tuple[Any, ...]) -> None:
    results: list[tuple[Any, ...]] = []

    def record(latency_us: int, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int) -> None:
        results.append((latency_us, outcome, report))

    health_check = HealthCheckConnection(("inflight", "x0"), record)
    health_check.send_check(0)
    transport = FakeTransport(health_check)
    assert transport.accept(30) == "STATS\r\n"
    health_check.data_received(answer, 40)
    health_check.expire_pending(50, 60)
    assert results == [(10, *expected)], "latency excludes the time to connect"
