"""The servers that discovery lists, and those among them that new connections may join."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.policy.actions import SetTimer
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import EndpointUpdate, ServerEntry, ServerState, UpdateKind
from limerudder.policy.hash_ring import HashRing
from limerudder.policy.records import SECOND, Server
from limerudder.policy.slow_start import SlowStartBudget
from limerudder.policy.timers import TimerToken

MAX_WEIGHT = 100.0  #: a listed size beyond that, or below its inverse, is a mistake and cut off there
#: A server that operators put back counts as returned for so long, or until it gets its first connection.
RETURNED_SERVER_LIFETIME_US = 4 * SECOND
NEVER_US = 1 << 62
RETURNED_SERVER_INTERVAL_US = SECOND // 2  #: between two connections that are migrated for its sake

StateListener = Callable[[Server], None]


class ServerRegistry:
    """Keeps the servers in the states in which discovery and operators have listed them."""

    def __init__(self, context: PolicyContext, slow_start: SlowStartBudget) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.ready_weight = 0.0  #: of all ready servers together
        self._ready_version = 0  # counts the changes of the set of ready servers
        self.ring = HashRing()
        #: Servers that operators put back and that are not used yet, and until when that matters.
        self.returned: dict[Server, int] = {}
        self._settings = context.settings
        self._clock = context.clock
        self._actions = context.actions
        self._slow_start = slow_start
        #: Servers in slow start, used as an ordered set; replaced by another one when it changes.
        self.warming_up: dict[Server, None] = {}
        self._starting: dict[Server, None] = {}  # to be added to them when the update is through
        self.first_warm_us = NEVER_US  #: when the first of them is warm
        self._last_warm_us = 0  # when the last of them is

    def apply(self, update: EndpointUpdate, on_state_change: StateListener) -> None:
        """Take over an update; `on_state_change` is called when a server becomes or ceases to be ready."""
        if update.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            self._remove_unlisted({entry.server_id for entry in update.entries}, on_state_change)
            self.ready_weight = sum(server.weight for server in self.ready)  # free of rounding errors again
        by_operator = update.kind == UpdateKind.OPERATOR
        for entry in update.entries:
            server = self._update_server(entry)
            self._set_state(server, entry.state, on_state_change)
            if by_operator and entry.state == ServerState.READY:
                self._mark_returned(server)
        self.update_slow_start()

    def get_or_create(self, server_id: int) -> Server:
        """Return a server, which may not be listed yet."""
        server = self.servers.get(server_id)
        if server is None:
            server = Server(server_id)
            self.servers[server_id] = server
        return server

    def update_slow_start(self) -> None:
        """Tell the slow-start budget which ready servers are still warming up."""
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
        weight = min(MAX_WEIGHT, max(1 / MAX_WEIGHT, entry.weight))  # NaN becomes the smallest
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
