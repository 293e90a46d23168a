"""Signals before the event loop handles them, and between two tries of a start.

Played in processes of their own: a signal to this one would go to any of its threads.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PREAMBLE = """
import os, signal
from limerudder.startup_signals import HANDLED_SIGNALS, StartupSignals
signals = StartupSignals()
"""


def play(code: str) -> None:
    """Run the code in a process; its assertions hold, and no signal ends it."""
    command = [sys.executable, "-c", PREAMBLE + code]
    played = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert played.returncode == 0, played.stderr


def test_a_reload_is_remembered_and_one_that_is_held_comes_with_the_next_handlers() -> None:
    play("""
signals.install()
os.kill(os.getpid(), signal.SIGUSR1)
assert not signals.reload_requested
signals.block()
signal.signal(signal.SIGHUP, signal.SIG_DFL)  # as an event loop leaves it
os.kill(os.getpid(), signal.SIGHUP)
signals.install()
assert signals.reload_requested
""")


def test_signals_that_were_never_taken_are_not_held() -> None:
    play("""
signals.block()
assert not signal.pthread_sigmask(signal.SIG_BLOCK, ()) & set(HANDLED_SIGNALS)
""")
