"""Responses of the line protocol that the node itself sends to clients."""

from __future__ import annotations

PONG = b"PONG\r\n"  #: Response to a PING
BUSY = b"BUSY\r\n"  #: Response to a rejected request
ERROR = b"ERR\r\n"  #: Response to a failed request or an invalid line
MOVE = b"MOVE\r\n"  #: Sent on an established connection to make the client reconnect

MICROSECONDS_PER_MILLISECOND = 1000


def format_busy(retry_after_us: int) -> bytes:
    """Return a rejection with this retry delay, in whole milliseconds, or without one if it is 0."""
    return b"BUSY %d\r\n" % (retry_after_us // MICROSECONDS_PER_MILLISECOND) if retry_after_us else BUSY
