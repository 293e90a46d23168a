"""How a node keeps in touch with discovery: the address, the watch, single questions, and what fails."""

from __future__ import annotations

from typing import Protocol

from limerudder.core.discovery.endpoint_list import DiscoveryCall, EndpointList
from limerudder.core.operations.counters import Counters
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Address, Network
from limerudder.policy.discovery_timing import AGENT_RETRY_INTERVAL_US, CHECK_INTERVAL_US, CallDeadline

NO_VERSION = 0  #: before any version a service tells: what is asked after it is all there is


class EndpointObserver(Protocol):
    """Who hears what discovery tells: the node."""

    network: Network
    timer_wheel: TimerWheel
    counters: Counters

    def endpoints_received(self, hosts: EndpointList, now: int) -> None:
        """A list, or changes of it."""

    def endpoints_unchanged(self, version: int, now: int) -> None:
        """Asked while the watch lives: nothing was missed."""

    def endpoints_failed(self, version: int, now: int) -> None:
        """A call failed or the watch ended; the list held so far stays."""


class DiscoveryClient:
    """One watch at a time, and questions beside it, all at one address that may be changed."""

    def __init__(
        self, address: Address, version: int, pushed: bool, hearer: EndpointObserver, now: int
    ) -> None:
        self.address, self.version, self.pushed, self.hearer = address, version, pushed, hearer
        self.again_at: int | None = None  # when the watch of an agent is opened anew
        self.watch: DiscoveryCall | None = None
        self.told = False  # the watch has given its first list
        self.moved = False  # to a service that has not told its list yet
        self.calls: set[DiscoveryCall] = set()  # questions that are out
        self._check(now)

    def start(self, now: int) -> None:
        """Where lists are pushed, watch the agent from now on."""
        # guards a node whose module never asks, since it is told that lists come by themselves
        if self.pushed:
            self.keep_watch(now)

    def keep_watch(self, now: int) -> None:
        """Open the watch. Where it lives, nothing was missed: no need to ask the shared service again."""
        if self.watch is None:
            self.told = False
            self.watch = self._call(self.version, now)
        elif self.told and self.moved:
            self.ask(now)  # the question before it has failed
        elif self.told:
            self.hearer.endpoints_unchanged(self.version, now)

    def drop_watch(self) -> None:
        """Close the watch."""
        if self.watch:
            self.watch.close()
        self.watch = None

    def ask(self, now: int) -> None:
        """Ask once for the whole list."""
        self.calls.add(self._call(None, now))

    def move(self, address: Address, now: int) -> None:
        """Discovery is elsewhere from now on. What is known stays until the new service has told its own."""
        if address == self.address:
            return
        self.address = address
        # guards against changes that never come: another service counts its versions as it likes
        self.version, self.moved = NO_VERSION, True
        self.drop_watch()
        for call in self.calls:  # guards against an old answer that would undo what the new service tells
            call.close()
        self.calls.clear()
        self.keep_watch(now)

    def _call(self, after: int | None, now: int) -> DiscoveryCall:
        self.hearer.counters.count("discovery_calls")
        host, port = self.address
        call = DiscoveryCall(f"{host}:{port}", after, self._told, self._over, CallDeadline(self.pushed, now))
        call.transport = self.hearer.network.dial(self.address, call)
        return call

    def _told(self, call: DiscoveryCall, hosts: EndpointList, now: int) -> None:
        first = call is self.watch and not self.told
        self.told = self.told or call is self.watch
        self.version = hosts.version
        self.hearer.endpoints_received(hosts, now)
        if first and self.moved and not hosts.whole:
            self.ask(now)  # guards against changes to a list that this node never had
        # guards the shared service: changes to the list a node starts with are enough, whatever its number
        self.moved = self.moved and not hosts.whole

    def _over(self, call: DiscoveryCall, failed: bool, now: int) -> None:
        self.calls.discard(call)
        if call is self.watch:
            self.watch = None
            self.again_at = now + AGENT_RETRY_INTERVAL_US if self.pushed else None
        if failed:
            self.hearer.counters.count("discovery_failures")
            self.hearer.endpoints_failed(self.version, now)

    def _check(self, now: int) -> None:
        """Give up the calls that are dead."""
        self.hearer.timer_wheel.schedule(now + CHECK_INTERVAL_US, self._check)
        for call in [*self.calls, *([self.watch] if self.watch else [])]:
            if call.clock.dead(now):
                call.connection_lost(now)
        if self.again_at is not None and now >= self.again_at:
            self.again_at = None
            self.keep_watch(now)
