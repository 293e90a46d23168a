"""Simulates several policies on one clock with overloaded servers that send no load reports.

Work that exceeds a server's capacity accumulates in a backlog, which delays messages; some servers reset
their newest connections while the backlog is long. Clients reconnect after a migration or a reset.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from limerudder.policy import Balancer
from limerudder.policy.actions import (
    Action,
    FailRequest,
    MigrateClient,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from limerudder.policy.events import (
    FLAG_RECONNECT,
    AttemptEnded,
    AttemptOutcome,
    ConnectionEstablished,
    EndpointUpdate,
    Event,
    LatencySample,
    LoadSample,
    NewRequest,
    ServerEntry,
    ServerState,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.settings import Settings

SECOND = 1_000_000
STEP = SECOND // 10  #: Interval of the backlog updates, in microseconds
GROUP_LOAD_US_PER_SECOND = 30_000.0  #: Work for each group at each of its servers, shared by its clients
CONNECT_SECONDS = 0.02
RESET_BACKLOG_SECONDS = 2.0  #: Backlog above which servers reset their newest connections
RESET_FRACTION = 10  #: One in this number of connections is reset
REPORTED_BACKLOG_SECONDS = 0.02  #: Shorter backlogs cause no latency samples
RECONNECT_SECONDS = (0.1, 2.0)  #: Range of the delay after a restart of a node
MIGRATION_SECONDS = 0.3  #: Typical delay before a migrated client reconnects
RESET_SECONDS = 0.5  #: Typical delay before a client reconnects after a reset
MAX_REJECTION_BACKOFF_SECONDS = 5


@dataclass
class SimulatedServer:
    """One server; capacity and loads are in microseconds of work per second."""

    id: int
    capacity: float
    backlog_seconds: float = 0.0
    clients: list[SimulatedClient] = field(default_factory=list)

    def relative_load(self) -> float:
        """Return the load as a share of the capacity; each group's shared work counts once."""
        groups = {client.group for client in self.clients}
        client_load = sum(client.load for client in self.clients)
        return (client_load + GROUP_LOAD_US_PER_SECOND * len(groups)) / self.capacity


@dataclass(eq=False)
class SimulatedClient:
    """One client, its connection, and the server it is connected to."""

    key: int
    traffic_class: int
    load: float
    group: int
    is_reconnect: bool = False
    node: int = -1
    request: int = 0
    server: SimulatedServer | None = None
    rejections: int = 0  # rejections since the last attempt


class OverloadFleet:
    """Nodes, servers and clients; `served` is the served share of the priority weights in each step."""

    def __init__(
        self,
        settings: Settings,
        capacities: list[float],
        clients: list[SimulatedClient],
        seed: int,
        resets_connections: bool,
    ) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 10 * SECOND
        self.resets_connections = resets_connections
        self.servers = {n + 1: SimulatedServer(n + 1, capacity) for n, capacity in enumerate(capacities)}
        self.clients = clients
        self.requests: dict[tuple[int, int], SimulatedClient] = {}  # clients by node and request id
        self.served: list[float] = []
        self.attempts = 0
        self.resets = 0
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._schedule_order = count()
        self._request_ids = count(1)
        self.nodes: list[Balancer] = []
        for node in range(settings.node_count):
            self.nodes.append(self._start_node(node))

    def run(self, seconds: float) -> None:
        """Run the simulation for `seconds`."""
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            while self._scheduled and self._scheduled[0][0] <= self.now:
                _, _, task = heapq.heappop(self._scheduled)
                task()
            self._update_backlogs()
            samples_latency = self.settings.reports_latency and not self.resets_connections
            if self.now % SECOND == 0 and samples_latency:
                self._sample_latencies()
            self.now += STEP

    def restart(self, node: int) -> None:
        """Replace a node's process by a new one; all its clients reconnect to random nodes."""
        clients = [client for (client_node, _), client in self.requests.items() if client_node == node]
        self.nodes[node] = self._start_node(node)
        for client in clients:
            self._disconnect(client)
            self.schedule(self.rng.uniform(*RECONNECT_SECONDS), partial(self.connect, client))

    def schedule(self, seconds: float, task: Callable[[], None]) -> None:
        """Run a task after `seconds`."""
        due_at = self.now + int(seconds * SECOND)
        heapq.heappush(self._scheduled, (due_at, next(self._schedule_order), task))

    def connect(self, client: SimulatedClient) -> None:
        """Send a client's request for a connection to a random node."""
        client.node = self.rng.randrange(len(self.nodes))
        client.request = next(self._request_ids)
        self.requests[client.node, client.request] = client
        deadline_us = self.settings.classes[client.traffic_class].deadline_us
        flags = FLAG_RECONNECT if client.is_reconnect else 0
        request = NewRequest(
            client.request, client.traffic_class, 0, client.key, deadline_us, 0, client.group, flags
        )
        self._deliver(client.node, request)

    def _start_node(self, node: int) -> Balancer:
        """Start a process whose only state is the endpoint list."""
        balancer = Balancer(self.settings, Random(self.rng.random()))
        entries = [ServerEntry(server, 0, 0, 0, ServerState.READY, 1.0, 0) for server in self.servers]
        self._deliver_to(node, balancer, EndpointUpdate(UpdateKind.CACHED, 1, entries))
        return balancer

    def _disconnect(self, client: SimulatedClient) -> None:
        if client.server:
            client.server.clients.remove(client)
        client.server = None
        client.is_reconnect = True
        self.requests.pop((client.node, client.request), None)

    def _deliver(self, node: int, event: Event) -> None:
        self._deliver_to(node, self.nodes[node], event)

    def _deliver_to(self, node: int, balancer: Balancer, event: Event) -> None:
        for action in balancer.handle(event, self.now):
            self._execute(node, balancer, action)

    def _execute(self, node: int, balancer: Balancer, action: Action) -> None:
        if isinstance(action, SetTimer):
            wait_seconds = max(action.due_at_us - self.now, 0) / SECOND
            self.schedule(wait_seconds, partial(self._fire_timer, node, balancer, action.token))
            return
        client = self.requests.get((node, getattr(action, "request_id", 0)))
        if client is None:
            return
        if isinstance(action, StartAttempt):
            self._start_attempt(client, self.servers[action.server_id])
        elif isinstance(action, MigrateClient) and client.server:
            self._end_connection(client, AttemptOutcome.CANCELLED, MIGRATION_SECONDS)
        elif isinstance(action, RejectRequest | FailRequest):
            client.rejections += 1
            self.requests.pop((node, client.request), None)
            backoff_seconds = min(0.3 * 2**client.rejections, MAX_REJECTION_BACKOFF_SECONDS)
            self.schedule(backoff_seconds, partial(self.connect, client))

    def _start_attempt(self, client: SimulatedClient, server: SimulatedServer) -> None:
        self.attempts += 1
        client.server = server
        server.clients.append(client)
        client.rejections = 0
        self.schedule(CONNECT_SECONDS, partial(self._establish, client.node, client, client.request))

    def _fire_timer(self, node: int, balancer: Balancer, token: int) -> None:
        """Deliver a timer unless its process has been replaced."""
        if self.nodes[node] is balancer:
            self._deliver(node, TimerFired(token))

    def _establish(self, node: int, client: SimulatedClient, request: int) -> None:
        """Establish a connection and deliver a sample of its load."""
        if client.request != request or not client.server:
            return
        connect_us = int(CONNECT_SECONDS * SECOND)
        self._deliver(node, ConnectionEstablished(request, client.server.id, 0, connect_us))
        if client.request == request and client.server:
            self._deliver(node, LoadSample(request, client.server.id, client.load, 0))

    def _end_connection(
        self, client: SimulatedClient, outcome: AttemptOutcome, reconnect_seconds: float
    ) -> None:
        """End an established connection; its client reconnects after about `reconnect_seconds`."""
        server = client.server
        assert server is not None
        ended = AttemptEnded(client.request, 0, server.id, int(outcome), 0, 1, ())
        node = client.node
        self._disconnect(client)
        self.schedule(reconnect_seconds * self.rng.uniform(0.5, 2), partial(self.connect, client))
        self.schedule(0, lambda: self._deliver(node, ended))

    def _update_backlogs(self) -> None:
        """Update the backlogs; clients are served while the backlog is below their message objective."""
        classes = self.settings.classes
        served_weight = 0.0
        for server in self.servers.values():
            growth_seconds = (server.relative_load() - 1) * STEP / SECOND
            server.backlog_seconds = max(server.backlog_seconds + growth_seconds, 0.0)
            for client in server.clients:
                traffic_class = classes[client.traffic_class]
                is_served = server.backlog_seconds * SECOND < traffic_class.message_objective_us
                served_weight += traffic_class.priority_weight * is_served
            if self.resets_connections and server.backlog_seconds > RESET_BACKLOG_SECONDS:
                self._reset_newest(server)
        total_weight = sum(classes[client.traffic_class].priority_weight for client in self.clients)
        self.served.append(served_weight / total_weight)

    def _reset_newest(self, server: SimulatedServer) -> None:
        reset_count = max(len(server.clients) // RESET_FRACTION, 1)
        for client in server.clients[-reset_count:]:
            self.resets += 1
            self._end_connection(client, AttemptOutcome.RESET, RESET_SECONDS)

    def _sample_latencies(self) -> None:
        """Deliver a latency sample of each slow server to each node, from one of its connections there."""
        for server in self.servers.values():
            for node in range(len(self.nodes)):
                clients = [client for client in server.clients if client.node == node]
                if clients and server.backlog_seconds > REPORTED_BACKLOG_SECONDS:
                    latency_ms = server.backlog_seconds * 1000
                    self._deliver(node, LatencySample(clients[0].request, server.id, latency_ms, 0))
