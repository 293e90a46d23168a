"""Replacing the process: what the old process and its successor say to each other, in lines closed by LF.

The old one's first line is JSON: its list of hosts, the ids in use and the descriptors it holds for clients.
Then it says `taken ID` for each request it takes, `holds JSON` for its descriptors and its connections at
each upstream, `drained START HOST` for each drain it comes to know, and `stopping`; the new one says
`serving`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from limerudder.core.discovery.drain_memory import DrainMemory, InheritedDrains
from limerudder.core.discovery.endpoint_list import (
    EndpointList,
    EndpointListError,
    format_endpoints,
    parse_endpoints,
)
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Transport

SECOND = 1_000_000
LOOK = SECOND // 20  #: between looks whether the successor is ready
TOLD = SECOND // 10  #: between words on descriptors
READY_MOST = 2 * SECOND  #: for discovery's first word and the first probes; then the old one's list will do
MOST = 1 << 22  #: bytes of a line


class ProcessUsage(NamedTuple):
    """What one process of a node holds: descriptors, and connections by upstream."""

    descriptors: int = 0
    at: dict[str, int] = {}


def parse_usage(given: Any) -> ProcessUsage:
    """It as JSON has it, or one of several errors."""
    return ProcessUsage(
        int(given["descriptors"]), {str(name): int(many) for name, many in given["at"].items()}
    )


class HandoverState(NamedTuple):
    """What a process starts with that takes over from another."""

    hosts: EndpointList
    ids: tuple[int, ...]
    holds: ProcessUsage
    returned: dict[str, int]  # when staff put hosts back
    reloaded: bool  # it was told to ask discovery where the file says
    drained: dict[str, int]  # starts that are remembered to drain, by host


def parse_handover_state(line: bytes) -> HandoverState:
    """The old process's first line; anything amiss is a ListError."""
    try:
        given = json.loads(line)
        ids = tuple(int(one, 16) for one in given["ids"])
        returned = {str(name): int(at) for name, at in given["returned"].items()}
        holds, reloaded = parse_usage(given["holds"]), bool(given["reloaded"])
        drained = {str(name): int(start) for name, start in given.get("drained", {}).items()}
        return HandoverState(parse_endpoints(given["hosts"]), ids, holds, returned, reloaded, drained)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as exc:
        raise EndpointListError(f"bad hello: {type(exc).__name__} {exc}") from None


class RestartableNode(Protocol):
    """The node, as far as being replaced goes."""

    timer_wheel: TimerWheel
    shutdown_deadline_us: int
    has_successor: bool
    config_reloaded: bool
    on_request_accepted: list[Callable[[int], None]]
    drain_memory: DrainMemory | None

    def refresh_endpoint(self, name: str, now: int) -> None:
        """Tell the module of a host anew."""

    def log(self, kind: str, text: str) -> None:
        """A line for whoever is on call."""

    def endpoint_list(self) -> EndpointList:
        """Discovery's list as it stands here."""

    def recent_request_ids(self) -> list[int]:
        """The ids of the requests that are here, or were a moment ago."""

    def record_request_of_other_process(self, request: int) -> None:
        """Another process has this request."""

    def return_to_service_times(self) -> dict[str, int]:
        """When staff put hosts back."""

    def apply_return_to_service_times(self, returned: dict[str, int], now: int) -> None:
        """When they did so at the process before this one."""

    def resource_usage(self) -> ProcessUsage:
        """What this process holds."""

    def set_other_process_usage(self, holds: ProcessUsage, now: int) -> None:
        """What another process of this node holds."""

    def is_ready_to_serve(self) -> bool:
        """Discovery has told its list, and no first probe is out."""


class LineConnection:
    """A connection between the two processes, as either's side: whole lines in, lines out."""

    def __init__(self) -> None:
        self.transport: Transport | None = None
        self.rest = b""

    def connection_made(self, link: Transport, now: int) -> None:
        """It stands."""
        self.transport = link

    def data_received(self, data: bytes, now: int) -> None:
        """Lines, in any pieces."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > MOST:
            return self.connection_lost(now)
        for line in lines:
            word, _, value = line.decode("ascii", "replace").partition(" ")
            self.heard(word, value, now)

    def heard(self, word: str, value: str, now: int) -> None:
        """A line."""

    def say(self, text: str) -> None:
        """Send a line."""
        if self.transport:
            self.transport.write(text.encode() + b"\n")

    def eof_received(self, now: int) -> None:
        """The other process ends it."""
        self.connection_lost(now)

    def connection_lost(self, now: int) -> None:
        """The other process is gone."""
        if self.transport:
            self.transport.close()
            self.transport = None

    def set_writing_paused(self, on: bool) -> None:
        """Few and short lines."""


class HotRestartParent:
    """The serving process's side: who asks to take over, and who has."""

    def __init__(
        self, node: RestartableNode, shut: Callable[[], None], open_again: Callable[[], None]
    ) -> None:
        self.node, self.shut, self.open_again = node, shut, open_again
        self.asking: list[SuccessorConnection] = []  # all that have connected, the successor among them
        self.successor: SuccessorConnection | None = None
        self.told = ProcessUsage()
        node.on_request_accepted.append(lambda number: self.tell(f"taken {number:016x}"))

    def hello(self) -> bytes:
        """The first line to whoever asks."""
        given: dict[str, Any] = {
            "hosts": format_endpoints(self.node.endpoint_list()),
            "ids": [f"{one:016x}" for one in self.node.recent_request_ids()],
            "holds": self.node.resource_usage()._asdict(),
            "returned": self.node.return_to_service_times(),
            "reloaded": self.node.config_reloaded,
            "drained": self.node.drain_memory.drained() if self.node.drain_memory else {},
        }
        return json.dumps(given).encode() + b"\n"

    def tell(self, text: str) -> None:
        """Say a line to all of them."""
        for asker in self.asking:
            asker.say(text)

    def serves(self, asker: SuccessorConnection, now: int) -> None:
        """It takes clients from now on: this process takes no more, and serves all it has."""
        if self.successor is None:
            self.successor, self.node.has_successor = asker, True
            self.node.log("handover", "node: another process takes the clients from now on")
            self.shut()
            self._count(now)

    def gone(self, asker: SuccessorConnection, now: int) -> None:
        """It has ended. Where it had taken over, this process serves again, or stops as one alone does."""
        if asker in self.asking:
            self.asking.remove(asker)
        if asker is self.successor:
            self.successor, self.node.has_successor = None, False
            self.node.log("handover", "node: the other process has ended; this one takes clients again")
            self.open_again()

    def _count(self, now: int) -> None:
        if self.successor:
            self.node.timer_wheel.schedule(now + TOLD, self._count)
            holds = self.node.resource_usage()
            if holds != self.told:
                self.told = holds
                self.successor.say(f"holds {json.dumps(holds._asdict())}")


class SuccessorConnection(LineConnection):
    """One that wants to take over, as the serving process sees it."""

    def __init__(self, elder: HotRestartParent) -> None:
        super().__init__()
        self.elder = elder

    def connection_made(self, link: Transport, now: int) -> None:
        """It has its hello."""
        super().connection_made(link, now)
        self.elder.asking.append(self)
        self.elder.node.log("handover", "node: another process has asked to take over")
        if self.elder.node.shutdown_deadline_us:
            self.say("stopping")

    def heard(self, word: str, value: str, now: int) -> None:
        """Its one word."""
        if word == "serving":
            self.elder.serves(self, now)

    def connection_lost(self, now: int) -> None:
        """It has ended, or broken off."""
        super().connection_lost(now)
        self.elder.gone(self, now)


class HotRestartSuccessor(LineConnection):
    """The successor's side: `ready` is called once, when it is to take clients, `over` when it is alone."""

    def __init__(
        self,
        node: RestartableNode,
        hello: HandoverState,
        ready: Callable[[], None],
        now: int,
        over: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.node, self.ready, self.over, self.started = node, ready, over, now
        self.called = False
        self.node.set_other_process_usage(hello.holds, now)
        self.node.apply_return_to_service_times(hello.returned, now)
        for request in hello.ids:
            self.node.record_request_of_other_process(request)
        node.timer_wheel.schedule(now + LOOK, self._look)

    def _look(self, now: int) -> None:
        # guards clients against a process that knows too little yet: the old one serves them meanwhile
        if not self.called:
            self.node.timer_wheel.schedule(now + LOOK, self._look)
            if self.node.is_ready_to_serve() or now >= self.started + READY_MOST:
                self._call()

    def _call(self) -> None:
        if not self.called:
            self.called = True
            self.ready()

    def heard(self, word: str, value: str, now: int) -> None:
        """The old process's words."""
        try:
            if word == "holds":
                self.node.set_other_process_usage(parse_usage(json.loads(value)), now)
            elif word == "taken":
                self.node.record_request_of_other_process(int(value, 16))
            elif word == "drained" and isinstance(self.node.drain_memory, InheritedDrains):
                start, _, name = value.partition(" ")
                self.node.drain_memory.told(name, int(start))
                self.node.refresh_endpoint(name, now)
            elif word == "stopping":
                self._call()
        except (KeyError, TypeError, ValueError, AttributeError):  # guards against another build's words
            return

    def connection_lost(self, now: int) -> None:
        """The old process has ended: what it held is free, and nobody else takes clients."""
        super().connection_lost(now)
        self.node.set_other_process_usage(ProcessUsage(), now)
        self._call()
        self.over()
