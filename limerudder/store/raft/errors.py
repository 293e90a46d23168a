"""Exceptions of the consensus package."""

from __future__ import annotations


class RaftError(Exception):
    """Base class of this package's exceptions."""


class NotLeaderError(RaftError):
    """The operation requires the leader; `leader` is its member id, or `NO_LEADER` if unknown."""

    def __init__(self, leader: int) -> None:
        super().__init__("this member is not the leader")
        self.leader = leader


class LostWriteError(RaftError):
    """A write has become durable before an earlier one, which is therefore missing on the disk."""


class MembershipChangeError(RaftError):
    """The configuration change is invalid or not possible now; the message states the reason."""


class LeaderNotReadyError(MembershipChangeError):
    """The leader has not committed an entry of its term yet, which takes a disk write; to be tried again."""
