"""Simulates many policies on one clock with servers in slow start, and counts the attempts at each server.

Requests at a node are a Poisson process with a rate per node; a connection is established after a fixed time
and has a random lifetime. There are no load reports and no peer messages: each policy has only its own
traffic and the endpoint list.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from functools import partial
from itertools import count
from math import sqrt
from random import Random
from typing import NamedTuple

from limerudder.core.discovery.start_times import ListedStart, StartTimes
from limerudder.policy import Balancer
from limerudder.policy.actions import (
    Action,
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
from limerudder.policy.settings import Settings

SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000
START_US = 100_000 * SECOND  #: Start of the simulation; large enough for clocks that are hours behind
CONNECT_US = 20_000
RECONNECT_SECONDS = (0.1, 1.0)
CHANCE_DEVIATIONS = 2.0  #: Standard deviations by which attempts may exceed a budget by chance
SMALL_BUDGET = 30  #: Attempts per window; below it, the operators allow a larger excess by chance


def allowed_attempts(budget: float) -> float:
    """Return the operators' limit of attempts at a server in slow start in one window."""
    if budget < SMALL_BUDGET:
        return budget + 3 * sqrt(budget) + 3
    return budget + 2 * sqrt(budget) + 2


class Excess(NamedTuple):
    """Attempts at servers in slow start compared with the limit."""

    worst: float  #: Maximum ratio of attempts to the limit in a window
    windows: int  #: Number of windows with more attempts than allowed


class SlowStartFleet:
    """Nodes and servers.

    `rates` are new connections per second at each node, `load` is the utilization of the servers, and
    `lifetime` is the mean lifetime of a connection in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        rates: list[float],
        server_count: int,
        load: float,
        lifetime: float,
        seed: int,
    ) -> None:
        self.settings = settings
        self.rates = rates
        self.lifetime = lifetime
        self.rng = Random(seed)
        self.clock_steps_us = [0] * len(rates)  #: Offset of each node's clock from the true time
        self.now = START_US
        self.rate_factor = 1.0  #: Multiplier of the nodes' rates
        #: New connections per second that fully load a warm server.
        self.server_capacity = sum(rates) / server_count / load
        self.ready_since = dict.fromkeys(range(1, server_count + 1), 0)
        self.attempts: dict[int, list[int]] = {server: [] for server in self.ready_since}  # start times
        self.requests = 0
        self.rejections = 0
        self._connections: dict[tuple[int, int], int] = {}  # server by node and request id
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._schedule_order = count()
        self._request_ids = count(1)
        self.nodes: list[Balancer] = []
        self._start_times: list[StartTimes] = [StartTimes() for _ in rates]  # one per node process
        for node in range(len(rates)):
            self.nodes.append(self._start_node(node))
            self._schedule_next_request(node)

    def run(self, seconds: float) -> None:
        """Run the simulation for `seconds`."""
        until = self.now + int(seconds * SECOND)
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, task = heapq.heappop(self._scheduled)
            task()
        self.now = until

    def restart_servers(self, servers: list[int]) -> None:
        """Restart servers: all nodes are notified at once, and the clients connected there reconnect."""
        for server in servers:
            self.ready_since[server] = self.now
            self.attempts[server] = []
        for (node, request), server in list(self._connections.items()):
            if server in servers:
                del self._connections[node, request]
                self._deliver(node, AttemptEnded(request, 0, server, AttemptOutcome.RESET, CONNECT_US, 1, ()))
                self._schedule_reconnect()
        for node in range(len(self.nodes)):
            self._deliver(node, EndpointUpdate(UpdateKind.DELTA, 2, self._entries(node, servers)))

    def restart_nodes(self, nodes: list[int], clock_step_us: int = 0) -> None:
        """Restart nodes without state, clocks ahead by `clock_step_us`; clients reconnect to random nodes."""
        for node in nodes:
            for key in [key for key in self._connections if key[0] == node]:
                del self._connections[key]
                self._schedule_reconnect()
            self.clock_steps_us[node] = clock_step_us
            self.nodes[node] = self._start_node(node)

    def excess(self) -> Excess:
        """Compare the attempts at servers in slow start with the operators' limit, in all windows."""
        worst = 0.0
        windows = 0
        for attempts, budget in self._slow_start_windows():
            share = attempts / allowed_attempts(budget)
            worst = max(worst, share)
            windows += share > 1
        return Excess(worst, windows)

    def worst_excess(self, deviations: float = CHANCE_DEVIATIONS) -> float:
        """Return the maximum ratio of attempts to the allowed number in a window of a server in slow start.

        The budget N is `overload_factor` times the server's capacity at the beginning of the window, times
        the window. To allow for chance, the limit adds 2 plus `deviations` times the square root of N. A
        ratio above 1 would overload the server.
        """
        worst = 0.0
        for attempts, budget in self._slow_start_windows():
            worst = max(worst, attempts / (budget + deviations * sqrt(budget) + 2))
        return worst

    def _slow_start_windows(self) -> Iterator[tuple[int, float]]:
        """Yield the attempts in each window that ends with an attempt, and the budget at its start."""
        settings = self.settings
        for server, started in self.attempts.items():
            window_start = 0
            for position, started_at in enumerate(started):
                while started[window_start] <= started_at - settings.overload_window_us:
                    window_start += 1
                age = (started[window_start] - self.ready_since[server]) / settings.warm_up_us
                if self.ready_since[server] and age < 1:
                    yield position - window_start + 1, self._budget(age)

    def _budget(self, age: float) -> float:
        """Return the attempts allowed in a window that begins at this share of a server's warm-up."""
        settings = self.settings
        capacity_share = settings.initial_capacity + (1 - settings.initial_capacity) * age
        rate = settings.overload_factor * capacity_share * self.server_capacity
        return rate * settings.overload_window_us / SECOND

    def _start_node(self, node: int) -> Balancer:
        """Start a process whose only state is the endpoint list."""
        settings = replace(self.settings, node_index=node)
        balancer = Balancer(settings, Random(self.rng.random()))
        self._start_times[node] = StartTimes()
        update = EndpointUpdate(UpdateKind.CACHED, 1, self._entries(node, self.ready_since))
        self._deliver_to(node, balancer, update)
        return balancer

    def _entries(self, node: int, servers: Collection[int]) -> list[ServerEntry]:
        """Return the endpoint list's entries of these servers, with start times on the node's clock."""
        starts = [
            ListedStart(str(server), since // MICROSECONDS_PER_MILLISECOND)
            for server, since in self.ready_since.items()
            if server in servers
        ]
        start_times = self._start_times[node]
        start_times.observe(starts, self.now + self.clock_steps_us[node])
        return [
            ServerEntry(
                int(server), 0, 0, 0, ServerState.READY, 1.0, start_times.local_us(server, started_ms)
            )
            for server, started_ms in starts
        ]

    def _schedule(self, seconds: float, task: Callable[[], None]) -> None:
        due_at = self.now + int(seconds * SECOND)
        heapq.heappush(self._scheduled, (due_at, next(self._schedule_order), task))

    def _schedule_next_request(self, node: int) -> None:
        rate = self.rates[node] * self.rate_factor
        self._schedule(self.rng.expovariate(rate), partial(self._next_request, node))

    def _next_request(self, node: int) -> None:
        self._request(node, 0)
        self._schedule_next_request(node)

    def _schedule_reconnect(self) -> None:
        """Schedule a reconnect of a disconnected client to a random node, within a second."""
        node = self.rng.choices(range(len(self.nodes)), self.rates)[0]
        wait_seconds = self.rng.uniform(*RECONNECT_SECONDS)
        self._schedule(wait_seconds, partial(self._request, node, FLAG_RECONNECT))

    def _request(self, node: int, flags: int) -> None:
        self.requests += 1
        deadline_us = self.settings.classes[0].deadline_us
        self._deliver(node, NewRequest(next(self._request_ids), 0, 0, 0, deadline_us, 0, 0, flags))

    def _deliver(self, node: int, event: Event) -> None:
        self._deliver_to(node, self.nodes[node], event)

    def _deliver_to(self, node: int, balancer: Balancer, event: Event) -> None:
        for action in balancer.handle(event, self.now + self.clock_steps_us[node]):
            self._execute(node, balancer, action)

    def _execute(self, node: int, balancer: Balancer, action: Action) -> None:
        if isinstance(action, SetTimer):
            wait_us = action.due_at_us - self.now - self.clock_steps_us[node]
            wait_seconds = max(wait_us, 0) / SECOND
            self._schedule(wait_seconds, partial(self._fire_timer, node, balancer, action.token))
        elif isinstance(action, StartAttempt):
            self._connections[node, action.request_id] = action.server_id
            self.attempts[action.server_id].append(self.now)
            self._schedule(CONNECT_US / SECOND, partial(self._establish, node, action.request_id))
        elif isinstance(action, RejectRequest | FailRequest):
            self.rejections += 1

    def _fire_timer(self, node: int, balancer: Balancer, token: int) -> None:
        """Deliver a timer unless its process has been replaced."""
        if self.nodes[node] is balancer:
            self._deliver(node, TimerFired(token))

    def _establish(self, node: int, request: int) -> None:
        """Establish a connection and schedule its end."""
        server = self._connections.get((node, request))
        if server is None:
            return
        self._deliver(node, ConnectionEstablished(request, server, 0, CONNECT_US))
        self._schedule(self.rng.expovariate(1 / self.lifetime), partial(self._end, node, request))

    def _end(self, node: int, request: int) -> None:
        """End a connection that its client closes."""
        server = self._connections.pop((node, request), None)
        if server is not None:
            self._deliver(node, AttemptEnded(request, 0, server, AttemptOutcome.OK, CONNECT_US, 1, ()))
