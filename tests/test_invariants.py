"""Random sequences of events on a node in memory, with every invariant checked."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

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
from limerudder.policy.events import (
    ServerState,
)
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed

CLASSES = ["safe", "unsafe", "all", "zone", "cell"]
NAMES = ["s-1", "s-2", "s-3", "s-4"]


def settings_with_effects(
    effects: list[str], window: int, tries: int, cancel: bool, deadline: int
) -> dict[str, Any]:
    """Return settings whose classes have these effects; a keyed class is given by its scope."""
    changed = settings(peers=False)
    first = changed["classes"][0]
    changed["classes"] = [
        first
        | {"name": f"c{number}", "aimUs": deadline // 3, "deadlineUs": deadline, "repeatWindowUs": window}
        | ({"effect": effect} if effect in ("safe", "unsafe") else {"effect": "keyed", "keyScope": effect})
        for number, effect in enumerate(effects)
    ]
    changed["caps"] = changed["caps"] | {"tryLimit": tries, "cancel": cancel}
    return changed


class NodeMachine(RuleBasedStateMachine):
    """A node with clients that come and go, hosts that answer anything, lists, signals and time."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = TemporaryDirectory()
        self.clients: list[tuple[LineSession, FakeTransport]] = []
        self.left: set[int] = set()
        self.stopped = False

    @initialize(
        effects=st.permutations(CLASSES),
        window=st.sampled_from([0, 250_000, 2 * SECOND]),
        tries=st.integers(1, 4),
        cancel=st.booleans(),
        deadline=st.sampled_from([400_000, 2 * SECOND]),
        sockets=st.sampled_from([40, 1024]),
    )
    def begin(
        self, effects: list[str], window: int, tries: int, cancel: bool, deadline: int, sockets: int
    ) -> None:
        changed = settings_with_effects(effects, window, tries, cancel, deadline)
        listed = hosts(*(host(name) | {"zone": "ab"[n % 2], "cell": n // 2} for n, name in enumerate(NAMES)))
        self.testbed: NodeTestbed = node_testbed(
            Path(self.folder.name), settings=changed, known=listed, limits={"sockets": sockets}
        )
        self.watch = Invariants(self.testbed.node)
        self.hosts = {h.name: h for h in parse_endpoint_list(listed).endpoints}
        self.deadline = deadline

    @rule(cls=st.integers(0, 4), far=st.sampled_from(["asked", "sent", "up"]), many=st.integers(1, 3))
    def come(self, cls: int, far: str, many: int) -> None:
        for _ in range(many):
            self.ask(cls, far)

    def ask(self, cls: int, far: str) -> None:
        line = LINE.replace("c=chat", f"c=c{cls}").replace("d=2000", f"d={self.deadline // 1000}")
        before = len(self.testbed.dials)
        self.clients.append(self.testbed.send_request(line))
        dials = [d for d in self.testbed.dials[before:] if hasattr(d.machine, "line")]
        if dials and far != "asked":
            dials[0].accept(self.testbed.now)
            if far == "up":
                dials[0].machine.data_received(b"UP 7\r\n", self.testbed.now)

    @precondition(lambda self: self.clients)
    @rule(which=st.integers(0, 99), data=st.sampled_from([b"M 1\r\n", b"M", b"x" * 5000, b"PING\r\n"]))
    def say(self, which: int, data: bytes) -> None:
        if which % 4 == 0:  # an idle client
            session, transport = self.testbed.connect()
            session.data_received(b"PING\r\n", self.testbed.now)
            self.clients.append((session, transport))
            return
        which %= len(self.clients)
        session, transport = self.clients[which]
        if which not in self.left and not transport.closed and not transport.reading_paused:
            session.data_received(data, self.testbed.now)

    @precondition(lambda self: self.clients)
    @rule(
        which=st.integers(0, 99),
        how=st.sampled_from(["eof_received", "connection_lost", "unread", "unread", "crowded"]),
    )
    def leave(self, which: int, how: str) -> None:
        connected = [
            n for n, (_, transport) in enumerate(self.clients) if n not in self.left and not transport.closed
        ]
        if not connected:
            return
        # one of the last: it may still wait, and what happens to clients that wait is what matters
        which = connected[-1 - which % min(len(connected), 3)]
        session, transport = self.clients[which]
        if how == "crowded":
            session.set_writing_paused(True)
            session.set_writing_paused(False)
            return
        self.left.add(which)
        if how == "unread":  # its FIN has arrived behind bytes that are not read yet
            transport.peer_disconnected = True
        else:
            getattr(session, how)(self.testbed.now)

    @rule(which=st.integers(0, 99), up=st.booleans())
    def dialled(self, which: int, up: bool) -> None:
        dialling = [dial for dial in self.testbed.attempts() if not dial.machine.sent]
        if dialling:
            transport = dialling[-1 - which % min(len(dialling), 3)]
            if not up:
                transport.machine.connection_lost(self.testbed.now)
                return
            session = transport.machine.observer.session
            disconnected = session.transport is None or session.transport.peer_disconnected
            assert (
                not transport.accept(self.testbed.now) or not disconnected
            ), "written for a client that has gone"

    @rule(
        which=st.integers(0, 99),
        what=st.sampled_from(
            [
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
                "crowded",
            ]
        ),
    )
    def answer(self, which: int, what: bytes | str) -> None:
        sent = [dial for dial in self.testbed.attempts() if dial.machine.sent]
        if not sent:
            return
        machine = sent[-1 - which % min(len(sent), 3)].machine
        if isinstance(what, bytes):
            machine.data_received(what, self.testbed.now)
        elif what == "crowded":
            machine.set_writing_paused(True)
            machine.set_writing_paused(False)
        else:
            getattr(machine, what)(self.testbed.now)

    @rule(
        name=st.sampled_from(NAMES),
        state=st.sampled_from([ServerState.READY] * 4 + [ServerState.DRAINING] * 2 + [ServerState.GONE]),
        anew=st.booleans(),
    )
    def list(self, name: str, state: ServerState, anew: bool) -> None:
        started = self.hosts[name].started_ms + anew * 1000
        self.hosts[name] = self.hosts[name]._replace(state=state, started_ms=started)
        self.testbed.node.endpoints_received(EndpointList(42, False, (self.hosts[name],)), self.testbed.now)

    @rule(ticks=st.sampled_from([1, 2, 5, 20, 25, 100]))
    def time(self, ticks: int) -> None:
        for _ in range(ticks):
            self.testbed.run(5000)
            self.watch.check(self.testbed.now)

    @rule(which=st.integers(0, 19))
    def signal(self, which: int) -> None:
        if which == 0:
            self.testbed.node.start_graceful_shutdown(self.testbed.now)
        else:
            self.testbed.node.discovery.change_address(("127.0.0.1", which), self.testbed.now)

    @invariant()
    def hold(self) -> None:
        if hasattr(self, "watch"):
            self.watch.check(self.testbed.now)

    def teardown(self) -> None:
        if hasattr(self, "watch"):
            for _ in range(8 * SECOND // 50_000):
                self.testbed.run(50_000)
                self.watch.check(self.testbed.now)
            waiting = [c for c in self.testbed.node.requests.values() if not c.has_final_answer]
            assert not waiting, "after all, each request has its answer"
            for which, (_, transport) in enumerate(self.clients):
                if which not in self.left and not transport.closed:
                    assert transport.sent, "a client that waits without a word"
        self.folder.cleanup()


NodeMachine.TestCase.settings = limits(
    max_examples=200,
    phases=[Phase.generate],  # shrinking a failed order takes minutes, and the order as it came is short
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
TestNodeMachine = NodeMachine.TestCase


def test_each_invariant_can_break(tmp_path: Path) -> None:
    """Each planted fault is detected."""

    def fresh(**changes: Any) -> tuple[NodeTestbed, Invariants]:
        testbed = node_testbed(tmp_path, **changes)
        return testbed, Invariants(testbed.node)

    testbed, watch = fresh()
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    assert connection.upstream
    with pytest.raises(InvariantError, match="two attempts of a request"):
        testbed.node.attempts.dial(connection, connection.upstream, None, testbed.now)

    testbed, watch = fresh()
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)
    with pytest.raises(InvariantError, match="two final answers"):
        testbed.node.answers.conclude(connection, FinalAnswer.FAILED, testbed.now)

    testbed, watch = fresh()
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    assert connection.upstream
    connection.upstream.state = ServerState.DRAINING
    watch._attempt_ready = lambda connection, now_us: True
    with pytest.raises(InvariantError, match="draining"):
        testbed.attempts()[0].accept(testbed.now)

    testbed, watch = fresh()
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    connection.finish()
    watch._attempt_ready = lambda connection, now_us: True
    with pytest.raises(InvariantError, match="disconnected client"):
        testbed.attempts()[0].accept(testbed.now)

    changed = settings_with_effects(["unsafe"], 0, 3, True, 2 * SECOND)
    changed["classes"][0]["name"] = "chat"
    testbed, watch = fresh(settings=changed)
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    assert connection.upstream
    watch.possible_executions[connection.number] = PossibleExecution(testbed.now, connection.upstream)
    with pytest.raises(InvariantError, match="unsafe"):
        testbed.attempts()[0].accept(testbed.now)
    with pytest.raises(InvariantError, match="may have been executed is rejected"):
        testbed.node.answers.conclude(connection, FinalAnswer.REJECTED, testbed.now)

    testbed, watch = fresh()
    testbed.send_request()
    connection = next(iter(testbed.node.requests.values()))
    assert connection.overdue_timer
    connection.overdue_timer.cancel()
    connection.attempt_timers.clear()
    with pytest.raises(InvariantError, match="in time"):
        watch.check(testbed.now + 3 * SECOND)

    testbed, watch = fresh()
    testbed.establish_client()
    watch.check(testbed.now)
    servers = testbed.node.balancer.registry.servers.values()  # type: ignore[attr-defined]
    next(server for server in servers if server.connections).connections.clear()
    with pytest.raises(InvariantError, match="counts other"):
        watch.check(testbed.now)
