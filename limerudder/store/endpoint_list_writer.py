"""Saves discovery's last endpoint list in the store, so that a node can start while discovery is down."""

from __future__ import annotations

import json

from limerudder.core.discovery.endpoint_list import EndpointList, format_endpoint_list
from limerudder.store.calls import CallFailure
from limerudder.store.commands import (
    CommandResult,
    Compare,
    CompareTarget,
    OpenSession,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.key_schema import ENDPOINT_LIST_KEY
from limerudder.store.sessions import RequestSequence
from limerudder.store.store import Store

WRITE_INTERVAL_US = 2_000_000
KEY_MISSING = 0  #: Revision that a comparison expects of a key that does not exist
NO_SESSION = 0  #: Reserved identifier that no session has


class EndpointListWriter:
    """Writes the node's list while its member leads; a failed write is retried after an interval."""

    def __init__(self, store: Store, max_value_bytes: int) -> None:
        self._store = store
        self._max_value_bytes = max_value_bytes
        self._next_write_us = store.now_us()
        self._written: EndpointList | None = None
        self._session_id = NO_SESSION
        self._opening_session = False
        self._sequence = RequestSequence()

    def is_due(self, now_us: int) -> bool:
        """Whether a write is due; true once per interval."""
        if now_us < self._next_write_us:
            return False
        self._next_write_us = now_us + WRITE_INTERVAL_US
        return True

    def write(self, endpoint_list: EndpointList, now_us: int) -> None:
        """Write the list if it differs from the last one written and this member leads.

        A list that the service has not sent completely is not written: a restarted node would begin with its
        outdated entries and ask only for later changes.
        """
        if not (endpoint_list.is_complete and endpoint_list.endpoints and self._store.member.is_leader):
            return
        stored = self._store.member.persisted_value(ENDPOINT_LIST_KEY)
        # Not only the version is compared: its numbering may have begun anew
        if endpoint_list == self._written and stored.value is not None:
            return
        if self._session_id == NO_SESSION:
            self._open_session(now_us)
            return
        value = json.dumps(format_endpoint_list(endpoint_list)).encode()
        self._written = endpoint_list
        if stored.value == value or len(value) > self._max_value_bytes:
            return
        revision = stored.modified_revision if stored.value is not None else KEY_MISSING
        unchanged = Compare(ENDPOINT_LIST_KEY, CompareTarget.MODIFIED, number=revision)
        self._submit(Transaction((unchanged,), (Put(ENDPOINT_LIST_KEY, value),)), now_us)

    def _submit(self, transaction: Transaction, now_us: int) -> None:
        serial = self._sequence.next_serial()

        def on_result(outcome: CommandResult | CallFailure, now_us: int) -> None:
            self._sequence.mark_answered(serial)
            self._result_received(outcome)

        command = SessionWrite(self._session_id, serial, self._sequence.acknowledged_serial, transaction)
        self._store.member.write(command, now_us + WRITE_INTERVAL_US, on_result, now_us)
        self._store.schedule_output()

    def _result_received(self, outcome: CommandResult | CallFailure) -> None:
        if isinstance(outcome, CallFailure):
            self._written = None
            return
        if outcome.error or not outcome.succeeded:
            self._written = None
        if outcome.error:
            self._session_id = NO_SESSION

    def _open_session(self, now_us: int) -> None:
        if self._opening_session:
            return
        self._opening_session = True
        deadline_us = now_us + WRITE_INTERVAL_US
        self._store.member.write(OpenSession(), deadline_us, self._on_session_opened, now_us)
        self._store.schedule_output()

    def _on_session_opened(self, outcome: CommandResult | CallFailure, now_us: int) -> None:
        self._opening_session = False
        if isinstance(outcome, CommandResult):
            self._session_id = outcome.index
            self._sequence = RequestSequence()
