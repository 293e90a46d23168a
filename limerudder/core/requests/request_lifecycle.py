"""The lifecycle of a request, from its acceptance to its final answer or its client's disconnection."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.lifecycle.serving_state import ServingState
from limerudder.core.node_config import Names
from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.ports import ClientSession, ConnectRequest
from limerudder.core.requests.attempt_runner import AttemptRunner
from limerudder.core.requests.connection_sampler import ConnectionSampler
from limerudder.core.requests.final_answers import FinalAnswer, FinalAnswers
from limerudder.core.requests.pinned_reconnect import PinnedReconnector
from limerudder.core.requests.proxied_connection import (
    ConnectionEventHandlers,
    ConnectionState,
    ProxiedConnection,
)
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.services import NodeServices
from limerudder.policy.actions import FailRequest, RejectRequest
from limerudder.policy.events import FLAG_RECONNECT, AttemptOutcome, ClientDisconnected, NewRequest

_FLAG_HAS_HINT = 1
_FLAG_RETRY = 2


class RequestLifecycle:
    """Accepts requests and ensures that each gets exactly one final answer in time."""

    def __init__(
        self,
        requests: RequestTable,
        attempts: AttemptRunner,
        answers: FinalAnswers,
        reconnector: PinnedReconnector,
        sampler: ConnectionSampler,
        admission: AdmissionControl,
        serving_state: ServingState,
        names: Names,
        services: NodeServices,
    ) -> None:
        self.on_request_accepted: list[Callable[[int], None]] = []  # called with the request's id
        self._requests = requests
        self._attempts = attempts
        self._answers = answers
        self._reconnector = reconnector
        self._handlers = ConnectionEventHandlers(self, attempts, sampler)
        self._admission = admission
        self._serving_state = serving_state
        self._class_indexes = {name: index for index, name in enumerate(names.classes)}
        self._tenant_indexes = {name: index for index, name in enumerate(names.tenants)}
        self._settings = services.settings
        self._timer_wheel = services.timer_wheel
        self._counters = services.counters
        self._log = services.log
        self._dispatch = services.dispatch

    def accept(
        self, session: ClientSession, request: ConnectRequest, now_us: int
    ) -> ProxiedConnection | None:
        """Accept a request, or reject it immediately if there is no capacity for it.

        Returns None if the request is invalid: it has unknown names, or the id of another request.
        """
        class_index = self._class_indexes.get(request.class_name)
        if class_index is None or not self._is_valid_tenant(request.tenant):
            self._counters.increment(CounterName.REQUESTS_UNKNOWN_NAME)
            return None
        if self._requests.is_id_used(request.id):
            self._counters.increment(CounterName.REQUESTS_DUPLICATE_ID)
            return None
        self._counters.increment(CounterName.REQUESTS)
        connection = self._new_connection(session, request, class_index, now_us)
        if self._serving_state.rejects_requests or not self._has_capacity():
            self._answers.count(FinalAnswer.REJECTED, class_index)
            connection.finish()
            session.reject(0, now_us)
            return connection
        self._requests.add(connection)
        for notify in self.on_request_accepted:
            notify(request.id)
        self._admission.free_descriptors(now_us)  # the attempt needs a descriptor
        self._start(connection, now_us)
        return connection

    def _is_valid_tenant(self, tenant: str) -> bool:
        return not tenant or not self._tenant_indexes or tenant in self._tenant_indexes

    def _has_capacity(self) -> bool:
        """Return whether two descriptors, for client and upstream, are available for another request."""
        return 2 * len(self._requests) + 2 <= self._admission.capacity

    def _new_connection(
        self, session: ClientSession, request: ConnectRequest, class_index: int, now_us: int
    ) -> ProxiedConnection:
        time_left_us = request.time_left_us
        if time_left_us is None:
            time_left_us = self._settings.classes[class_index].deadline_us
        flags = (
            _FLAG_HAS_HINT * (request.hint is not None)
            + _FLAG_RETRY * request.is_retry
            + FLAG_RECONNECT * request.is_reconnect
        )
        description = NewRequest(
            self._requests.next_number(),
            class_index,
            self._tenant_indexes.get(request.tenant, len(self._tenant_indexes)),
            request.key,
            time_left_us,
            request.hint or 0,
            request.group,
            flags,
        )
        return ProxiedConnection(description, session, request, now_us + time_left_us, self._handlers)

    def _start(self, connection: ProxiedConnection, now_us: int) -> None:
        pinned_upstream = connection.request.pinned_upstream
        if pinned_upstream is not None:
            self._counters.increment(CounterName.REQUESTS_REATTACHED)
            self._reconnector.start(connection, pinned_upstream, now_us)
            return
        overdue_at_us = connection.deadline_us + self._settings.answer_slack_us
        connection.overdue_timer = self._timer_wheel.schedule(
            overdue_at_us, partial(self._fail_overdue, connection)
        )
        self._dispatch(connection.description, now_us)

    def _fail_overdue(self, connection: ProxiedConnection, now_us: int) -> None:
        """Fail a request that the policy has not answered in time."""
        if connection.state is ConnectionState.WAITING:
            self._counters.increment(CounterName.REQUESTS_OVERDUE)
            text = "node: the policy did not answer a request in time; it was answered as failed"
            self._log(LogKind.REQUEST_OVERDUE, text)
            self._fail_and_notify_policy(connection, now_us)

    def _fail_and_notify_policy(self, connection: ProxiedConnection, now_us: int) -> None:
        """Fail a request, and report it to the policy as if its client had disconnected."""
        self._answers.fail(connection, now_us)
        self._dispatch(ClientDisconnected(connection.number), now_us)

    # actions of the policy

    def reject(self, action: RejectRequest, now_us: int) -> None:
        """Reject a request that is waiting for its answer."""
        connection = self._requests.by_number.get(action.request_id)
        if connection and connection.state is ConnectionState.WAITING:
            retry_after_us = min(action.retry_after_us, self._settings.max_retry_after_us)
            self._answers.reject(connection, retry_after_us, now_us)

    def fail(self, action: FailRequest, now_us: int) -> None:
        """Fail a request that is waiting for its answer."""
        connection = self._requests.by_number.get(action.request_id)
        if connection and connection.state is ConnectionState.WAITING:
            self._answers.fail(connection, now_us)

    def policy_failed(self, request_number: int, now_us: int) -> None:
        """Fail a request whose event the policy could not handle, if it is waiting for its answer."""
        connection = self._requests.by_number.get(request_number)
        if connection and connection.state is ConnectionState.WAITING:
            self._fail_and_notify_policy(connection, now_us)

    # events of the client's session

    def client_disconnected(self, connection: ProxiedConnection, now_us: int) -> None:
        """End the request or connection of a client that has disconnected."""
        if connection.is_established:
            self._attempts.abort(connection, AttemptOutcome.CANCELLED, now_us)
        elif connection.state is ConnectionState.WAITING:
            self._counters.increment(CounterName.CLIENTS_DISCONNECTED)
            connection.finish()
            if connection.request.pinned_upstream is not None:
                self._abandon_pinned(connection, now_us)
            else:
                self._abandon(connection, now_us)

    def _abandon(self, connection: ProxiedConnection, now_us: int) -> None:
        """End a request; the policy decides whether to cancel the attempt in progress."""
        self._dispatch(ClientDisconnected(connection.number), now_us)
        if connection.attempt is None:
            self._requests.remove(connection)

    def _abandon_pinned(self, connection: ProxiedConnection, now_us: int) -> None:
        if connection.attempt:
            self._attempts.abort(connection, AttemptOutcome.CANCELLED, now_us)
        else:
            self._requests.remove(connection)
            self._attempts.report_outcome(connection, AttemptOutcome.CANCELLED, (), now_us)
