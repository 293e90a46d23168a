"""Calls to discovery, with responses split at any point."""

from __future__ import annotations

import pytest

from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.policy.discovery_timing import CallDeadline


def _watch(lists: list[EndpointList], failures: list[bool]) -> DiscoveryCall:
    return DiscoveryCall(
        "d",
        41,
        lambda call, endpoint_list, now_us: lists.append(endpoint_list),
        lambda call, failed, now_us: failures.append(failed),
        CallDeadline(False, 0),
    )


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LIST = b'{"generation":43,"reset":false,"instances":[{"instanceId":"s-9","hostPort":"10.1.0.18:8081",'
LIST += b'"zone":"a","machineType":"m1","cell":3,"lifecycle":"leaving","weight":1.0,"startedAtMs":7}]}\n'
WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(b"\n") + _chunk(LIST[:50])
WATCH += _chunk(LIST[50:] + b"\n")


@pytest.mark.parametrize("cut", range(0, len(WATCH) + 1, 3))
def test_a_watch_reports_each_list_regardless_of_chunk_boundaries(cut: int) -> None:
    lists = list[EndpointList]()
    failures = list[bool]()
    call = _watch(lists, failures)
    assert b"GET /discovery/hosts?watch=1&after=41 HTTP/1.1\r\n" in call.first_bytes(0)
    call.data_received(WATCH[:cut], 1)
    call.data_received(WATCH[cut:], 2)
    assert [endpoint_list.version for endpoint_list in lists] == [43]
    assert not failures
    endpoint = lists[0].endpoints[0]
    assert endpoint[:2] == ("s-9", ("10.1.0.18", 8081))
    assert endpoint.started_ms == 7
    call.data_received(b"0\r\n\r\n", 3)
    assert failures == [True], "the end of a watch is a failure"


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
def test_a_malformed_response_fails_the_call(answer: bytes) -> None:
    lists = list[EndpointList]()
    failures = list[bool]()
    _watch(lists, failures).data_received(answer, 1)
    assert (lists, failures) == ([], [True])
