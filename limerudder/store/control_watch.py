"""Sends the changes of a watch to a caller of the control socket, as fast as the caller reads them."""

from __future__ import annotations

import asyncio

from limerudder.store.control_arguments import WatchArguments
from limerudder.store.control_protocol import (
    ControlError,
    ControlErrorKind,
    encode_line,
    error_answer,
    item_to_json,
)
from limerudder.store.state_machine import ChangeEvent, CompactedError, KeyValueState

MAX_BUFFERED_BYTES = 1 << 20  #: Maximum unsent output for a slow caller; the watch pauses above it
MAX_CHANGES_PER_BATCH = 500


class WatchStream:
    """The watch of one connection, if it has one."""

    def __init__(self, state: KeyValueState, transport: asyncio.Transport) -> None:
        self._state = state
        self._transport = transport
        self._watch: WatchArguments | None = None  # `after_revision` advances as changes are sent

    def check_revision(self, after_revision: int) -> None:
        """Raise ControlError if changes after this revision are no longer kept."""
        if after_revision < self._state.compacted_revision:
            text = str(CompactedError(self._state.compacted_revision))
            raise ControlError(ControlErrorKind.COMPACTED, text)

    def start(self, watch: WatchArguments) -> None:
        """Start a watch, replacing an earlier one of this connection."""
        self._watch = watch
        self.send_changes()

    def send_changes(self) -> None:
        """Send the changes since the last call, or part of them if the caller reads too slowly."""
        while self._watch and self._can_send():
            watch = self._watch
            try:
                changes, complete_revision = self._state.changes_since(
                    watch.after_revision, watch.prefix, MAX_CHANGES_PER_BATCH
                )
            except CompactedError as error:
                self._end(error)
                return
            for change in changes:
                self._send_change(change)
            if complete_revision <= watch.after_revision:
                return  # a restarted member may still be behind the caller
            self._watch = watch._replace(after_revision=complete_revision)

    def _can_send(self) -> bool:
        return (
            not self._transport.is_closing() and self._transport.get_write_buffer_size() < MAX_BUFFERED_BYTES
        )

    def _end(self, error: CompactedError) -> None:
        """Notify the caller of missed changes, which it could not detect otherwise."""
        self._watch = None
        answer = error_answer(ControlErrorKind.COMPACTED, str(error))
        self._transport.write(encode_line({**answer, "revision": error.revision}))

    def _send_change(self, change: ChangeEvent) -> None:
        item = item_to_json(change.key, change.item)
        self._transport.write(encode_line({"ok": True, "revision": change.revision, **item}))
