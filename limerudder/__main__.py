"""`python -m limerudder`: handles signals from the first moment on, then loads and runs a node."""

from __future__ import annotations

import os
import sys

from limerudder.startup_signals import StartupSignals


def main() -> int:
    """Run a node until a signal stops it; return the process's exit code."""
    signals = StartupSignals()
    signals.install()
    open_standard_descriptors()
    # loaded only now: it takes most of a start, and a signal without its handler would end the process
    from limerudder.node_main import NodeMain

    return NodeMain(signals).run()


def open_standard_descriptors() -> None:
    """Open the standard descriptors that are closed: a connection in the place of one would get the log."""
    for descriptor in (0, 1, 2):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest number that is free, this one


if __name__ == "__main__":
    sys.exit(main())
