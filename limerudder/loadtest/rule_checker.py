"""Checks the rules that a node must satisfy, based on events outside the node; independent of its code.

Stand-in servers, discovery and clients report events, each with its time on a common clock. The checker
applies the rules to the events and returns each exchange that violates one. Events must be reported in order
of time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

MICROSECONDS_PER_SECOND = 1_000_000
FINAL_ANSWERS = frozenset({"UP", "BUSY", "FAIL", "ERR"})  #: First words of final answers
MAX_EXCHANGE_LINES = 12  #: Maximum number of lines in a violation; the last ones are shown
NO_DEADLINE_US = 1 << 62


class Rule(StrEnum):
    """The rules that are checked."""

    ONE_ANSWER = "one answer"
    IN_TIME = "in time"
    ONE_ATTEMPT = "one attempt"
    LISTED_SERVERS = "listed servers"
    DRAINS = "drains"
    COLD_SERVERS = "cold servers"
    LOST_CONNECTIONS = "lost connections"
    LINE_DELIVERY = "line delivery"


class Direction(Enum):
    """The direction of a line through the node."""

    TO_SERVER = "to the server"
    TO_CLIENT = "to the client"


class RuleLimits(NamedTuple):
    """Limits of the rules; times are in microseconds."""

    answer_grace_us: int = 20_000  #: Time allowed for an answer after the client's deadline
    drain_grace_us: int = 500_000  #: Time allowed for new attempts after the notice that a server drains
    warm_up_us: int = 24 * MICROSECONDS_PER_SECOND
    initial_capacity: float = 0.13  #: Share of the capacity after a start; grows linearly to 1 during warm-up
    overload_factor: float = 3.0  #: Allowed multiple of the current capacity within any window
    overload_window_us: int = 2 * MICROSECONDS_PER_SECOND  #: Window in which attempts are counted
    chance_allowance: int = 2  #: Attempts allowed above the overload limit, for random variation
    line_grace_us: int = 100_000  #: Time allowed for a line to pass through the node


class RuleViolation(NamedTuple):
    """A violated rule, and the exchange that shows it."""

    rule: Rule
    at_us: int
    text: str
    exchange: tuple[str, ...]

    def __str__(self) -> str:
        lines = "".join(f"\n    {line}" for line in self.exchange)
        return f"{self.rule} at {self.at_us / MICROSECONDS_PER_SECOND:.6f} s: {self.text}{lines}"


class _LineInTransit(NamedTuple):
    """A line that was sent to the node and is not delivered yet."""

    received_us: int
    direction: Direction
    text: str


@dataclass(slots=True)
class _TrackedRequest:
    """A request as observed from outside the node."""

    deadline_us: int = NO_DEADLINE_US
    exchange: list[str] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    attempt_server: str = ""  #: Server of the current attempt; empty if there is none
    established: bool = False
    migrated: bool = False
    client_left: bool = False
    server_ended: bool = False
    lines_in_transit: deque[_LineInTransit] = field(default_factory=deque)

    @property
    def ended_properly(self) -> bool:
        """Whether the client or server ended the connection, or the node migrated the client."""
        return self.migrated or self.client_left or self.server_ended


@dataclass(slots=True)
class _TrackedServer:
    """A server as announced to the node."""

    capacity_per_second: float  #: New connections per second after warm-up
    started_us: int
    unavailable_since_us: int | None = None  #: Time of the first notification that it drains or was removed
    recent_attempts_us: deque[int] = field(default_factory=deque)  #: Attempts in the overload window


class RuleChecker:
    """Checks the exchanges of one node, or of a tier in which request ids are unique."""

    def __init__(self, limits: RuleLimits | None = None) -> None:
        self.events_checked = 0
        self._limits = limits or RuleLimits()
        self._requests: dict[str, _TrackedRequest] = {}
        self._servers: dict[str, _TrackedServer] = {}
        self._violations: list[RuleViolation] = []
        self._now_us = 0

    # events at clients

    def request_sent(self, at_us: int, request_id: str, wait_us: int) -> None:
        """A client has sent its first line; it waits up to `wait_us` for its answer."""
        request = self._record(at_us, request_id, f"client sends request {request_id}, deadline {wait_us} us")
        request.deadline_us = at_us + wait_us

    def line_answered(self, at_us: int, request_id: str, line: str) -> None:
        """A client has received a line, which may be its final answer or MOVE."""
        request = self._record(at_us, request_id, f"client receives {line}")
        word = line.partition(" ")[0]
        if word == "MOVE":
            request.migrated = True
            if not request.established:
                self._add_violation(
                    Rule.ONE_ANSWER, at_us, f"{request_id} was migrated before it was established", request
                )
        elif word in FINAL_ANSWERS:
            self._check_final_answer(at_us, request_id, word, request)

    def _check_final_answer(self, at_us: int, request_id: str, word: str, request: _TrackedRequest) -> None:
        request.answers.append(word)
        if len(request.answers) > 1:
            text = f"{request_id} received {len(request.answers)} final answers"
            self._add_violation(Rule.ONE_ANSWER, at_us, text, request)
        if at_us > request.deadline_us + self._limits.answer_grace_us:
            text = f"{request_id} was answered {at_us - request.deadline_us} us after its deadline"
            self._add_violation(Rule.IN_TIME, at_us, text, request)
        if word == "UP":
            request.established = True

    def client_left(self, at_us: int, request_id: str) -> None:
        """The client has closed its connection."""
        self._record(at_us, request_id, "client closes its connection").client_left = True

    def client_closed_by_node(self, at_us: int, request_id: str) -> None:
        """The node has closed the client's connection."""
        request = self._record(at_us, request_id, "node closes the client's connection")
        if not request.answers and not request.client_left:
            text = f"{request_id} was closed without an answer"
            self._add_violation(Rule.ONE_ANSWER, at_us, text, request)
        elif request.established and not request.ended_properly:
            text = f"{request_id} was established, and closed without MOVE"
            self._add_violation(Rule.LOST_CONNECTIONS, at_us, text, request)

    # events at servers

    def attempt_received(self, at_us: int, request_id: str, server_name: str) -> None:
        """A server has received the request's first line."""
        request = self._record(at_us, request_id, f"{server_name} receives the first line of {request_id}")
        self._check_single_attempt(at_us, request_id, server_name, request)
        server = self._servers.get(server_name)
        if server is None:
            text = f"{request_id} was sent to {server_name}, which was never listed"
            self._add_violation(Rule.LISTED_SERVERS, at_us, text, request)
            return
        unavailable_since_us = server.unavailable_since_us
        if unavailable_since_us is not None and at_us > unavailable_since_us + self._limits.drain_grace_us:
            text = (
                f"{request_id} was sent to {server_name},"
                f" announced as unavailable {at_us - unavailable_since_us} us before"
            )
            self._add_violation(Rule.DRAINS, at_us, text, request)
        self._check_cold_server(at_us, server_name, server, request)

    def _check_single_attempt(
        self, at_us: int, request_id: str, server_name: str, request: _TrackedRequest
    ) -> None:
        if request.attempt_server:
            text = f"{request_id} was sent to {server_name} while it was at {request.attempt_server}"
            self._add_violation(Rule.ONE_ATTEMPT, at_us, text, request)
        request.attempt_server = server_name
        request.server_ended = False
        if request.answers and not request.established:
            text = f"{request_id} was sent to {server_name} after its final answer"
            self._add_violation(Rule.ONE_ATTEMPT, at_us, text, request)

    def _check_cold_server(
        self, at_us: int, server_name: str, server: _TrackedServer, request: _TrackedRequest
    ) -> None:
        """Check the number of attempts within the window against the capacity of a server that warms up."""
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
        overload_limit = limits.overload_factor * share * server.capacity_per_second * window_seconds
        allowed = overload_limit + limits.chance_allowance
        if len(recent) > allowed:
            age_text = f"{age_us / MICROSECONDS_PER_SECOND:.2f} s after its start"
            count_text = f"{len(recent)} attempts in {window_seconds:.2f} s; {allowed:.1f} are allowed"
            text = f"{server_name}, {age_text}, received {count_text}"
            self._add_violation(Rule.COLD_SERVERS, at_us, text, request)

    def attempt_ended(self, at_us: int, request_id: str, server_name: str, by_server: bool) -> None:
        """The server or the node has ended the request's connection to a server."""
        ending_side = server_name if by_server else "node"
        request = self._record(at_us, request_id, f"{ending_side} ends {request_id} at {server_name}")
        if request.attempt_server == server_name:
            request.attempt_server = ""
            request.server_ended = by_server

    # lines through the node

    def line_received(self, at_us: int, request_id: str, direction: Direction, line: str) -> None:
        """A line has been sent to the node."""
        request = self._record(at_us, request_id, f"line {direction.value} enters the node: {line}")
        request.lines_in_transit.append(_LineInTransit(at_us, direction, line))

    def line_delivered(self, at_us: int, request_id: str, direction: Direction, line: str) -> None:
        """The node has delivered a line to the other side."""
        request = self._record(at_us, request_id, f"line {direction.value} leaves the node: {line}")
        undelivered = [
            sent_line for sent_line in request.lines_in_transit if sent_line.direction is direction
        ]
        if not undelivered or undelivered[0].text != line:
            expected = undelivered[0].text if undelivered else "none"
            text = f"{request_id}: {line} arrived {direction.value}, expected {expected}"
            self._add_violation(Rule.LINE_DELIVERY, at_us, text, request)
            return
        delivered = undelivered[0]
        request.lines_in_transit.remove(delivered)
        delay_us = at_us - delivered.received_us
        if delay_us > self._limits.line_grace_us:
            self._add_violation(
                Rule.LINE_DELIVERY, at_us, f"{request_id}: a line was delayed by {delay_us} us", request
            )

    # lists from discovery

    def server_listed(
        self, at_us: int, server_name: str, ready: bool, capacity_per_second: float, started_us: int
    ) -> None:
        """The node has been notified of a server: whether it accepts requests, its capacity and start."""
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
        """End the run; return all violations by time, including unanswered requests and undelivered lines."""
        for request_id, request in self._requests.items():
            self._check_unanswered(at_us, request_id, request)
            self._check_undelivered(at_us, request_id, request)
        return sorted(self._violations, key=lambda violation: violation.at_us)

    def _check_unanswered(self, at_us: int, request_id: str, request: _TrackedRequest) -> None:
        due_us = request.deadline_us + self._limits.answer_grace_us
        has_deadline = request.deadline_us < NO_DEADLINE_US
        if has_deadline and due_us < at_us and not request.answers and not request.client_left:
            self._add_violation(Rule.ONE_ANSWER, due_us, f"{request_id} never received an answer", request)

    def _check_undelivered(self, at_us: int, request_id: str, request: _TrackedRequest) -> None:
        if request.ended_properly:
            return
        for sent_line in request.lines_in_transit:
            if at_us > sent_line.received_us + self._limits.line_grace_us:
                text = f"{request_id}: {sent_line.text} was never delivered {sent_line.direction.value}"
                self._add_violation(Rule.LINE_DELIVERY, sent_line.received_us, text, request)

    def _record(self, at_us: int, request_id: str, text: str) -> _TrackedRequest:
        assert at_us >= self._now_us, "events must be reported in order of time"
        self._now_us = at_us
        self.events_checked += 1
        request = self._requests.setdefault(request_id, _TrackedRequest())
        request.exchange.append(f"{at_us / MICROSECONDS_PER_SECOND:.6f}  {text}")
        return request

    def _add_violation(self, rule: Rule, at_us: int, text: str, request: _TrackedRequest) -> None:
        exchange = tuple(request.exchange[-MAX_EXCHANGE_LINES:])
        self._violations.append(RuleViolation(rule, at_us, text, exchange))
