"""Checks every request before its upstream is dialled, and again immediately before it is written.

During a dial the client may disconnect, the upstream may drain or restart, or the deadline may pass. So
whether to send is decided just before the write, in one place for first attempts, retries and pinned
reconnects.
"""

from __future__ import annotations

from collections.abc import Callable

from limerudder.core.operations.rule_monitor import Rule, RuleMonitor
from limerudder.core.requests.proxied_connection import ConnectionState, ProxiedConnection
from limerudder.core.upstream.registry import Upstream
from limerudder.policy.events import ServerState
from limerudder.policy.settings import Settings

#: Policy check before a request is written; takes the numbers of request and upstream, and the time (us).
ConfirmSend = Callable[[int, int, int], bool]

#: Maximum time from the guard's approval to the last byte; covers a stalled process and a blocked write.
MAX_WRITE_US = 150_000


class SendGuard:
    """Allows or refuses sends, and checks completed writes against the rules."""

    def __init__(self, settings: Settings, confirm_send: ConfirmSend, monitor: RuleMonitor) -> None:
        self._settings = settings
        self._confirm_send = confirm_send
        self._monitor = monitor

    def may_start(self, connection: ProxiedConnection, upstream: Upstream | None, timeout_us: int) -> bool:
        """Return whether the policy's attempt may be dialled with this timeout."""
        return (
            connection.state is ConnectionState.WAITING
            and connection.attempt is None
            and connection.attempts_started < self._settings.max_attempts
            and timeout_us > 0
            and upstream is not None
            and upstream.state == ServerState.READY
        )

    def may_write(self, connection: ProxiedConnection, now_us: int) -> bool:
        """Return whether the request may be written to the upstream that was just connected."""
        connection.session.check_disconnected(now_us)
        upstream = connection.upstream
        allowed = (
            connection.attempt is not None
            and connection.state is ConnectionState.WAITING
            and now_us < connection.deadline_us
            and upstream is not None
            and upstream.state == ServerState.READY
            and self._confirm_send(connection.number, upstream.number, now_us)
        )
        connection.write_allowed_us = now_us if allowed else None
        return allowed

    def check_written(self, connection: ProxiedConnection, now_us: int) -> None:
        """Check a request whose last byte has just been written against the rules."""
        check = self._monitor.check
        request_id = connection.request.id
        allowed_us = connection.write_allowed_us
        connection.write_allowed_us = None
        check(allowed_us is not None, Rule.SEND_CONFIRMED, request_id)
        if allowed_us is None:
            return
        upstream = connection.upstream
        drains = upstream is None or upstream.state != ServerState.READY
        was_written_late = now_us > allowed_us + MAX_WRITE_US
        warms_up = upstream is not None and self._is_warming_up(upstream, now_us)
        has_client = connection.state is ConnectionState.WAITING
        check(not (drains and was_written_late), Rule.SEND_TO_READY_HOST, request_id)
        check(not (warms_up and was_written_late), Rule.SEND_IN_TURN, request_id)
        check(has_client or not was_written_late, Rule.SEND_FOR_CLIENT, request_id)
        check(allowed_us < connection.deadline_us, Rule.SEND_IN_TIME, request_id)

    def _is_warming_up(self, upstream: Upstream, now_us: int) -> bool:
        return now_us < upstream.ready_since_us + self._settings.warm_up_us
