"""The rules that a node keeps, checked on what was seen from outside. Knows nothing of a node's code.

Stand-in hosts, discovery and clients tell what they saw, each with the time on one clock; the checker
holds it to the rules and gives the exchange that breaks one. Events must be told in the order of their times.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SECOND = 1_000_000
FINAL = ("UP", "BUSY", "FAIL", "ERR")  #: the first words of final answers


class RuleLimits(NamedTuple):
    """What the rules allow. Times in microseconds."""

    answer_grace: int = 20_000  #: after a client's own deadline
    drain_grace_us: int = 500_000  #: from the node's being told to the last new attempt
    warm_up_us: int = 24 * SECOND
    initial_capacity: float = 0.13  #: of a host that has just started, growing evenly to 1
    overload_factor: float = 3.0  #: times the present capacity, within any window of ...
    overload_window_us: int = 2 * SECOND  #: ... this length
    slack: int = 2  #: attempts over that, for chance
    line_grace: int = 100_000  #: for a line to pass through


class RuleViolation(NamedTuple):
    """A broken rule, and the exchange that shows it."""

    rule: str
    at: int
    text: str
    exchange: tuple[str, ...]

    def __str__(self) -> str:
        lines = "".join(f"\n    {line}" for line in self.exchange)
        return f"{self.rule} at {self.at / SECOND:.6f} s: {self.text}{lines}"


@dataclass(slots=True)
class _TrackedRequest:
    deadline: int
    seen: list[str] = field(default_factory=list)  # the exchange so far
    answers: list[str] = field(default_factory=list)
    out: str = ""  # the host that has its attempt
    up: bool = False
    moved: bool = False
    client_disconnected: bool = False
    host_ended: bool = False
    passing: deque[tuple[int, str, str]] = field(default_factory=deque)  # time, direction, line


@dataclass(slots=True)
class _TrackedServer:
    capacity: float  # new connections a second, once it is warm
    started: int
    out_since: int | None = None  # when the node was first told that it drains or is gone
    recent: deque[int] = field(default_factory=deque)  # attempts within the window


class RuleChecker:
    """One node's exchanges, or those of a tier where requests have ids of their own."""

    def __init__(self, limits: RuleLimits | None = None) -> None:
        self.limits = limits or RuleLimits()
        self.requests: dict[str, _TrackedRequest] = {}
        self.hosts: dict[str, _TrackedServer] = {}
        self.breaches: list[RuleViolation] = []
        self.now = 0
        self.checked = 0  # events

    def _event(self, at: int, request: str, text: str) -> _TrackedRequest:
        assert at >= self.now, "events are told in the order of their times"
        self.now = at
        self.checked += 1
        one = self.requests.setdefault(request, _TrackedRequest(1 << 62))
        one.seen.append(f"{at / SECOND:.6f}  {text}")
        return one

    def _breach(self, rule: str, at: int, text: str, one: _TrackedRequest | None = None) -> None:
        self.breaches.append(RuleViolation(rule, at, text, tuple(one.seen[-12:]) if one else ()))

    # clients

    def asked(self, at: int, request: str, wait: int) -> None:
        """A client has said its first line; it waits so long."""
        self._event(at, request, f"client asks {request}, waits {wait} us").deadline = at + wait

    def answered(self, at: int, request: str, line: str) -> None:
        """A client has got a line that may be its final answer, or MOVE."""
        one = self._event(at, request, f"client gets {line}")
        word = line.partition(" ")[0]
        if word == "MOVE":
            one.moved = True
            if not one.up:
                self._breach("one answer", at, f"{request} was moved before it was up", one)
            return
        if word not in FINAL:
            return
        one.answers.append(word)
        if len(one.answers) > 1:
            self._breach("one answer", at, f"{request} got {len(one.answers)} final answers", one)
        if at > one.deadline + self.limits.answer_grace:
            self._breach(
                "in time", at, f"{request} was answered {at - one.deadline} us after its deadline", one
            )
        one.up = one.up or word == "UP"

    def left(self, at: int, request: str) -> None:
        """The client has gone by itself."""
        self._event(at, request, "client leaves").client_disconnected = True

    def closed(self, at: int, request: str) -> None:
        """The node has ended the client's connection."""
        one = self._event(at, request, "node closes the client's connection")
        if not one.answers and not one.client_disconnected:
            self._breach("one answer", at, f"{request} was closed without an answer", one)
        elif one.up and not (one.moved or one.client_disconnected or one.host_ended):
            self._breach("lost connections", at, f"{request} stood, and was cut off without MOVE", one)

    # hosts

    def sent(self, at: int, request: str, host: str) -> None:
        """A host has got the request's first line."""
        one = self._event(at, request, f"{host} gets the first line of {request}")
        if one.out:
            self._breach("one attempt", at, f"{request} went to {host} while it was at {one.out}", one)
        one.out, one.host_ended = host, False
        if one.answers and not one.up:
            self._breach("one attempt", at, f"{request} went to {host} after its final answer", one)
        there = self.hosts.get(host)
        if there is None:
            return self._breach("listed hosts", at, f"{request} went to {host}, which was never listed", one)
        since = there.out_since
        if since is not None and at > since + self.limits.drain_grace_us:
            self._breach(
                "drains", at, f"{request} went to {host}, told to be out {at - since} us before", one
            )
        self._cold(at, request, host, there, one)

    def _cold(self, at: int, request: str, host: str, there: _TrackedServer, one: _TrackedRequest) -> None:
        limits = self.limits
        there.recent.append(at)
        while there.recent[0] <= at - limits.overload_window_us:
            there.recent.popleft()
        age = at - there.started
        if age >= limits.warm_up_us:
            return
        share = limits.initial_capacity + (1 - limits.initial_capacity) * age / limits.warm_up_us
        window = min(limits.overload_window_us, max(age, 1)) / SECOND
        most = limits.overload_factor * share * there.capacity * window + limits.slack
        if len(there.recent) > most:
            many = f"{len(there.recent)} in {window:.2f} s; {most:.1f} are allowed"
            self._breach("cold hosts", at, f"{host}, {age / SECOND:.2f} s old, got {many}", one)

    def ended(self, at: int, request: str, host: str, by_host: bool) -> None:
        """The request's connection at a host has ended, by the host or by the node."""
        one = self._event(at, request, f"{host if by_host else 'node'} ends {request} at {host}")
        if one.out == host:
            one.out, one.host_ended = "", by_host

    # lines

    def line_in(self, at: int, request: str, to_host: bool, line: str) -> None:
        """A line has been given to the node, by the client or by the host."""
        way = "to the host" if to_host else "to the client"
        self._event(at, request, f"line {way} goes in: {line}").passing.append((at, way, line))

    def line_out(self, at: int, request: str, to_host: bool, line: str) -> None:
        """A line has come out at the other side."""
        way = "to the host" if to_host else "to the client"
        one = self._event(at, request, f"line {way} comes out: {line}")
        waiting = [item for item in one.passing if item[1] == way]
        if not waiting or waiting[0][2] != line:
            expected = waiting[0][2] if waiting else "none"
            return self._breach("held lines", at, f"{request}: {line} came {way}, expected {expected}", one)
        one.passing.remove(waiting[0])
        if at > waiting[0][0] + self.limits.line_grace:
            self._breach("held lines", at, f"{request}: a line was held for {at - waiting[0][0]} us", one)

    # discovery

    def listed(self, at: int, host: str, ready: bool, capacity: float, started: int) -> None:
        """The node has been told of a host: whether it may get new work, its capacity, its start."""
        self.now = max(self.now, at)
        there = self.hosts.get(host)
        if there is None or started > there.started:
            there = self.hosts[host] = _TrackedServer(capacity, started)
        if ready:
            there.out_since = None
        elif there.out_since is None:
            there.out_since = at

    # the end

    def finish(self, at: int) -> list[RuleViolation]:
        """The run is over: what was never answered is told too. Gives all breaches, in order."""
        for request, one in self.requests.items():
            due = one.deadline + self.limits.answer_grace
            if not one.answers and not one.client_disconnected and due < at and one.deadline < 1 << 62:
                self._breach("one answer", due, f"{request} never got an answer", one)
            for since, way, line in one.passing:
                gone = one.client_disconnected or one.host_ended or one.moved
                if not gone and at > since + self.limits.line_grace:
                    self._breach("held lines", since, f"{request}: {line} never came out {way}", one)
        return sorted(self.breaches, key=lambda breach: breach.at)
