"""Writes the facts of the drain log to the replicated state, in a dedicated session."""

from __future__ import annotations

from typing import Protocol

from limerudder.store.calls import CallFailure, ResultCallback, TimeCallback
from limerudder.store.commands import Command, CommandResult, OpenSession, SessionWrite, Transaction
from limerudder.store.drain_log import HOST_KEY_PREFIX, DrainLog
from limerudder.store.raft.raft import Raft
from limerudder.store.sessions import RequestSequence
from limerudder.store.state_machine import KeyValueState

RETRY_INTERVAL_US = 500_000  #: Interval between attempts to write the pending facts
WRITE_TIMEOUT_US = 20 * RETRY_INTERVAL_US
NO_SESSION = 0  #: Reserved identifier that no session has


class StateWriter(Protocol):
    """Interface of the member that `DrainReplicator` uses."""

    def write(self, command: Command, deadline_us: int, callback: ResultCallback, now_us: int) -> None:
        """Replicates a command and calls back with its result."""

    def when_applied(self, index: int, callback: TimeCallback, now_us: int) -> None:
        """Calls back once this member has applied the entry at this index."""


class DrainReplicator:
    """Writes pending facts to the replicated state at intervals, while there is a leader."""

    def __init__(
        self, drain_log: DrainLog, state: KeyValueState, raft: Raft, member: StateWriter, now_us: int
    ) -> None:
        self._drain_log = drain_log
        self._state = state
        self._raft = raft
        self._member = member
        self._session_id = NO_SESSION
        self._opening_session = False
        self._sequence = RequestSequence()
        self.due_at_us = now_us

    def tick(self, now_us: int) -> None:
        """Writes the pending facts if the interval has passed."""
        if now_us >= self.due_at_us:
            self.due_at_us = now_us + RETRY_INTERVAL_US
            self._write_pending(now_us)

    def _write_pending(self, now_us: int) -> None:
        hosts = self._drain_log.hosts_to_write()
        if not hosts or not self._raft.leader_id:
            return
        if self._session_id == NO_SESSION:
            self._open_session(now_us)
            return
        for host in hosts:
            item = self._state.get(HOST_KEY_PREFIX + host)
            modified_revision = item.modified_revision if item else 0
            value = item.value if item else None
            transaction = self._drain_log.prepare_write(host, modified_revision, value)
            if transaction:
                self._write_host(host, transaction, now_us)

    def _write_host(self, host: str, transaction: Transaction, now_us: int) -> None:
        session_id = self._session_id
        serial = self._sequence.next_serial()

        def on_result(outcome: CommandResult | CallFailure, now_us: int) -> None:
            if session_id == self._session_id:
                self._sequence.mark_answered(serial)
            if isinstance(outcome, CallFailure):
                self._drain_log.finish_write(host, None)
            elif outcome.error:
                self._discard_session(session_id)
                self._drain_log.finish_write(host, None)
            else:
                self._finish_write_when_applied(host, outcome, now_us)

        command = SessionWrite(session_id, serial, self._sequence.acknowledged_serial, transaction)
        self._member.write(command, now_us + WRITE_TIMEOUT_US, on_result, now_us)

    def _finish_write_when_applied(self, host: str, result: CommandResult, now_us: int) -> None:
        """Deletes the facts only after this member has applied the write, so that they remain effective."""
        revision = result.revision if result.succeeded else None
        self._member.when_applied(
            result.index, lambda _: self._drain_log.finish_write(host, revision), now_us
        )

    def _open_session(self, now_us: int) -> None:
        if self._opening_session:
            return
        self._opening_session = True

        def on_result(outcome: CommandResult | CallFailure, now_us: int) -> None:
            self._opening_session = False
            if isinstance(outcome, CommandResult):
                self._session_id = outcome.index
                self._sequence = RequestSequence()
                self._write_pending(now_us)

        self._member.write(OpenSession(), now_us + WRITE_TIMEOUT_US, on_result, now_us)

    def _discard_session(self, session_id: int) -> None:
        """Makes the next attempt replace the ended session, unless a new one has been opened already."""
        if session_id == self._session_id:
            self._session_id = NO_SESSION
