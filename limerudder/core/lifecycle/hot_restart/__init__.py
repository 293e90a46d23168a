"""Hot restart: a serving process (the parent) hands its node over to a new process (the successor).

They communicate over a Unix socket. The parent first sends its state as one line. The successor prepares with
that state and reports when it accepts clients. The parent then serves its open connections until SIGTERM.
"""

from limerudder.core.lifecycle.hot_restart.errors import HandoverFormatError
from limerudder.core.lifecycle.hot_restart.handover_state import (
    HandoverState,
    ProcessUsage,
    format_handover_state,
    parse_handover_state,
)
from limerudder.core.lifecycle.hot_restart.line_connection import MAX_LINE_BYTES
from limerudder.core.lifecycle.hot_restart.parent import HotRestartParent, ParentHooks, SuccessorConnection
from limerudder.core.lifecycle.hot_restart.successor import HotRestartSuccessor, SuccessorHooks

__all__ = [
    "MAX_LINE_BYTES",
    "HandoverFormatError",
    "HandoverState",
    "HotRestartParent",
    "HotRestartSuccessor",
    "ParentHooks",
    "ProcessUsage",
    "SuccessorConnection",
    "SuccessorHooks",
    "format_handover_state",
    "parse_handover_state",
]
