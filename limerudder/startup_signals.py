"""Signals that come while a node's process starts, before its event loop handles them.

By default each of them would end the process. A stop ends it at once with exit code 0: it holds nothing yet.
A reload is remembered until the node can carry it out. The counters that SIGUSR1 asks for do not exist yet.

The module imports next to nothing, so that the handlers are in place before the rest of the node is loaded.
What comes before even that is ignored by the command of the deploy file.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP, signal.SIGUSR1)


class StartupSignals:
    """Handles signals until the event loop does."""

    def __init__(self) -> None:
        self._is_installed = False
        self.reload_requested = False
        self.stop_requested = False  #: set by the event loop's handler, for a start that fails after it

    def install(self) -> None:
        """Handle signals here from now on."""
        for number in STOP_SIGNALS:
            signal.signal(number, _exit)
        signal.signal(signal.SIGHUP, self._remember_reload)
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        self._is_installed = True

    def hold(self) -> None:
        """Let signals wait until they are handled here again: an event loop that ends leaves them to none."""
        if self._is_installed:
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def _remember_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)
