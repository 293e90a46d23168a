"""The exit codes of every command; docs/COMMANDS.md lists them for operators."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code says about its outcome."""

    OK = 0
    FAILED = 1  #: the operation was attempted and failed
    INVALID_INPUT = 2  #: the arguments, a file or a configuration cannot be used; nothing was done
    UNAVAILABLE = 3  #: no leader, no running node, or no answer in time: nothing was done, it may be retried
    REJECTED = 4  #: a comparison, the schema or a limit does not allow the write; nothing was done
    NOT_FOUND = 5  #: no such key, member or revision
    OUTCOME_UNKNOWN = 6  #: the answer was lost: the write may have been executed
