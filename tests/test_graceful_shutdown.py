"""Graceful shutdown in memory."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import LINE, SECOND, settings
from tests.node_testbed import node_testbed


def test_graceful_shutdown_rejects_new_requests_and_migrates_all_clients_step_by_step(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    transports = [testbed.establish_client()[1] for _ in range(30)]
    done: list[int] = []
    testbed.node.on_shutdown_complete = lambda: done.append(testbed.now)
    begun = testbed.now
    testbed.node.start_graceful_shutdown(testbed.now)
    _, late = testbed.send_request()
    assert late.sent == b"BUSY\r\n"
    moved = []
    while not done and testbed.now < begun + 4 * SECOND:
        testbed.run(100_000)
        moved.append(sum(transport.sent.endswith(b"MOVE\r\n") for transport in transports))
    assert moved[6] == 0 and 0 < moved[11] < 30, "what stands may stay while other nodes are down too"
    assert moved[19] == 30 and done and done[0] < begun + 2_700_000, "SIGKILL may come then"


def test_graceful_shutdown_leaves_no_request_without_its_answer(tmp_path: Path) -> None:
    slow = settings(dialTimeoutUs=60 * SECOND)
    slow["classes"][0] |= {"aimUs": 60 * SECOND, "deadlineUs": 60 * SECOND}
    testbed = node_testbed(tmp_path, settings=slow)
    _, transport = testbed.send_request(LINE.replace("d=2000", "d=60000"))
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.run(3_200_000)
    assert not transport.half_closed
    testbed.run(200_000)
    assert transport.sent == b"ERR\r\n" and not testbed.attempts()
