"""Drives one Balancer in tests: delivers legal events, and checks every action against the rules.

The rules: one final answer a request, in time; attempts only at ready servers, one at a time; retries only
where they are safe; and migrations of established connections only.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from limerudder.policy.actions import (
    Action,
    CheckHealth,
    FailRequest,
    LogMessage,
    MigrateClient,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from limerudder.policy.balancer import Balancer
from limerudder.policy.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    Event,
    ExistingConnection,
    HealthCheckResult,
    LoadSample,
    NewRequest,
    ServerEntry,
    ServerState,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.records import SECOND
from limerudder.policy.settings import (
    Settings,
    TrafficClass,
)

SAFE = TrafficClass(
    latency_objective_us=500_000, deadline_us=2 * SECOND, effect="safe", message_objective_us=100_000
)
BASE = Settings(
    node_count=2,
    zone=0,
    classes=(
        SAFE,
        replace(SAFE, effect="unsafe"),
        *(
            replace(SAFE, effect="keyed", key_scope=s, idempotency_window_us=SECOND)
            for s in ("all", "zone", "cell")
        ),
    ),
    discovery="pushed",
    poll_interval_us=10 * SECOND,
    drain_grace_us=2 * SECOND,
    initial_capacity=0.25,
    warm_up_us=10 * SECOND,
    overload_factor=2.0,
    overload_window_us=SECOND,
    answer_slack_us=20_000,
    max_attempts=4,
    allows_cancellation=True,
    allows_health_checks=True,
    has_groups=True,
    connect_timeout_us=200_000,
    report_via="probe",
    report_fields=("queue", "x0"),
    prices={"probe": 0.002},
)
PLAIN = replace(BASE, allows_health_checks=False, has_groups=False)
SWEEPS = replace(BASE, prices={})  # probes cost nothing: every server is asked, again and again


def entry(
    server: int, state: int = ServerState.READY, zone: int = 0, since: int = 0, cell: int = 0
) -> ServerEntry:
    return ServerEntry(server, zone, 0, cell, state, 1.0, since)


NEVER = 1 << 62  # a time that no test reaches


@dataclass
class Attempt:
    """An attempt, or the connection it established, that has not ended. Times in microseconds."""

    id: int
    number: int
    server: int
    started_at: int
    times_out_at: int
    live: bool = False


@dataclass
class PossibleExecution:
    """An attempt that its server may have executed."""

    server: int
    started_at: int


@dataclass
class TrackedRequest:
    """What the rules need to know of a request."""

    traffic_class: TrafficClass
    deadline: int
    answered: bool = False
    possible_executions: list[PossibleExecution] = field(default_factory=list)


class Driver:
    """One Balancer with its clock, timers and attempts; asserts that no rule is broken."""

    def __init__(self, settings: Settings = BASE, seed: int = 1, servers: Sequence[ServerEntry] = ()) -> None:
        self.settings = settings
        self.now = 50 * SECOND
        self.balancer = Balancer(settings, Random(seed))
        self.attempts: dict[int, Attempt] = {}
        self.asked: dict[int, TrackedRequest] = {}
        self.sends: dict[int, int] = {}
        self.entries: dict[int, ServerEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_id = 1
        if servers:
            self.members(servers, UpdateKind.CACHED)

    def give(self, event: Event) -> list[Action]:
        """Deliver one event and check the actions against the rules."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.log.append(action)
            if isinstance(action, StartAttempt):
                self._check_attempt(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self._check_answer(action)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_at_us, action.token))
            elif isinstance(action, CheckHealth):
                assert self.settings.allows_health_checks, "health checks are not allowed"
            elif isinstance(action, MigrateClient):
                assert self.attempts[action.request_id].live
        self.check_counts()
        return actions

    def _check_attempt(self, action: StartAttempt) -> None:
        asked = self.asked[action.request_id]
        entry = self.entries[action.server_id]
        assert not asked.answered, "started after the final answer"
        assert action.request_id not in self.attempts, "two attempts out at once"
        assert entry.state == ServerState.READY, "started at a server that drains or is gone"
        number = self.sends.get(action.request_id, 0)
        assert number < self.settings.max_attempts
        for execution in asked.possible_executions:
            assert (
                asked.traffic_class.effect != "unsafe"
            ), "an unsafe request that may have been executed was retried"
            if asked.traffic_class.effect == "keyed":
                previous = self.entries[execution.server]
                scope = asked.traffic_class.key_scope
                assert self.now <= execution.started_at + asked.traffic_class.idempotency_window_us
                assert scope != "zone" or previous.zone == entry.zone
                assert scope != "cell" or previous.cell == entry.cell
        self.sends[action.request_id] = number + 1
        ends = min(self.now + action.timeout_us, asked.deadline) if action.timeout_us else asked.deadline
        self.attempts[action.request_id] = Attempt(
            action.request_id, number, action.server_id, self.now, ends
        )

    def _check_answer(self, action: RejectRequest | FailRequest) -> None:
        asked = self.asked[action.request_id]
        assert not asked.answered, "answered twice"
        assert action.request_id not in self.attempts, "answered while an attempt is out"
        assert self.now <= asked.deadline + self.settings.answer_slack_us, "answered late"
        if isinstance(action, RejectRequest) and asked.possible_executions:
            traffic_class = asked.traffic_class
            assert traffic_class.effect == "safe" or traffic_class.key_scope == "all" != traffic_class.effect
            assert traffic_class.effect != "unsafe"
        asked.answered = True

    def check_counts(self) -> None:
        """Each server's count is exactly its attempts under way and its connections."""
        counts = Counter(attempt.server for attempt in self.attempts.values())
        for server in self.balancer.registry.servers.values():
            assert server.connection_count == len(server.connections) == counts[server.id]
        servers_by_group = self.balancer.connections.index.servers_by_group
        grouped = sum(servers.total() for servers in servers_by_group.values())
        assert grouped <= len(self.attempts)

    def members(self, entries: Sequence[ServerEntry], kind: int = UpdateKind.DELTA) -> list[Action]:
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            for server, entry in self.entries.items():
                self.entries[server] = entry._replace(state=ServerState.GONE)
        self.entries.update({entry.server_id: entry for entry in entries})
        return self.give(EndpointUpdate(kind, 1, entries))

    def request(
        self, cls: int = 0, group: int = 0, time_left: int | None = None, tenant: int = 0, flags: int = 0
    ) -> int:
        number = self._take_id()
        left = self.settings.classes[cls].deadline_us if time_left is None else time_left
        self.asked[number] = TrackedRequest(self.settings.classes[cls], self.now + left)
        self.give(NewRequest(number, cls, tenant, 0, left, 0, group, flags))
        return number

    def open(self, server: int, cls: int = 0, group: int = 0) -> int:
        number = self._take_id()
        self.asked[number] = TrackedRequest(self.settings.classes[cls], self.now, answered=True)
        self.attempts[number] = Attempt(number, 0, server, self.now, NEVER, live=True)
        self.sends[number] = 1
        self.give(ExistingConnection(number, cls, 0, 0, 0, 0, group, 0, server))
        return number

    def _take_id(self) -> int:
        number = self.next_id
        self.next_id += 1
        return number

    def establish(self, number: int) -> None:
        attempt = self.attempts[number]
        attempt.live = True
        attempt.times_out_at = NEVER
        self.asked[number].answered = True
        self.give(
            ConnectionEstablished(number, attempt.server, attempt.number, self.now - attempt.started_at)
        )

    def end(self, number: int, ending: int) -> list[Action]:
        attempt = self.attempts.pop(number)
        asked = self.asked[number]
        if ending == AttemptOutcome.OK:
            asked.answered = True
        if ending not in NOT_EXECUTED_OUTCOMES and not asked.answered:
            asked.possible_executions.append(PossibleExecution(attempt.server, attempt.started_at))
        event = AttemptEnded(
            number,
            attempt.number,
            attempt.server,
            ending,
            self.now - attempt.started_at,
            int(asked.answered),
            (),
        )
        actions = self.give(event)
        assert not [
            a for a in self.give(event) if not isinstance(a, LogMessage)
        ], "acted on a repeated outcome"
        return actions

    def gone(self, number: int) -> None:
        self.asked[number].answered = True
        self.give(ClientDisconnected(number))

    def run(self, duration: int) -> None:
        """Let time pass: timers fall due, attempts time out at their time."""
        until = self.now + duration
        while True:
            due = [(at, 0, token) for at, token in self.timers]
            due += [(attempt.times_out_at, 1, attempt.id) for attempt in self.attempts.values()]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, kind, which = min(due)
            self.now = max(self.now, at)
            if kind:
                self.end(which, AttemptOutcome.TIMEOUT)
            else:
                self.timers.remove((at, which))
                self.give(TimerFired(which))
        self.now = until

    def connect(self, **kwargs: int) -> int:
        """A request that is set up at once."""
        number = self.request(**kwargs)
        self.establish(number)
        return number

    def report(self, server: int, load: float) -> list[Action]:
        return self.give(HealthCheckResult(server, 1000, AttemptOutcome.OK, (0.0, load)))

    def where(self, number: int) -> int:
        return self.attempts[number].server

    def logged(self, kind: type) -> list[Action]:
        return [a for a in self.log if isinstance(a, kind)]


def fleet(n: int, **kwargs: int) -> list[ServerEntry]:
    return [entry(s, **kwargs) for s in range(1, n + 1)]


def loaded() -> tuple[Driver, list[int]]:
    """Two servers; the first holds ten connections, each dearer than the one before."""
    driver = Driver(BASE, servers=fleet(2))
    numbers = [driver.open(1) for _ in range(10)]
    for i, number in enumerate(numbers):
        driver.give(LoadSample(number, 1, 1000.0 + i, 0))
    driver.run(2 * SECOND)
    return driver, numbers
