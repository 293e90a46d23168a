"""Writes on behalf of callers of the control socket."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import (
    Command,
    CommandResult,
    Get,
    OpenSession,
    SessionWrite,
    Transaction,
)
from limerudder.store.control_protocol import JsonObject, Respond, item_to_json
from limerudder.store.sessions import RequestSequence
from limerudder.store.store import Store

NO_SESSION = 0  #: Reserved identifier that no session has


def submit_command(store: Store, command: Command, deadline_us: int, respond: Respond) -> None:
    """Submit a command, and answer with its result."""

    def on_result(outcome: CommandResult | CallFailure, now_us: int) -> None:
        respond(_result_answer(command, outcome))

    store.member.write(command, deadline_us, on_result, store.now_us())


def _result_answer(command: Command, outcome: CommandResult | CallFailure) -> JsonObject | CallFailure:
    if isinstance(outcome, CallFailure):
        return outcome
    if outcome.error:
        return CallFailure(CallFailureKind.REJECTED, outcome.error)
    if isinstance(command, OpenSession):
        return {"session": outcome.index}
    transaction = command.transaction if isinstance(command, SessionWrite) else Transaction()
    operations = transaction.on_success if outcome.succeeded else transaction.on_failure
    read_keys = [operation.key for operation in operations if isinstance(operation, Get)]
    items = [item_to_json(key, item) for key, item in zip(read_keys, outcome.items, strict=True)]
    return {"done": outcome.succeeded, "revision": outcome.revision, "items": items}


class ConnectionWriter:
    """The writes of one connection, which share a session; the first write opens it."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._session_id = NO_SESSION
        self._sequence = RequestSequence()
        self._waiting_for_session: list[Callable[[], None]] = []  # Nonempty while a session is being opened

    def write(self, transaction: Transaction, deadline_us: int, respond: Respond) -> None:
        """Carry out a transaction, and answer with its result."""

        def write_in_session() -> None:
            self._write_in_session(transaction, deadline_us, respond)

        if self._session_id != NO_SESSION:
            write_in_session()
            return
        self._waiting_for_session.append(write_in_session)
        if len(self._waiting_for_session) == 1:
            member = self._store.member
            member.write(OpenSession(), deadline_us, self._on_session_opened, self._store.now_us())

    def _on_session_opened(self, outcome: CommandResult | CallFailure, now_us: int) -> None:
        waiting = self._waiting_for_session
        self._waiting_for_session = []
        if isinstance(outcome, CommandResult):
            self._session_id = outcome.index
        for write_in_session in waiting:
            write_in_session()

    def _write_in_session(self, transaction: Transaction, deadline_us: int, respond: Respond) -> None:
        if self._session_id == NO_SESSION:
            respond(CallFailure(CallFailureKind.UNAVAILABLE, "no session could be opened: nothing was done"))
            return
        serial = self._sequence.next_serial()

        def on_answer(answer: JsonObject | CallFailure) -> None:
            self._sequence.mark_answered(serial)
            respond(answer)

        command = SessionWrite(self._session_id, serial, self._sequence.acknowledged_serial, transaction)
        submit_command(self._store, command, deadline_us, on_answer)
        self._store.schedule_output()
