"""Hot restart: a serving process (the parent) hands its node over to a new process (the successor).

The two are joined by a Unix socket. The parent's first line there is its state; the successor prepares with
it, says when it accepts clients, and the parent then serves what it has until it receives SIGTERM.
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
