"""Errors that the consensus package raises."""

from __future__ import annotations


class RaftError(Exception):
    """Base class of this package's errors."""


class NotLeaderError(RaftError):
    """Only the leader can do this; `leader` is its member id as far as known, or `NO_LEADER`."""

    def __init__(self, leader: int) -> None:
        super().__init__("this member does not lead")
        self.leader = leader


class MembershipChangeError(RaftError):
    """The configuration cannot be changed in this way, or not now; the text says why."""
