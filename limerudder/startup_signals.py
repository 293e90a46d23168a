"""Handles signals during start-up of a node process, before its event loop does.

By default each of them would end the process. A stop signal exits immediately with code 0, since there is
nothing to clean up yet. A reload is recorded until the node can perform it. SIGUSR1 is ignored, since there
are no counters to print yet.

The module imports very little, so that the handlers are installed before the rest of the node is loaded.
Signals that arrive even earlier are ignored by the command in the deploy file.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP, signal.SIGUSR1)


class StartupSignals:
    """Handles signals until the event loop takes over."""

    def __init__(self) -> None:
        self._is_installed = False
        self.reload_requested = False
        self.stop_requested = False  #: Set by the event loop's handler, in case the start fails afterwards

    def install(self) -> None:
        """Install the handlers and unblock the signals."""
        for number in STOP_SIGNALS:
            signal.signal(number, _exit)
        signal.signal(signal.SIGHUP, self._record_reload)
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        self._is_installed = True

    def block(self) -> None:
        """Block signals until the next install(): a closing event loop removes its handlers."""
        if self._is_installed:
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def _record_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)
