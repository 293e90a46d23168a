"""Random sequences of events on an in-memory node, with every invariant checked."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple, TypeVar

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from harness.configurations import LINE, SECOND, host, hosts, settings
from limerudder.core.client.session import LineSession
from limerudder.core.discovery.endpoint_list import EndpointList, parse_endpoint_list
from limerudder.core.invariants import InvariantError, Invariants, PossibleExecution
from limerudder.core.requests.final_answers import FinalAnswer
from limerudder.core.requests.proxied_connection import ProxiedConnection
from limerudder.policy.events import ServerState
from tests.node_testbed import TICK_US, FakeTransport, NodeTestbed, node_testbed

Item = TypeVar("Item")

CLASSES = ["safe", "unsafe", "all", "zone", "cell"]
NAMES = ["s-1", "s-2", "s-3", "s-4"]
CLIENT_DATA = [b"M 1\r\n", b"M", b"x" * 5000, b"PING\r\n"]
CLIENT_ENDINGS = ["eof_received", "connection_lost", "unread", "unread", "writing_paused"]
UPSTREAM_EVENTS = [
    b"UP 7\r\n",
    b"UP 7",
    b"ERR\r\n",
    b"BUSY\r\n",
    b"UP 7\r\nUP 8\r\n",
    b"BYE\r\n",
    b"M 1\r\n",
    b"\xff\x00\r\n",
    b"y" * 5000,
    "eof_received",
    "connection_lost",
    "connection_lost",
    "connection_lost",
    "writing_paused",
]
LISTED_STATES = [ServerState.READY] * 4 + [ServerState.DRAINING] * 2 + [ServerState.GONE]
# Number of latest clients that receive events; those may still be waiting for an answer.
RECENT_COUNT = 3


def pick_recent(items: Sequence[Item], index: int) -> Item:
    """Return one of the most recent items."""
    return items[-1 - index % min(len(items), RECENT_COUNT)]


def pause_and_resume_writing(machine: Any) -> None:
    machine.set_writing_paused(True)
    machine.set_writing_paused(False)


def class_with_effect(effect: str, number: int, window_us: int, deadline_us: int) -> dict[str, Any]:
    """Return a traffic class with this effect; a keyed class is specified by its key scope."""
    traffic_class = settings()["classes"][0]
    traffic_class |= {
        "name": f"c{number}",
        "aimUs": deadline_us // 3,
        "deadlineUs": deadline_us,
        "repeatWindowUs": window_us,
    }
    if effect in ("safe", "unsafe"):
        return {**traffic_class, "effect": effect}
    return {**traffic_class, "effect": "keyed", "keyScope": effect}


def settings_with_effects(
    effects: list[str], window_us: int, max_attempts: int, cancel: bool, deadline_us: int
) -> dict[str, Any]:
    """Return settings whose classes have these effects."""
    changed = settings(peers=False)
    changed["classes"] = [
        class_with_effect(effect, number, window_us, deadline_us) for number, effect in enumerate(effects)
    ]
    changed["caps"] = changed["caps"] | {"tryLimit": max_attempts, "cancel": cancel}
    return changed


class NodeMachine(RuleBasedStateMachine):
    """Drives a node with client, upstream, discovery and signal events, and with time."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = TemporaryDirectory()
        self.clients: list[tuple[LineSession, FakeTransport]] = []
        self.disconnected: set[int] = set()

    @initialize(
        effects=st.permutations(CLASSES),
        window_us=st.sampled_from([0, 250_000, 2 * SECOND]),
        max_attempts=st.integers(1, 4),
        cancel=st.booleans(),
        deadline_us=st.sampled_from([400_000, 2 * SECOND]),
        sockets=st.sampled_from([40, 1024]),
    )
    def start_node(
        self,
        effects: list[str],
        window_us: int,
        max_attempts: int,
        cancel: bool,
        deadline_us: int,
        sockets: int,
    ) -> None:
        changed = settings_with_effects(effects, window_us, max_attempts, cancel, deadline_us)
        listed = hosts(*(host(name) | {"zone": "ab"[n % 2], "cell": n // 2} for n, name in enumerate(NAMES)))
        self.testbed = node_testbed(
            Path(self.folder.name), settings=changed, known=listed, limits={"sockets": sockets}
        )
        self.node_invariants = Invariants(self.testbed.node)
        self.hosts = {endpoint.name: endpoint for endpoint in parse_endpoint_list(listed).endpoints}
        self.deadline_us = deadline_us

    @rule(
        class_number=st.integers(0, 4),
        progress=st.sampled_from(["requested", "forwarded", "up"]),
        count=st.integers(1, 3),
    )
    def clients_connect(self, class_number: int, progress: str, count: int) -> None:
        for _ in range(count):
            self._connect_client(class_number, progress)

    def _connect_client(self, class_number: int, progress: str) -> None:
        line = LINE.replace("c=chat", f"c=c{class_number}").replace("d=2000", f"d={self.deadline_us // 1000}")
        dials_before = len(self.testbed.dials)
        self.clients.append(self.testbed.send_request(line))
        dials = [dial for dial in self.testbed.dials[dials_before:] if hasattr(dial.machine, "line")]
        if dials and progress != "requested":
            dials[0].accept(self.testbed.now)
            if progress == "up":
                dials[0].machine.data_received(b"UP 7\r\n", self.testbed.now)

    @precondition(lambda self: self.clients)
    @rule(index=st.integers(0, 99), data=st.sampled_from(CLIENT_DATA))
    def client_sends(self, index: int, data: bytes) -> None:
        if index % 4 == 0:
            self._connect_idle_client()
            return
        index %= len(self.clients)
        session, transport = self.clients[index]
        if index not in self.disconnected and not transport.closed and not transport.reading_paused:
            session.data_received(data, self.testbed.now)

    def _connect_idle_client(self) -> None:
        session, transport = self.testbed.connect()
        session.data_received(b"PING\r\n", self.testbed.now)
        self.clients.append((session, transport))

    @precondition(lambda self: self.clients)
    @rule(index=st.integers(0, 99), ending=st.sampled_from(CLIENT_ENDINGS))
    def client_disconnects(self, index: int, ending: str) -> None:
        connected = [
            number
            for number, (_, transport) in enumerate(self.clients)
            if number not in self.disconnected and not transport.closed
        ]
        if not connected:
            return
        number = pick_recent(connected, index)
        session, transport = self.clients[number]
        if ending == "writing_paused":
            pause_and_resume_writing(session)
            return
        self.disconnected.add(number)
        if ending == "unread":  # its FIN has arrived behind unread bytes
            transport.peer_disconnected = True
        else:
            getattr(session, ending)(self.testbed.now)

    @rule(index=st.integers(0, 99), succeeds=st.booleans())
    def dial_ends(self, index: int, succeeds: bool) -> None:
        dialling = [dial for dial in self.testbed.attempts() if not dial.machine.sent]
        if not dialling:
            return
        transport = pick_recent(dialling, index)
        if not succeeds:
            transport.machine.connection_lost(self.testbed.now)
            return
        session = transport.machine.observer.session
        disconnected = session.transport is None or session.transport.peer_disconnected
        written = transport.accept(self.testbed.now)
        assert not written or not disconnected, "a request was written for a disconnected client"

    @rule(index=st.integers(0, 99), event=st.sampled_from(UPSTREAM_EVENTS))
    def upstream_answers(self, index: int, event: bytes | str) -> None:
        forwarded = [dial for dial in self.testbed.attempts() if dial.machine.sent]
        if not forwarded:
            return
        machine = pick_recent(forwarded, index).machine
        if isinstance(event, bytes):
            machine.data_received(event, self.testbed.now)
        elif event == "writing_paused":
            pause_and_resume_writing(machine)
        else:
            getattr(machine, event)(self.testbed.now)

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(LISTED_STATES), restarted=st.booleans())
    def endpoint_changes(self, name: str, state: ServerState, restarted: bool) -> None:
        started_ms = self.hosts[name].started_ms + restarted * 1000
        self.hosts[name] = self.hosts[name]._replace(state=state, started_ms=started_ms)
        self.testbed.node.endpoints_received(EndpointList(42, False, (self.hosts[name],)), self.testbed.now)

    @rule(ticks=st.sampled_from([1, 2, 5, 20, 25, 100]))
    def time_passes(self, ticks: int) -> None:
        for _ in range(ticks):
            self.testbed.run(TICK_US)
            self.node_invariants.check(self.testbed.now)

    @rule(number=st.integers(0, 19))
    def signal_arrives(self, number: int) -> None:
        if number == 0:
            self.testbed.node.start_graceful_shutdown(self.testbed.now)
        else:
            self.testbed.node.discovery.change_address(("127.0.0.1", number), self.testbed.now)

    @invariant()
    def invariants_hold(self) -> None:
        if hasattr(self, "node_invariants"):
            self.node_invariants.check(self.testbed.now)

    def teardown(self) -> None:
        if hasattr(self, "node_invariants"):
            self._run_until_all_are_answered()
        self.folder.cleanup()

    def _run_until_all_are_answered(self) -> None:
        for _ in range(8 * SECOND // 50_000):
            self.testbed.run(50_000)
            self.node_invariants.check(self.testbed.now)
        requests = self.testbed.node.requests.values()
        waiting = [connection for connection in requests if not connection.is_concluded]
        assert not waiting, "a request has no answer at the end"
        for number, (_, transport) in enumerate(self.clients):
            if number not in self.disconnected and not transport.closed:
                assert transport.sent, "a client is still waiting for an answer"


NodeMachine.TestCase.settings = limits(
    max_examples=200,
    phases=[Phase.generate],  # shrinking takes minutes, and failing sequences are short as found
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
TestNodeMachine = NodeMachine.TestCase


class CheckedNode(NamedTuple):
    """A node with one request, and its invariant checks."""

    testbed: NodeTestbed
    invariants: Invariants
    connection: ProxiedConnection


def checked_node(folder: Path, **changes: Any) -> CheckedNode:
    """Return a node with one request, for which it is dialling an upstream."""
    testbed = node_testbed(folder, **changes)
    invariants = Invariants(testbed.node)
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    return CheckedNode(testbed, invariants, connection)


def disable_send_check(checked: CheckedNode) -> None:
    """Inject a fault: the check before forwarding a request always passes."""
    checked.invariants._attempt_ready = lambda connection, now_us: True


def a_second_attempt_is_dialled(folder: Path) -> None:
    testbed, _, connection = checked_node(folder)
    assert connection.upstream
    with pytest.raises(InvariantError, match="two attempts of a request"):
        testbed.node.attempts.dial(connection, connection.upstream, None, testbed.now)


def a_second_final_answer_is_sent(folder: Path) -> None:
    testbed, _, connection = checked_node(folder)
    testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)
    with pytest.raises(InvariantError, match="two final answers"):
        testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)


def a_draining_upstream_gets_a_request(folder: Path) -> None:
    checked = checked_node(folder)
    assert checked.connection.upstream
    checked.connection.upstream.state = ServerState.DRAINING
    disable_send_check(checked)
    with pytest.raises(InvariantError, match="draining"):
        checked.testbed.attempts()[0].accept(checked.testbed.now)


def a_request_of_a_disconnected_client_is_forwarded(folder: Path) -> None:
    checked = checked_node(folder)
    checked.connection.finish()
    disable_send_check(checked)
    with pytest.raises(InvariantError, match="disconnected client"):
        checked.testbed.attempts()[0].accept(checked.testbed.now)


def an_unsafe_request_is_repeated_or_rejected(folder: Path) -> None:
    changed = settings_with_effects(["unsafe"], 0, 3, True, 2 * SECOND)
    changed["classes"][0]["name"] = "chat"
    testbed, invariants, connection = checked_node(folder, settings=changed)
    assert connection.upstream
    execution = PossibleExecution(testbed.now, connection.upstream)
    invariants.possible_executions[connection.number] = execution
    with pytest.raises(InvariantError, match="unsafe"):
        testbed.attempts()[0].accept(testbed.now)
    with pytest.raises(InvariantError, match="may have been executed is rejected"):
        testbed.node.answers.conclude(connection, FinalAnswer.REJECTED, testbed.now)


def a_request_has_no_answer_in_time(folder: Path) -> None:
    testbed, invariants, connection = checked_node(folder)
    assert connection.overdue_timer
    connection.overdue_timer.cancel()
    connection.attempt_timers.clear()
    with pytest.raises(InvariantError, match="in time"):
        invariants.check(testbed.now + 3 * SECOND)


def the_policys_connection_count_differs(folder: Path) -> None:
    testbed = node_testbed(folder)
    invariants = Invariants(testbed.node)
    testbed.establish_client()
    invariants.check(testbed.now)
    servers = testbed.node.balancer.registry.servers.values()  # type: ignore[attr-defined]
    next(server for server in servers if server.connections).connections.clear()
    with pytest.raises(InvariantError, match="connection count differs"):
        invariants.check(testbed.now)


INJECTED_FAULTS = [
    a_second_attempt_is_dialled,
    a_second_final_answer_is_sent,
    a_draining_upstream_gets_a_request,
    a_request_of_a_disconnected_client_is_forwarded,
    an_unsafe_request_is_repeated_or_rejected,
    a_request_has_no_answer_in_time,
    the_policys_connection_count_differs,
]


def test_each_invariant_can_break(tmp_path: Path) -> None:
    """Every injected fault is detected."""
    for inject_fault in INJECTED_FAULTS:
        inject_fault(tmp_path)
