"""Exit codes of all commands; docs/COMMANDS.md lists them for operators."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command, which states its outcome."""

    OK = 0
    FAILED = 1  #: The operation was attempted and failed
    INVALID_INPUT = 2  #: Arguments, a file or a configuration cannot be used; nothing was done
    UNAVAILABLE = 3  #: No leader, no running node, or no answer in time; nothing was done, retry is safe
    REJECTED = 4  #: A comparison, the schema or a limit prohibits the write; nothing was done
    NOT_FOUND = 5  #: No such key, member or revision
    OUTCOME_UNKNOWN = 6  #: The answer was lost; the write may have been executed
