"""Endpoint lists in any layout, and the watch of an agent that pushes lists."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.configurations import SECOND, host, hosts, settings
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.discovery.json_stream import MAX_DEPTH, JsonObjectStream, JsonStreamError
from limerudder.policy.discovery_timing import (
    AGENT_FIRST_BYTE_TIMEOUT_US,
    AGENT_RETRY_INTERVAL_US,
    COMPLETE_TIMEOUT_US,
    CallDeadline,
)
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed

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
def test_objects_are_found_in_any_layout_and_chunks(
    expected: list[dict[str, object]], indent: int, data: st.DataObject
) -> None:
    text = b"\n\n".join(json.dumps(value, indent=indent or None).encode() for value in expected) + b"\n"
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
    stream = JsonObjectStream(1 << 20)
    found = list[bytes]()
    for start, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        found += stream.feed(text[start:end])
    assert [json.loads(text) for text in found] == expected
    assert not stream.partial_object


@pytest.mark.parametrize(
    "malformed", [b"x", b"[1]", b'{"a":1} 2', b'{"a":' * (MAX_DEPTH + 1), b'{"a":"' + b"x" * 99]
)
def test_input_other_than_objects_is_rejected(malformed: bytes) -> None:
    with pytest.raises(JsonStreamError):
        JsonObjectStream(64 if b"xxx" in malformed else 1 << 20).feed(malformed)


@pytest.mark.parametrize("watch", [True, False])
@pytest.mark.parametrize("chunk_bytes", [1, 7, 1000])
def test_a_list_may_be_indented(watch: bool, chunk_bytes: int) -> None:
    received = list[EndpointList]()
    failures = list[bool]()
    call = DiscoveryCall(
        "x",
        0 if watch else None,
        lambda call, endpoint_list, now_us: received.append(endpoint_list),
        lambda call, failed, now_us: failures.append(failed),
        CallDeadline(False, 0),
    )
    call.connection_made(FakeTransport(), 1)
    text = json.dumps(hosts(host("s-1")), indent=2).encode()
    answer = HEAD + chunk(b"\r\n" + text + b"\r\n") + (b"" if watch else b"0\r\n\r\n")
    for start in range(0, len(answer), chunk_bytes):
        call.data_received(answer[start : start + chunk_bytes], 2)
    assert [len(endpoint_list.endpoints) for endpoint_list in received] == [1]
    assert failures == ([] if watch else [False])


def node_testbed_with_agent(directory: Path) -> NodeTestbed:
    return node_testbed(directory, settings={**settings(), "discovery": "pushed"})


def watches(testbed: NodeTestbed) -> list[FakeTransport]:
    return [
        dial for dial in testbed.dials if isinstance(dial.machine, DiscoveryCall) and dial.machine.is_watch
    ]


def test_an_agent_is_watched_from_the_start_and_again_after_its_watch_ends(tmp_path: Path) -> None:
    testbed = node_testbed_with_agent(tmp_path)
    (watch,) = watches(testbed)  # An agent is watched from the start of the process
    watch.accept(testbed.now)
    watch.machine.data_received(HEAD + chunk(json.dumps(hosts(host("s-new"))).encode() + b"\n"), testbed.now)
    assert testbed.node.is_listed("s-new")
    watch.machine.eof_received(testbed.now)
    testbed.run(AGENT_RETRY_INTERVAL_US + AGENT_FIRST_BYTE_TIMEOUT_US // 2)
    assert len(watches(testbed)) == 2 and not watches(testbed)[1].closed
    assert b"after=41" in watches(testbed)[1].machine.first_bytes(testbed.now), "changes since the last list"


def test_a_silent_agent_is_called_again_until_it_answers(tmp_path: Path) -> None:
    testbed = node_testbed_with_agent(tmp_path)
    for _ in range(3):
        testbed.run(AGENT_FIRST_BYTE_TIMEOUT_US + AGENT_RETRY_INTERVAL_US + SECOND)
        watches(testbed)[-1].accept(testbed.now)
    assert len(watches(testbed)) >= 3
    assert sum(not watch.closed for watch in watches(testbed)) == 1, "only one watch is open"


def test_a_list_that_never_ends_does_not_keep_its_watch_alive(tmp_path: Path) -> None:
    testbed = node_testbed_with_agent(tmp_path)
    (watch,) = watches(testbed)
    watch.accept(testbed.now)
    watch.machine.data_received(HEAD + chunk(b'{"generation": 42, '), testbed.now)
    for _ in range(COMPLETE_TIMEOUT_US // (SECOND // 2)):
        testbed.run(SECOND // 2)
        assert not watch.closed, "every list has the complete timeout, including the first"
        watch.machine.data_received(chunk(b"\r\n"), testbed.now)
    testbed.run(SECOND // 2)
    assert watch.closed
