"""Requests of this member's clients that are waiting for the leader's reply."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass
from functools import partial

from limerudder.store.calls import CallFailure, CallFailureKind, ReplyCallback, TimeCallback
from limerudder.store.raft.raft import Raft
from limerudder.store.raft.state import NO_LEADER
from limerudder.store.rpc import Reply, ReplyStatus, Request, RequestKind

#: Sends a request to the leader; receives the leader's identifier, the request, and the time in microseconds
RequestSender = Callable[[int, Request, int], None]
#: Calls back once this member has applied the log up to an index; receives the index, the callback, the time
ApplyWaiter = Callable[[int, TimeCallback, int], None]
#: Returns the encoded result that this member's state keeps for an encoded command, or None
ResultLookup = Callable[[bytes], bytes | None]

RESULT_DISCARDED = CallFailure(CallFailureKind.UNAVAILABLE, "the result is no longer kept", True)


@dataclass(slots=True, eq=False)
class PendingCall:
    """A request that is waiting for its reply."""

    request: Request
    deadline_us: int
    callback: ReplyCallback
    sent_at_us: int = 0  # Time of the last transmission
    sent_to: int = NO_LEADER  # Member that received the last transmission
    was_sent: bool = False  # Whether it was sent at least once, and so may have been carried out

    def timeout_failure(self, leader_id: int) -> CallFailure:
        """Returns the failure that is reported once the deadline has passed."""
        text = "no answer came in time" if leader_id else "nobody leads"
        changes_state = self.request.kind != RequestKind.READ_INDEX
        return CallFailure(CallFailureKind.UNAVAILABLE, text, outcome_unknown=self.was_sent and changes_state)


class ClientCalls:
    """Sends requests to the leader and retries them until a reply arrives or the deadline passes."""

    def __init__(
        self,
        raft: Raft,
        send: RequestSender,
        when_applied: ApplyWaiter,
        stored_result: ResultLookup,
        max_pending: int,
        first_number: int,
    ) -> None:
        """`first_number` must differ between processes: replies to an earlier process may still arrive."""
        self._raft = raft
        self._send_request = send
        self._when_applied = when_applied
        self._stored_result = stored_result
        self._max_pending = max_pending
        self._next_number = first_number
        self._pending: dict[int, PendingCall] = {}  # Calls by request number
        self._resent_to = raft.leader_id  # Leader to which all pending calls have been sent

    def __len__(self) -> int:
        """The number of pending calls."""
        return len(self._pending)

    def submit(
        self, kind: RequestKind, data: bytes, deadline_us: int, callback: ReplyCallback, now_us: int
    ) -> None:
        """Sends a request to the leader; calls back exactly once, no later than the deadline."""
        if len(self._pending) >= self._max_pending:
            failure = CallFailure(CallFailureKind.BUSY, f"{len(self._pending)} wishes wait already")
            callback(failure, now_us)
            return
        number = self._next_number
        self._next_number += 1
        call = PendingCall(Request(number, kind, data), deadline_us, callback)
        self._pending[number] = call
        self._send(call, now_us)

    def _send(self, call: PendingCall, now_us: int) -> None:
        leader_id = self._raft.leader_id
        if not leader_id:
            return
        call.sent_at_us = now_us
        call.sent_to = leader_id
        call.was_sent = True
        self._send_request(leader_id, call.request, now_us)

    def handle_reply(self, reply: Reply, now_us: int) -> None:
        """Completes the call that a reply answers; a call that did not reach the leader is retried later."""
        call = self._pending.get(reply.number)
        if call is None or reply.status == ReplyStatus.NOT_LEADER:
            return
        if reply.status == ReplyStatus.RESULT_IN_SESSION:
            index = int.from_bytes(reply.data, "big")
            self._when_applied(index, partial(self._complete_with_stored_result, reply.number), now_us)
            return
        del self._pending[reply.number]
        if reply.status == ReplyStatus.DONE:
            call.callback(reply.data, now_us)
            return
        busy = reply.status == ReplyStatus.BUSY
        kind = CallFailureKind.BUSY if busy else CallFailureKind.REJECTED
        call.callback(CallFailure(kind, reply.data.decode("utf-8", "replace")), now_us)

    def _complete_with_stored_result(self, number: int, now_us: int) -> None:
        call = self._pending.pop(number, None)
        if call is not None:
            call.callback(self._stored_result(call.request.data) or RESULT_DISCARDED, now_us)

    def tick(self, in_progress_here: Set[int], now_us: int) -> None:
        """Fails calls whose deadline has passed, and retries those that may have been lost.

        A request or its reply may be lost in transit or with the leader; a write's session prevents a retry
        from being applied twice. `in_progress_here`: numbers of the requests being processed by this member.
        """
        for call in list(self._pending.values()):
            if now_us >= call.deadline_us:
                del self._pending[call.request.number]
                call.callback(call.timeout_failure(self._raft.leader_id), now_us)
            elif self._is_retry_due(call, in_progress_here, now_us):
                self._send(call, now_us)

    def _is_retry_due(self, call: PendingCall, in_progress_here: Set[int], now_us: int) -> bool:
        if call.sent_to == self._raft.leader_id and now_us < self._retry_at_us(call):
            return False
        return call.sent_to != self._raft.member_id or call.request.number not in in_progress_here

    def _retry_at_us(self, call: PendingCall) -> int:
        return call.sent_at_us + self._raft.timing.election_timeout_us

    def resend_after_leader_change(self, now_us: int) -> None:
        """Sends all pending calls to a new leader immediately, without waiting for the next tick."""
        if self._raft.leader_id == self._resent_to:
            return
        self._resent_to = self._raft.leader_id
        for call in list(self._pending.values()):
            self._send(call, now_us)

    def deadlines_us(self) -> Iterator[int]:
        """Yields the times at which `tick` has to process a pending call."""
        for call in self._pending.values():
            yield min(call.deadline_us, self._retry_at_us(call))
