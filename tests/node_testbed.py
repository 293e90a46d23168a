"""An in-memory node with fake transports and a manual clock, which records dials and log lines."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from harness.configurations import LINE, SECOND, configuration, with_request_id
from limerudder.config import ProcessConfig, load_config
from limerudder.core.client.session import LineSession
from limerudder.core.node import Node
from limerudder.core.transport import Address, OutboundMachine
from limerudder.policy.actions import Action
from limerudder.policy.events import Event

TICK_US = 5000
START_TIME_US = 50 * SECOND
STEP_US = SECOND // 2
MANY_BYTES = 1 << 20


class FakeTransport:
    """A transport that records the calls of its state machine."""

    def __init__(self, machine: Any = None, address: Address = ("", 0)) -> None:
        self.machine = machine  # state machine of an outbound connection
        self.address = address
        self.sent = b""
        self.reading_paused = False
        self.half_closed = False
        self.closed = False
        self.was_reset = False
        self.peer_disconnected = False  # the other side has disconnected, with bytes still unread
        self.unsent = 0  # number of bytes that the other side has not acknowledged

    def write(self, data: bytes) -> None:
        assert not self.half_closed and not self.closed
        self.sent += data

    def half_close(self) -> None:
        self.half_closed = True

    def close(self) -> None:
        self.closed = True

    def reset(self) -> None:
        self.was_reset = True
        self.closed = True

    def set_reading_paused(self, paused: bool) -> None:
        self.reading_paused = paused

    def has_disconnected(self) -> bool:
        return self.peer_disconnected

    def unsent_bytes(self) -> int:
        return self.unsent

    def accept(self, now_us: int) -> str:
        """Let the dial succeed; return the first bytes written, empty if the machine cancelled the dial."""
        first_bytes = self.machine.first_bytes(now_us)
        if self.closed:
            return ""
        self.sent += first_bytes
        self.machine.first_bytes_sent(now_us)
        self.machine.connection_made(self, now_us)
        return self.sent.decode()


class NodeTestbed:
    """An in-memory node with its clock, dials and log.

    Asserts that no request has two attempts in progress.
    """

    def __init__(self, config: ProcessConfig) -> None:
        self.now = START_TIME_US
        self.dials: list[FakeTransport] = []
        self.logged: list[str] = []
        self.request_count = 0
        self.datagrams: list[tuple[int, bytes]] = []
        self.node = Node(config, self, lambda kind, text, detail="": self.logged.append(text), self.now)
        self.start_node()

    def start_node(self) -> None:
        """Load the endpoints and start the node."""
        self.node.load_endpoints(self.now)
        self.node.start(self.now)

    def dial(self, address: Address, machine: OutboundMachine) -> FakeTransport:
        transport = FakeTransport(machine, address)
        self.dials.append(transport)
        observers = [dial.machine.observer for dial in self.attempts()]
        assert len(observers) == len(set(observers)), "two attempts of a request are in progress"
        return transport

    def send_datagram(self, peer: int, data: bytes) -> None:
        self.datagrams.append((peer, data))

    def connect(self) -> tuple[LineSession, FakeTransport]:
        """Connect a client that sends nothing."""
        session = LineSession(self.node)
        transport = FakeTransport()
        session.connection_made(transport, self.now)
        return session, transport

    def send_request(self, line: str = LINE) -> tuple[LineSession, FakeTransport]:
        """Connect a client that sends its first line with a unique request id."""
        line = with_request_id(line, self.request_count)
        self.request_count += 1
        session, transport = self.connect()
        session.data_received(line.encode() + b"\r\n", self.now)
        return session, transport

    def attempts(self) -> list[FakeTransport]:
        """Return the transports of the attempts that are dialling or connected."""
        return [dial for dial in self.dials if hasattr(dial.machine, "line") and not dial.closed]

    def establish_client(self, line: str = LINE) -> tuple[LineSession, FakeTransport, FakeTransport]:
        """Send a request that is accepted; return its session, transport and attempt's transport."""
        session, transport = self.send_request(line)
        attempt = self.attempts()[-1]
        attempt.accept(self.now)
        attempt.machine.data_received(b"UP 77\r\n", self.now)
        assert transport.sent == b"UP 77\r\n"
        return session, transport, attempt

    def run(self, duration_us: int) -> None:
        """Advance the clock in ticks."""
        for _ in range(duration_us // TICK_US):
            self.now += TICK_US
            self.node.timer_wheel.advance(self.now)


def node_testbed(folder: Path, **changes: Any) -> NodeTestbed:
    """Return an in-memory node with this configuration."""
    return NodeTestbed(load_config(configuration(folder, **changes)))


def policy_events(testbed: NodeTestbed) -> list[Event]:
    """Return a list that collects the events delivered to this node's policy from now on."""
    events: list[Event] = []
    handle = testbed.node.balancer.handle

    def record(event: Event, now_us: int) -> list[Action]:
        events.append(event)
        return handle(event, now_us)

    testbed.node.balancer.handle = record  # type: ignore[method-assign]
    return events


def drain(testbed: NodeTestbed, transport: FakeTransport, duration_us: int) -> None:
    """Let the other side of a transport take in a part of the unsent bytes in each step."""
    for _ in range(duration_us // STEP_US):
        transport.unsent -= 1
        testbed.run(STEP_US)
