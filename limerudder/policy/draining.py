"""Migrates the connections of a draining server, spread over a short time."""

from __future__ import annotations

from limerudder.policy.context import PolicyContext
from limerudder.policy.records import SECOND, Server
from limerudder.policy.timers import ConnectionTimers

MIGRATION_PERIOD_US = SECOND  #: Time over which the connections of a draining server are migrated
#: Time after the start of a drain during which reconnecting clients may come from the draining server.
RECONNECT_PERIOD_US = 3 * SECOND


class DrainMigration:
    """Schedules migrations; the Balancer executes each one when its connection's timer fires."""

    def __init__(self, context: PolicyContext, timers: ConnectionTimers) -> None:
        self._clock = context.clock
        self._timers = timers
        self._last_drain_at_us = -RECONNECT_PERIOD_US

    def start(self, server: Server) -> None:
        """Migrate all connections of a server that has started to drain.

        Connections that remain when the server stops are cut off. Migrating all of them at once would cause
        a load spike at the other servers.
        """
        now_us = self._clock.now_us
        migratable = [connection for connection in server.connections.values() if connection.is_migratable]
        if migratable:
            self._last_drain_at_us = now_us
        for position, connection in enumerate(migratable):
            self._timers.schedule(connection, now_us + MIGRATION_PERIOD_US * position // len(migratable))

    def clients_may_reconnect(self) -> bool:
        """Whether reconnecting clients may come from a draining server."""
        return self._clock.now_us < self._last_drain_at_us + RECONNECT_PERIOD_US
