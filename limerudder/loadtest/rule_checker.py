"""The rules that a node keeps, checked on what was seen from outside; knows nothing of a node's code.

Stand-in servers, discovery and clients report what they saw, each event with its time on one clock. The
checker holds the events to the rules and returns the exchange that breaks one. Events must be reported in the
order of their times.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

MICROSECONDS_PER_SECOND = 1_000_000
FINAL_ANSWERS = frozenset({"UP", "BUSY", "FAIL", "ERR"})  #: the first words of final answers
MAX_EXCHANGE_LINES = 12  #: the last lines of an exchange that a violation shows
NO_DEADLINE_US = 1 << 62


class Rule(StrEnum):
    """The rules that are checked."""

    ONE_ANSWER = "one answer"
    IN_TIME = "in time"
    ONE_ATTEMPT = "one attempt"
    LISTED_SERVERS = "listed hosts"
    DRAINS = "drains"
    COLD_SERVERS = "cold hosts"
    LOST_CONNECTIONS = "lost connections"
    HELD_LINES = "held lines"


class Direction(Enum):
    """Which way a line passes through the node."""

    TO_SERVER = "to the host"
    TO_CLIENT = "to the client"


class RuleLimits(NamedTuple):
    """What the rules allow; times in microseconds."""

    answer_grace_us: int = 20_000  #: after a client's own deadline
    drain_grace_us: int = 500_000  #: from the node's being notified to the last new attempt
    warm_up_us: int = 24 * MICROSECONDS_PER_SECOND
    initial_capacity: float = 0.13  #: of a server that has just started, growing evenly to 1
    overload_factor: float = 3.0  #: times the present capacity, within any window of ...
    overload_window_us: int = 2 * MICROSECONDS_PER_SECOND  #: ... this length
    chance_allowance: int = 2  #: attempts over that, for chance
    line_grace_us: int = 100_000  #: for a line to pass through the node


class RuleViolation(NamedTuple):
    """A broken rule, and the exchange that shows it."""

    rule: Rule
    at_us: int
    text: str
    exchange: tuple[str, ...]

    def __str__(self) -> str:
        lines = "".join(f"\n    {line}" for line in self.exchange)
        return f"{self.rule} at {self.at_us / MICROSECONDS_PER_SECOND:.6f} s: {self.text}{lines}"


class _PassingLine(NamedTuple):
    """A line that has gone into the node and not come out."""

    received_us: int
    direction: Direction
    text: str


@dataclass(slots=True)
class _TrackedRequest:
    """A request as seen from outside."""

    deadline_us: int = NO_DEADLINE_US
    exchange: list[str] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    attempt_server: str = ""  #: the server that has its attempt
    established: bool = False
    migrated: bool = False
    client_left: bool = False
    server_ended: bool = False
    passing_lines: deque[_PassingLine] = field(default_factory=deque)

    @property
    def ended_properly(self) -> bool:
        """Whether one side ended the connection, or the node migrated its client."""
        return self.migrated or self.client_left or self.server_ended


@dataclass(slots=True)
class _TrackedServer:
    """A server as the node has been notified of it."""

    capacity_per_second: float  #: new connections, once it is warm
    started_us: int
    unavailable_since_us: int | None = None  #: when the node was first notified that it drains or is gone
    recent_attempts_us: deque[int] = field(default_factory=deque)  #: within the overload window


class RuleChecker:
    """Checks one node's exchanges, or those of a tier whose requests have ids of their own."""

    def __init__(self, limits: RuleLimits | None = None) -> None:
        self.events_checked = 0
        self._limits = limits or RuleLimits()
        self._requests: dict[str, _TrackedRequest] = {}
        self._servers: dict[str, _TrackedServer] = {}
        self._violations: list[RuleViolation] = []
        self._now_us = 0

    # what clients see

    def request_sent(self, at_us: int, request_id: str, wait_us: int) -> None:
        """A client has sent its first line; it waits this long for its answer."""
        request = self._record(at_us, request_id, f"client asks {request_id}, waits {wait_us} us")
        request.deadline_us = at_us + wait_us

    def line_answered(self, at_us: int, request_id: str, line: str) -> None:
        """A client has received a line that may be its final answer, or MOVE."""
        request = self._record(at_us, request_id, f"client gets {line}")
        word = line.partition(" ")[0]
        if word == "MOVE":
            request.migrated = True
            if not request.established:
                self._violated(Rule.ONE_ANSWER, at_us, f"{request_id} was moved before it was up", request)
        elif word in FINAL_ANSWERS:
            self._check_final_answer(at_us, request_id, word, request)

    def _check_final_answer(self, at_us: int, request_id: str, word: str, request: _TrackedRequest) -> None:
        request.answers.append(word)
        if len(request.answers) > 1:
            text = f"{request_id} got {len(request.answers)} final answers"
            self._violated(Rule.ONE_ANSWER, at_us, text, request)
        if at_us > request.deadline_us + self._limits.answer_grace_us:
            text = f"{request_id} was answered {at_us - request.deadline_us} us after its deadline"
            self._violated(Rule.IN_TIME, at_us, text, request)
        if word == "UP":
            request.established = True

    def client_left(self, at_us: int, request_id: str) -> None:
        """The client has closed its connection by itself."""
        self._record(at_us, request_id, "client leaves").client_left = True

    def client_closed_by_node(self, at_us: int, request_id: str) -> None:
        """The node has ended the client's connection."""
        request = self._record(at_us, request_id, "node closes the client's connection")
        if not request.answers and not request.client_left:
            text = f"{request_id} was closed without an answer"
            self._violated(Rule.ONE_ANSWER, at_us, text, request)
        elif request.established and not request.ended_properly:
            text = f"{request_id} stood, and was cut off without MOVE"
            self._violated(Rule.LOST_CONNECTIONS, at_us, text, request)

    # what servers see

    def attempt_received(self, at_us: int, request_id: str, server_name: str) -> None:
        """A server has received the request's first line."""
        request = self._record(at_us, request_id, f"{server_name} gets the first line of {request_id}")
        self._check_single_attempt(at_us, request_id, server_name, request)
        server = self._servers.get(server_name)
        if server is None:
            text = f"{request_id} went to {server_name}, which was never listed"
            self._violated(Rule.LISTED_SERVERS, at_us, text, request)
            return
        unavailable_since_us = server.unavailable_since_us
        if unavailable_since_us is not None and at_us > unavailable_since_us + self._limits.drain_grace_us:
            text = (
                f"{request_id} went to {server_name}, told to be out {at_us - unavailable_since_us} us before"
            )
            self._violated(Rule.DRAINS, at_us, text, request)
        self._check_cold_server(at_us, server_name, server, request)

    def _check_single_attempt(
        self, at_us: int, request_id: str, server_name: str, request: _TrackedRequest
    ) -> None:
        if request.attempt_server:
            text = f"{request_id} went to {server_name} while it was at {request.attempt_server}"
            self._violated(Rule.ONE_ATTEMPT, at_us, text, request)
        request.attempt_server = server_name
        request.server_ended = False
        if request.answers and not request.established:
            text = f"{request_id} went to {server_name} after its final answer"
            self._violated(Rule.ONE_ATTEMPT, at_us, text, request)

    def _check_cold_server(
        self, at_us: int, server_name: str, server: _TrackedServer, request: _TrackedRequest
    ) -> None:
        """Check the number of attempts within the window against what a warming server can bear."""
        limits = self._limits
        recent = server.recent_attempts_us
        recent.append(at_us)
        while recent[0] <= at_us - limits.overload_window_us:
            recent.popleft()
        age_us = at_us - server.started_us
        if age_us >= limits.warm_up_us:
            return
        share = limits.initial_capacity + (1 - limits.initial_capacity) * age_us / limits.warm_up_us
        window_seconds = min(limits.overload_window_us, max(age_us, 1)) / MICROSECONDS_PER_SECOND
        bearable = limits.overload_factor * share * server.capacity_per_second * window_seconds
        allowed = bearable + limits.chance_allowance
        if len(recent) > allowed:
            age_text = f"{age_us / MICROSECONDS_PER_SECOND:.2f} s old"
            count_text = f"{len(recent)} in {window_seconds:.2f} s; {allowed:.1f} are allowed"
            text = f"{server_name}, {age_text}, got {count_text}"
            self._violated(Rule.COLD_SERVERS, at_us, text, request)

    def attempt_ended(self, at_us: int, request_id: str, server_name: str, by_server: bool) -> None:
        """The request's connection at a server has ended, by the server or by the node."""
        ending_side = server_name if by_server else "node"
        request = self._record(at_us, request_id, f"{ending_side} ends {request_id} at {server_name}")
        if request.attempt_server == server_name:
            request.attempt_server = ""
            request.server_ended = by_server

    # lines through the node

    def line_received(self, at_us: int, request_id: str, direction: Direction, line: str) -> None:
        """A line has been given to the node."""
        request = self._record(at_us, request_id, f"line {direction.value} goes in: {line}")
        request.passing_lines.append(_PassingLine(at_us, direction, line))

    def line_delivered(self, at_us: int, request_id: str, direction: Direction, line: str) -> None:
        """A line has come out of the node at the other side."""
        request = self._record(at_us, request_id, f"line {direction.value} comes out: {line}")
        waiting = [passing for passing in request.passing_lines if passing.direction is direction]
        if not waiting or waiting[0].text != line:
            expected = waiting[0].text if waiting else "none"
            text = f"{request_id}: {line} came {direction.value}, expected {expected}"
            self._violated(Rule.HELD_LINES, at_us, text, request)
            return
        passed = waiting[0]
        request.passing_lines.remove(passed)
        held_us = at_us - passed.received_us
        if held_us > self._limits.line_grace_us:
            self._violated(Rule.HELD_LINES, at_us, f"{request_id}: a line was held for {held_us} us", request)

    # what discovery has announced

    def server_listed(
        self, at_us: int, server_name: str, ready: bool, capacity_per_second: float, started_us: int
    ) -> None:
        """The node has been notified of a server: whether it may get new work, its capacity, its start."""
        self._now_us = max(self._now_us, at_us)
        server = self._servers.get(server_name)
        if server is None or started_us > server.started_us:
            server = _TrackedServer(capacity_per_second, started_us)
            self._servers[server_name] = server
        if ready:
            server.unavailable_since_us = None
        elif server.unavailable_since_us is None:
            server.unavailable_since_us = at_us

    # the end of a run

    def finish(self, at_us: int) -> list[RuleViolation]:
        """The run is over: return all violations in order, with those of what was never answered."""
        for request_id, request in self._requests.items():
            self._check_unanswered(at_us, request_id, request)
            self._check_undelivered(at_us, request_id, request)
        return sorted(self._violations, key=lambda violation: violation.at_us)

    def _check_unanswered(self, at_us: int, request_id: str, request: _TrackedRequest) -> None:
        due_us = request.deadline_us + self._limits.answer_grace_us
        has_deadline = request.deadline_us < NO_DEADLINE_US
        if has_deadline and due_us < at_us and not request.answers and not request.client_left:
            self._violated(Rule.ONE_ANSWER, due_us, f"{request_id} never got an answer", request)

    def _check_undelivered(self, at_us: int, request_id: str, request: _TrackedRequest) -> None:
        if request.ended_properly:
            return
        for passing in request.passing_lines:
            if at_us > passing.received_us + self._limits.line_grace_us:
                text = f"{request_id}: {passing.text} never came out {passing.direction.value}"
                self._violated(Rule.HELD_LINES, passing.received_us, text, request)

    def _record(self, at_us: int, request_id: str, text: str) -> _TrackedRequest:
        assert at_us >= self._now_us, "events are reported in the order of their times"
        self._now_us = at_us
        self.events_checked += 1
        request = self._requests.setdefault(request_id, _TrackedRequest())
        request.exchange.append(f"{at_us / MICROSECONDS_PER_SECOND:.6f}  {text}")
        return request

    def _violated(self, rule: Rule, at_us: int, text: str, request: _TrackedRequest) -> None:
        exchange = tuple(request.exchange[-MAX_EXCHANGE_LINES:])
        self._violations.append(RuleViolation(rule, at_us, text, exchange))
