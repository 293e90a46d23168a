"""Final answers that the node gives by itself; an upstream's own answer is relayed by its attempt."""

from __future__ import annotations

from enum import Enum

from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.metrics import RequestOutcome
from limerudder.core.operations.rule_monitor import Rule
from limerudder.core.requests.attempt_runner import AttemptRunner
from limerudder.core.requests.proxied_connection import ProxiedConnection
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.services import NodeServices
from limerudder.policy.events import AttemptOutcome

MAX_ANSWER_DELAY_US = 500_000  #: after the deadline; an answer that comes later is lost


class FinalAnswer(Enum):
    """A final answer of the node, with its counter and the outcome that the metrics record."""

    REJECTED = (CounterName.ANSWERS_REJECTED, RequestOutcome.THROTTLED)
    FAILED = (CounterName.ANSWERS_FAILED, RequestOutcome.FAULTED)

    def __init__(self, counter: CounterName, outcome: RequestOutcome) -> None:
        self.counter = counter
        self.outcome = outcome


class FinalAnswers:
    """Gives waiting requests their final answer and ends their attempt."""

    def __init__(self, requests: RequestTable, attempts: AttemptRunner, services: NodeServices) -> None:
        self._requests = requests
        self._attempts = attempts
        self._counters = services.counters
        self._metrics = services.metrics
        self._traffic_log = services.traffic_log
        self._rule_monitor = services.rule_monitor

    def reject(self, connection: ProxiedConnection, retry_after_us: int, now_us: int) -> None:
        """Reject a request; its client is advised to retry after this time if it is not 0."""
        self.conclude(connection, FinalAnswer.REJECTED, now_us)
        connection.session.reject(retry_after_us, now_us)

    def fail(self, connection: ProxiedConnection, now_us: int) -> None:
        """Fail a request."""
        self.conclude(connection, FinalAnswer.FAILED, now_us)
        connection.session.fail(now_us)

    def conclude(self, connection: ProxiedConnection, answer: FinalAnswer, now_us: int) -> None:
        """Count the answer and end the request; the caller sends the answer to the client."""
        self._check_rules(connection, now_us)
        self.count(answer, connection.class_index)
        answer_name = answer.name.lower()
        self._traffic_log.request_answered(connection.request.id, answer_name, connection.attempts_started)
        connection.finish()
        if connection.attempt:
            self._attempts.give_up(connection, AttemptOutcome.CANCELLED, now_us)
        else:
            self._requests.remove(connection)

    def _check_rules(self, connection: ProxiedConnection, now_us: int) -> None:
        request_id = connection.request.id
        latest_us = connection.deadline_us + MAX_ANSWER_DELAY_US
        self._rule_monitor.check(not connection.has_final_answer, Rule.ONE_ANSWER, request_id)
        self._rule_monitor.check(now_us <= latest_us, Rule.ANSWER_IN_TIME, request_id)

    def count(self, answer: FinalAnswer, class_index: int) -> None:
        """Count a final answer to a request of this class."""
        self._counters.increment(answer.counter)
        self._metrics.record(answer.outcome, class_index)
