"""Processes a member's output: sends its messages and submits its jobs to the disk writer.

Messages that depend on a job, such as votes and acknowledgements, are sent only once that job is durable.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from limerudder.store import rpc
from limerudder.store.disk_writer import DiskWriter
from limerudder.store.member import MemberOutput
from limerudder.store.peer_transport import PeerTransport

NO_JOB = 0  #: Reserved job number; jobs are numbered from 1


class _DeferredMessages(NamedTuple):
    """Messages that wait until a job is durable."""

    job_number: int
    messages: Sequence[tuple[int, rpc.StoreMessage]]


class OutputDispatcher:
    """Sends messages through a transport, each after the job that it depends on, if any."""

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._last_submitted_job = NO_JOB
        self._last_durable_job = NO_JOB
        self._deferred: deque[_DeferredMessages] = deque()

    def dispatch(self, output: MemberOutput, writer: DiskWriter) -> None:
        """Process a member's output."""
        self.send(output.messages)
        if output.job:
            self._last_submitted_job = output.job.number
            writer.submit(output.job)
        if output.messages_after_job:
            self._send_once_durable(output.messages_after_job)

    def send(self, messages: Sequence[tuple[int, rpc.StoreMessage]]) -> None:
        """Send each message to its recipient immediately."""
        for recipient_id, message in messages:
            self._transport.send(recipient_id, message)

    def on_job_durable(self, job_number: int) -> None:
        """Record that all jobs up to this one are durable; `send_deferred` sends their messages."""
        self._last_durable_job = job_number

    def send_deferred(self) -> None:
        """Send the deferred messages whose jobs are durable."""
        while self._deferred and self._deferred[0].job_number <= self._last_durable_job:
            self.send(self._deferred.popleft().messages)

    def _send_once_durable(self, messages: Sequence[tuple[int, rpc.StoreMessage]]) -> None:
        if self._last_durable_job >= self._last_submitted_job:
            self.send(messages)
        else:
            self._deferred.append(_DeferredMessages(self._last_submitted_job, messages))
