"""The node's state machines in memory, fed bytes cut at every point."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from limerudder.config import ConfigError, load_config, reload_config
from limerudder.core.client.open_line import MalformedLineError, format_attempt_line, parse_open_line
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.line_framing import LineError, LineFramer
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.upstream.health_check import HealthCheckConnection
from limerudder.policy.discovery_timing import CallDeadline
from limerudder.policy.events import (
    AttemptOutcome,
)
from tests.scripted_peers import ID, KEY, LINE, SECOND, FakeTransport, configuration, host, hosts, settings

TEXT = b"OPEN a\r\n\r\nLOAD 1.5\r\nhalf"


@pytest.mark.parametrize("cut", range(len(TEXT) + 1))
def test_lines_cut_anywhere_come_out_whole(cut: int) -> None:
    framer = LineFramer()
    assert framer.feed(TEXT[:cut]) + framer.feed(TEXT[cut:]) == [b"OPEN a", b"", b"LOAD 1.5"]
    assert framer.partial_line == b"half"


@pytest.mark.parametrize("data", [b"x" * 4096, b"x" * 4095 + b"\r\n"])
def test_a_line_over_4_kib_is_refused(data: bytes) -> None:
    assert LineFramer().feed(b"x" * 4094 + b"\r\n")
    with pytest.raises(LineError):
        LineFramer().feed(data)


def test_a_first_line_is_read_and_passed_on_unchanged_but_for_d() -> None:
    request = parse_open_line((LINE + ",r=1,again=1,h=12,x=y").encode())
    assert (request.class_name, request.tenant, request.key, request.time_left_us) == (
        "chat",
        "acme",
        int(KEY, 16),
        2 * SECOND,
    )
    assert (request.group, request.is_retry, request.is_reconnect, request.hint) == (
        0x5C0F6E1A2B3D4C59,
        True,
        True,
        12,
    )
    assert (
        format_attempt_line(LINE.encode(), 1_234_567) == LINE.replace("d=2000", "d=1234").encode() + b"\r\n"
    )
    assert format_attempt_line(LINE.encode(), None) == LINE.encode() + b"\r\n"


@pytest.mark.parametrize(
    "line",
    [
        "",
        "HELLO",
        "OPEN",
        f"OPEN {ID}",
        f"OPEN {ID} {KEY}",
        f"OPEN {ID} {KEY} t=acme",
        f"{LINE} x",
        f" {LINE}",
    ]
    + [f"OPEN {bad} {KEY} c=chat" for bad in ("x!", "+1", "0x1", "1_0", ID[:-1], ID + "0", ID.upper())]
    + [f"OPEN {ID} {KEY[:-1]}\u0661 c=chat", LINE.replace("OPEN", "open")]
    + [
        f"OPEN {ID} {KEY} c=chat,{bad}"
        for bad in (
            "d=nan",
            "d=inf",
            "d=-1",
            "d=+1",
            "d=1e9",
            "d=1_0",
            "d=1.5",
            "d=",
            "d",
            "d=soon",
            "d=\u0661",
        )
        + ("d=4294968", "d=99999999999999999999999", "d=1,d=2", "d=1,d=1", "c=chat", "h=x", "h=1e3", "h=-1")
        + ("g=", "g=1", "at=", "r=2", "again=yes", "r=", "=1", "", "\u00e9=1", "t=a=b", "t=a\tb", "t=a\x7f")
        + ("t=a\nb", "t=a\rb", "x=\0", "t=\xa0")
    ],
)
def test_a_malformed_first_line_is_told_apart(line: str) -> None:
    with pytest.raises(MalformedLineError):
        parse_open_line(line.encode())


def _watch(told: list[EndpointList], ended: list[bool]) -> DiscoveryCall:
    return DiscoveryCall(
        "d",
        41,
        lambda call, hosts, now: told.append(hosts),
        lambda c, failed, now: ended.append(failed),
        CallDeadline(False, 0),
    )


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LIST = b'{"generation":43,"reset":false,"instances":[{"instanceId":"s-9","hostPort":"10.1.0.18:8081",'
LIST += b'"zone":"a","machineType":"m1","cell":3,"lifecycle":"leaving","weight":1.0,"startedAtMs":7}]}\n'
WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(b"\n") + _chunk(LIST[:50])
WATCH += _chunk(LIST[50:] + b"\n")


@pytest.mark.parametrize("cut", range(0, len(WATCH) + 1, 3))
def test_a_watch_gives_a_list_a_line_however_it_is_cut(cut: int) -> None:
    told, ended = list[EndpointList](), list[bool]()
    call = _watch(told, ended)
    assert b"GET /discovery/hosts?watch=1&after=41 HTTP/1.1\r\n" in call.opening(0)
    call.data_received(WATCH[:cut], 1)
    call.data_received(WATCH[cut:], 2)
    assert [h.version for h in told] == [43] and not ended
    assert told[0].endpoints[0][:2] == ("s-9", ("10.1.0.18", 8081)) and told[0].endpoints[0].started_ms == 7
    call.data_received(b"0\r\n\r\n", 3)
    assert ended == [True], "a watch that is complete has ended"


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n", b"nonsense\r\n\r\n"]
    + [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(bad + b"\n")
        for bad in (
            b"{]",
            b"[]",
            b"7",
            b"[" * 100_000,
            LIST.replace(b"leaving", b"odd"),
            LIST.replace(b"18:", b":"),
        )
    ],
)
def test_what_discovery_gets_wrong_is_a_failed_call(answer: bytes) -> None:
    told, ended = list[EndpointList](), list[bool]()
    _watch(told, ended).data_received(answer, 1)
    assert (told, ended) == ([], [True])


@pytest.mark.parametrize(
    ("answer", "heard"),
    [
        (b"PONG inflight=7,x0=0.61\r\n", (AttemptOutcome.OK, (7.0, 0.61))),
        (b"PONG\r\n", (AttemptOutcome.OK, ())),
        (b"ERR\r\n", (AttemptOutcome.ERROR, ())),
        (b"BUSY\r\n", (AttemptOutcome.FULL, ())),
        (b"x" * 5000, (AttemptOutcome.ERROR, ())),
    ],
)
def test_a_probe_is_answered_once(answer: bytes, heard: tuple[Any, ...]) -> None:
    got: list[tuple[Any, ...]] = []
    probe = HealthCheckConnection(
        ("inflight", "x0"), lambda took, ending, report, now: got.append((took, ending, report))
    )
    probe.send_check(0)
    link = FakeTransport(probe)
    assert link.accept(30) == "STATS\r\n"
    probe.data_received(answer, 40)
    probe.expire_pending(50, 60)
    assert got == [(10, *heard)], "setting up the connection does not count"


def test_a_wheel_calls_at_the_first_tick_not_before_the_time_and_never_what_was_cancelled() -> None:
    wheel, called = TimerWheel(5000, 0), list[tuple[str, int]]()
    for name, at in (("near", 12_000), ("far", 6 * SECOND), ("past", -1), ("gone", 12_000)):
        timer = wheel.schedule(at, lambda now, name=name: called.append((name, now)))  # type: ignore[misc]
    timer.cancel()
    for now in range(0, 7 * SECOND, 5000):
        wheel.advance(now)
    assert called == [("past", 5000), ("near", 15_000), ("far", 6 * SECOND)]


def test_a_configuration_reads_the_same_settings_as_the_wire(tmp_path: Path) -> None:
    config = load_config(configuration(tmp_path) | {"PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.1:81"})
    assert (config.name, config.listen, config.seed) == ("n7", ("127.0.0.1", 81), 0x8C1F30D27A5BE964)
    told = config.settings
    assert (told.max_attempts, told.connect_timeout_us, told.report_fields) == (
        3,
        100_000,
        ("inflight", "x0"),
    )
    assert told.classes[0].message_objective_us == 60_000 and told.prices == {"probe": 0.002}
    assert config.names.zones == ("a", "b") and config.known.endpoints[0].name == "s-1"


def test_a_configuration_read_again_has_its_own_discovery_whatever_the_environment_says(
    tmp_path: Path,
) -> None:
    given = configuration(tmp_path, discovery="127.0.0.1:7") | {"PROXY_DISCOVERY": "127.0.0.1:8"}
    assert load_config(given).discovery[1] == 8 and reload_config(given).discovery[1] == 7


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": {"sockets": float("inf")}},
        {"listen": "here"},
        {"seed": "zz"},
        {"settings": {}},
        {"settings": settings() | {"classes": []}},
        {"settings": settings() | {"balancers": "two"}},
        {"known": hosts(host("s-1", "name:1"))},
        {"known": {}},
    ],
)
def test_a_bad_configuration_is_told(tmp_path: Path, changes: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        load_config(configuration(tmp_path, **changes))
