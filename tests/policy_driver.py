"""Drives one Balancer in tests: delivers valid events and checks every action against the policy's rules.

The rules: one final answer per request, in time; attempts only at ready servers, one at a time; retries only
if they are safe; and migrations only of established connections. Times are in microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from random import Random
from typing import NamedTuple, TypeVar

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
from limerudder.policy.settings import Settings, TrafficClass

ActionT = TypeVar("ActionT", bound=Action)

SAFE_CLASS = TrafficClass(
    latency_objective_us=500_000, deadline_us=2 * SECOND, effect="safe", message_objective_us=100_000
)
UNSAFE_CLASS = replace(SAFE_CLASS, effect="unsafe")
KEYED_CLASS = replace(SAFE_CLASS, effect="keyed", idempotency_window_us=SECOND)

#: Indexes of the traffic classes in BASE_SETTINGS.
UNSAFE = 1
KEYED_EVERYWHERE = 2

BASE_SETTINGS = Settings(
    node_count=2,
    zone=0,
    classes=(
        SAFE_CLASS,
        UNSAFE_CLASS,
        replace(KEYED_CLASS, key_scope="all"),
        replace(KEYED_CLASS, key_scope="zone"),
        replace(KEYED_CLASS, key_scope="cell"),
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
#: Settings without load reports and without groups.
MINIMAL_SETTINGS = replace(BASE_SETTINGS, allows_health_checks=False, has_groups=False)
#: Settings in which health checks are free, so that every sweep polls every server.
FREE_HEALTH_CHECKS = replace(BASE_SETTINGS, prices={})

NEVER_US = 1 << 62  #: A time that no test reaches


def server_entry(
    server_id: int, state: int = ServerState.READY, zone: int = 0, ready_since_us: int = 0, cell: int = 0
) -> ServerEntry:
    """Return an entry of the endpoint list, with weight 1."""
    return ServerEntry(server_id, zone, 0, cell, state, 1.0, ready_since_us)


def server_entries(count: int, **fields: int) -> list[ServerEntry]:
    """Return entries of servers 1 to `count` with identical other fields."""
    return [server_entry(server_id, **fields) for server_id in range(1, count + 1)]


@dataclass
class Attempt:
    """An attempt in progress, or the open connection that it established."""

    request_id: int
    number: int
    server_id: int
    started_at_us: int
    times_out_at_us: int
    established: bool = False


@dataclass
class PossibleExecution:
    """An attempt that its server may have executed."""

    server_id: int
    started_at_us: int


@dataclass
class TrackedRequest:
    """State of a request that the rules are checked against."""

    traffic_class: TrafficClass
    deadline_us: int
    answered: bool = False
    possible_executions: list[PossibleExecution] = field(default_factory=list)


class DueKind(IntEnum):
    """Kind of a due item. Timers come first among items due at the same time."""

    TIMER = 0
    ATTEMPT_TIMEOUT = 1


class DueItem(NamedTuple):
    """A timer or an attempt's timeout; items sort in order of delivery."""

    due_at_us: int
    kind: DueKind
    id: int  #: The timer's token, or the request id of the attempt


class Driver:
    """One Balancer with its clock, timers and attempts; asserts that no rule is broken."""

    def __init__(
        self,
        settings: Settings = BASE_SETTINGS,
        seed: int = 1,
        servers: Sequence[ServerEntry] = (),
    ) -> None:
        self.settings = settings
        self.now_us = 50 * SECOND
        self.balancer = Balancer(settings, Random(seed))
        self.attempts: dict[int, Attempt] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.attempts_started: dict[int, int] = {}
        self.entries: dict[int, ServerEntry] = {}
        self.timers: list[SetTimer] = []
        self.actions: list[Action] = []
        self._next_request_id = 1
        if servers:
            self.update_endpoints(servers, UpdateKind.CACHED)

    def deliver(self, event: Event) -> list[Action]:
        """Deliver one event and check the resulting actions against the rules."""
        actions = self.balancer.handle(event, self.now_us)
        for action in actions:
            self.actions.append(action)
            self._check_action(action)
        self._check_connection_counts()
        return actions

    def _check_action(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._check_attempt(action)
            self._record_attempt(action)
        elif isinstance(action, RejectRequest | FailRequest):
            self._check_answer(action)
            self.requests[action.request_id].answered = True
        elif isinstance(action, SetTimer):
            self.timers.append(action)
        elif isinstance(action, CheckHealth):
            assert self.settings.allows_health_checks, "health checks are not allowed"
        elif isinstance(action, MigrateClient):
            assert self.attempts[action.request_id].established, "migrated before it was established"

    def _check_attempt(self, action: StartAttempt) -> None:
        request = self.requests[action.request_id]
        assert not request.answered, "started after the final answer"
        assert action.request_id not in self.attempts, "two attempts of a request at the same time"
        state = self.entries[action.server_id].state
        assert state == ServerState.READY, "started at a server that is draining or gone"
        assert self.attempts_started.get(action.request_id, 0) < self.settings.max_attempts
        for execution in request.possible_executions:
            self._check_retry(request.traffic_class, execution, action.server_id)

    def _check_retry(self, traffic_class: TrafficClass, execution: PossibleExecution, server_id: int) -> None:
        """Check that a possibly executed request may be retried at this server."""
        assert traffic_class.effect != "unsafe", "an unsafe request that may have been executed was retried"
        if traffic_class.effect == "keyed":
            previous = self.entries[execution.server_id]
            entry = self.entries[server_id]
            assert self.now_us <= execution.started_at_us + traffic_class.idempotency_window_us
            assert traffic_class.key_scope != "zone" or previous.zone == entry.zone
            assert traffic_class.key_scope != "cell" or previous.cell == entry.cell

    def _record_attempt(self, action: StartAttempt) -> None:
        number = self.attempts_started.get(action.request_id, 0)
        self.attempts_started[action.request_id] = number + 1
        times_out_at_us = self.requests[action.request_id].deadline_us
        if action.timeout_us:
            times_out_at_us = min(self.now_us + action.timeout_us, times_out_at_us)
        self.attempts[action.request_id] = Attempt(
            action.request_id, number, action.server_id, self.now_us, times_out_at_us
        )

    def _check_answer(self, action: RejectRequest | FailRequest) -> None:
        request = self.requests[action.request_id]
        assert not request.answered, "answered twice"
        assert action.request_id not in self.attempts, "answered during an attempt"
        assert self.now_us <= request.deadline_us + self.settings.answer_slack_us, "answered late"
        if isinstance(action, RejectRequest) and request.possible_executions:
            traffic_class = request.traffic_class
            assert traffic_class.effect in ("safe", "keyed"), "rejected though it may have been executed"
            assert traffic_class.effect == "safe" or traffic_class.key_scope == "all"

    def _check_connection_counts(self) -> None:
        """Check that each server's count equals its attempts in progress plus its connections."""
        counts = Counter(attempt.server_id for attempt in self.attempts.values())
        for server in self.balancer.registry.servers.values():
            assert server.connection_count == len(server.connections) == counts[server.id]
        servers_by_group = self.balancer.connections.index.servers_by_group
        grouped = sum(servers.total() for servers in servers_by_group.values())
        assert grouped <= len(self.attempts)

    def update_endpoints(self, entries: Sequence[ServerEntry], kind: int = UpdateKind.DELTA) -> list[Action]:
        """Deliver a complete endpoint list, or only its changes."""
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            for server_id, entry in self.entries.items():
                self.entries[server_id] = entry._replace(state=ServerState.GONE)
        self.entries.update({entry.server_id: entry for entry in entries})
        return self.deliver(EndpointUpdate(kind, 1, entries))

    def request(
        self,
        traffic_class: int = 0,
        group: int = 0,
        time_left_us: int | None = None,
        tenant: int = 0,
        flags: int = 0,
    ) -> int:
        """Deliver a new request, by default with its class's full deadline; return its id."""
        request_id = self._allocate_request_id()
        class_settings = self.settings.classes[traffic_class]
        if time_left_us is None:
            time_left_us = class_settings.deadline_us
        self.requests[request_id] = TrackedRequest(class_settings, self.now_us + time_left_us)
        self.deliver(NewRequest(request_id, traffic_class, tenant, 0, time_left_us, 0, group, flags))
        return request_id

    def add_connection(self, server_id: int, traffic_class: int = 0, group: int = 0) -> int:
        """Deliver a connection that existed when the policy started; return its request id."""
        request_id = self._allocate_request_id()
        class_settings = self.settings.classes[traffic_class]
        self.requests[request_id] = TrackedRequest(class_settings, self.now_us, answered=True)
        self.attempts[request_id] = Attempt(request_id, 0, server_id, self.now_us, NEVER_US, established=True)
        self.attempts_started[request_id] = 1
        self.deliver(ExistingConnection(request_id, traffic_class, 0, 0, 0, 0, group, 0, server_id))
        return request_id

    def _allocate_request_id(self) -> int:
        request_id = self._next_request_id
        self._next_request_id += 1
        return request_id

    def connect(self, **fields: int) -> int:
        """Deliver a request whose first attempt succeeds immediately; return its id."""
        request_id = self.request(**fields)
        self.establish(request_id)
        return request_id

    def establish(self, request_id: int) -> None:
        """Let a request's attempt succeed."""
        attempt = self.attempts[request_id]
        attempt.established = True
        attempt.times_out_at_us = NEVER_US
        self.requests[request_id].answered = True
        latency_us = self.now_us - attempt.started_at_us
        self.deliver(ConnectionEstablished(request_id, attempt.server_id, attempt.number, latency_us))

    def end_attempt(self, request_id: int, outcome: int) -> list[Action]:
        """End a request's attempt or connection; check that repeating the event has no effect."""
        attempt = self.attempts.pop(request_id)
        request = self.requests[request_id]
        if outcome == AttemptOutcome.OK:
            request.answered = True
        if outcome not in NOT_EXECUTED_OUTCOMES and not request.answered:
            request.possible_executions.append(PossibleExecution(attempt.server_id, attempt.started_at_us))
        event = AttemptEnded(
            request_id,
            attempt.number,
            attempt.server_id,
            outcome,
            self.now_us - attempt.started_at_us,
            int(request.answered),
            (),
        )
        actions = self.deliver(event)
        repeated_actions = self.deliver(event)
        assert all(
            isinstance(action, LogMessage) for action in repeated_actions
        ), "acted on a repeated outcome"
        return actions

    def disconnect_client(self, request_id: int) -> None:
        """Let the client of a request disconnect."""
        self.requests[request_id].answered = True
        self.deliver(ClientDisconnected(request_id))

    def report_load(self, server_id: int, load: float) -> list[Action]:
        """Deliver a server's load report."""
        return self.deliver(HealthCheckResult(server_id, 1000, AttemptOutcome.OK, (0.0, load)))

    def run(self, duration_us: int) -> None:
        """Advance the clock, firing timers and timing out attempts when they are due."""
        until_us = self.now_us + duration_us
        item = self._next_due_item(until_us)
        while item is not None:
            self.now_us = max(self.now_us, item.due_at_us)
            if item.kind == DueKind.ATTEMPT_TIMEOUT:
                self.end_attempt(item.id, AttemptOutcome.TIMEOUT)
            else:
                self.timers.remove(SetTimer(item.due_at_us, item.id))
                self.deliver(TimerFired(item.id))
            item = self._next_due_item(until_us)
        self.now_us = until_us

    def _next_due_item(self, until_us: int) -> DueItem | None:
        return min(self._due_items(until_us), default=None)

    def _due_items(self, until_us: int) -> Iterator[DueItem]:
        for timer in self.timers:
            if timer.due_at_us <= until_us:
                yield DueItem(timer.due_at_us, DueKind.TIMER, timer.token)
        for attempt in self.attempts.values():
            if attempt.times_out_at_us <= until_us:
                yield DueItem(attempt.times_out_at_us, DueKind.ATTEMPT_TIMEOUT, attempt.request_id)

    def server_of(self, request_id: int) -> int:
        """Return the server of a request's attempt or connection."""
        return self.attempts[request_id].server_id

    def pending_requests(self) -> list[int]:
        """Return the ids of the requests with an attempt in progress."""
        return [attempt.request_id for attempt in self.attempts.values() if not attempt.established]

    def is_pending(self, request_id: int) -> bool:
        """Return whether an attempt of this request is in progress."""
        return request_id in self.attempts and not self.attempts[request_id].established

    def actions_of_type(self, action_type: type[ActionT]) -> list[ActionT]:
        """Return all actions of one type so far, in order."""
        return [action for action in self.actions if isinstance(action, action_type)]

    def migrated_requests(self) -> list[int]:
        """Return the ids of the requests whose clients were migrated, in order."""
        return [migration.request_id for migration in self.actions_of_type(MigrateClient)]


class LoadedServer(NamedTuple):
    """A driver with two servers, the first of which has ten connections."""

    driver: Driver
    connections: list[int]  #: Request ids in order of increasing load of their connections


def driver_with_loaded_server() -> LoadedServer:
    """Return a driver with two servers; the first has ten connections of increasing load."""
    driver = Driver(BASE_SETTINGS, servers=server_entries(2))
    connections = [driver.add_connection(1) for _ in range(10)]
    for index, request_id in enumerate(connections):
        driver.deliver(LoadSample(request_id, 1, 1000.0 + index, 0))
    driver.run(2 * SECOND)
    return LoadedServer(driver, connections)
