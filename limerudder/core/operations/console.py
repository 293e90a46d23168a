"""The operators' console: calls of one line, each on a connection of its own, and their answers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport

MAX_CALL_BYTES = 1024
MAX_SESSIONS = 16  #: at a time; their descriptors are among those kept in reserve
CALL_TIMEOUT_US = 5_000_000  #: for a call to be complete, and for a deferred answer
LINGER_US = 1_000_000  #: for a caller to read its answer and to close first
DEFERRED_TIMEOUT_ANSWER = "error that is not written down yet; it holds here, and is tried on\n"


class ConsoleError(Exception):
    """A call that cannot be carried out; its text is the answer."""


class DeferredAnswer:
    """An answer that is given once something has been done."""

    def __init__(self) -> None:
        self.text: str | None = None
        self._on_resolved: Callable[[str, int], None] | None = None

    def resolve(self, text: str, now_us: int) -> None:
        """Give the answer; only the first one counts."""
        if self.text is None:
            self.text = text
            if self._on_resolved:
                self._on_resolved(text, now_us)

    def notify(self, callback: Callable[[str, int], None]) -> None:
        """Have the answer passed to `callback` once it is given."""
        self._on_resolved = callback


#: Carries out a call, given its argument ("" if it has none) and the time; may raise ConsoleError.
CallHandler = Callable[[str, int], str | DeferredAnswer]


class RegisteredCall(NamedTuple):
    """A call of the console."""

    handler: CallHandler
    takes_argument: bool


class Console:
    """The calls by name, and the sessions of their callers."""

    def __init__(self, timer_wheel: TimerWheel, counters: Counters) -> None:
        self.timer_wheel = timer_wheel
        self.sessions: dict[ConsoleSession, None] = {}  # in the order they came
        self._counters = counters
        self._calls: dict[str, RegisteredCall] = {}

    def register(self, name: str, handler: CallHandler, takes_argument: bool = False) -> None:
        """Have calls of this name carried out by `handler`."""
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

        Connections that never send anything can so take neither the descriptors nor other callers' place.
        """
        while len(self.sessions) >= MAX_SESSIONS:
            next(iter(self.sessions)).close()
        self.sessions[session] = None

    def remove(self, session: ConsoleSession) -> None:
        """The session is closed."""
        self.sessions.pop(session, None)


class ConsoleSession:
    """The state machine of one caller's connection.

    The call ends with LF or CRLF, or with the end of the caller's sending.
    """

    def __init__(self, console: Console) -> None:
        self.transport: Transport | None = None
        self._console = console
        self._received = b""
        self._answered = False  # no further call is read
        self._deferred: DeferredAnswer | None = None  # the answer that is still to come
        self._timer = ResettableTimer(console.timer_wheel)

    def connection_made(self, transport: Transport, now_us: int) -> None:
        """An operator has connected."""
        self.transport = transport
        self._console.admit(self)
        self._timer.set(now_us + CALL_TIMEOUT_US, lambda _: self.close())

    def data_received(self, data: bytes, now_us: int) -> None:
        """Part of the call; what follows its line is ignored."""
        if self._answered:
            return
        self._received += data[: MAX_CALL_BYTES + 1]
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_CALL_BYTES:
            self._answer("error the line is too long\n", now_us)
        elif end:
            self._answer(self._console.answer(line, now_us), now_us)

    def eof_received(self, now_us: int) -> None:
        """The caller has ended its sending: what it has sent is its call."""
        if self._deferred:
            return  # `echo CALL | nc` ends its sending at once, and still waits for the answer
        if self._received and not self._answered:
            self._answer(self._console.answer(self._received, now_us), now_us)
        else:
            self.close()

    def connection_lost(self, now_us: int) -> None:
        """The connection broke."""
        self.close()

    def set_writing_paused(self, paused: bool) -> None:
        """Answers are short: the transport buffers them."""

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
            answer.notify(self._send)
            self._timer.set(now_us + CALL_TIMEOUT_US, partial(answer.resolve, DEFERRED_TIMEOUT_ANSWER))

    def _send(self, text: str, now_us: int) -> None:
        self._deferred = None
        if self.transport:
            self.transport.write(text.encode())
            self.transport.half_close()
        self._timer.set(now_us + LINGER_US, lambda _: self.close())
