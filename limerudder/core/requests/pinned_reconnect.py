"""Reconnects pinned connections, established before the node started, to the upstreams that serve them."""

from __future__ import annotations

from functools import partial

from limerudder.core.lifecycle.serving_state import ServingState
from limerudder.core.requests.attempt_runner import AttemptRunner
from limerudder.core.requests.final_answers import FinalAnswers
from limerudder.core.requests.proxied_connection import ConnectionState, ProxiedConnection
from limerudder.core.services import NodeServices
from limerudder.core.upstream.registry import UpstreamRegistry
from limerudder.policy.events import AttemptOutcome, ExistingConnection, ServerState

RECONNECT_TIMEOUT_US = 30_000_000  #: Time after which a connection that could not be reconnected fails
_RETRY_INTERVAL_US = 250_000


class PinnedReconnector:
    """Dials the upstream of a pinned connection repeatedly until it accepts or a timeout expires."""

    def __init__(
        self,
        upstreams: UpstreamRegistry,
        attempts: AttemptRunner,
        answers: FinalAnswers,
        serving_state: ServingState,
        services: NodeServices,
    ) -> None:
        self._upstreams = upstreams
        self._attempts = attempts
        self._answers = answers
        self._serving_state = serving_state
        self._timer_wheel = services.timer_wheel
        self._dispatch = services.dispatch

    def start(self, connection: ProxiedConnection, pinned_upstream: str, now_us: int) -> None:
        """Reconnect a connection to the upstream of this name."""
        connection.deadline_us = now_us + RECONNECT_TIMEOUT_US
        connection.retry_pinned = partial(self._retry_later, connection, pinned_upstream)
        self._reconnect(connection, pinned_upstream, now_us)

    def _reconnect(self, connection: ProxiedConnection, pinned_upstream: str, now_us: int) -> None:
        if connection.state is not ConnectionState.WAITING or connection.attempt:
            return
        # get_or_create is not used: a client's line must not create an upstream that was never listed
        upstream = self._upstreams.by_name.get(pinned_upstream)
        if upstream and not connection.attempts_started:
            connection.attempts_started = 1
            connection.upstream = upstream
            self._dispatch(ExistingConnection(*connection.description, upstream.number), now_us)
        if upstream and upstream.state == ServerState.READY and not self._serving_state.shutdown_deadline_us:
            self._attempts.dial(connection, upstream, None, now_us)
        else:
            self._retry_later(connection, pinned_upstream, AttemptOutcome.CONNECT_FAILED, now_us)

    def _retry_later(
        self, connection: ProxiedConnection, pinned_upstream: str, outcome: AttemptOutcome, now_us: int
    ) -> None:
        """Reconnect after a delay; fail the request if that would be too late or the node shuts down."""
        retry_at_us = now_us + _RETRY_INTERVAL_US
        if retry_at_us < connection.deadline_us and not self._serving_state.shutdown_deadline_us:
            self._timer_wheel.schedule(retry_at_us, partial(self._reconnect, connection, pinned_upstream))
            return
        self._answers.fail(connection, now_us)
        self._attempts.report_outcome(connection, outcome, (), now_us)
