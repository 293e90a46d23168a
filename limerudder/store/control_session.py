"""A caller's connection to the control socket."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any, cast

from limerudder.store.calls import CallFailure
from limerudder.store.control_calls import CALLS, CallContext
from limerudder.store.control_protocol import (
    CALL_ERRORS,
    MAX_LINE_BYTES,
    ControlError,
    ControlErrorKind,
    JsonObject,
    encode_line,
    error_answer,
    exception_answer,
    outcome_answer,
    parse_line,
    parse_wait_us,
    with_tag,
)
from limerudder.store.control_watch import WatchStream
from limerudder.store.control_writes import ConnectionWriter
from limerudder.store.store import Store


class ControlSession(asyncio.Protocol):
    """Receives calls and sends their answers; `open_sessions` contains it while it is connected."""

    def __init__(self, store: Store, open_sessions: set[ControlSession]) -> None:
        self._store = store
        self._open_sessions = open_sessions
        self._writer = ConnectionWriter(store)
        self._partial_line = b""
        self._transport: asyncio.Transport | None = None
        self._watch: WatchStream | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start accepting calls."""
        self._transport = cast(asyncio.Transport, transport)
        self._watch = WatchStream(self._store.member.state, self._transport)
        self._open_sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending answers and changes."""
        self._open_sessions.discard(self)
        self._transport = None
        self._watch = None

    def data_received(self, data: bytes) -> None:
        """Carry out the calls whose lines are complete."""
        self._store.schedule_output()
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            text = f"a line of more than {MAX_LINE_BYTES} bytes"
            self._send(error_answer(ControlErrorKind.INVALID, text))
            self.close()
            return
        for line in lines:
            if line.strip():
                self._line_received(line)

    def resume_writing(self) -> None:
        """Resume a watch that was paused because the caller read too slowly."""
        self.send_changes()

    def send_changes(self) -> None:
        """Send new changes if the caller has a watch."""
        if self._watch:
            self._watch.send_changes()

    def close(self) -> None:
        """Disconnect once all pending output has been sent."""
        if self._transport:
            self._transport.close()

    def _line_received(self, line: bytes) -> None:
        tag = None
        try:
            call = parse_line(line)
            tag = call.get("tag")
            self._start_call(call, tag)
        except CALL_ERRORS as error:  # Invalid input must cause no more than an error answer
            self._send(with_tag(exception_answer(error), tag))

    def _start_call(self, call: JsonObject, tag: Any) -> None:
        handler = CALLS.get(str(call.get("call")))
        if handler is None:
            raise ControlError(ControlErrorKind.INVALID, f"no such call; there are {', '.join(CALLS)}")
        deadline_us = parse_wait_us(call) + self._store.now_us()
        assert self._watch is not None, "calls are received on open connections only"
        respond = partial(self._respond, tag)
        handler(CallContext(self._store, self._writer, self._watch, deadline_us, respond), call)

    def _respond(self, tag: Any, outcome: JsonObject | CallFailure) -> None:
        self._send(with_tag(outcome_answer(outcome), tag))

    def _send(self, answer: JsonObject) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(encode_line(answer))
