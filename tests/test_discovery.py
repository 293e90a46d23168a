"""Lists however they are laid out, and the agent's watch where lists are pushed."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.discovery.json_stream import MAX_DEPTH, JsonObjectStream, JsonStreamError
from limerudder.policy.discovery_timing import (
    AGENT_FIRST_BYTE_TIMEOUT_US,
    AGENT_RETRY_INTERVAL_US,
    COMPLETE_TIMEOUT_US,
    CallDeadline,
)
from tests.scripted_peers import SECOND, FakeTransport, World, host, hosts, settings, world

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(alphabet='ab{}[]"\\\n\u00e9', max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)
objects = st.lists(st.dictionaries(st.text(max_size=3), values, max_size=3), max_size=4)


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


@given(objects, st.integers(0, 4), st.data())
def test_objects_come_out_whole_however_laid_out_and_cut(
    told: list[dict[str, object]], indent: int, data: st.DataObject
) -> None:
    text = b"\n\n".join(json.dumps(one, indent=indent or None).encode() for one in told) + b"\n"
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
    cutter, found = JsonObjectStream(1 << 20), list[bytes]()
    for start, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        found += cutter.feed(text[start:end])
    assert [json.loads(one) for one in found] == told and not cutter.partial_object


@pytest.mark.parametrize(
    "bad", [b"x", b"[1]", b'{"a":1} 2', b'{"a":' * (MAX_DEPTH + 1), b'{"a":"' + b"x" * 99]
)
def test_what_is_no_object_is_an_error(bad: bytes) -> None:
    with pytest.raises(JsonStreamError):
        JsonObjectStream(64 if b"xxx" in bad else 1 << 20).feed(bad)


@pytest.mark.parametrize("watch", [True, False])
@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_a_list_may_come_indented(watch: bool, cut: int) -> None:
    told, over = list[EndpointList](), list[bool]()
    call = DiscoveryCall(
        "x",
        0 if watch else None,
        lambda c, h, n: told.append(h),
        lambda c, f, n: over.append(f),
        CallDeadline(False, 0),
    )
    call.connection_made(FakeTransport(), 1)
    text = json.dumps(hosts(host("s-1")), indent=2).encode()
    answer = HEAD + chunk(b"\r\n" + text + b"\r\n") + (b"" if watch else b"0\r\n\r\n")
    for at in range(0, len(answer), cut):
        call.data_received(answer[at : at + cut], 2)
    assert [len(one.endpoints) for one in told] == [1]
    assert over == ([] if watch else [False])


def pushed(folder: Path) -> World:
    return world(folder, settings={**settings(), "discovery": "pushed"})


def watches(here: World) -> list[FakeTransport]:
    return [d for d in here.dials if isinstance(d.machine, DiscoveryCall) and d.machine.is_watch]


def test_where_lists_are_pushed_the_agent_is_watched_from_the_start_and_again(tmp_path: Path) -> None:
    here = pushed(tmp_path)
    (watch,) = watches(here)  # what the agent has counts from a process's first moment
    watch.accept(here.now)
    watch.machine.data_received(HEAD + chunk(json.dumps(hosts(host("s-new"))).encode() + b"\n"), here.now)
    assert here.node.is_listed("s-new")
    watch.machine.eof_received(here.now)
    here.run(AGENT_RETRY_INTERVAL_US + AGENT_FIRST_BYTE_TIMEOUT_US // 2)
    assert len(watches(here)) == 2 and not watches(here)[1].closed
    assert b"after=41" in watches(here)[1].machine.first_bytes(here.now), "what was missed comes first"


def test_an_agent_that_says_nothing_is_asked_again_until_it_speaks(tmp_path: Path) -> None:
    here = pushed(tmp_path)
    for _ in range(3):
        here.run(AGENT_FIRST_BYTE_TIMEOUT_US + AGENT_RETRY_INTERVAL_US + SECOND)
        watches(here)[-1].accept(here.now)
    assert len(watches(here)) >= 3
    assert sum(not d.closed for d in watches(here)) == 1, "one watch at a time"


def test_a_list_that_never_ends_is_no_sign_of_life(tmp_path: Path) -> None:
    here = pushed(tmp_path)
    (watch,) = watches(here)
    watch.accept(here.now)
    watch.machine.data_received(HEAD + chunk(b'{"generation": 42, '), here.now)
    for _ in range(COMPLETE_TIMEOUT_US // (SECOND // 2)):
        here.run(SECOND // 2)
        assert not watch.closed, "a long list takes its time, the first too"
        watch.machine.data_received(chunk(b"\r\n"), here.now)
    here.run(SECOND // 2)
    assert watch.closed
