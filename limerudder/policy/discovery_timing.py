"""Deadlines and back-off of calls to the discovery service. Performs no I/O.

Operators rely on a node receiving a change within `NOTIFY_DEADLINE_US` after discovery has the change and is
reachable, regardless of the outcome of earlier calls. So the worst case has to be shorter: a dead call is
cancelled, the node waits, and the next call is answered:

    CALL_TIMEOUT_US + CHECK_INTERVAL_US + MAX_BACKOFF_US + FIRST_BYTE_TIMEOUT_US < NOTIFY_DEADLINE_US

Times are in microseconds. docs/design/discovery-timing.md lists the cases and the reasons.
"""

from __future__ import annotations

from random import Random

SECOND = 1_000_000

NOTIFY_DEADLINE_US = 6 * SECOND  #: Bound set by the operators, including silence and failures

#: Timeout for the first byte of an answer. The service itself fails a call that waits longer.
FIRST_BYTE_TIMEOUT_US = 2 * SECOND
#: Timeout for a list from its first byte on, and for a call's first list from the start of the call on.
COMPLETE_TIMEOUT_US = 3 * SECOND
#: A list cut off after this many bytes was large, not stalled: the next call has twice the time.
LARGE_LIST_BYTES = 64 * 1024
MAX_COMPLETE_TIMEOUT_US = 8 * COMPLETE_TIMEOUT_US
#: Timeout for a watch that receives nothing. The service sends an empty line every 2 s.
IDLE_TIMEOUT_US = 3 * SECOND
#: Maximum time for which a dead call stays open.
CALL_TIMEOUT_US = max(FIRST_BYTE_TIMEOUT_US, COMPLETE_TIMEOUT_US, IDLE_TIMEOUT_US)
CHECK_INTERVAL_US = SECOND // 10  #: Time between two checks of the open calls

#: Timeout for an agent on the same machine, which answers at once unless discovery is down.
AGENT_FIRST_BYTE_TIMEOUT_US = 3 * SECOND // 10
#: Time between two calls to an agent; these calls have no cost.
AGENT_RETRY_INTERVAL_US = SECOND // 10

FIRST_BACKOFF_US = SECOND // 2  #: Maximum wait after one failure
MAX_BACKOFF_US = 4 * SECOND // 5  #: Maximum wait after many failures
MIN_BACKOFF_FRACTION = 0.25  #: Minimum wait, as a fraction of the maximum
MAX_DOUBLINGS = 4


def client_retry_wait_us(pushed: bool) -> int:
    """Return after which time the client repeats a failed call by itself.

    Where lists are polled, the policy's `Backoff` normally repeats it earlier. But the policy discards that
    retry when another answer arrives, so the client has its own, which nothing postpones.
    """
    return AGENT_RETRY_INTERVAL_US if pushed else MAX_BACKOFF_US - CHECK_INTERVAL_US


class CallDeadline:
    """Decides by the bytes received on a call whether it is dead."""

    def __init__(self, pushed: bool, now_us: int, complete_timeout_us: int = COMPLETE_TIMEOUT_US) -> None:
        """`pushed`: whether the call goes to an agent on the same machine."""
        self._complete_timeout_us = complete_timeout_us
        self._called_at_us = now_us
        self._first_byte_timeout_us = AGENT_FIRST_BYTE_TIMEOUT_US if pushed else FIRST_BYTE_TIMEOUT_US
        self._last_byte_at_us: int | None = None
        self._list_started_at_us: int | None = None  # Start of the incomplete list
        self._lists_completed = 0

    def record_bytes(self, lists_completed: int, has_partial_list: bool, now_us: int) -> None:
        """Record received bytes.

        `lists_completed`: number of lists completed by these bytes; `has_partial_list`: whether a further
        list has started and is incomplete.
        """
        self._last_byte_at_us = now_us
        self._lists_completed += lists_completed
        if not has_partial_list:
            self._list_started_at_us = None
        elif lists_completed or not self._list_started_at_us:
            self._list_started_at_us = now_us

    def is_expired(self, now_us: int) -> bool:
        """Whether the call should be cancelled: no answer on it could arrive in time."""
        if self._last_byte_at_us is None:
            return now_us - self._called_at_us > self._first_byte_timeout_us
        # Empty lines prove that the call is alive, but not that its list will ever start or end.
        list_started_at_us = self._list_started_at_us
        if list_started_at_us is not None and now_us - list_started_at_us > self._complete_timeout_us:
            return True
        if self._lists_completed:
            return now_us - self._last_byte_at_us > IDLE_TIMEOUT_US
        first_list_timeout_us = IDLE_TIMEOUT_US if list_started_at_us is None else self._complete_timeout_us
        return now_us - self._called_at_us > max(first_list_timeout_us, IDLE_TIMEOUT_US)


class Backoff:
    """Waits between failing calls: truncated exponential back-off with jitter."""

    def __init__(self, poll_interval_us: int) -> None:
        self._max_wait_us = min(MAX_BACKOFF_US, max(poll_interval_us // 2, CHECK_INTERVAL_US))
        self._failures = 0

    def record_success(self) -> None:
        """Record that discovery has sent a list."""
        self._failures = 0

    def record_failure(self, rng: Random) -> int:
        """Record a failed call; return a random wait until the next, so that nodes spread their calls."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        longest_wait_us = min(FIRST_BACKOFF_US << doublings, self._max_wait_us)
        self._failures += 1
        return int(longest_wait_us * rng.uniform(MIN_BACKOFF_FRACTION, 1))
