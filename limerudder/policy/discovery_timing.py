"""The clocks of discovery's list: when a call is dead, and how long to wait until the next. Free of I/O.

A change counts as told TOLD after discovery had it and could be reached, whatever became of calls before. So
the longest way from any moment to an answer has to be shorter: a call that is out and dead is given up, its
node waits, and the next call is answered:

    GIVEN_UP + LOOK + WAIT_MOST + FIRST_WORD < TOLD

Times are microseconds. docs/design/clocks.md tells what holds where, and why.
"""

from __future__ import annotations

from random import Random

SECOND = 1_000_000
NOTIFY_DEADLINE_US = 6 * SECOND  #: the operators' bound, silence and failures included
FIRST_BYTE_TIMEOUT_US = (
    2 * SECOND
)  #: for the first byte of an answer; the service fails what waits longer by itself
COMPLETE_TIMEOUT_US = (
    3 * SECOND
)  #: for a list from its first byte on, and for a call's first list from the call on
IDLE_TIMEOUT_US = 3 * SECOND  #: a watch without a word: an empty line is due every 2 s
CALL_TIMEOUT_US = max(
    FIRST_BYTE_TIMEOUT_US, COMPLETE_TIMEOUT_US, IDLE_TIMEOUT_US
)  #: no call is out and dead for longer
FIRST_BACKOFF_US, MAX_BACKOFF_US = (
    SECOND // 2,
    4 * SECOND // 5,
)  #: until the next call: after one failure, after many
CHECK_INTERVAL_US = SECOND // 10  #: between looks at the calls that are out
AGENT_FIRST_BYTE_TIMEOUT_US = (
    3 * SECOND // 10
)  #: an agent on the node's own machine answers at once, or discovery is down
AGENT_RETRY_INTERVAL_US = SECOND // 10  #: until it is asked anew: that costs nobody anything


class CallDeadline:
    """One call that is out: told of its signs of life, it tells whether it is dead."""

    def __init__(self, pushed: bool, now: int) -> None:
        self._called_at_us, self._first_byte_timeout_us = (
            now,
            AGENT_FIRST_BYTE_TIMEOUT_US if pushed else FIRST_BYTE_TIMEOUT_US,
        )
        self._last_byte_at_us: int | None = None  # when the last byte came
        self._list_started_at_us: int | None = None  # when the list that has not ended began
        self._lists_completed = 0

    def record_bytes(self, lists: int, unfinished: bool, now: int) -> None:
        """Bytes have come; so many lists ended with them, and another has begun and not ended."""
        self._last_byte_at_us, self._lists_completed = now, self._lists_completed + lists
        self._list_started_at_us = (now if lists else self._list_started_at_us or now) if unfinished else None

    def is_expired(self, now: int) -> bool:
        """Whether it is to be given up: nothing that comes on it would come in time."""
        if self._last_byte_at_us is None:
            return now - self._called_at_us > self._first_byte_timeout_us
        # guards against a list that never ends and one that never begins, however lively the call is
        if self._list_started_at_us is not None and now - self._list_started_at_us > COMPLETE_TIMEOUT_US:
            return True
        return (
            now - (self._last_byte_at_us if self._lists_completed else self._called_at_us) > IDLE_TIMEOUT_US
        )


class Backoff:
    """Waits between calls while they fail (truncated exponential back-off, drawn anew each time)."""

    def __init__(self, poll_interval_us: int) -> None:
        self._max_wait_us, self._failures = (
            min(MAX_BACKOFF_US, max(poll_interval_us // 2, CHECK_INTERVAL_US)),
            0,
        )

    def record_success(self) -> None:
        """Discovery has told its list."""
        self._failures = 0

    def record_failure(self, rng: Random) -> int:
        """One more call has failed: how long to wait, so that not all nodes ask at once."""
        most = min(FIRST_BACKOFF_US << min(self._failures, 4), self._max_wait_us)
        self._failures += 1
        return int(most * rng.uniform(0.25, 1))
