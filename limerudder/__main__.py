"""`python -m limerudder`: installs signal handlers first, then loads and runs a node."""

from __future__ import annotations

import os
import sys

from limerudder.startup_signals import StartupSignals


def main() -> int:
    """Run a node until a signal stops it; return the exit code."""
    signals = StartupSignals()
    signals.install()
    open_standard_descriptors()
    # imported after the handlers are installed: the import takes most of the start-up time, and an unhandled
    # signal would end the process
    from limerudder.node_main import NodeMain

    return NodeMain(signals).run()


def open_standard_descriptors() -> None:
    """Open closed standard descriptors: a connection that reused one would receive the log."""
    for descriptor in (0, 1, 2):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # uses the lowest free number, which is this one


if __name__ == "__main__":
    sys.exit(main())
