"""Graceful shutdown in memory."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import LINE, SECOND, settings
from tests.node_testbed import node_testbed


def test_graceful_shutdown_rejects_new_requests_and_migrates_all_clients_step_by_step(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    transports = [testbed.establish_client()[1] for _ in range(30)]
    completed_at: list[int] = []
    testbed.node.on_shutdown_complete = lambda: completed_at.append(testbed.now)
    started_us = testbed.now
    testbed.node.start_graceful_shutdown(testbed.now)
    _, late_client = testbed.send_request()
    assert late_client.sent == b"BUSY\r\n"
    migrated = []
    while not completed_at and testbed.now < started_us + 4 * SECOND:
        testbed.run(100_000)
        migrated.append(sum(transport.sent.endswith(b"MOVE\r\n") for transport in transports))
    assert migrated[6] == 0, "connections stay at first, since other nodes may be stopping too"
    assert 0 < migrated[11] < 30
    assert migrated[19] == 30
    assert completed_at and completed_at[0] < started_us + 2_700_000, "complete before the earliest SIGKILL"


def test_graceful_shutdown_answers_every_request(tmp_path: Path) -> None:
    slow = settings(dialTimeoutUs=60 * SECOND)
    slow["classes"][0] |= {"aimUs": 60 * SECOND, "deadlineUs": 60 * SECOND}
    testbed = node_testbed(tmp_path, settings=slow)
    _, transport = testbed.send_request(LINE.replace("d=2000", "d=60000"))
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.run(3_200_000)
    assert not transport.half_closed
    testbed.run(200_000)
    assert transport.sent == b"ERR\r\n" and not testbed.attempts()
