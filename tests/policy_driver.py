"""A node's surroundings for tests: delivers legal events, and holds every action to the four rules."""

from __future__ import annotations

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


def entry(
    server: int, state: int = ServerState.READY, zone: int = 0, since: int = 0, cell: int = 0
) -> ServerEntry:
    return ServerEntry(server, zone, 0, cell, state, 1.0, since)


@dataclass
class Attempt:
    """One send that has not ended."""

    id: int
    number: int
    server: int
    sent: int
    ends: int
    live: bool = False


@dataclass
class Asked:
    """What the rules need to know of a request."""

    cls: TrafficClass
    deadline: int
    answered: bool = False
    maybe_ran: list[tuple[int, int]] = field(default_factory=list)


class Driver:
    """One Balancer with its clock, timers and attempts; `violations` never stay silent: they assert."""

    def __init__(self, settings: Settings = BASE, seed: int = 1, servers: Sequence[ServerEntry] = ()) -> None:
        self.settings, self.now = settings, 50 * SECOND
        self.balancer = Balancer(settings, Random(seed))
        self.attempts: dict[int, Attempt] = {}
        self.asked: dict[int, Asked] = {}
        self.sends: dict[int, int] = {}
        self.entries: dict[int, ServerEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_id = 1
        if servers:
            self.members(servers, UpdateKind.CACHED)

    def give(self, event: Event) -> list[Action]:
        """Deliver one event and hold the actions to the rules."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.log.append(action)
            if isinstance(action, StartAttempt):
                self._sent(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self._final(action)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_at_us, action.token))
            elif isinstance(action, CheckHealth):
                assert self.settings.allows_health_checks, "probed where that is not allowed"
            elif isinstance(action, MigrateClient):
                assert self.attempts[action.request_id].live
        self.check_counts()
        return actions

    def _sent(self, action: StartAttempt) -> None:
        asked, where = self.asked[action.request_id], self.entries[action.server_id]
        assert not asked.answered, "sent after the final answer"
        assert action.request_id not in self.attempts, "two attempts out at once"
        assert where.state == ServerState.READY, "sent to a server that drains or is gone"
        number = self.sends.get(action.request_id, 0)
        assert number < self.settings.max_attempts
        for server, sent in asked.maybe_ran:
            assert asked.cls.effect != "unsafe", "an unsafe request that may have run was sent again"
            if asked.cls.effect == "keyed":
                there, scope = self.entries[server], asked.cls.key_scope
                assert self.now <= sent + asked.cls.idempotency_window_us
                assert scope != "zone" or there.zone == where.zone
                assert scope != "cell" or there.cell == where.cell
        self.sends[action.request_id] = number + 1
        ends = min(self.now + action.timeout_us, asked.deadline) if action.timeout_us else asked.deadline
        self.attempts[action.request_id] = Attempt(
            action.request_id, number, action.server_id, self.now, ends
        )

    def _final(self, action: RejectRequest | FailRequest) -> None:
        asked = self.asked[action.request_id]
        assert not asked.answered, "answered twice"
        assert action.request_id not in self.attempts, "answered while an attempt is out"
        assert self.now <= asked.deadline + self.settings.answer_slack_us, "answered late"
        if isinstance(action, RejectRequest) and asked.maybe_ran:
            assert asked.cls.effect == "safe" or asked.cls.key_scope == "all" != asked.cls.effect
            assert asked.cls.effect != "unsafe"
        asked.answered = True

    def check_counts(self) -> None:
        """The count of each server is exactly the attempts and connections that are out there."""
        out: dict[int, int] = {}
        for attempt in self.attempts.values():
            out[attempt.server] = out.get(attempt.server, 0) + 1
        for server in self.balancer.servers.values():
            assert server.count == len(server.flows) == out.get(server.id, 0)
        held = sum(sum(h.values()) for h in self.balancer.holdings.groups.values())
        assert held <= len(self.attempts)

    def members(self, entries: Sequence[ServerEntry], kind: int = UpdateKind.DELTA) -> list[Action]:
        if kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self.entries = {s: e._replace(state=ServerState.GONE) for s, e in self.entries.items()}
        self.entries.update({e.server_id: e for e in entries})
        return self.give(EndpointUpdate(kind, 1, entries))

    def request(
        self, cls: int = 0, group: int = 0, time_left: int | None = None, tenant: int = 0, flags: int = 0
    ) -> int:
        number, self.next_id = self.next_id, self.next_id + 1
        left = self.settings.classes[cls].deadline_us if time_left is None else time_left
        self.asked[number] = Asked(self.settings.classes[cls], self.now + left)
        self.give(NewRequest(number, cls, tenant, 0, left, 0, group, flags))
        return number

    def open(self, server: int, cls: int = 0, group: int = 0) -> int:
        number, self.next_id = self.next_id, self.next_id + 1
        self.asked[number] = Asked(self.settings.classes[cls], self.now, answered=True)
        self.attempts[number] = Attempt(number, 0, server, self.now, 1 << 62, live=True)
        self.sends[number] = 1
        self.give(ExistingConnection(number, cls, 0, 0, 0, 0, group, 0, server))
        return number

    def establish(self, number: int) -> None:
        attempt = self.attempts[number]
        attempt.live, attempt.ends = True, 1 << 62
        self.asked[number].answered = True
        self.give(ConnectionEstablished(number, attempt.server, attempt.number, self.now - attempt.sent))

    def end(self, number: int, ending: int) -> list[Action]:
        attempt, asked = self.attempts.pop(number), self.asked[number]
        if ending == AttemptOutcome.OK:
            asked.answered = True
        if ending not in NOT_EXECUTED_OUTCOMES and not asked.answered:
            asked.maybe_ran.append((attempt.server, attempt.sent))
        event = AttemptEnded(
            number, attempt.number, attempt.server, ending, self.now - attempt.sent, int(asked.answered), ()
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
            due += [(a.ends, 1, a.id) for a in self.attempts.values()]
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
