"""The console and the metrics: callers are answered regardless of clients and other callers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from harness.configurations import SECOND, configuration, settings
from limerudder.config import load_config
from limerudder.core.node_config import ConfigError
from limerudder.core.operations.console import (
    CALL_TIMEOUT_US,
    MAX_CALL_BYTES,
    MAX_SESSIONS,
    Console,
    ConsoleError,
    ConsoleSession,
    DeferredAnswer,
)
from limerudder.core.operations.counters import Counters
from limerudder.core.timer_wheel import TimerWheel
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed


def deny(argument: str, now_us: int) -> str:
    raise ConsoleError(f"no {argument}")


@pytest.fixture
def console() -> Console:
    console = Console(TimerWheel(5000, 0), Counters())
    console.register("status", lambda _, now_us: "done\n")
    console.register("maint-on", lambda argument, now_us: f"done {argument}\n", takes_argument=True)
    console.register("deny", deny, takes_argument=True)
    return console


def open_session(console: Console) -> tuple[ConsoleSession, FakeTransport]:
    session = ConsoleSession(console)
    transport = FakeTransport()
    session.connection_made(transport, 0)
    return session, transport


ANSWERS = {
    b"status\n": "done\n",
    b"status\r\n": "done\n",
    b"status\r\nstatus\r\n": "done\n",
    b"maint-on s-1\r\n": "done s-1\n",
    b"deny x\n": "error no x\n",
    b"maint-on\n": "error maint-on takes one word after it\n",
    b"maint-on a b\n": "error maint-on takes one word after it\n",
    b"status now\n": "error status takes nothing after it\n",
    b"\r\n": "error an empty line\n",
    b"\xff\xfe\n": "error no such call; there are status maint-on deny\n",
    b"x" * 3 * MAX_CALL_BYTES: "error the line is too long\n",
}


@pytest.mark.parametrize("data", ANSWERS, ids=lambda data: str(data)[:20])
@pytest.mark.parametrize("chunk_bytes", [1, 3, 10_000])
def test_a_call_in_any_number_of_chunks_has_one_answer(
    console: Console, data: bytes, chunk_bytes: int
) -> None:
    session, transport = open_session(console)
    for start in range(0, len(data), chunk_bytes):
        session.data_received(data[start : start + chunk_bytes], 0)
    assert transport.sent.decode() == ANSWERS[data] and transport.half_closed and not transport.closed
    session.eof_received(0)
    assert transport.closed and not console.sessions


def test_a_call_may_end_when_the_caller_closes_its_sending_side(console: Console) -> None:
    session, transport = open_session(console)
    session.data_received(b"status", 0)
    session.eof_received(0)
    assert transport.sent == b"done\n"
    session.connection_lost(0)
    session, transport = open_session(console)
    session.eof_received(0)
    assert transport.closed and not transport.sent and not console.sessions


def test_silent_callers_do_not_delay_others_and_time_out(console: Console) -> None:
    silent = [open_session(console)[1] for _ in range(3 * MAX_SESSIONS)]
    assert sum(not transport.closed for transport in silent) == MAX_SESSIONS, "their descriptors are bounded"
    session, transport = open_session(console)
    session.data_received(b"status\n", 0)
    assert transport.sent == b"done\n"
    console.timer_wheel.advance(5 * SECOND)
    assert all(transport.closed for transport in silent) and not console.sessions


def metrics(testbed: NodeTestbed) -> dict[str, str]:
    lines = testbed.node.metrics.text(testbed.node.gauges(testbed.now)).splitlines()
    assert all(line.startswith("app.") for line in lines)
    return dict(line.removeprefix("app.").split(":") for line in lines)


@pytest.mark.parametrize("sending_ended", [False, True], ids=["open", "ended its sending"])
@pytest.mark.parametrize("resolved", [True, False])
def test_a_deferred_answer_is_awaited_until_it_times_out(
    console: Console, sending_ended: bool, resolved: bool
) -> None:
    deferred = DeferredAnswer()
    console.register("hold", lambda argument, now_us: deferred, takes_argument=True)
    session, transport = open_session(console)
    session.data_received(b"hold x\n", 0)
    if sending_ended:
        session.eof_received(0)
    assert transport.sent == b"" and not transport.closed
    if resolved:
        deferred.resolve("done\n", 5)
    else:
        console.timer_wheel.advance(CALL_TIMEOUT_US + 10_000)
    assert transport.sent == (
        b"done\n" if resolved else b"error that is not written down yet; it holds here, and is tried on\n"
    )
    deferred.resolve("done\n", 9)
    assert transport.sent.count(b"\n") == 1 and transport.half_closed, "exactly one answer"


def test_a_deferred_answer_for_a_caller_that_has_disconnected_is_dropped(console: Console) -> None:
    deferred = DeferredAnswer()
    console.register("hold", lambda argument, now_us: deferred, takes_argument=True)
    session, transport = open_session(console)
    session.data_received(b"hold x\n", 0)
    session.connection_lost(0)
    deferred.resolve("done\n", 5)
    assert transport.sent == b"" and not console.sessions


def test_every_metric_is_printed_from_the_start(tmp_path: Path) -> None:
    names = ["fulfilled.chat", "throttled.chat", "faulted.chat", "relayed"]
    gauges = {"open_requests": "0|g", "registry_entries": "2|g", "out_of_rotation": "0|g"}
    assert metrics(node_testbed(tmp_path)) == dict.fromkeys(names, "0|c") | gauges


def established(testbed: NodeTestbed) -> None:
    testbed.establish_client()


def ended(testbed: NodeTestbed) -> None:
    _, _, attempt = testbed.establish_client()
    attempt.machine.data_received(b"BYE\r\n", testbed.now)
    attempt.machine.eof_received(testbed.now)


def retried(testbed: NodeTestbed) -> None:
    testbed.send_request()
    (first,) = testbed.attempts()
    first.accept(testbed.now)
    first.machine.data_received(b"BUSY\r\n", testbed.now)
    (second,) = testbed.attempts()
    second.accept(testbed.now)
    second.machine.data_received(b"UP 7\r\n", testbed.now)


def dial_failed(testbed: NodeTestbed) -> None:
    testbed.send_request()
    testbed.attempts()[0].machine.connection_lost(testbed.now)


def rejected(testbed: NodeTestbed) -> None:
    testbed.node.start_graceful_shutdown(testbed.now)
    testbed.send_request()


def left_unanswered(testbed: NodeTestbed) -> None:
    testbed.node.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
    testbed.send_request()
    testbed.run(3 * SECOND)


def client_disconnected(testbed: NodeTestbed) -> None:
    session, _ = testbed.send_request()
    session.connection_lost(testbed.now)


METRICS_AFTER: dict[Callable[[NodeTestbed], None], dict[str, int]] = {
    established: {"fulfilled.chat": 1, "relayed": 1, "open_requests": 1},
    ended: {"fulfilled.chat": 1, "relayed": 1},
    retried: {"fulfilled.chat": 1, "relayed": 2, "open_requests": 1, "out_of_rotation": 1},
    dial_failed: {"open_requests": 1, "out_of_rotation": 1},
    rejected: {"throttled.chat": 1},
    left_unanswered: {"faulted.chat": 1},
    client_disconnected: {},
}


@pytest.mark.parametrize("scenario", METRICS_AFTER, ids=lambda scenario: scenario.__name__)
def test_each_request_is_counted_once_where_it_is_answered(
    tmp_path: Path, scenario: Callable[[NodeTestbed], None]
) -> None:
    testbed = node_testbed(tmp_path)
    scenario(testbed)
    values = {name: int(value.partition("|")[0]) for name, value in metrics(testbed).items()}
    counted = {name: value for name, value in values.items() if value and name != "registry_entries"}
    assert counted == METRICS_AFTER[scenario]


def test_hosts_that_the_policy_avoids_are_out_of_rotation(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path, settings=settings(tryLimit=1))
    testbed.send_request()
    (attempt,) = testbed.attempts()
    attempt.machine.connection_lost(testbed.now)  # after a failure, the policy avoids the host
    assert metrics(testbed)["out_of_rotation"] == "1|g"
    testbed.run(4 * SECOND)
    assert metrics(testbed)["out_of_rotation"] == "0|g", "the host is no longer avoided"


def test_the_consoles_address_in_the_environment_overrides_the_file(tmp_path: Path) -> None:
    environment = configuration(tmp_path, console="127.0.0.1:7")
    assert load_config(environment).console == ("127.0.0.1", 7)
    assert load_config(environment | {"PROXY_CONSOLE": "127.0.0.1:8"}).console == ("127.0.0.1", 8)
    assert load_config(configuration(tmp_path)).console is None
    with pytest.raises(ConfigError):
        load_config(environment | {"PROXY_CONSOLE": "here"})
