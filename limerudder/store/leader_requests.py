"""The leader side of client requests: queues them for Raft, and replies once their outcome is known."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from limerudder.store.commands import CommandResult, encode_result, encoded_size_error
from limerudder.store.membership_requests import config_with_member, config_without_member
from limerudder.store.raft.errors import LeaderNotReadyError, MembershipChangeError, NotLeaderError
from limerudder.store.raft.messages import MAX_DATA_BYTES, Entry
from limerudder.store.raft.output import RaftOutput
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import RaftRole
from limerudder.store.rpc import Reply, ReplyStatus, Request, RequestKind
from limerudder.store.state_machine import KeyValueState

#: Callback that sends a reply; arguments: the recipient's member id, the reply, the time in microseconds
ReplySender = Callable[[int, Reply, int], None]


class RequestOrigin(NamedTuple):
    """The origin of a request: the member, and the request number assigned by it."""

    member_id: int
    number: int


class QueuedWrite(NamedTuple):
    """A command that has not been proposed yet."""

    command: bytes
    origin: RequestOrigin


class ProposedEntry(NamedTuple):
    """A proposed log entry with a pending outcome; `term` is the term of the proposal."""

    term: int
    origin: RequestOrigin


class LeaderRequests:
    """Handles the requests sent to this member, which it can process only as the leader."""

    def __init__(self, raft: Raft, state: KeyValueState, send: ReplySender, max_pending_writes: int) -> None:
        self._raft = raft
        self._state = state
        self._send_reply = send
        self._max_pending_writes = max_pending_writes
        self._queued_writes: list[QueuedWrite] = []  # commands of the next proposal
        self._proposed: dict[int, ProposedEntry] = {}  # keyed by log index
        self._reads: dict[int, RequestOrigin] = {}  # keyed by Raft's id of the read

    def handle(self, sender_id: int, request: Request, now_us: int) -> None:
        """Starts to process a request, or replies immediately with the reason why that is not possible."""
        origin = RequestOrigin(sender_id, request.number)
        if self._raft.role != RaftRole.LEADER:
            self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)
            return
        try:
            self._start(origin, request, now_us)
        except LeaderNotReadyError:
            self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)  # the requesting member tries again
        except MembershipChangeError as exc:
            self._reply(origin, ReplyStatus.REJECTED, str(exc).encode(), now_us)
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
        error = encoded_size_error(command)  # members of earlier releases do not check it
        if error:
            self._reply(origin, ReplyStatus.REJECTED, error.encode(), now_us)
            return
        self._queued_writes.append(QueuedWrite(command, origin))

    def _change_members(self, origin: RequestOrigin, request: Request, now_us: int) -> None:
        log = self._raft.log
        if request.kind == RequestKind.REMOVE_MEMBER:
            requested = config_without_member(log.config, _decode_number(request.data))
        else:
            requested = config_with_member(log.config, request.data)
        is_retry = requested == log.config  # the reply to the first attempt was lost
        index = log.config_index if is_retry else self._raft.propose_config(requested, now_us)
        if index <= self._state.applied_index:
            self._reply(origin, ReplyStatus.DONE, _encode_number(index), now_us)
        else:
            self._proposed[index] = ProposedEntry(self._raft.term, origin)

    def in_progress_from(self, member_id: int) -> set[int]:
        """Returns the numbers of a member's requests that this leader is processing in its current term."""
        return {origin.number for origin in self._origins_in_progress() if origin.member_id == member_id}

    def _origins_in_progress(self) -> Iterator[RequestOrigin]:
        for proposed in self._proposed.values():
            if proposed.term == self._raft.term:
                yield proposed.origin
        yield from self._reads.values()
        for queued in self._queued_writes:
            yield queued.origin

    def propose_queued(self, now_us: int) -> None:
        """Proposes all queued writes as a batch, so that they share one disk write and one message."""
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
        """Replies to the request that proposed an entry, after the entry has been applied."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return
        if proposed.term != entry.term:
            # another leader's entry replaced the proposal; the result belongs to another request
            self._reply(proposed.origin, ReplyStatus.NOT_LEADER, b"", now_us)
            return
        data = _encode_number(entry.index) if result is None else encode_result(result)
        if len(data) > MAX_DATA_BYTES and proposed.origin.member_id != self._raft.member_id:
            data = _encode_number(entry.index)
            self._reply(proposed.origin, ReplyStatus.RESULT_IN_SESSION, data, now_us)
            return
        self._reply(proposed.origin, ReplyStatus.DONE, data, now_us)

    def reply_to_reads(self, output: RaftOutput, now_us: int) -> None:
        """Replies to the reads that Raft reports as confirmed or aborted."""
        for read_id, index in output.confirmed_reads:
            origin = self._reads.pop(read_id, None)
            if origin:
                self._reply(origin, ReplyStatus.DONE, _encode_number(index), now_us)
        for read_id in output.aborted_reads:
            origin = self._reads.pop(read_id, None)
            if origin:
                self._reply(origin, ReplyStatus.NOT_LEADER, b"", now_us)

    def discard_lost_proposals(self) -> None:
        """Discards proposals that are no longer in the log after a loss of leadership.

        They get no reply, since their entries may still be committed by another leader. The requesting
        member retries the request, and its session prevents a second application.
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
