"""An exception in one effect of an event does not drop the effects that follow it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from harness.configurations import LINE, SECOND, host, hosts, settings
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.lifecycle.hot_restart import HotRestartSuccessor
from limerudder.core.lifecycle.hot_restart.handover_state import HandoverState, ProcessUsage
from limerudder.core.lifecycle.hot_restart.successor import SuccessorHooks
from limerudder.core.operations.maintenance import InMemoryMarks
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.upstream.maintenance_effects import MaintenanceEffects
from limerudder.net.mark_files import MarkFiles
from limerudder.policy.events import ServerState
from limerudder.store.store_marks import StoreMarks
from tests.node_testbed import TICK_US, node_testbed

SHUTDOWN_US = 4 * SECOND


def fail_for_first(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> list[Any]:
    """Let a method raise for the first argument that it is called with; return a list of that argument."""
    original = getattr(owner, name)
    failed: list[Any] = []

    def fail_or_call(*arguments: Any) -> Any:
        if not failed:
            failed.append(arguments[0])
        if arguments[0] is failed[0]:
            raise RuntimeError("one effect fails")
        return original(*arguments)

    monkeypatch.setattr(owner, name, fail_or_call)
    return failed


def test_a_client_that_cannot_be_migrated_stops_no_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a shutdown that ends at the first exception and leaves all others to SIGKILL."""
    errors: list[Exception] = []
    testbed = node_testbed(tmp_path, known=hosts(host("s-1")))
    testbed.node.set_error_handler(errors.append)
    clients = [testbed.establish_client() for _ in range(5)]
    ended: list[bool] = []
    testbed.node.on_shutdown_complete = lambda: ended.append(True)
    failed = fail_for_first(monkeypatch, testbed.node.attempts, "migrate_client")
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.run(SHUTDOWN_US)
    migrated = [transport.sent.endswith(b"MOVE\r\n") for _, transport, _ in clients]
    assert failed and errors and migrated.count(True) == 4
    assert ended, "the process ends by itself"


def test_a_request_that_cannot_be_answered_leaves_none_of_the_others_unanswered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that are closed unanswered since the answer of another one failed."""
    errors: list[Exception] = []
    slow = settings(dialTimeoutUs=60 * SECOND)
    slow["classes"][0] |= {"aimUs": 60 * SECOND, "deadlineUs": 60 * SECOND}
    testbed = node_testbed(tmp_path, settings=slow)
    testbed.node.set_error_handler(errors.append)
    clients = [testbed.send_request(LINE.replace("d=2000", "d=60000")) for _ in range(4)]
    failed = fail_for_first(monkeypatch, testbed.node.answers, "fail")
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.run(SHUTDOWN_US)
    assert failed and errors
    assert [transport.sent for _, transport in clients].count(b"ERR\r\n") == 3


def test_maintenance_of_several_hosts_reaches_each(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host that stays in use because the effect of another host's mark failed."""
    errors: list[Exception] = []
    marks = InMemoryMarks()
    testbed = node_testbed(tmp_path)
    testbed.node.set_error_handler(errors.append)
    testbed.node.maintenance.marks = marks
    original = MaintenanceEffects.maintenance_started

    def fail_for_s1(self: MaintenanceEffects, name: str, now_us: int) -> None:
        if name == "s-1":
            raise RuntimeError("one effect fails")
        original(self, name, now_us)

    monkeypatch.setattr(MaintenanceEffects, "maintenance_started", fail_for_s1)
    marks.add("s-1")
    marks.add("s-2")
    testbed.run(SECOND)
    assert errors
    assert testbed.node.upstreams.by_name["s-2"].state == ServerState.DRAINING


def test_a_successor_serves_alone_and_opens_its_store_whatever_fails_when_its_parent_ends() -> None:
    """Guards against a node without a serving process, or without its store, after a hot restart."""
    errors: list[Exception] = []
    called: list[str] = []
    timers = TimerWheel(TICK_US, 0)
    timers.on_error = errors.append

    def fail_after_start(usage: ProcessUsage, now_us: int) -> None:
        if called:
            raise RuntimeError("one effect fails")
        called.append("usage")

    def fail_to_serve() -> None:
        called.append("serving")
        raise RuntimeError("one effect fails")

    hooks = SuccessorHooks(
        is_ready_to_serve=lambda: False,
        set_parent_usage=fail_after_start,
        apply_return_to_service_times=lambda times, now_us: None,
        record_request=lambda request_id: None,
        record_drain=lambda name, started_ms, now_us: None,
        start_serving=fail_to_serve,
        parent_ended=lambda: called.append("store"),
    )
    state = HandoverState(EndpointList(1, True, ()), (), ProcessUsage(0, {}), {}, False, {})
    successor = HotRestartSuccessor(hooks, timers, state, 0)
    successor.connection_lost(TICK_US)
    assert called == ["usage", "serving", "store"] and len(errors) == 2


class FailingMarks(InMemoryMarks):
    """Local marks on a disk that may fail."""

    def __init__(self) -> None:
        super().__init__()
        self.can_be_read = True
        self.can_be_written = True

    def add(self, name: str) -> None:
        if not self.can_be_written:
            raise OSError("no space left")
        super().add(name)

    def read(self) -> set[str]:
        if not self.can_be_read:
            raise OSError("input/output error")
        return super().read()


class RecordingBridge:
    """Stands in for the store: holds and returns hosts, and records each call."""

    def __init__(self, held: set[str]) -> None:
        self.held = held
        self.calls: list[str] = []

    def held_hosts(self) -> set[str]:
        return set(self.held)

    def hold_host(self, name: str) -> None:
        self.calls.append(f"hold {name}")
        self.held.add(name)

    def return_host(self, name: str) -> None:
        self.calls.append(f"return {name}")
        self.held.discard(name)


def test_a_return_to_service_is_recorded_once_while_local_marks_cannot_be_written() -> None:
    """Guards against a return that is repeated after a failed write, and so ends a later hold."""
    bridge = RecordingBridge({"h1"})
    local = FailingMarks()
    marks = StoreMarks(bridge, local)  # type: ignore[arg-type]
    assert marks.read() == {"h1"} and local.read() == {"h1"}
    local.remove("h1")  # by another process of this node
    bridge.held.add("h2")  # by another node
    local.can_be_written = False
    with pytest.raises(OSError):
        marks.read()
    bridge.held.add("h1")  # an operator holds it again, at another node
    with pytest.raises(OSError):
        marks.read()
    local.can_be_written = True
    assert bridge.calls == ["return h1"]
    assert marks.read() == {"h1", "h2"} == local.read()


def test_marks_that_cannot_be_read_at_a_start_return_no_host_to_service() -> None:
    """Guards against a successor whose store never runs since the state directory fails for a moment."""
    bridge = RecordingBridge({"h1"})
    local = FailingMarks()
    local.can_be_read = False
    marks = StoreMarks(bridge, local)  # type: ignore[arg-type]
    with pytest.raises(OSError):
        marks.read()
    local.can_be_read = True
    assert marks.read() == {"h1"} == local.read()
    assert not bridge.calls


def test_a_host_that_another_process_marks_again_is_held_anew(tmp_path: Path) -> None:
    """Regression (review/9), in a hot restart: the call at the process without the store recorded nothing."""
    bridge = RecordingBridge({"h1", "h2"})
    local, other_process = MarkFiles(str(tmp_path)), MarkFiles(str(tmp_path))
    marks = StoreMarks(bridge, local)  # type: ignore[arg-type]
    for _ in range(2):
        assert marks.read() == {"h1", "h2"}
    assert not bridge.calls
    os.utime(tmp_path / "held-h1", (0, 0))  # the mark is old
    marks.read()
    bridge.calls.clear()
    other_process.add("h1")
    for _ in range(2):
        marks.read()
    assert bridge.calls == ["hold h1"]
    marks.add("h1")
    marks.read()
    assert bridge.calls == ["hold h1"] * 2, "this process's own call is recorded once"


def test_a_host_marked_while_its_process_had_no_store_is_held_anew(tmp_path: Path) -> None:
    bridge = RecordingBridge({"h1", "h2"})
    local = MarkFiles(str(tmp_path))
    local.add("h1")
    marks = StoreMarks(bridge, local)  # type: ignore[arg-type]
    for _ in range(2):
        marks.read()
    assert bridge.calls == ["hold h1"]
