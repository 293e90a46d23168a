"""A tier of real modules on one clock, with stand-in hosts of which nothing is reported.

A host works off what its connections ask; what it cannot piles up, messages wait behind the pile, and some
hosts break off their newest connections while too much is piled up. Clients that are moved or broken off come
again.
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
from limerudder.policy.settings import (
    Settings,
)

SECOND = 1_000_000
STEP = SECOND // 10
SHED_PILE = 2.0  #: seconds piled up at which hosts break off their newest


@dataclass
class SimulatedHost:
    """One host: `can` and loads in microseconds of work a second, the pile in seconds of all it can do."""

    id: int
    can: float
    pile: float = 0.0
    there: list[SimulatedClient] = field(default_factory=list)

    def asked(self) -> float:
        """Load over what it can do, each group once more."""
        groups = {client.group for client in self.there}
        return (sum(client.load for client in self.there) + OverloadFleet.SHARED * len(groups)) / self.can


@dataclass(eq=False)
class SimulatedClient:
    """One client, its connection, and where it stands."""

    key: int
    cls: int
    load: float
    group: int
    came: bool = False
    node: int = -1
    request: int = 0
    host: SimulatedHost | None = None
    waits: int = 0  # refusals since it was last up


class OverloadFleet:
    """Nodes, hosts and clients; `served` is the share of the worth at each STEP."""

    SHARED = 30_000.0

    def __init__(
        self, settings: Settings, hosts: list[float], clients: list[SimulatedClient], seed: int, shed: bool
    ) -> None:
        self.rng, self.now, self.shed = Random(seed), 10 * SECOND, shed
        self.settings = settings
        self.hosts = {n + 1: SimulatedHost(n + 1, can) for n, can in enumerate(hosts)}
        self.clients, self.requests = clients, dict[tuple[int, int], SimulatedClient]()
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order, self.ids = count(), count(1)
        self.served, self.attempts, self.broken = list[float](), 0, 0
        self.nodes = list[Balancer]()
        for node in range(settings.node_count):
            self.nodes.append(self.begin(node))

    def begin(self, node: int) -> Balancer:
        """A process that has just begun and knows discovery's list alone."""
        balancer = Balancer(self.settings, Random(self.rng.random()))
        entries = [ServerEntry(h, 0, 0, 0, ServerState.READY, 1.0, 0) for h in self.hosts]
        self.carry(node, balancer, EndpointUpdate(UpdateKind.CACHED, 1, entries))
        return balancer

    def restart(self, node: int) -> None:
        """The process ends, and all its clients come again; another takes its place, as after an upgrade."""
        left = [client for (at, _), client in self.requests.items() if at == node]
        self.nodes[node] = self.begin(node)
        for client in left:
            self.leave(client)
            self.later(self.rng.uniform(0.1, 2), partial(self.come, client))

    def later(self, seconds: float, what: Callable[[], None]) -> None:
        """Do it after so long."""
        heapq.heappush(self.due, (self.now + int(seconds * SECOND), next(self.order), what))

    def come(self, client: SimulatedClient) -> None:
        """A client asks for a connection at any node."""
        client.node, client.request = self.rng.randrange(len(self.nodes)), next(self.ids)
        self.requests[client.node, client.request] = client
        deadline = self.settings.classes[client.cls].deadline_us
        flags = FLAG_RECONNECT if client.came else 0
        self.give(
            client.node,
            NewRequest(client.request, client.cls, 0, client.key, deadline, 0, client.group, flags),
        )

    def leave(self, client: SimulatedClient) -> None:
        """Its connection is no more."""
        if client.host:
            client.host.there.remove(client)
        client.host, client.came = None, True
        self.requests.pop((client.node, client.request), None)

    def give(self, node: int, event: Event) -> None:
        """Hand a node an event."""
        self.carry(node, self.nodes[node], event)

    def carry(self, node: int, balancer: Balancer, event: Event) -> None:
        """Hand it over and do what the module says."""
        for action in balancer.handle(event, self.now):
            client = self.requests.get((node, getattr(action, "request_id", 0)))
            if isinstance(action, SetTimer):
                wait = max(action.due_at_us - self.now, 0) / SECOND
                self.later(wait, partial(self.timer, node, balancer, action.token))
            elif isinstance(action, StartAttempt) and client:
                self.attempts += 1
                client.host = self.hosts[action.server_id]
                client.host.there.append(client)
                client.waits = 0
                self.later(0.02, partial(self.up, node, client, client.request))
            elif isinstance(action, MigrateClient) and client and client.host:
                self.gone(client, AttemptOutcome.CANCELLED, 0.3)
            elif isinstance(action, RejectRequest | FailRequest) and client:
                client.waits += 1
                self.requests.pop((node, client.request), None)
                self.later(min(0.3 * 2**client.waits, 5), partial(self.come, client))

    def timer(self, node: int, balancer: Balancer, token: int) -> None:
        """A timer is due, unless its process has ended."""
        if self.nodes[node] is balancer:
            self.give(node, TimerFired(token))

    def up(self, node: int, client: SimulatedClient, request: int) -> None:
        """A connection is set up, and tells its load."""
        if client.request == request and client.host:
            self.give(node, ConnectionEstablished(request, client.host.id, 0, 20_000))
            if client.request == request and client.host:
                self.give(node, LoadSample(request, client.host.id, client.load, 0))

    def gone(self, client: SimulatedClient, ending: AttemptOutcome, wait: float) -> None:
        """A connection that stood has ended; its client comes again."""
        node, request, host = client.node, client.request, client.host
        assert host is not None
        self.leave(client)
        self.later(wait * self.rng.uniform(0.5, 2), partial(self.come, client))
        self.later(0, lambda: self.give(node, AttemptEnded(request, 0, host.id, int(ending), 0, 1, ())))

    def run(self, seconds: float) -> None:
        """Let time pass. Worth is earned where the pile is shorter than the message aim of the class."""
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            worth = 0.0
            for host in self.hosts.values():
                host.pile = max(host.pile + (host.asked() - 1) * STEP / SECOND, 0.0)
                for client in host.there:
                    aim = self.settings.classes[client.cls].message_objective_us
                    worth += self.settings.classes[client.cls].priority_weight * (host.pile * SECOND < aim)
                if self.shed and host.pile > SHED_PILE:
                    for client in host.there[-max(len(host.there) // 10, 1) :]:
                        self.broken += 1
                        self.gone(client, AttemptOutcome.RESET, 0.5)
            self.served.append(
                worth / sum(self.settings.classes[c.cls].priority_weight for c in self.clients)
            )
            if self.now % SECOND == 0 and self.settings.reports_latency and not self.shed:
                self.tell()
            self.now += STEP

    def tell(self) -> None:
        """Once a second, what a message takes at hosts where that is long, on one connection of each node."""
        for host in self.hosts.values():
            for node in range(len(self.nodes)):
                up = [c for c in host.there if c.node == node]
                if up and host.pile > 0.02:
                    self.give(node, LatencySample(up[0].request, host.id, host.pile * 1000, 0))
