"""Tests for signals before the event loop handles them, and between two attempts to start.

Each test runs in a separate process: a signal to this one could be delivered to any of its threads.
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


def run_in_process(code: str) -> None:
    """Run the code in a process; check that its assertions pass and that no signal ends it."""
    command = [sys.executable, "-c", PREAMBLE + code]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 0, completed.stderr


def test_a_reload_is_recorded_and_a_blocked_one_is_delivered_after_the_next_install() -> None:
    run_in_process("""
signals.install()
os.kill(os.getpid(), signal.SIGUSR1)
assert not signals.reload_requested
signals.block()
signal.signal(signal.SIGHUP, signal.SIG_DFL)  # as after an event loop has closed
os.kill(os.getpid(), signal.SIGHUP)
signals.install()
assert signals.reload_requested
""")


def test_signals_without_installed_handlers_are_not_blocked() -> None:
    run_in_process("""
signals.block()
assert not signal.pthread_sigmask(signal.SIG_BLOCK, ()) & set(HANDLED_SIGNALS)
""")
