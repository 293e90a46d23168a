"""A member's role and timing."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NO_LEADER = 0  #: no member has this id


class RaftRole(IntEnum):
    """The role of a member; section 3.3 of the dissertation, and 9.6 for the pre-candidate."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  #: asks the others whether they would vote for it
    CANDIDATE = 2
    LEADER = 3

    @property
    def status_text(self) -> str:
        """The role as `status` prints it."""
        return _STATUS_TEXTS[self]


_STATUS_TEXTS = {
    RaftRole.FOLLOWER: "follower",
    RaftRole.PRE_CANDIDATE: "asking",
    RaftRole.CANDIDATE: "candidate",
    RaftRole.LEADER: "leader",
}


class RaftTiming(NamedTuple):
    """Intervals in microseconds."""

    election_timeout_us: int = (
        300_000  #: without a leader for one to two of these, a member starts an election
    )
    heartbeat_interval_us: int = 100_000
