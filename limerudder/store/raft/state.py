"""The state shared by the parts of the protocol: term, vote, role, log, commit index and peers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

from limerudder.store.raft.log import RaftLog
from limerudder.store.raft.messages import Entry, RaftMessage
from limerudder.store.raft.output import Envelope, RaftOutput
from limerudder.store.raft.persistence import HardState, PersistentState
from limerudder.store.raft.progress import Progress
from limerudder.store.raft.write_buffer import WriteBuffer

NO_LEADER = 0  #: Reserved id that no member has


class RaftRole(IntEnum):
    """The role of a member (3.3; 9.6 for the pre-candidate)."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  #: Polls the other voters on whether they would vote for it
    CANDIDATE = 2
    LEADER = 3

    @property
    def status_text(self) -> str:
        """The role as printed by `status`."""
        return _STATUS_TEXTS[self]


_STATUS_TEXTS = {
    RaftRole.FOLLOWER: "follower",
    RaftRole.PRE_CANDIDATE: "asking",
    RaftRole.CANDIDATE: "candidate",
    RaftRole.LEADER: "leader",
}


class RaftTiming(NamedTuple):
    """Intervals in microseconds."""

    election_timeout_us: int = 300_000  #: Minimum wait for a leader; randomized up to twice this
    heartbeat_interval_us: int = 100_000


class RaftState:
    """One member's state (figure 3.1), and the output collected for its driver."""

    def __init__(self, member_id: int, saved: PersistentState, timing: RaftTiming) -> None:
        self.member_id = member_id
        self.timing = timing
        self.term = saved.hard_state.term
        self.voted_for = saved.hard_state.voted_for
        self.role = RaftRole.FOLLOWER
        self.is_leader = False
        self.leader_id = NO_LEADER
        self.snapshot = saved.snapshot
        self.log = _load_log(saved)
        self.commit_index = self.log.base_index
        self.delivered_index = self.commit_index  # last index passed to the driver
        self.writes = WriteBuffer(saved.hard_state, self.log.last_index)
        self.output = RaftOutput()
        # leader only
        self.progress: dict[int, Progress] = {}  # all other members, by member id
        self.term_start_index = 0  # index of this leader's first entry
        self.read_round = 0  # included in every message to a follower; see `reads`
        self.heartbeat_requested = False  # the next output must include a heartbeat

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter."""
        return self.member_id in self.log.config.voter_ids()

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term (3.6.2)."""
        return self.commit_index >= self.term_start_index

    def set_role(self, role: RaftRole, leader_id: int) -> None:
        """Change the role and the leader, which is NO_LEADER if unknown."""
        self.role = role
        self.is_leader = role == RaftRole.LEADER
        self.leader_id = leader_id

    def is_disk_stalled(self, now_us: int) -> bool:
        """Whether a write has been pending for longer than the election timeout."""
        return self.writes.is_stalled(now_us, self.timing.election_timeout_us)

    def is_majority(self, member_ids: Iterable[int]) -> bool:
        """Whether these members include more than half of the voters."""
        voters = self.log.config.voter_ids()
        return 2 * len(voters.intersection(member_ids)) > len(voters)

    def send(self, recipient: int, message: RaftMessage) -> None:
        """Send a message immediately."""
        self.output.messages.append(Envelope(recipient, message))

    def send_after_write(self, recipient: int, message: RaftMessage) -> None:
        """Send a message once all changes made so far are durable."""
        self.output.messages_after_write.append(Envelope(recipient, message))

    def append_entries(self, entries: Sequence[Entry]) -> None:
        """Add entries at the end of the log."""
        self.log.append(entries)
        self.writes.append(entries)

    def truncate_log(self, first_index: int) -> None:
        """Delete the log's entries from `first_index` on."""
        assert first_index > self.commit_index, "committed entries are never deleted"
        self.log.truncate(first_index)
        self.writes.truncate(first_index)

    def advance_commit_to(self, index: int) -> None:
        """Commit the log up to `index`."""
        if index > self.commit_index:
            assert index <= self.log.last_index, "only entries of the log are committed"
            self.commit_index = index

    def take_output(self, now_us: int) -> RaftOutput | None:
        """Return the output collected since the last call, or None if there is none."""
        output = self.output
        if self.commit_index > self.delivered_index:
            start = self.delivered_index - self.log.base_index
            end = self.commit_index - self.log.base_index
            output.committed_entries = self.log.entries[start:end]
            self.delivered_index = self.commit_index
        hard_state = HardState(self.term, self.voted_for)
        output.write = self.writes.next_write(hard_state, self.member_id, self.log.last_index, now_us)
        if output.is_empty():
            return None
        self.output = RaftOutput()
        return output


def _load_log(saved: PersistentState) -> RaftLog:
    if saved.snapshot:
        meta = saved.snapshot.meta
        log = RaftLog(meta.index, meta.term, meta.config)
    else:
        log = RaftLog(0, 0, saved.initial_config)
    log.append([entry for entry in saved.entries if entry.index > log.base_index])
    return log
