"""The record of a request and its connection; receives the events of its session and attempts."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from limerudder.core.ports import Attempt, ClientSession, ConnectRequest
from limerudder.core.timer_wheel import Timer
from limerudder.core.upstream.registry import Upstream
from limerudder.policy.events import AttemptOutcome, NewRequest

if TYPE_CHECKING:
    from limerudder.core.requests.attempt_runner import AttemptRunner
    from limerudder.core.requests.connection_sampler import ConnectionSampler
    from limerudder.core.requests.request_lifecycle import RequestLifecycle


class ConnectionState(Enum):
    """The progress of a request; it never returns to an earlier state."""

    WAITING = auto()  # waiting for its final answer
    ESTABLISHED = auto()  # served by an upstream
    FINISHED = auto()  # answered, or its client has disconnected; its attempt may still be closing


class ConnectionEventHandlers(NamedTuple):
    """The components of the node that handle the events of sessions and attempts."""

    lifecycle: RequestLifecycle
    attempts: AttemptRunner
    sampler: ConnectionSampler


class ProxiedConnection:
    """One request and, once an upstream serves it, its connection.

    It is the `RequestObserver` of its client's session and the `AttemptObserver` of its attempts.
    """

    def __init__(
        self,
        description: NewRequest,
        session: ClientSession,
        request: ConnectRequest,
        deadline_us: int,
        handlers: ConnectionEventHandlers,
    ) -> None:
        self.number = description.request_id
        self.class_index = description.traffic_class
        self.description = description  # the request in the form that the policy receives
        self.session = session
        self.request = request
        self.deadline_us = deadline_us
        self.state = ConnectionState.WAITING
        self.overdue_timer: Timer | None = None
        self.retry_pinned: Callable[[AttemptOutcome, int], None] | None = None  # set for pinned connections
        self.attempts_started = 0
        self.was_sent = False  # whether an upstream may have received the request
        self.attempt: Attempt | None = None  # the attempt in progress
        self.attempt_started_us = 0
        self.write_allowed_us: int | None = None  # time at which the guard allowed the write in progress
        self.attempt_timers: list[Timer] = []
        self.upstream: Upstream | None = None  # the upstream of the last attempt
        self._handlers = handlers

    @property
    def is_established(self) -> bool:
        """Whether an upstream serves this connection."""
        return self.state is ConnectionState.ESTABLISHED

    @property
    def is_concluded(self) -> bool:
        """Whether the request has been answered or its client has disconnected."""
        return self.state is not ConnectionState.WAITING

    def establish(self) -> None:
        """Record that an upstream serves the connection."""
        self.state = ConnectionState.ESTABLISHED
        self._cancel_overdue_timer()

    def finish(self) -> None:
        """Record that the request needs no answer and no upstream serves the connection."""
        self.state = ConnectionState.FINISHED
        self._cancel_overdue_timer()

    def _cancel_overdue_timer(self) -> None:
        if self.overdue_timer:
            self.overdue_timer.cancel()

    def cancel_attempt_timers(self) -> None:
        """Cancel the timeouts of the attempt."""
        for timer in self.attempt_timers:
            timer.cancel()
        self.attempt_timers = []

    def client_disconnected(self, now_us: int) -> None:
        """Handle the client's disconnection."""
        self._handlers.lifecycle.client_disconnected(self, now_us)

    def attempt_ready(self, now_us: int) -> bool:
        """Return whether the request may be written to the connected upstream."""
        return self._handlers.attempts.attempt_ready(self, now_us)

    def attempt_sent(self, now_us: int) -> None:
        """Handle the end of the write of the request."""
        self._handlers.attempts.attempt_sent(self, now_us)

    def attempt_established(self, now_us: int) -> None:
        """Handle the upstream's acceptance of the connection."""
        self._handlers.attempts.attempt_established(self, now_us)

    def attempt_ended(self, outcome: AttemptOutcome, report: tuple[float, ...], now_us: int) -> None:
        """Handle the end of the attempt; its connection is closed."""
        self._handlers.attempts.attempt_ended(self, outcome, report, now_us)

    def attempt_load_reported(self, load: float, now_us: int) -> None:
        """Handle a load report of the upstream for the connection."""
        self._handlers.sampler.load_reported(self, load, now_us)

    def attempt_latency_measured(self, latency_us: int, now_us: int) -> None:
        """Handle the latency of the upstream's answer to a message."""
        self._handlers.sampler.latency_measured(self, latency_us, now_us)
