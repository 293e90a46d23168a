"""The leader's side of client requests: queues them for Raft, and replies once their outcome is known."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from limerudder.store.commands import CommandResult, encode_result
from limerudder.store.membership_requests import config_with, config_without
from limerudder.store.raft.errors import MembershipChangeError, NotLeaderError
from limerudder.store.raft.messages import Entry
from limerudder.store.raft.output import RaftOutput
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole
from limerudder.store.rpc import Reply, ReplyStatus, Request, RequestKind
from limerudder.store.state_machine import KeyValueState

#: sends a reply: the recipient's identifier, the reply, and the time in microseconds
ReplySender = Callable[[int, Reply, int], None]


class RequestOrigin(NamedTuple):
    """Where a request came from: the member, and the number that it gave to the request."""

    member_id: int
    number: int


class QueuedWrite(NamedTuple):
    """A command that waits to be proposed."""

    command: bytes
    origin: RequestOrigin


class ProposedEntry(NamedTuple):
    """A proposed log entry whose outcome is not known yet; `term` is that of the proposal."""

    term: int
    origin: RequestOrigin


class LeaderRequests:
    """Handles the requests that reach this member, which it can carry out only while it leads."""

    def __init__(self, raft: Raft, state: KeyValueState, send: ReplySender, max_pending_writes: int) -> None:
        self._raft = raft
        self._state = state
        self._send_reply = send
        self._max_pending_writes = max_pending_writes
        self._queued_writes: list[QueuedWrite] = []  # for one proposal
        self._proposed: dict[int, ProposedEntry] = {}  # by log index
        self._reads: dict[int, RequestOrigin] = {}  # by Raft's identifier of the read

    def handle(self, sender_id: int, request: Request, now_us: int) -> None:
        """Starts to carry out a request, or replies at once that it cannot be done."""
        origin = RequestOrigin(sender_id, request.number)
        if self._raft.role != RaftRole.LEADER:
            self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)
            return
        try:
            self._start(origin, request, now_us)
        except MembershipChangeError as exc:
            self._reply(origin, ReplyStatus.REFUSED, str(exc).encode(), now_us)
        except NotLeaderError:
            self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)

    def _start(self, origin: RequestOrigin, request: Request, now_us: int) -> None:
        match request.kind:
            case RequestKind.WRITE:
                self._queue_write(origin, request.data, now_us)
            case RequestKind.READ_INDEX:
                read_id = self._raft.request_read()
                self._reads[read_id] = origin
            case RequestKind.TRANSFER_LEADERSHIP:
                self._raft.transfer_leadership(_decode_number(request.data), now_us)
                self._reply(origin, ReplyStatus.DONE, b"", now_us)
            case RequestKind.ADD_MEMBER | RequestKind.REMOVE_MEMBER:
                self._change_members(origin, request, now_us)

    def _queue_write(self, origin: RequestOrigin, command: bytes, now_us: int) -> None:
        if len(self._queued_writes) + len(self._proposed) >= self._max_pending_writes:
            self._reply(origin, ReplyStatus.BUSY, b"too much waits at the leader", now_us)
            return
        self._queued_writes.append(QueuedWrite(command, origin))

    def _change_members(self, origin: RequestOrigin, request: Request, now_us: int) -> None:
        log = self._raft.log
        if request.kind == RequestKind.REMOVE_MEMBER:
            requested = config_without(log.config, _decode_number(request.data))
        else:
            requested = config_with(log.config, request.data)
        is_retry = requested == log.config  # its first reply was lost
        index = log.config_index if is_retry else self._raft.propose_config(requested, now_us)
        if index <= self._state.applied_index:
            self._reply(origin, ReplyStatus.DONE, _encode_number(index), now_us)
        else:
            self._proposed[index] = ProposedEntry(self._raft.term, origin)

    def in_progress_from(self, member_id: int) -> set[int]:
        """Returns the numbers of a member's requests that this leader is working on in its present term."""
        return {origin.number for origin in self._origins_in_progress() if origin.member_id == member_id}

    def _origins_in_progress(self) -> Iterator[RequestOrigin]:
        for proposed in self._proposed.values():
            if proposed.term == self._raft.term:
                yield proposed.origin
        yield from self._reads.values()
        for queued in self._queued_writes:
            yield queued.origin

    def propose_queued(self, now_us: int) -> None:
        """Proposes all queued writes together, so that they share one write to disk and one message."""
        if not self._queued_writes:
            return
        queued_writes = self._queued_writes
        self._queued_writes = []
        try:
            first_index, term = self._raft.propose([queued.command for queued in queued_writes], now_us)
        except NotLeaderError:
            for queued in queued_writes:
                self._reply(queued.origin, ReplyStatus.NOT_LEADER, b"", now_us)
            return
        for index, queued in enumerate(queued_writes, first_index):
            self._proposed[index] = ProposedEntry(term, queued.origin)

    def reply_to_entry(self, entry: Entry, result: CommandResult | None, now_us: int) -> None:
        """Replies to the request that proposed an entry, now that the entry has been applied."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return
        if proposed.term != entry.term:
            # another leader's entry stands in its place: its result belongs to another request
            self._reply(proposed.origin, ReplyStatus.NOT_LEADER, b"", now_us)
            return
        data = _encode_number(entry.index) if result is None else encode_result(result)
        self._reply(proposed.origin, ReplyStatus.DONE, data, now_us)

    def reply_to_reads(self, output: RaftOutput, now_us: int) -> None:
        """Replies to the reads that Raft has confirmed or aborted."""
        for read_id, index in output.confirmed_reads:
            origin = self._reads.pop(read_id, None)
            if origin:
                self._reply(origin, ReplyStatus.DONE, _encode_number(index), now_us)
        for read_id in output.aborted_reads:
            origin = self._reads.pop(read_id, None)
            if origin:
                self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)

    def forget_lost_proposals(self) -> None:
        """Forgets, after this member has lost the leadership, proposals that its log no longer holds.

        They get no reply: their entries may still be committed elsewhere. The member that sent the request
        retries it, and the session keeps it from being applied twice.
        """
        if self._raft.role == RaftRole.LEADER:
            return
        lost = [
            index
            for index, proposed in self._proposed.items()
            if proposed.term != self._raft.term and index > self._raft.log.last_index
        ]
        for index in lost:
            del self._proposed[index]

    def _reply(self, origin: RequestOrigin, status: ReplyStatus, data: bytes, now_us: int) -> None:
        self._send_reply(origin.member_id, Reply(origin.number, status, data), now_us)


def _encode_number(number: int) -> bytes:
    return number.to_bytes(8, "big")


def _decode_number(data: bytes) -> int:
    return int.from_bytes(data, "big")
