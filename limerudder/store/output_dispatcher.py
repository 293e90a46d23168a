"""Processes a member's output: submits its jobs to the disk writer and sends its messages.

Messages that depend on a job, such as votes and acknowledgements, are sent only once that job is durable. A
message may be lost, since the protocol repeats it; a job must not be. It is submitted before anything that
can fail, and after a lost job no later one is written: the log on the disk has no gaps.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from limerudder.store import rpc
from limerudder.store.callback_guard import CallbackGuard
from limerudder.store.disk_writer import DiskWriter
from limerudder.store.durability import DurabilityJob
from limerudder.store.member import MemberOutput
from limerudder.store.peer_transport import PeerTransport

NO_JOB = 0  #: Reserved job number; jobs are numbered from 1


class LostJobError(Exception):
    """A job is missing before the one to be submitted, which was not written."""


class _DeferredMessages(NamedTuple):
    """Messages that wait until a job is durable."""

    job_number: int
    messages: Sequence[tuple[int, rpc.StoreMessage]]


class OutputDispatcher:
    """Sends messages through a transport, each after the job that it depends on, if any."""

    def __init__(self, transport: PeerTransport, guard: CallbackGuard) -> None:
        self._transport = transport
        self._guard = guard
        self._last_submitted_job = NO_JOB
        self._last_durable_job = NO_JOB
        self._deferred: deque[_DeferredMessages] = deque()

    def dispatch(self, output: MemberOutput, writer: DiskWriter) -> None:
        """Process a member's output; raises LostJobError."""
        if output.job:
            self._submit(output.job, writer)
        self._send(output.messages)
        if output.messages_after_job:
            self._send_once_durable(output.messages_after_job)

    def _submit(self, job: DurabilityJob, writer: DiskWriter) -> None:
        if job.number != self._last_submitted_job + 1:
            raise LostJobError(f"job {job.number} follows job {self._last_submitted_job}: not written")
        self._last_submitted_job = job.number
        writer.submit(job)

    def _send(self, messages: Sequence[tuple[int, rpc.StoreMessage]]) -> None:
        """Send each message to its recipient immediately."""
        for recipient_id, message in messages:
            self._guard.run(self._transport.send, recipient_id, message)

    def on_job_durable(self, job_number: int) -> None:
        """Record that all jobs up to this one are durable; `send_deferred` sends their messages."""
        self._last_durable_job = job_number

    def send_deferred(self) -> None:
        """Send the deferred messages whose jobs are durable."""
        while self._deferred and self._deferred[0].job_number <= self._last_durable_job:
            self._send(self._deferred.popleft().messages)

    def _send_once_durable(self, messages: Sequence[tuple[int, rpc.StoreMessage]]) -> None:
        if self._last_durable_job >= self._last_submitted_job:
            self._send(messages)
        else:
            self._deferred.append(_DeferredMessages(self._last_submitted_job, messages))
