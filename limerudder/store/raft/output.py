"""The output that a member's driver has to process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from limerudder.store.raft.messages import Entry, RaftMessage, Snapshot
from limerudder.store.raft.persistence import RaftWrite


class Envelope(NamedTuple):
    """A message and the id of its recipient."""

    recipient: int
    message: RaftMessage


class ConfirmedRead(NamedTuple):
    """A read that can be served once the entry at `read_index` has been applied."""

    read_id: int
    read_index: int


@dataclass(slots=True)
class RaftOutput:
    """Work for the driver, like `Ready` in etcd's raft; `raft.py` documents the order of execution."""

    messages: list[Envelope] = field(default_factory=list)
    write: RaftWrite | None = None
    messages_after_write: list[Envelope] = field(default_factory=list)
    installed_snapshot: Snapshot | None = None
    committed_entries: list[Entry] = field(default_factory=list)
    confirmed_reads: list[ConfirmedRead] = field(default_factory=list)
    aborted_reads: list[int] = field(default_factory=list)  # ids of reads that can no longer be served

    def is_empty(self) -> bool:
        """Whether there is no work for the driver."""
        return not (
            self.messages
            or self.write
            or self.messages_after_write
            or self.installed_snapshot
            or self.committed_entries
            or self.confirmed_reads
            or self.aborted_reads
        )
