"""Transient errors of system calls: this process or its machine is temporarily out of a resource.

Such an error says nothing about the remote side of a connection or about the configuration. It leads to a
retry and not to an exit; only a start fails if the shortage lasts for START_RETRY_SECONDS. The errors are
those documented for Linux in socket(2), connect(2), bind(2), open(2).
"""

from __future__ import annotations

import errno
from collections.abc import Iterator

SHORTAGES = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSR,
        errno.EAGAIN,
        errno.EINTR,
        errno.EADDRNOTAVAIL,
    }
)
START_RETRY_SECONDS = 20.0  #: Time for which a start is retried; nodes have 30 s to become ready
#: Time for which a start is retried while an address is in use. A killed process may keep its addresses bound
#: briefly; after this time, another process owns them.
ADDRESS_RETRY_SECONDS = 3.0


def is_shortage(error: BaseException) -> bool:
    """Return whether the error, or one that it was raised from, is a shortage."""
    return any(
        isinstance(cause, MemoryError) or (isinstance(cause, OSError) and cause.errno in SHORTAGES)
        for cause in _causes(error)
    )


def start_retry_seconds(error: BaseException) -> float:
    """Return for how long a start that failed with this error is to be retried; 0 means no retry."""
    if is_shortage(error):
        return START_RETRY_SECONDS
    if any(isinstance(cause, OSError) and cause.errno == errno.EADDRINUSE for cause in _causes(error)):
        return ADDRESS_RETRY_SECONDS
    return 0.0


def _causes(error: BaseException) -> Iterator[BaseException]:
    cause: BaseException | None = error
    while cause is not None:
        yield cause
        cause = cause.__cause__
