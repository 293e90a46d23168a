"""Signals before the event loop handles them, and between two tries of a start."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator

import pytest

from limerudder.startup_signals import HANDLED_SIGNALS, StartupSignals


@pytest.fixture(autouse=True)
def restored_handlers() -> Iterator[None]:
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def test_a_reload_is_remembered_and_one_that_is_held_comes_with_the_next_handlers() -> None:
    signals = StartupSignals()
    signals.install()
    os.kill(os.getpid(), signal.SIGUSR1)
    assert not signals.reload_requested
    signals.hold()
    signal.signal(signal.SIGHUP, signal.SIG_DFL)  # as an event loop leaves it
    os.kill(os.getpid(), signal.SIGHUP)
    signals.install()
    assert signals.reload_requested


def test_signals_that_were_never_taken_are_not_held() -> None:
    StartupSignals().hold()
    assert not signal.pthread_sigmask(signal.SIG_BLOCK, ()) & set(HANDLED_SIGNALS)
