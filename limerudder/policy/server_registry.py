"""The servers listed by discovery, and those among them that are ready for new connections."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.policy.actions import SetTimer
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import EndpointUpdate, ServerEntry, ServerState, UpdateKind
from limerudder.policy.hash_ring import HashRing
from limerudder.policy.records import SECOND, Server
from limerudder.policy.slow_start import SlowStartBudget
from limerudder.policy.timers import TimerToken

#: Maximum size of a server. Sizes listed above it or below its inverse are errors and clamped.
MAX_WEIGHT = 100.0
#: Time for which a server returned to service is preferred, unless it gets a connection sooner.
RETURNED_SERVER_LIFETIME_US = 4 * SECOND
NEVER_US = 1 << 62
RETURNED_SERVER_INTERVAL_US = SECOND // 2  #: Interval between migrations in favor of returned servers

StateListener = Callable[[Server], None]


class ServerRegistry:
    """Keeps the servers and their states, as set by discovery and operators."""

    def __init__(self, context: PolicyContext, slow_start: SlowStartBudget) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.ready_weight = 0.0  #: Total weight of the ready servers
        self._ready_version = 0  # Number of changes to the set of ready servers
        self.ring = HashRing()
        #: Servers returned to service by operators and not used since, with the end of their preference.
        self.returned: dict[Server, int] = {}
        self._settings = context.settings
        self._clock = context.clock
        self._actions = context.actions
        self._slow_start = slow_start
        #: Servers in slow start, used as an ordered set; replaced on each change, never modified in place.
        self.warming_up: dict[Server, None] = {}
        self._starting: dict[Server, None] = {}  # Added to `warming_up` after the update
        self.first_warm_us = NEVER_US  #: Time at which the first server in slow start is warm
        self._last_warm_us = 0  # Time at which the last server in slow start is warm

    def apply(self, update: EndpointUpdate, on_state_change: StateListener) -> None:
        """Apply an update; `on_state_change` is called when a server becomes ready or is no longer ready."""
        if update.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self._remove_unlisted({entry.server_id for entry in update.entries}, on_state_change)
            self.ready_weight = sum(server.weight for server in self.ready)  # Removes rounding errors
        by_operator = update.kind == UpdateKind.OPERATOR
        for entry in update.entries:
            server = self._update_server(entry)
            self._set_state(server, entry.state, on_state_change)
            if by_operator and entry.state == ServerState.READY:
                self._mark_returned(server)
        self.update_slow_start()

    def get_or_create(self, server_id: int) -> Server:
        """Return a server; it is created if it is not listed yet."""
        server = self.servers.get(server_id)
        if server is None:
            server = Server(server_id)
            self.servers[server_id] = server
        return server

    def update_slow_start(self) -> None:
        """Update the servers in slow start and inform the slow-start budget's capacity reference."""
        now_us = self._clock.now_us
        warm_up_us = self._settings.warm_up_us
        if self._starting or now_us >= self.first_warm_us:
            servers = {**self.warming_up, **self._starting}
            self._starting = {}
            self.warming_up = {s: None for s in servers if now_us < s.ready_since_us + warm_up_us}
            warm_times_us = [s.ready_since_us + warm_up_us for s in self.warming_up]
            self.first_warm_us = min(warm_times_us, default=NEVER_US)
            self._last_warm_us = max(warm_times_us, default=now_us)
        warm_from_us = max(self._last_warm_us, now_us)
        reference = self._slow_start.reference
        reference.update_servers(self._ready_version, self.ready_weight, warm_from_us, now_us)

    def _mark_returned(self, server: Server) -> None:
        now_us = self._clock.now_us
        self.returned[server] = now_us + RETURNED_SERVER_LIFETIME_US
        self._actions.append(SetTimer(now_us + RETURNED_SERVER_INTERVAL_US, TimerToken.RETURNED_SERVER))

    def _remove_unlisted(self, listed_ids: set[int], on_state_change: StateListener) -> None:
        for server in [s for s in self.ready if s.id not in listed_ids]:
            self._set_state(server, ServerState.GONE, on_state_change)

    def _update_server(self, entry: ServerEntry) -> Server:
        server = self.servers.get(entry.server_id)
        if server is None:
            server = Server(entry.server_id)
        becomes_ready = entry.state == ServerState.READY and server.state != ServerState.READY
        if entry.ready_since_us != server.ready_since_us or becomes_ready:
            server.reset()
            self._starting[server] = None
        self.servers[server.id] = server
        server.zone = entry.zone
        server.cell = entry.cell
        server.ready_since_us = entry.ready_since_us
        weight = min(MAX_WEIGHT, max(1 / MAX_WEIGHT, entry.weight))  # NaN becomes the minimum
        if server.state == ServerState.READY:
            self.ready_weight += weight - server.weight
        server.weight = weight
        return server

    def _set_state(self, server: Server, state: int, on_state_change: StateListener) -> None:
        previous_state = server.state
        server.state = state
        if state == previous_state:
            return
        if state == ServerState.READY:
            self.ring.add(server.id, server.weight)
            self.ready.append(server)
            self.ready_weight += server.weight
        elif previous_state == ServerState.READY:
            self.ring.remove(server.id)
            self.ready.remove(server)
            self.ready_weight -= server.weight
        else:
            return
        self._ready_version += 1
        on_state_change(server)
