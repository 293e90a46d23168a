"""Tests of discovery deadlines: a change arrives once discovery answers, however earlier calls failed.

A real node on a simulated clock calls a scripted discovery service. Its calls fail as drawn by Hypothesis up
to a point in time; every call opened later is answered. From that point, the operators allow 6 s until a
change is applied, which includes the timeout of a call that is still open, the backoff after it and the
answer.
"""

from __future__ import annotations

import json
from enum import Enum
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

import pytest
from hypothesis import example, given
from hypothesis import settings as limits
from hypothesis import strategies as st

from harness.configurations import SECOND, host, hosts, settings
from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.policy.discovery_timing import (
    CALL_TIMEOUT_US,
    CHECK_INTERVAL_US,
    COMPLETE_TIMEOUT_US,
    FIRST_BYTE_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    MAX_BACKOFF_US,
    NOTIFY_DEADLINE_US,
    Backoff,
    CallDeadline,
)
from limerudder.policy.events import ServerState
from tests.node_testbed import FakeTransport, NodeTestbed, node_testbed

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILURE = b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STEP_US = 100_000
EMPTY_LINE_INTERVAL_US = 2 * SECOND
LATE_ANSWER_US = 3 * SECOND // 2  #: Delay of the answer of a service with many callers


class Fate(Enum):
    """Scripted outcome of one call to discovery."""

    REFUSED = "the connection is reset when it is established"
    UNREACHED = "the connection is never established"
    SILENT = "the connection is established, and no data follows"
    FAILED = "status 503"
    CUT = "ends within its first list"
    RESET = "reset after its first list"
    ENDLESS = "a list that starts and never ends, with empty lines as on a live call"
    WITHOUT_LIST = "empty lines, but no list"
    MALFORMED = "a malformed list"
    STOPS = "its first list, then nothing"
    LATE = "its first list after LATE_ANSWER_US, then nothing"
    GOOD = "its first list, changes and empty lines"
    LATE_THEN_GOOD = "as GOOD, after LATE_ANSWER_US"


LATE_FATES = (Fate.LATE, Fate.LATE_THEN_GOOD)
FATES_WITH_EMPTY_LINES = (Fate.ENDLESS, Fate.WITHOUT_LIST, Fate.GOOD, Fate.LATE_THEN_GOOD)
DRAWN_FATES = [fate for fate in Fate if fate != Fate.LATE_THEN_GOOD]


class ScriptedCall(NamedTuple):
    """The scripted outcome of a call, and its start time."""

    fate: Fate
    began_at_us: int


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class ScriptedDiscovery:
    """Answers a node's calls as scripted; after `drain` it answers every new call."""

    def __init__(self, testbed: NodeTestbed, fates: list[Fate]) -> None:
        self.testbed = testbed
        self.fates = iter(fates)
        self.drained = False
        self.calls: dict[int, ScriptedCall] = {}  # keyed by the index of the dial
        self.answered: set[int] = set()

    def step(self) -> None:
        for number, transport in enumerate(self.testbed.dials):
            if not isinstance(transport.machine, DiscoveryCall) or transport.closed:
                continue
            if number not in self.calls:
                self.calls[number] = ScriptedCall(self._next_fate(), self.testbed.now)
            self._continue_call(number, transport)

    def _next_fate(self) -> Fate:
        if not self.drained:
            return next(self.fates, Fate.SILENT)
        # An agent on the same machine answers immediately, a service with many callers after LATE_ANSWER_US.
        is_agent = self.testbed.node.settings.discovery == "pushed"
        return Fate.GOOD if is_agent else Fate.LATE_THEN_GOOD

    def _continue_call(self, number: int, transport: FakeTransport) -> None:
        fate, began_at_us = self.calls[number]
        call = transport.machine
        now_us = self.testbed.now
        age_us = now_us - began_at_us
        if fate == Fate.REFUSED:
            call.connection_lost(now_us)
        elif fate == Fate.UNREACHED or (fate in LATE_FATES and age_us < LATE_ANSWER_US):
            pass
        elif number not in self.answered:
            self.answered.add(number)
            transport.accept(began_at_us)
            self._begin_answer(fate, call)
        elif fate in FATES_WITH_EMPTY_LINES and age_us % EMPTY_LINE_INTERVAL_US < STEP_US:
            call.data_received(chunk(b"\n"), now_us)

    def _begin_answer(self, fate: Fate, call: DiscoveryCall) -> None:
        now_us = self.testbed.now
        partial_list = HEAD + chunk(b'{"generation": 42, ')
        answers = {
            Fate.SILENT: b"",
            Fate.FAILED: FAILURE,
            Fate.MALFORMED: HEAD + chunk(b"[7]\n"),
            Fate.CUT: partial_list,
            Fate.ENDLESS: partial_list,
            Fate.WITHOUT_LIST: HEAD,
        }
        complete_list = HEAD + self._list() + (b"" if call.is_watch else LAST_CHUNK)
        call.data_received(answers.get(fate, complete_list), now_us)
        if fate == Fate.CUT:
            call.eof_received(now_us)
        if fate == Fate.RESET:
            call.connection_lost(now_us)

    def _list(self) -> bytes:
        """Return the endpoint list; in version 42 the host is draining."""
        lifecycle = "leaving" if self.drained else "active"
        endpoints = hosts(host("s-1", lifecycle=lifecycle)) | {"generation": 41 + self.drained}
        return chunk(json.dumps(endpoints).encode() + b"\n")

    def drain(self) -> None:
        """Drain the host, send the change on live watches, and answer every new call from now on."""
        self.drained = True
        for number, (fate, _) in self.calls.items():
            transport = self.testbed.dials[number]
            is_live = number in self.answered and not transport.closed
            if fate == Fate.GOOD and is_live and transport.machine.is_watch:
                transport.machine.data_received(self._list(), self.testbed.now)


def time_until_drain_is_known(
    folder: Path, discovery: str, fates: list[Fate], steps_before: int, moves: list[int]
) -> int:
    """Return the time from the drain until the node's policy has applied it, in microseconds.

    The node runs for `steps_before` steps first; at each step in `moves`, the address of discovery changes.
    """
    simulated = node_testbed(folder, settings={**settings(), "discovery": discovery})
    node = simulated.node
    service = ScriptedDiscovery(simulated, fates)
    for step in range(steps_before):
        service.step()
        simulated.run(STEP_US)
        if step in moves:
            node.discovery.change_address(("127.0.0.1", 7000 + step), simulated.now)
    drained_at_us = simulated.now
    service.drain()
    while node.upstreams.get_or_create("s-1").state == ServerState.READY:
        assert simulated.now - drained_at_us < 60 * SECOND, "the drain is not applied"
        service.step()
        simulated.run(STEP_US)
    server = node.balancer.registry.servers[node.upstreams.by_name["s-1"].number]  # type: ignore[attr-defined]
    assert server.state == ServerState.DRAINING, "the policy has not applied the drain"
    return simulated.now - drained_at_us


@limits(max_examples=150, deadline=None, derandomize=True)
@given(
    st.sampled_from(["on_request", "pushed"]),
    st.lists(st.sampled_from(DRAWN_FATES), max_size=24),
    st.integers(0, 300),
    st.lists(st.integers(0, 300), max_size=2),
)
@example("on_request", [Fate.GOOD], 45, [])
@example("on_request", [Fate.GOOD, Fate.ENDLESS], 20, [10])
@example("on_request", [Fate.UNREACHED] * 20, 200, [])
@example("on_request", [Fate.FAILED] * 300, 300, [])
@example("on_request", [Fate.REFUSED] * 300, 299, [])
@example("on_request", [Fate.WITHOUT_LIST] * 20, 31, [])
@example("on_request", [Fate.STOPS] * 20, 31, [])
@example("pushed", [Fate.SILENT] * 200, 150, [])
def test_a_change_is_known_within_six_seconds_of_the_moment_discovery_can_be_reached(
    discovery: str, fates: list[Fate], steps_before: int, moves: list[int]
) -> None:
    with TemporaryDirectory() as folder:
        delay_us = time_until_drain_is_known(Path(folder), discovery, fates, steps_before, moves)
    assert delay_us <= NOTIFY_DEADLINE_US, f"known after {delay_us / SECOND:.2f} s"


def test_the_worst_case_time_to_an_answer_is_shorter_than_the_deadline() -> None:
    assert CALL_TIMEOUT_US + CHECK_INTERVAL_US + MAX_BACKOFF_US + FIRST_BYTE_TIMEOUT_US < NOTIFY_DEADLINE_US
    assert IDLE_TIMEOUT_US > 2 * SECOND, "an empty line is due every 2 s"


@pytest.mark.parametrize("poll_interval_us", [0, SECOND, 10 * SECOND])
def test_backoff_grows_within_its_bound_and_resets_after_a_success(poll_interval_us: int) -> None:
    backoff = Backoff(poll_interval_us)
    rng = Random(7)
    waits = [backoff.record_failure(rng) for _ in range(200)]
    assert min(waits) > 0 and max(waits) <= min(MAX_BACKOFF_US, max(poll_interval_us // 2, CHECK_INTERVAL_US))
    assert len(set(waits)) > 150, "waits are not spread: nodes that fail together would call together"
    backoffs = [Backoff(10 * SECOND) for _ in range(400)]
    first_waits = [backoff.record_failure(rng) for backoff in backoffs]
    later_waits = [backoff.record_failure(rng) for backoff in backoffs]
    assert sum(first_waits) < sum(later_waits)
    for backoff in backoffs:
        backoff.record_success()
    waits_after_success = [backoff.record_failure(rng) for backoff in backoffs]
    assert abs(sum(waits_after_success) / sum(first_waits) - 1) < 0.2


class ReceivedBytes(NamedTuple):
    """Bytes received on a call, as passed to `CallDeadline.record_bytes`."""

    at_us: int
    lists_completed: int
    has_partial_list: bool


@pytest.mark.parametrize("pushed", [False, True])
def test_a_call_expires_if_no_answer_on_it_could_arrive_in_time(pushed: bool) -> None:
    def call(*received: ReceivedBytes) -> CallDeadline:
        deadline = CallDeadline(pushed, 0)
        for at_us, lists_completed, has_partial_list in received:
            deadline.record_bytes(lists_completed, has_partial_list, at_us)
        return deadline

    assert not call().is_expired(FIRST_BYTE_TIMEOUT_US // 8)
    assert call().is_expired(FIRST_BYTE_TIMEOUT_US + 1)
    expires_early = call().is_expired(FIRST_BYTE_TIMEOUT_US // 2)
    assert expires_early == pushed, "an agent on the same machine answers at once"

    list_begins = ReceivedBytes(1, 0, True)
    list_goes_on = ReceivedBytes(COMPLETE_TIMEOUT_US, 0, True)
    assert not call(list_begins).is_expired(COMPLETE_TIMEOUT_US)
    assert call(list_begins, list_goes_on).is_expired(COMPLETE_TIMEOUT_US + 2)

    empty_lines = [ReceivedBytes(n * SECOND, 0, False) for n in range(1, 5)]
    assert call(*empty_lines).is_expired(4 * SECOND)

    list_then_empty_line = call(ReceivedBytes(1, 1, False), ReceivedBytes(2 * SECOND, 0, False))
    assert not list_then_empty_line.is_expired(2 * SECOND + IDLE_TIMEOUT_US)
    assert list_then_empty_line.is_expired(2 * SECOND + IDLE_TIMEOUT_US + 1)

    lists_each_in_time = [ReceivedBytes(n * SECOND, 1, True) for n in range(1, 9)]
    assert not call(*lists_each_in_time).is_expired(9 * SECOND)
