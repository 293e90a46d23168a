"""A discovery service whose answers to one node's calls a test sends by hand."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from harness.configurations import SECOND, hosts, settings
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.policy.events import ServerState
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"
NEW_ADDRESS = ("127.0.0.1", 99)
SITES = ["on_request", "pushed"]
STEP_US = 50_000


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


def versioned(version: int, *entries: dict[str, Any], complete: bool) -> dict[str, Any]:
    return hosts(*entries, reset=complete) | {"generation": version}


class DiscoveryStub:
    """Answers the calls of one node by hand."""

    def __init__(self, testbed: NodeTestbed) -> None:
        self.testbed = testbed

    def open_calls(self, is_watch: bool) -> list[FakeTransport]:
        calls = [dial for dial in self.testbed.dials if isinstance(dial.machine, DiscoveryCall)]
        return [call for call in calls if not call.closed and call.machine.is_watch == is_watch]

    def watch(self) -> FakeTransport:
        (watch,) = self.open_calls(is_watch=True)
        return watch

    def poll(self) -> FakeTransport:
        (poll,) = self.open_calls(is_watch=False)
        return poll

    def next_watch(self) -> FakeTransport:
        """Run the node until it watches, within a second."""
        self._run_until_called(is_watch=True)
        return self.watch()

    def next_poll(self) -> FakeTransport:
        """Run the node until it polls, within a second."""
        self._run_until_called(is_watch=False)
        return self.poll()

    def _run_until_called(self, is_watch: bool) -> None:
        began_at = self.testbed.now
        while not self.open_calls(is_watch):
            assert self.testbed.now < began_at + SECOND, "no call"
            self.testbed.run(STEP_US)

    def send(self, call: FakeTransport, *lists: dict[str, Any]) -> None:
        """Send lists on a call, after the head of the answer if they are its first."""
        if not call.sent:
            call.accept(self.testbed.now)
            call.machine.data_received(HEAD, self.testbed.now)
        data = b"".join(chunk(json.dumps(content).encode() + b"\n") for content in lists)
        call.machine.data_received(data, self.testbed.now)

    def end(self, call: FakeTransport) -> None:
        call.machine.data_received(b"0\r\n\r\n", self.testbed.now)

    def fail(self, call: FakeTransport) -> None:
        call.accept(self.testbed.now)
        call.machine.data_received(UNAVAILABLE, self.testbed.now)


def states(testbed: NodeTestbed) -> dict[str, ServerState]:
    """Return the states of the listed upstreams, which the policy must have as well."""
    node = testbed.node
    listed = {upstream.name: upstream for upstream in node.upstreams.by_number.values() if upstream.is_listed}
    servers = node.balancer.registry.servers  # type: ignore[attr-defined]
    found = {name: upstream.state for name, upstream in listed.items()}
    assert {name: servers[upstream.number].state for name, upstream in listed.items()} == found
    return found


def moved_testbed(folder: Path, site: str = "on_request") -> tuple[NodeTestbed, DiscoveryStub]:
    """Return a node that has just changed to another discovery address."""
    testbed = node_testbed(folder, settings={**settings(), "discovery": site})
    testbed.node.discovery.change_address(NEW_ADDRESS, testbed.now)
    return testbed, DiscoveryStub(testbed)
