"""A caller's connection to the control socket."""

from __future__ import annotations

import asyncio
from collections import deque
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

MAX_SESSIONS = 64  #: Limit of concurrent callers; they use descriptors of the node
MAX_CALLS_PER_TURN = 32  #: Calls started before other connections of the process get their turn
#: Limit of the incomplete lines of all callers together, beside those of up to SMALL_LINE_BYTES
MAX_PARTIAL_BYTES = 8 << 20
SMALL_LINE_BYTES = 64 << 10


class ControlSession(asyncio.Protocol):
    """Receives calls and sends their answers; `open_sessions` contains it while it is connected.

    Reading pauses while calls wait for their turn, or while the caller does not read its answers.
    """

    def __init__(self, store: Store, open_sessions: set[ControlSession]) -> None:
        self._store = store
        self._open_sessions = open_sessions
        self._writer = ConnectionWriter(store)
        self._partial_line = b""
        self._lines: deque[bytes] = deque()  # calls that wait for their turn
        self._turn: asyncio.Handle | None = None
        self._is_writing_paused = False
        self._transport: asyncio.Transport | None = None
        self._watch: WatchStream | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start accepting calls."""
        self._transport = cast(asyncio.Transport, transport)
        self._watch = WatchStream(self._store.member.state, self._transport)
        if len(self._open_sessions) >= MAX_SESSIONS:
            self._send(error_answer(ControlErrorKind.BUSY, f"more than {MAX_SESSIONS} callers"))
            self.close()
            return
        self._open_sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending answers and changes."""
        self._open_sessions.discard(self)
        self._lines.clear()
        if self._turn:
            self._turn.cancel()
        self._transport = None
        self._watch = None

    def data_received(self, data: bytes) -> None:
        """Carry out the calls whose lines are complete."""
        if self not in self._open_sessions:
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        limit_error = self._limit_error()
        if limit_error:
            self._send(limit_error)
            self.close()
            return
        self._lines.extend(line for line in lines if line.strip())
        self._run_calls()

    def _limit_error(self) -> JsonObject | None:
        """Return the answer to an incomplete line that is too long, or None."""
        if len(self._partial_line) > MAX_LINE_BYTES:
            text = f"a line of more than {MAX_LINE_BYTES} bytes"
            return error_answer(ControlErrorKind.INVALID, text)
        if len(self._partial_line) > SMALL_LINE_BYTES:
            partial_bytes = sum(len(session._partial_line) for session in self._open_sessions)
            if partial_bytes > MAX_PARTIAL_BYTES:
                return error_answer(ControlErrorKind.BUSY, "too many long lines are incomplete")
        return None

    def _run_calls(self) -> None:
        """Start calls that wait, and leave the others to further turns of the event loop."""
        if self._turn or self._is_writing_paused:
            return
        self._store.schedule_output()
        for _ in range(min(len(self._lines), MAX_CALLS_PER_TURN)):
            self._line_received(self._lines.popleft())
        if self._lines and self._transport:
            self._turn = asyncio.get_running_loop().call_soon(self._next_turn)
        self._update_reading()

    def _next_turn(self) -> None:
        self._turn = None
        self._run_calls()

    def _update_reading(self) -> None:
        transport = self._transport
        should_read = not self._lines and not self._is_writing_paused
        if transport and not transport.is_closing() and should_read != transport.is_reading():
            (transport.resume_reading if should_read else transport.pause_reading)()

    def pause_writing(self) -> None:
        """Stop carrying out calls, since the caller does not read the answers."""
        self._is_writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume the calls, and a watch that was paused because the caller read too slowly."""
        self._is_writing_paused = False
        self.send_changes()
        self._run_calls()

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
