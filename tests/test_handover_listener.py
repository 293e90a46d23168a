"""Tests for the handover socket file: creating it is retried, and only one process owns it."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from limerudder.net import socket_handover
from limerudder.net.clock import Clock
from limerudder.net.socket_handover import HandoverListener, StateDirectory

WAIT_SECONDS = 0.2


def run_scenario(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[HandoverListener, list[int]], Awaitable[None]],
) -> None:
    """Run a scenario with a listener; creating its socket file fails with the errors in `failures`."""
    failures = [errno.EMFILE]
    rename = os.rename

    def fail_initially(*args: Any, **kwargs: Any) -> None:
        if failures:
            raise OSError(failures.pop(), "transient")
        rename(*args, **kwargs)

    async def run() -> None:
        directory = StateDirectory(str(tmp_path))
        listener = HandoverListener(
            directory,
            [],
            lambda: b"{}\n",
            lambda: pytest.fail("unexpected connection"),
            Clock(),
            lambda kind, text, detail="": None,
        )
        monkeypatch.setattr(socket_handover, "PUBLISH_RETRY_SECONDS", WAIT_SECONDS / 4)
        monkeypatch.setattr(os, "rename", fail_initially)
        try:
            await scenario(listener, failures)
        finally:
            listener.close()
            directory.close()

    uvloop.run(run())


def test_creating_the_socket_file_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(listener: HandoverListener, failures: list[int]) -> None:
        listener.open()
        assert not (tmp_path / "handover").exists()
        while not (tmp_path / "handover").exists():
            await asyncio.sleep(WAIT_SECONDS / 10)

    run_scenario(tmp_path, monkeypatch, scenario)


def test_a_process_that_has_handed_over_does_not_replace_the_socket_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(listener: HandoverListener, failures: list[int]) -> None:
        listener.open()
        listener.stop_publishing()
        await asyncio.sleep(WAIT_SECONDS)
        assert not (tmp_path / "handover").exists()

    run_scenario(tmp_path, monkeypatch, scenario)
