"""The line protocol's responses that the node itself gives to a client."""

from __future__ import annotations

PONG = b"PONG\r\n"  #: to a PING
BUSY = b"BUSY\r\n"  #: rejected
ERROR = b"ERR\r\n"  #: failed, or not understood
MOVE = b"MOVE\r\n"  #: to an established connection: connect again

MICROSECONDS_PER_MILLISECOND = 1000


def format_busy(retry_after_us: int) -> bytes:
    """Rejected; to be retried after this time, in whole milliseconds, if it is not 0."""
    return b"BUSY %d\r\n" % (retry_after_us // MICROSECONDS_PER_MILLISECOND) if retry_after_us else BUSY
