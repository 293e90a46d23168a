"""The operators' console: single-line calls, one per connection, and their answers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport

MAX_CALL_BYTES = 1024
MAX_SESSIONS = 16  #: Limit of concurrent sessions; they use reserved descriptors.
CALL_TIMEOUT_US = 5_000_000  #: Time limit for receiving a call and for a deferred answer.
LINGER_US = 1_000_000  #: Time for the caller to read the answer and close first.
DEFERRED_TIMEOUT_ANSWER = "error that is not written down yet; it holds here, and is tried on\n"


class ConsoleError(Exception):
    """A call cannot be carried out; the exception text is the answer."""


class DeferredAnswer:
    """An answer that is sent once an operation has completed."""

    def __init__(self) -> None:
        self.text: str | None = None
        self._on_resolved: Callable[[str, int], None] | None = None

    def resolve(self, text: str, now_us: int) -> None:
        """Set the answer; calls after the first have no effect."""
        if self.text is None:
            self.text = text
            if self._on_resolved:
                self._on_resolved(text, now_us)

    def set_callback(self, callback: Callable[[str, int], None]) -> None:
        """Set the function to call with the answer once it is resolved."""
        self._on_resolved = callback


#: Carries out a call, given its argument (empty if none) and the time; may raise ConsoleError.
CallHandler = Callable[[str, int], str | DeferredAnswer]


class RegisteredCall(NamedTuple):
    """A console call and its handler."""

    handler: CallHandler
    takes_argument: bool


class Console:
    """Dispatches calls by name and tracks the sessions of callers."""

    def __init__(self, timer_wheel: TimerWheel, counters: Counters) -> None:
        self.timer_wheel = timer_wheel
        self.sessions: dict[ConsoleSession, None] = {}  # in order of connection
        self._counters = counters
        self._calls: dict[str, RegisteredCall] = {}

    def register(self, name: str, handler: CallHandler, takes_argument: bool = False) -> None:
        """Register the handler for calls of this name."""
        self._calls[name] = RegisteredCall(handler, takes_argument)

    def answer(self, line: bytes, now_us: int) -> str | DeferredAnswer:
        """Carry out the call in a line and return its answer."""
        self._counters.increment(CounterName.CONSOLE_CALLS)
        name, _, argument = line.decode("ascii", "replace").strip().partition(" ")
        try:
            return self._carry_out(name, argument.strip(), now_us)
        except ConsoleError as error:
            self._counters.increment(CounterName.CONSOLE_CALLS_FAILED)
            return f"error {error}\n"

    def _carry_out(self, name: str, argument: str, now_us: int) -> str | DeferredAnswer:
        call = self._calls.get(name)
        if call is None:
            known = " ".join(self._calls)
            raise ConsoleError(f"no such call; there are {known}" if name else "an empty line")
        if call.takes_argument != bool(argument) or " " in argument:
            expected = "one word" if call.takes_argument else "nothing"
            raise ConsoleError(f"{name} takes {expected} after it")
        return call.handler(argument, now_us)

    def admit(self, session: ConsoleSession) -> None:
        """Track a new session; the oldest is closed if there are too many.

        Connections that send nothing can thus neither exhaust descriptors nor block other callers.
        """
        while len(self.sessions) >= MAX_SESSIONS:
            next(iter(self.sessions)).close()
        self.sessions[session] = None

    def remove(self, session: ConsoleSession) -> None:
        """Remove a closed session."""
        self.sessions.pop(session, None)


class ConsoleSession:
    """The state machine of one caller's connection.

    The call ends with LF or CRLF, or when the caller closes its sending side.
    """

    def __init__(self, console: Console) -> None:
        self.transport: Transport | None = None
        self._console = console
        self._received = b""
        self._answered = False  # further input is ignored
        self._deferred: DeferredAnswer | None = None  # pending answer, if any
        self._timer = ResettableTimer(console.timer_wheel)

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """Admit the session and start its timeout."""
        self.transport = transport
        self._console.admit(self)
        self._timer.set(now_us + CALL_TIMEOUT_US, lambda _: self.close())

    def data_received(self, data: bytes, now_us: int) -> None:
        """Append to the call; input after its line is ignored."""
        if self._answered:
            return
        self._received += data[: MAX_CALL_BYTES + 1]
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_CALL_BYTES:
            self._answer("error the line is too long\n", now_us)
        elif end:
            self._answer(self._console.answer(line, now_us), now_us)

    def eof_received(self, now_us: int) -> None:
        """Treat the received data as the call: the caller has closed its sending side."""
        if self._deferred:
            return  # `echo CALL | nc` closes its sending side at once, but still waits for the answer
        if self._received and not self._answered:
            self._answer(self._console.answer(self._received, now_us), now_us)
        else:
            self.close()

    def connection_lost(self, now_us: int) -> None:
        """Close the session."""
        self.close()

    def set_writing_paused(self, paused: bool) -> None:
        """Ignored: answers are short, and the transport buffers them."""

    def close(self) -> None:
        """Close the connection at once."""
        self._answered = True
        self._timer.cancel()
        self._console.remove(self)
        if self.transport:
            self.transport.close()
            self.transport = None

    def _answer(self, answer: str | DeferredAnswer, now_us: int) -> None:
        self._answered = True
        self._received = b""
        if isinstance(answer, str):
            self._send(answer, now_us)
        elif answer.text is not None:
            self._send(answer.text, now_us)
        else:
            self._deferred = answer
            answer.set_callback(self._send)
            self._timer.set(now_us + CALL_TIMEOUT_US, partial(answer.resolve, DEFERRED_TIMEOUT_ANSWER))

    def _send(self, text: str, now_us: int) -> None:
        self._deferred = None
        if self.transport:
            self.transport.write(text.encode())
            self.transport.half_close()
        self._timer.set(now_us + LINGER_US, lambda _: self.close())
