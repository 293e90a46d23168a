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

SAFE_CLASS = TrafficClass(
    latency_objective_us=500_000, deadline_us=2 * SECOND, effect="safe", message_objective_us=100_000
)
BASE_SETTINGS = Settings(
    node_count=2,
    zone=0,
    classes=(
        SAFE_CLASS,
        replace(SAFE_CLASS, effect="unsafe"),
        *(
            replace(SAFE_CLASS, effect="keyed", key_scope=s, idempotency_window_us=SECOND)
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
MINIMAL_SETTINGS = replace(BASE_SETTINGS, allows_health_checks=False, has_groups=False)
FREE_HEALTH_CHECKS = replace(
    BASE_SETTINGS, prices={}
)  # probes cost nothing: every server is asked, again and again


def server_entry(
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

    def __init__(
        self, settings: Settings = BASE_SETTINGS, seed: int = 1, servers: Sequence[ServerEntry] = ()
    ) -> None:
        self.settings = settings
        self.now_us = 50 * SECOND
        self.balancer = Balancer(settings, Random(seed))
        self.attempts: dict[int, Attempt] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.attempts_started: dict[int, int] = {}
        self.entries: dict[int, ServerEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_id = 1
        if servers:
            self.update_endpoints(servers, UpdateKind.CACHED)

    def deliver(self, event: Event) -> list[Action]:
        """Deliver one event and check the actions against the rules."""
        actions = self.balancer.handle(event, self.now_us)
        for action in actions:
            self.actions.append(action)
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
        asked = self.requests[action.request_id]
        server_entry = self.entries[action.server_id]
        assert not asked.answered, "started after the final answer"
        assert action.request_id not in self.attempts, "two attempts out at once"
        assert server_entry.state == ServerState.READY, "started at a server that drains or is gone"
        number = self.attempts_started.get(action.request_id, 0)
        assert number < self.settings.max_attempts
        for execution in asked.possible_executions:
            assert (
                asked.traffic_class.effect != "unsafe"
            ), "an unsafe request that may have been executed was retried"
            if asked.traffic_class.effect == "keyed":
                previous = self.entries[execution.server]
                scope = asked.traffic_class.key_scope
                assert self.now_us <= execution.started_at + asked.traffic_class.idempotency_window_us
                assert scope != "zone" or previous.zone == server_entry.zone
                assert scope != "cell" or previous.cell == server_entry.cell
        self.attempts_started[action.request_id] = number + 1
        ends = min(self.now_us + action.timeout_us, asked.deadline) if action.timeout_us else asked.deadline
        self.attempts[action.request_id] = Attempt(
            action.request_id, number, action.server_id, self.now_us, ends
        )

    def _check_answer(self, action: RejectRequest | FailRequest) -> None:
        asked = self.requests[action.request_id]
        assert not asked.answered, "answered twice"
        assert action.request_id not in self.attempts, "answered while an attempt is out"
        assert self.now_us <= asked.deadline + self.settings.answer_slack_us, "answered late"
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

    def update_endpoints(self, entries: Sequence[ServerEntry], kind: int = UpdateKind.DELTA) -> list[Action]:
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            for server, server_entry in self.entries.items():
                self.entries[server] = server_entry._replace(state=ServerState.GONE)
        self.entries.update({server_entry.server_id: server_entry for server_entry in entries})
        return self.deliver(EndpointUpdate(kind, 1, entries))

    def request(
        self,
        traffic_class: int = 0,
        group: int = 0,
        time_left_us: int | None = None,
        tenant: int = 0,
        flags: int = 0,
    ) -> int:
        number = self._take_id()
        left = self.settings.classes[traffic_class].deadline_us if time_left_us is None else time_left_us
        self.requests[number] = TrackedRequest(self.settings.classes[traffic_class], self.now_us + left)
        self.deliver(NewRequest(number, traffic_class, tenant, 0, left, 0, group, flags))
        return number

    def add_connection(self, server: int, traffic_class: int = 0, group: int = 0) -> int:
        number = self._take_id()
        self.requests[number] = TrackedRequest(
            self.settings.classes[traffic_class], self.now_us, answered=True
        )
        self.attempts[number] = Attempt(number, 0, server, self.now_us, NEVER, live=True)
        self.attempts_started[number] = 1
        self.deliver(ExistingConnection(number, traffic_class, 0, 0, 0, 0, group, 0, server))
        return number

    def _take_id(self) -> int:
        number = self.next_id
        self.next_id += 1
        return number

    def establish(self, number: int) -> None:
        attempt = self.attempts[number]
        attempt.live = True
        attempt.times_out_at = NEVER
        self.requests[number].answered = True
        self.deliver(
            ConnectionEstablished(number, attempt.server, attempt.number, self.now_us - attempt.started_at)
        )

    def end_attempt(self, number: int, ending: int) -> list[Action]:
        attempt = self.attempts.pop(number)
        asked = self.requests[number]
        if ending == AttemptOutcome.OK:
            asked.answered = True
        if ending not in NOT_EXECUTED_OUTCOMES and not asked.answered:
            asked.possible_executions.append(PossibleExecution(attempt.server, attempt.started_at))
        event = AttemptEnded(
            number,
            attempt.number,
            attempt.server,
            ending,
            self.now_us - attempt.started_at,
            int(asked.answered),
            (),
        )
        actions = self.deliver(event)
        assert not [
            a for a in self.deliver(event) if not isinstance(a, LogMessage)
        ], "acted on a repeated outcome"
        return actions

    def disconnect_client(self, number: int) -> None:
        self.requests[number].answered = True
        self.deliver(ClientDisconnected(number))

    def run(self, duration: int) -> None:
        """Let time pass: timers fall due, attempts time out at their time."""
        until = self.now_us + duration
        while True:
            due = [(at, 0, token) for at, token in self.timers]
            due += [(attempt.times_out_at, 1, attempt.id) for attempt in self.attempts.values()]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, kind, which = min(due)
            self.now_us = max(self.now_us, at)
            if kind:
                self.end_attempt(which, AttemptOutcome.TIMEOUT)
            else:
                self.timers.remove((at, which))
                self.deliver(TimerFired(which))
        self.now_us = until

    def connect(self, **kwargs: int) -> int:
        """A request that is set up at once."""
        number = self.request(**kwargs)
        self.establish(number)
        return number

    def report_load(self, server: int, load: float) -> list[Action]:
        return self.deliver(HealthCheckResult(server, 1000, AttemptOutcome.OK, (0.0, load)))

    def server_of(self, number: int) -> int:
        return self.attempts[number].server

    def actions_of_type(self, kind: type) -> list[Action]:
        return [a for a in self.actions if isinstance(a, kind)]


def server_entries(n: int, **kwargs: int) -> list[ServerEntry]:
    return [server_entry(s, **kwargs) for s in range(1, n + 1)]


def driver_with_loaded_server() -> tuple[Driver, list[int]]:
    """Two servers; the first holds ten connections, each dearer than the one before."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    numbers = [driver.add_connection(1) for _ in range(10)]
    for i, number in enumerate(numbers):
        driver.deliver(LoadSample(number, 1, 1000.0 + i, 0))
    driver.run(2 * SECOND)
    return driver, numbers
