"""Deadlines and back-off of calls to the discovery service. Free of I/O.

A node counts as notified of a change `NOTIFY_DEADLINE_US` after discovery had it and could be reached,
whatever became of the calls before. So the longest way from any moment to an answer has to be shorter. A call
that is out and dead is given up, the node waits, and the next call is answered:

    CALL_TIMEOUT_US + CHECK_INTERVAL_US + MAX_BACKOFF_US + FIRST_BYTE_TIMEOUT_US < NOTIFY_DEADLINE_US

Times are microseconds. docs/design/discovery-timing.md lists the cases and the reasons.
"""

from __future__ import annotations

from random import Random

SECOND = 1_000_000

NOTIFY_DEADLINE_US = 6 * SECOND  #: the operators' bound, silence and failures included

#: For the first byte of an answer. The service itself fails a call that waits for longer.
FIRST_BYTE_TIMEOUT_US = 2 * SECOND
#: For a list from its first byte on, and for a call's first list from the call on.
COMPLETE_TIMEOUT_US = 3 * SECOND
#: A list cut off with so much of it received was no stopped one but large: the next call has twice the time.
LARGE_LIST_BYTES = 64 * 1024
MAX_COMPLETE_TIMEOUT_US = 8 * COMPLETE_TIMEOUT_US
#: For a watch on which nothing comes. The service sends an empty line every 2 s.
IDLE_TIMEOUT_US = 3 * SECOND
#: No call is out and dead for longer than this.
CALL_TIMEOUT_US = max(FIRST_BYTE_TIMEOUT_US, COMPLETE_TIMEOUT_US, IDLE_TIMEOUT_US)
CHECK_INTERVAL_US = SECOND // 10  #: between two checks of the calls that are out

#: An agent on the node's own machine answers at once, or discovery is down.
AGENT_FIRST_BYTE_TIMEOUT_US = 3 * SECOND // 10
#: Between two calls to an agent, which cost nobody anything.
AGENT_RETRY_INTERVAL_US = SECOND // 10

FIRST_BACKOFF_US = SECOND // 2  #: longest wait after one failure
MAX_BACKOFF_US = 4 * SECOND // 5  #: longest wait after many failures
MIN_BACKOFF_FRACTION = 0.25  #: shortest wait, as a fraction of the longest
MAX_DOUBLINGS = 4


class CallDeadline:
    """Decides by a call's signs of life whether the call is dead."""

    def __init__(self, pushed: bool, now_us: int, complete_timeout_us: int = COMPLETE_TIMEOUT_US) -> None:
        """`pushed`: the call goes to an agent on the same machine."""
        self._complete_timeout_us = complete_timeout_us
        self._called_at_us = now_us
        self._first_byte_timeout_us = AGENT_FIRST_BYTE_TIMEOUT_US if pushed else FIRST_BYTE_TIMEOUT_US
        self._last_byte_at_us: int | None = None
        self._list_started_at_us: int | None = None  # of the list that is not complete
        self._lists_completed = 0

    def record_bytes(self, lists_completed: int, has_partial_list: bool, now_us: int) -> None:
        """Record that bytes have come.

        `lists_completed`: lists that ended with these bytes; `has_partial_list`: whether a further list has
        begun and not ended.
        """
        self._last_byte_at_us = now_us
        self._lists_completed += lists_completed
        if not has_partial_list:
            self._list_started_at_us = None
        elif lists_completed or not self._list_started_at_us:
            self._list_started_at_us = now_us

    def is_expired(self, now_us: int) -> bool:
        """Whether the call is to be given up: nothing that comes on it would come in time."""
        if self._last_byte_at_us is None:
            return now_us - self._called_at_us > self._first_byte_timeout_us
        # Empty lines prove that the call lives, and not that its list ever ends or begins.
        list_started_at_us = self._list_started_at_us
        if list_started_at_us is not None and now_us - list_started_at_us > self._complete_timeout_us:
            return True
        if self._lists_completed:
            return now_us - self._last_byte_at_us > IDLE_TIMEOUT_US
        first_list_timeout_us = IDLE_TIMEOUT_US if list_started_at_us is None else self._complete_timeout_us
        return now_us - self._called_at_us > max(first_list_timeout_us, IDLE_TIMEOUT_US)


class Backoff:
    """Waits between calls while they fail: truncated exponential back-off, drawn anew each time."""

    def __init__(self, poll_interval_us: int) -> None:
        self._max_wait_us = min(MAX_BACKOFF_US, max(poll_interval_us // 2, CHECK_INTERVAL_US))
        self._failures = 0

    def record_success(self) -> None:
        """Record that discovery has sent its list."""
        self._failures = 0

    def record_failure(self, rng: Random) -> int:
        """Record a failed call; return the wait until the next, random so that nodes do not call together."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        longest_us = min(FIRST_BACKOFF_US << doublings, self._max_wait_us)
        self._failures += 1
        return int(longest_us * rng.uniform(MIN_BACKOFF_FRACTION, 1))
