"""Clients on slow lines receive everything before their connections are closed."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import SECOND
from limerudder.core.client.connection import LINGER_US
from limerudder.core.lifecycle.graceful_shutdown import KILL_MARGIN_US
from limerudder.core.operations.counters import CounterName
from limerudder.core.progress_timeout import DELIVERY_TIMEOUT_US
from tests.node_testbed import MANY_BYTES, STEP_US, drain, node_testbed


@pytest.mark.parametrize("ending", ["MOVE", "BYE", "BYE, then the client ends its side"])
def test_a_client_on_a_slow_line_gets_all_data_before_its_connection_is_closed(
    tmp_path: Path, ending: str
) -> None:
    """Regression (review/7): closed 1 s after MOVE was queued, it lost MOVE and the stream before it."""
    testbed = node_testbed(tmp_path)
    session, transport, attempt = testbed.establish_client()
    transport.unsent = MANY_BYTES
    if ending == "MOVE":
        session.migrate(testbed.now)
    else:
        attempt.machine.data_received(b"BYE\r\n", testbed.now)
        attempt.machine.eof_received(testbed.now)
    if ending.endswith("ends its side"):
        session.eof_received(testbed.now)
    drain(testbed, transport, 20 * SECOND)
    assert transport.half_closed and not transport.closed
    transport.unsent = 0
    testbed.run(LINGER_US * 5 // 4 + STEP_US)
    assert transport.closed and not testbed.node.admission.connections
    assert not testbed.node.counters[CounterName.CLIENTS_CLOSED_UNSENT]


def test_a_client_that_takes_in_nothing_is_closed_and_counted(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    session, transport, _ = testbed.establish_client()
    transport.unsent = MANY_BYTES
    session.migrate(testbed.now)
    testbed.run(DELIVERY_TIMEOUT_US * 5 // 4)
    assert transport.closed and testbed.node.counters[CounterName.CLIENTS_CLOSED_UNSENT] == 1


def test_a_shutdown_ends_in_time_beside_a_client_on_a_slow_line(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    completed_us: list[int] = []
    testbed.node.on_shutdown_complete = lambda: completed_us.append(testbed.now)
    _, transport, _ = testbed.establish_client()
    transport.unsent = MANY_BYTES
    testbed.node.start_graceful_shutdown(testbed.now)
    kill_us = testbed.node.shutdown_deadline_us
    drain(testbed, transport, 5 * SECOND)
    assert transport.sent.endswith(b"MOVE\r\n")
    assert completed_us and completed_us[0] < kill_us - KILL_MARGIN_US // 8


def test_descriptors_are_taken_first_from_closing_clients_that_have_received_everything(
    tmp_path: Path,
) -> None:
    testbed = node_testbed(tmp_path)
    sessions = [testbed.connect() for _ in range(2)]
    admission = testbed.node.admission
    (_, slow), (_, delivered) = sessions
    slow.unsent = MANY_BYTES
    for session, _ in sessions:
        session.evict(testbed.now)
    admission.reserved = 0
    admission.max_descriptors = 1
    admission.listed_upstreams = 0
    admission.free_descriptors(testbed.now)
    assert delivered.closed and not slow.closed
