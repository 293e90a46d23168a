"""Discovery: its list of upstreams, as it is read and as it is asked for over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from limerudder.core.discovery.json_stream import JsonObjectStream, JsonStreamError
from limerudder.core.transport import Address, OutboundMachineBase, parse_address
from limerudder.policy.discovery_timing import CallDeadline
from limerudder.policy.events import ServerState

PATH = "/discovery/hosts"
MOST_BODY = 1 << 22  #: bytes of one list; a longer one is a broken service
LIFECYCLES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class EndpointListError(ValueError):
    """A list of upstreams that cannot be read."""


class Endpoint(NamedTuple):
    """One upstream as discovery lists it, by its names."""

    name: str
    address: Address
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int


class EndpointList(NamedTuple):
    """The whole list, or what has changed."""

    version: int
    whole: bool
    hosts: tuple[Endpoint, ...]


def parse_endpoints(given: Any) -> EndpointList:
    """Discovery's JSON object as a HostList; anything amiss is a ListError."""
    try:
        hosts = tuple(map(_host, given["instances"]))
        return EndpointList(int(given["generation"]), bool(given["reset"]), hosts)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise EndpointListError(f"bad list of hosts: {type(exc).__name__} {exc}") from None


def _host(given: Any) -> Endpoint:
    address = parse_address(given["hostPort"])
    if address[1] == 0:
        raise ValueError("port 0")
    return Endpoint(
        name=str(given["instanceId"]),
        address=address,
        zone=str(given["zone"]),
        kind=str(given["machineType"]),
        cell=int(given["cell"]),
        state=LIFECYCLES[given["lifecycle"]],
        weight=float(given["weight"]),
        started_ms=int(given["startedAtMs"]),
    )


def format_endpoints(told: EndpointList) -> dict[str, Any]:
    """A HostList in discovery's form."""
    names = {state: name for name, state in LIFECYCLES.items()}
    return {
        "generation": told.version,
        "reset": told.whole,
        "instances": [
            {
                "instanceId": host.name,
                "hostPort": "{}:{}".format(*host.address),
                "zone": host.zone,
                "machineType": host.kind,
                "cell": host.cell,
                "lifecycle": names[host.state],
                "weight": host.weight,
                "startedAtMs": host.started_ms,
            }
            for host in told.hosts
        ],
    }


class DiscoveryCall(OutboundMachineBase):
    """One HTTP call: a watch, which gives list after list, or a question, which gives one.

    `told` hears each list; `ended` hears once that no more comes, and whether that is a failure.
    """

    def __init__(
        self,
        host: str,
        after: int | None,
        told: Callable[[DiscoveryCall, EndpointList, int], None],
        ended: Callable[[DiscoveryCall, bool, int], None],
        clock: CallDeadline,
    ) -> None:
        self.host, self.after, self.told, self.ended, self.clock = host, after, told, ended, clock
        self.watch = after is not None
        self.parser = httptools.HttpResponseParser(self)
        self.objects = JsonObjectStream(MOST_BODY)
        self.lists: list[EndpointList] = []  # read, to be told once the parser has returned
        self.done = self.complete = False
        self.many = 0  # lists read in all

    # the connection

    def first_bytes(self, now: int) -> bytes:
        """The request."""
        query = f"?watch=1&after={self.after}" if self.watch else ""
        return f"GET {PATH}{query} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()

    def data_received(self, data: bytes, now: int) -> None:
        """Parse; what cannot be read fails the call."""
        if self.done:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, EndpointListError, JsonStreamError):  # guards against nonsense
            self._end(True, now)
            return
        lists, self.lists = self.lists, []
        self.clock.word(len(lists), bool(self.objects.begun), now)
        for told in lists:
            self.told(self, told, now)
        if self.complete:  # a watch that is complete is a watch that has ended
            self._end(self.watch, now)

    def eof_received(self, now: int) -> None:
        """The service has ended the answer."""
        self._end(True, now)

    def connection_lost(self, now: int) -> None:
        """The connection broke or never came up."""
        self._end(True, now)

    def close(self) -> None:
        """No longer wanted."""
        self.done = True
        if self.transport:
            self.transport.close()

    def _end(self, failed: bool, now: int) -> None:
        if not self.done:
            self.close()
            self.ended(self, failed, now)

    # httptools calls these

    def on_headers_complete(self) -> None:
        """Only a 200 carries a list."""
        if self.parser.get_status_code() != 200:
            raise EndpointListError(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Lists as they end, and empty lines as heartbeats; neither lines nor chunks need agree with them."""
        for text in self.objects.feed(data):
            self._read(text)

    def on_message_complete(self) -> None:
        """The whole answer is here."""
        self.complete = True
        if self.objects.begun or not (self.watch or self.many):
            raise EndpointListError("the answer ends before its list does")

    def _read(self, text: bytes) -> None:
        try:
            given = json.loads(text)
        except (ValueError, RecursionError) as exc:
            raise EndpointListError(f"not JSON: {exc}") from None
        self.lists.append(parse_endpoints(given))
        self.many += 1
