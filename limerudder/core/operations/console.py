"""The console: operators' calls, each one line on a connection of its own, and their answers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from limerudder.core.operations.counters import Counters
from limerudder.core.timer_wheel import ResettableTimer, TimerWheel
from limerudder.core.transport import Transport

MOST = 1024  #: bytes of a call
CALLERS = 16  #: at a time; their descriptors are among those kept spare
PATIENCE = 5_000_000  #: for a call to come whole
LINGER = 1_000_000  #: for a caller to read its answer and to close first


class DeferredAnswer:
    """An answer that is given once something has been done."""

    def __init__(self) -> None:
        self.text: str | None = None
        self.hear: Callable[[str, int], None] | None = None

    def settle(self, text: str, now: int) -> None:
        """Give the answer; only the first counts."""
        if self.text is None:
            self.text = text
            if self.hear:
                self.hear(text, now)


Call = Callable[
    [str, int], str | DeferredAnswer
]  #: what follows the call's name, and the time; gives the answer


class ConsoleError(Exception):
    """A call that cannot be done; its text is the answer."""


class Console:
    """The calls by their names, and who is calling."""

    def __init__(self, wheel: TimerWheel, counters: Counters) -> None:
        self.timer_wheel, self.counters = wheel, counters
        self.calls: dict[str, tuple[Call, bool]] = {}
        self.callers: dict[ConsoleSession, None] = {}  # in the order they came

    def offer(self, name: str, call: Call, takes: bool = False) -> None:
        """Have `name` answered by `call`; `takes` where a word follows the name."""
        self.calls[name] = call, takes

    def answer(self, line: bytes, now: int) -> str | DeferredAnswer:
        """What is answered to a line."""
        self.counters.count("calls")
        name, _, rest = line.decode("ascii", "replace").strip().partition(" ")
        rest = rest.strip()
        call, takes = self.calls.get(name, (None, False))
        try:
            if call is None:
                raise ConsoleError(
                    f"no such call; there are {' '.join(self.calls)}" if name else "an empty line"
                )
            if takes != bool(rest) or " " in rest:
                raise ConsoleError(f"{name} takes {'one word' if takes else 'nothing'} after it")
            return call(rest, now)
        except ConsoleError as exc:
            self.counters.count("calls_wrong")
            return f"error {exc}\n"

    def enter(self, session: ConsoleSession) -> None:
        """A caller has come."""
        # guards callers, and the descriptors, against those that connect and say nothing
        while len(self.callers) >= CALLERS:
            next(iter(self.callers)).close()
        self.callers[session] = None


class ConsoleSession:
    """One caller's connection: a line in any pieces, closed by LF or CRLF or by the end of its sending."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: Transport | None = None
        self.text = b""
        self.answered = False
        self.waiting: DeferredAnswer | None = None  # the answer, where it comes later
        self.timer = ResettableTimer(console.timer_wheel)

    def connection_made(self, link: Transport, now: int) -> None:
        """An operator has come."""
        self.transport = link
        self.console.enter(self)
        self.timer.set(now + PATIENCE, lambda _: self.close())

    def data_received(self, data: bytes, now: int) -> None:
        """Bytes of the call; what follows its line is passed over."""
        if self.answered:
            return
        self.text += data[: MOST + 1]
        line, end, _ = self.text.partition(b"\n")
        if len(line) > MOST:
            self._say("error the line is too long\n", now)
        elif end:
            self._say(self.console.answer(line, now), now)

    def eof_received(self, now: int) -> None:
        """The caller has ended its sending: what it said is its call."""
        if self.waiting:
            return  # it has ended its sending, as `echo … | nc` does, and is still owed the answer
        if self.answered:
            self.close()
        elif self.text:
            self._say(self.console.answer(self.text, now), now)
        else:
            self.close()

    def connection_lost(self, now: int) -> None:
        """The connection is gone."""
        self.close()

    def set_writing_paused(self, on: bool) -> None:
        """An answer is short."""

    def _say(self, answer: str | DeferredAnswer, now: int) -> None:
        self.answered, self.text = True, b""
        if isinstance(answer, DeferredAnswer) and answer.text is None:
            answer.hear, self.waiting = self._say, answer
            late = "error that is not written down yet; it holds here, and is tried on\n"
            self.timer.set(now + PATIENCE, partial(answer.settle, late))
            return
        self.waiting = None
        answer = answer if isinstance(answer, str) else answer.text or ""
        if self.transport:
            self.transport.write(answer.encode())
            self.transport.half_close()
        self.timer.set(now + LINGER, lambda _: self.close())

    def close(self) -> None:
        """End the connection now."""
        self.answered = True
        self.timer.cancel()
        self.console.callers.pop(self, None)
        if self.transport:
            self.transport.close()
            self.transport = None
