"""Many decision modules on one clock beside cold servers: what all of them together send each.

Arrivals at a node are a Poisson process of its own rate; a connection is set up after SETUP and lives for a
random time. Nothing is reported and nobody talks: each module has its own traffic and the list, no more.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from itertools import count
from math import sqrt
from random import Random

from limerudder.policy import Balancer
from limerudder.policy.actions import (
    FailRequest,
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
SETUP = 20_000


class SlowStartFleet:
    """A fleet. `rates`: new connections a second at each node; `load`: what servers carry of all they can."""

    def __init__(
        self, settings: Settings, rates: list[float], servers: int, load: float, life: float, seed: int
    ) -> None:
        self.settings, self.rates, self.life, self.rng = settings, rates, life, Random(seed)
        self.now, self.grown = 100 * SECOND, 1.0
        #: new connections a second that fill a server, once warm
        self.can = sum(rates) / servers / load
        self.since = dict.fromkeys(range(1, servers + 1), 0)
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order, self.ids = count(), count(1)
        self.up: dict[tuple[int, int], int] = {}  # node and request: server
        self.sends: dict[int, list[int]] = {server: [] for server in self.since}
        self.asked = self.refused = 0
        self.nodes: list[Balancer] = []
        for node in range(len(rates)):
            self.nodes.append(self.begin(node))
            self.next(node)

    def begin(self, node: int) -> Balancer:
        """A process without memory: it has the list alone."""
        balancer = Balancer(self.settings, Random(self.rng.random()))
        self.carry(node, balancer, EndpointUpdate(UpdateKind.CACHED, 1, self.entries(self.since)))
        return balancer

    def entries(self, servers: object) -> list[ServerEntry]:
        """These servers as discovery lists them."""
        listed = [s for s in self.since if s in servers]  # type: ignore[operator]
        return [ServerEntry(s, 0, 0, 0, ServerState.READY, 1.0, self.since[s]) for s in listed]

    def later(self, seconds: float, what: Callable[[], None]) -> None:
        """Do it after so long."""
        heapq.heappush(self.due, (self.now + int(seconds * SECOND), next(self.order), what))

    def next(self, node: int) -> None:
        """The node's next new connection."""
        self.later(self.rng.expovariate(self.rates[node] * self.grown), partial(self.arrive, node))

    def arrive(self, node: int) -> None:
        """One has come that stood nowhere before."""
        self.come(node, 0)
        self.next(node)

    def come(self, node: int, flags: int) -> None:
        """A client asks for a connection."""
        self.asked += 1
        deadline = self.settings.classes[0].deadline_us
        self.give(node, NewRequest(next(self.ids), 0, 0, 0, deadline, 0, 0, flags))

    def give(self, node: int, event: Event) -> None:
        """Hand a node an event."""
        self.carry(node, self.nodes[node], event)

    def carry(self, node: int, balancer: Balancer, event: Event) -> None:
        """Hand it over and do what the module says."""
        for action in balancer.handle(event, self.now):
            if isinstance(action, SetTimer):
                wait = max(action.due_at_us - self.now, 0) / SECOND
                self.later(wait, partial(self.timer, node, balancer, action.token))
            elif isinstance(action, StartAttempt):
                self.up[node, action.request_id] = action.server_id
                self.sends[action.server_id].append(self.now)
                self.later(SETUP / SECOND, partial(self.stand, node, action.request_id))
            elif isinstance(action, RejectRequest | FailRequest):
                self.refused += 1

    def timer(self, node: int, balancer: Balancer, token: int) -> None:
        """A timer is due, unless its process has ended."""
        if self.nodes[node] is balancer:
            self.give(node, TimerFired(token))

    def stand(self, node: int, request: int) -> None:
        """It is set up, and will end."""
        if (server := self.up.get((node, request))) is not None:
            self.give(node, ConnectionEstablished(request, server, 0, SETUP))
            self.later(self.rng.expovariate(1 / self.life), partial(self.end, node, request))

    def end(self, node: int, request: int) -> None:
        """It has ended by itself."""
        if (server := self.up.pop((node, request), None)) is not None:
            self.give(node, AttemptEnded(request, 0, server, AttemptOutcome.OK, SETUP, 1, ()))

    def cool(self, servers: list[int]) -> None:
        """These servers start anew; all nodes hear of it at once, and what stood there comes again."""
        for server in servers:
            self.since[server], self.sends[server] = self.now, []
        for (node, request), server in list(self.up.items()):
            if server in servers:
                del self.up[node, request]
                self.give(node, AttemptEnded(request, 0, server, AttemptOutcome.RESET, SETUP, 1, ()))
                self.again()
        for node in range(len(self.nodes)):
            self.give(node, EndpointUpdate(UpdateKind.DELTA, 2, self.entries(servers)))

    def restart(self, nodes: list[int]) -> None:
        """These processes end and begin without memory; their clients come again, to any node."""
        for node in nodes:
            for key in [key for key in self.up if key[0] == node]:
                del self.up[key]
                self.again()
            self.nodes[node] = self.begin(node)

    def again(self) -> None:
        """A client that stood comes again within a second."""
        node = self.rng.choices(range(len(self.nodes)), self.rates)[0]
        self.later(self.rng.uniform(0.1, 1), partial(self.come, node, FLAG_RECONNECT))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + int(seconds * SECOND)
        while self.due and self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until

    def worst(self, chance: float = 2.0) -> float:
        """The fullest window of any cold server: calls over its budget and what is put down to chance.

        The budget N is `overload_factor` times what the server can do at the window's begin, times the
        window; `chance` roots of N and two more may come besides. Over 1 it would fall.
        """
        told, most = self.settings, 0.0
        for server, sends in self.sends.items():
            start = 0
            for at, sent in enumerate(sends):
                while sends[start] <= sent - told.overload_window_us:
                    start += 1
                age = (sends[start] - self.since[server]) / told.warm_up_us
                if self.since[server] and age < 1:
                    share = told.initial_capacity + (1 - told.initial_capacity) * age
                    n = told.overload_factor * share * self.can * told.overload_window_us / SECOND
                    most = max(most, (at - start + 1) / (n + chance * sqrt(n) + 2))
        return most
