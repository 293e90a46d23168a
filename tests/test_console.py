"""The console and the numbers: what operators ask is answered, whatever clients and other callers do."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from limerudder.config import ConfigError, load_config
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
from tests.scripted_peers import SECOND, FakeTransport, World, configuration, settings, world


def no(word: str, now: int) -> str:
    raise ConsoleError(f"no {word}")


@pytest.fixture
def console() -> Console:
    here = Console(TimerWheel(5000, 0), Counters())
    here.register("status", lambda _, now: "done\n")
    here.register("maint-on", lambda word, now: f"done {word}\n", takes_argument=True)
    here.register("deny", no, takes_argument=True)
    return here


def call(console: Console) -> tuple[ConsoleSession, FakeTransport]:
    session, link = ConsoleSession(console), FakeTransport()
    session.connection_made(link, 0)
    return session, link


LINES = {
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


@pytest.mark.parametrize("data", LINES, ids=lambda data: str(data)[:20])
@pytest.mark.parametrize("step", [1, 3, 10_000])
def test_a_call_in_any_pieces_has_one_answer(console: Console, data: bytes, step: int) -> None:
    session, link = call(console)
    for at in range(0, len(data), step):
        session.data_received(data[at : at + step], 0)
    assert link.sent.decode() == LINES[data] and link.half_closed and not link.closed
    session.eof_received(0)
    assert link.closed and not console.sessions


def test_a_call_ends_with_its_callers_sending_too(console: Console) -> None:
    session, link = call(console)
    session.data_received(b"status", 0)
    session.eof_received(0)
    assert link.sent == b"done\n"
    session.connection_lost(0)
    session, link = call(console)
    session.eof_received(0)
    assert link.closed and not link.sent and not console.sessions


def test_silent_callers_delay_nobody_and_are_closed_in_time(console: Console) -> None:
    silent = [call(console)[1] for _ in range(3 * MAX_SESSIONS)]
    assert sum(not link.closed for link in silent) == MAX_SESSIONS, "their descriptors are bounded"
    session, link = call(console)
    session.data_received(b"status\n", 0)
    assert link.sent == b"done\n"
    console.timer_wheel.advance(5 * SECOND)
    assert all(link.closed for link in silent) and not console.sessions


def stats(here: World) -> dict[str, str]:
    lines = here.node.metrics.text(here.node.gauges(here.now)).splitlines()
    assert all(line.startswith("app.") for line in lines)
    return dict(line.removeprefix("app.").split(":") for line in lines)


@pytest.mark.parametrize("ends", [False, True], ids=["open", "ended its sending"])
@pytest.mark.parametrize("settled", [True, False])
def test_an_answer_that_comes_later_is_waited_for_and_not_for_ever(
    console: Console, ends: bool, settled: bool
) -> None:
    later = DeferredAnswer()
    console.register("hold", lambda word, now: later, takes_argument=True)
    session, link = call(console)
    session.data_received(b"hold x\n", 0)
    if ends:
        session.eof_received(0)
    assert link.sent == b"" and not link.closed
    if settled:
        later.resolve("done\n", 5)
    else:
        console.timer_wheel.advance(CALL_TIMEOUT_US + 10_000)
    assert link.sent == (
        b"done\n" if settled else b"error that is not written down yet; it holds here, and is tried on\n"
    )
    later.resolve("done\n", 9)
    assert link.sent.count(b"\n") == 1 and link.half_closed, "one answer"


def test_an_answer_for_a_caller_that_has_gone_is_passed_over(console: Console) -> None:
    later = DeferredAnswer()
    console.register("hold", lambda word, now: later, takes_argument=True)
    session, link = call(console)
    session.data_received(b"hold x\n", 0)
    session.connection_lost(0)
    later.resolve("done\n", 5)
    assert link.sent == b"" and not console.sessions


def test_every_number_is_there_from_the_start(tmp_path: Path) -> None:
    names = ["fulfilled.chat", "throttled.chat", "faulted.chat", "relayed"]
    gauges = {"open_requests": "0|g", "registry_entries": "2|g", "out_of_rotation": "0|g"}
    assert stats(world(tmp_path)) == dict.fromkeys(names, "0|c") | gauges


def up(here: World) -> None:
    here.served()


def ended(here: World) -> None:
    _, _, attempt = here.served()
    attempt.machine.data_received(b"BYE\r\n", here.now)
    attempt.machine.eof_received(here.now)


def retried(here: World) -> None:
    here.client()
    (first,) = here.attempts()
    first.accept(here.now)
    first.machine.data_received(b"BUSY\r\n", here.now)
    (second,) = here.attempts()
    second.accept(here.now)
    second.machine.data_received(b"UP 7\r\n", here.now)


def never_dialled_up(here: World) -> None:
    here.client()
    here.attempts()[0].machine.connection_lost(here.now)


def turned_away(here: World) -> None:
    here.node.start_graceful_shutdown(here.now)
    here.client()


def forgotten(here: World) -> None:
    here.node.balancer.handle = lambda event, now: []  # type: ignore[method-assign]
    here.client()
    here.run(3 * SECOND)


def left(here: World) -> None:
    session, _ = here.client()
    session.connection_lost(here.now)


WAYS: dict[Callable[[World], None], dict[str, int]] = {
    up: {"fulfilled.chat": 1, "relayed": 1, "open_requests": 1},
    ended: {"fulfilled.chat": 1, "relayed": 1},
    retried: {"fulfilled.chat": 1, "relayed": 2, "open_requests": 1, "out_of_rotation": 1},
    never_dialled_up: {"open_requests": 1, "out_of_rotation": 1},
    turned_away: {"throttled.chat": 1},
    forgotten: {"faulted.chat": 1},
    left: {},
}


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_a_thing_is_counted_where_it_happens_and_once(tmp_path: Path, way: Callable[[World], None]) -> None:
    here = world(tmp_path)
    way(here)
    told = {name: int(value.partition("|")[0]) for name, value in stats(here).items()}
    assert {name: value for name, value in told.items() if value and name != "registry_entries"} == WAYS[way]


def test_whom_the_module_avoids_by_choice_is_out_of_rotation(tmp_path: Path) -> None:
    here = world(tmp_path, settings=settings(tryLimit=1))
    here.client()
    here.attempts()[0].machine.connection_lost(here.now)  # a strike
    assert stats(here)["out_of_rotation"] == "1|g"
    here.run(4 * SECOND)
    assert stats(here)["out_of_rotation"] == "0|g", "it is tried again"


def test_the_environment_names_the_console_before_the_file(tmp_path: Path) -> None:
    told = configuration(tmp_path, console="127.0.0.1:7")
    assert load_config(told).console == ("127.0.0.1", 7)
    assert load_config(told | {"PROXY_CONSOLE": "127.0.0.1:8"}).console == ("127.0.0.1", 8)
    assert load_config(configuration(tmp_path)).console is None
    with pytest.raises(ConfigError):
        load_config(told | {"PROXY_CONSOLE": "here"})
