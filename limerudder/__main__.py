"""`python -m limerudder`: handles signals from the first moment on, then loads and runs a node."""

from __future__ import annotations

import sys

from limerudder.startup_signals import StartupSignals


def main() -> int:
    """Run a node until a signal stops it; return the process's exit code."""
    signals = StartupSignals()
    signals.install()
    # loaded only now: it takes most of a start, and a signal without its handler would end the process
    from limerudder.node_main import NodeMain

    return NodeMain(signals).run()


if __name__ == "__main__":
    sys.exit(main())
