"""Graceful shutdown in memory."""

from __future__ import annotations

from pathlib import Path

from tests.scripted_peers import LINE, SECOND, settings, world


def test_graceful_shutdown_rejects_new_requests_and_migrates_all_clients_step_by_step(tmp_path: Path) -> None:
    here = world(tmp_path)
    links = [here.served()[1] for _ in range(30)]
    done: list[int] = []
    here.node.on_shutdown_complete = lambda: done.append(here.now)
    begun = here.now
    here.node.start_graceful_shutdown(here.now)
    _, late = here.client()
    assert late.sent == b"BUSY\r\n"
    moved = []
    while not done and here.now < begun + 4 * SECOND:
        here.run(100_000)
        moved.append(sum(link.sent.endswith(b"MOVE\r\n") for link in links))
    assert moved[6] == 0 and 0 < moved[11] < 30, "what stands may stay while other nodes are down too"
    assert moved[19] == 30 and done and done[0] < begun + 2_700_000, "SIGKILL may come then"


def test_graceful_shutdown_leaves_no_request_without_its_answer(tmp_path: Path) -> None:
    slow = settings(dialTimeoutUs=60 * SECOND)
    slow["classes"][0] |= {"aimUs": 60 * SECOND, "deadlineUs": 60 * SECOND}
    here = world(tmp_path, settings=slow)
    _, link = here.client(LINE.replace("d=2000", "d=60000"))
    here.node.start_graceful_shutdown(here.now)
    here.run(3_200_000)
    assert not link.half_closed
    here.run(200_000)
    assert link.sent == b"ERR\r\n" and not here.attempts()
