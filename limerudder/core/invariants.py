"""Checks a node's invariants in tests; production code does not import this module."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple, cast

from limerudder.core.requests.final_answers import FinalAnswer
from limerudder.policy.events import NOT_EXECUTED_OUTCOMES, AttemptOutcome, ServerState
from limerudder.policy.settings import TrafficClass

if TYPE_CHECKING:
    from limerudder.core.node import Node
    from limerudder.core.ports import Attempt
    from limerudder.core.requests.proxied_connection import ProxiedConnection
    from limerudder.core.upstream.registry import Upstream
    from limerudder.policy.balancer import Balancer


class InvariantError(AssertionError):
    """An invariant is violated."""


def require(condition: bool, text: str) -> None:
    """Raise InvariantError unless the condition holds.

    An `assert` statement would be removed in an optimised run.
    """
    if not condition:
        raise InvariantError(text)


class PossibleExecution(NamedTuple):
    """The first attempt of a request that its upstream may have executed."""

    sent_us: int
    upstream: Upstream


class Invariants:
    """Checks each transition of a node as it happens; `check` verifies the state between two events."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.final_answers = Counter[int]()  # final answers per request number
        self.last_attempts: dict[int, Attempt] = {}  # latest attempt per request number
        self.possible_executions: dict[int, PossibleExecution] = {}  # keyed by request number
        attempts = node.attempts
        self._dial = attempts.dial
        self._attempt_ready = attempts.attempt_ready
        self._attempt_established = attempts.attempt_established
        self._attempt_ended = attempts.attempt_ended
        self._conclude = node.answers.conclude
        attempts.dial = self.dial  # type: ignore[method-assign]
        attempts.attempt_ready = self.attempt_ready  # type: ignore[method-assign]
        attempts.attempt_established = self.attempt_established  # type: ignore[method-assign]
        attempts.attempt_ended = self.attempt_ended  # type: ignore[method-assign]
        node.answers.conclude = self.conclude  # type: ignore[method-assign]

    # transitions

    def dial(
        self, connection: ProxiedConnection, upstream: Upstream, timeout_us: int | None, now_us: int
    ) -> None:
        """Check that attempts do not overlap, exceed the limit or start after the final answer."""
        last = self.last_attempts.get(connection.number)
        require(
            connection.attempt is None and (last is None or last.ended),
            "two attempts of a request in progress",
        )
        require(not connection.is_concluded, "an attempt after the final answer")
        require(
            connection.attempts_started <= self.node.settings.max_attempts,
            "more attempts than the settings allow",
        )
        self._dial(connection, upstream, timeout_us, now_us)
        if connection.attempt:
            self.last_attempts[connection.number] = connection.attempt

    def attempt_ready(self, connection: ProxiedConnection, now_us: int) -> bool:
        """Check that the upstream is ready, the client connected, and a repeated send allowed."""
        is_ready = self._attempt_ready(connection, now_us)
        if is_ready:
            upstream = connection.upstream
            require(
                upstream is not None and upstream.state == ServerState.READY,
                "a request sent to a draining upstream",
            )
            require(
                not connection.is_concluded and connection.number in self.node.requests.by_number,
                "a request sent for a disconnected client",
            )
            if upstream is not None:
                self._check_repeated_send(connection, upstream, now_us)
        return is_ready

    def _check_repeated_send(self, connection: ProxiedConnection, upstream: Upstream, now_us: int) -> None:
        execution = self.possible_executions.get(connection.number)
        traffic_class = self.node.settings.classes[connection.class_index]
        if execution is None or traffic_class.effect == "safe":
            return
        require(
            traffic_class.effect == "keyed", "an unsafe request that may have been executed is sent again"
        )
        require(
            now_us <= execution.sent_us + traffic_class.idempotency_window_us,
            "a keyed request is sent again after its idempotency window",
        )
        require(
            traffic_class.key_scope not in ("zone", "cell")
            or key_location(upstream, traffic_class) == key_location(execution.upstream, traffic_class),
            "a keyed request is sent again outside the scope of its idempotency key",
        )

    def attempt_established(self, connection: ProxiedConnection, now_us: int) -> None:
        """Count the answer of an upstream as the final answer."""
        if not connection.is_concluded:
            self._count_final_answer(connection)
        self._attempt_established(connection, now_us)

    def attempt_ended(
        self, connection: ProxiedConnection, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int
    ) -> None:
        """Check that an ended attempt is closed; record its send if the request may have been executed."""
        attempt = self.last_attempts.get(connection.number)
        require(attempt is None or attempt.ended, "an attempt that has ended is still open")
        require(
            attempt is None or not attempt.sent or outcome != AttemptOutcome.CONNECT_FAILED,
            "an attempt that was sent is reported as never executed",
        )
        upstream = connection.upstream
        if outcome not in NOT_EXECUTED_OUTCOMES and upstream and not connection.is_concluded:
            execution = PossibleExecution(connection.attempt_started_us, upstream)
            self.possible_executions.setdefault(connection.number, execution)
        self._attempt_ended(connection, outcome, report, now_us)

    def conclude(self, connection: ProxiedConnection, answer: FinalAnswer, now_us: int) -> None:
        """Check that the answer is the only one, and a rejection only where a client retry is harmless."""
        self._count_final_answer(connection)
        traffic_class = self.node.settings.classes[connection.class_index]
        if answer is FinalAnswer.REJECTED and connection.number in self.possible_executions:
            is_harmless = traffic_class.effect == "safe" or (
                traffic_class.effect == "keyed" and traffic_class.key_scope == "all"
            )
            require(is_harmless, "a request that may have been executed is rejected")
        self._conclude(connection, answer, now_us)

    def _count_final_answer(self, connection: ProxiedConnection) -> None:
        self.final_answers[connection.number] += 1
        require(self.final_answers[connection.number] == 1, "two final answers")

    # state between two events

    def check(self, now_us: int) -> None:
        """Check that requests are answered in time and that the counts of node and policy agree."""
        connections = self._check_requests(now_us)
        self._check_policy(connections)
        self._check_admission()

    def _check_requests(self, now_us: int) -> Counter[int]:
        """Check all requests; return the number of attempts in progress per upstream."""
        requests = self.node.requests
        settings = self.node.settings
        slack_us = settings.answer_slack_us + 2 * settings.tick_us
        attempts = Counter[int]()
        for connection in requests.values():
            require(
                connection.is_concluded or now_us <= connection.deadline_us + slack_us,
                "a request has no final answer in time",
            )
            if connection.attempt and connection.upstream:
                require(not connection.attempt.ended, "a closed attempt counts as in progress")
                attempts[connection.upstream.number] += 1
        require(
            requests.open_ids == {connection.request.id for connection in requests.values()},
            "the recorded ids differ from those of the open requests",
        )
        return attempts

    def _check_policy(self, attempts: Counter[int]) -> None:
        servers = cast("Balancer", self.node.balancer).registry.servers
        for number, server in servers.items():
            require(
                len(server.connections) == attempts[number],
                "the policy's connection count differs from the number of connections",
            )
            require(server.pending_attempts >= 0, "the policy has ended an attempt twice")

    def _check_admission(self) -> None:
        admission = self.node.admission
        require(not admission.idle.keys() & admission.closing.keys(), "a client is both idle and closing")
        require(
            admission.connections >= admission.idle.keys() | admission.closing.keys(),
            "a closed client counts as idle or closing",
        )
        reserved_for_closing = admission.reserved // 4
        descriptors = len(admission.connections) + len(self.node.requests)
        require(
            descriptors <= admission.capacity + reserved_for_closing + 1,
            "more descriptors are in use than are available",
        )


def key_location(upstream: Upstream, traffic_class: TrafficClass) -> object:
    """Return the upstream's zone or cell, depending on the key scope of this class."""
    return getattr(upstream.endpoint, traffic_class.key_scope)
