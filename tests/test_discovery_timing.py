"""Discovery's clocks: whatever became of the calls before, a change is heard once discovery can be reached.

A real node on a simulated clock calls a scripted discovery whose calls go wrong as Hypothesis has them, until
one moment from which each new call is answered. From then on the operators allow 6 s, a call that is out and
dead, the wait that its failure caused and the answer's own time included.
"""

from __future__ import annotations

import json
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import pytest
from hypothesis import example, given
from hypothesis import settings as limits
from hypothesis import strategies as st

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
from limerudder.policy.events import (
    ServerState,
)
from tests.scripted_peers import SECOND, FakeTransport, World, host, hosts, settings, world

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STEP = 100_000
HEARTBEAT = 2 * SECOND
LATE = 3 * SECOND // 2  #: an answer from a service that has many callers
FATES = [
    "refused",  # the connection is reset as it comes up
    "unreached",  # it never comes up
    "silent",  # it comes up, and no word follows
    "failed",  # 503
    "cut",  # ends within its first list
    "reset",  # ends after its first list
    "endless",  # a list that begins and never ends, with empty lines as if it lived
    "listless",  # empty lines, and no list
    "spoilt",  # no list at all
    "stops",  # its first list, and not a word from then on
    "late",  # its first list after LATE, then it stays silent
    "good",  # as the pages have it
]


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class Discovery:
    """Answers a node's calls, each as its fate has it; `drain` is the moment from which all is well."""

    def __init__(self, here: World, fates: list[str]) -> None:
        self.here, self.fates, self.drained = here, iter(fates), False
        self.seen: dict[int, tuple[str, int]] = {}  # by dial: its fate and when it began
        self.told: set[int] = set()

    def step(self) -> None:
        here = self.here
        for at, link in enumerate(here.dials):
            if isinstance(link.machine, DiscoveryCall) and not link.closed:
                if at not in self.seen:
                    # from the moment on each call is answered: by an agent at once, by a busy service late
                    well = "good" if here.node.discovery.pushed else "late, then good"
                    fate = well if self.drained else next(self.fates, "silent")
                    self.seen[at] = fate, here.now
                self.play(at, link)

    def list(self) -> bytes:
        """Version 42 is the host that drains."""
        state = "leaving" if self.drained else "active"
        text = hosts(host("s-1", lifecycle=state)) | {"generation": 41 + self.drained}
        return chunk(json.dumps(text).encode() + b"\n")

    def play(self, at: int, link: FakeTransport) -> None:
        """One step of one call."""
        (fate, since), now = self.seen[at], self.here.now
        call = link.machine
        if fate == "refused":
            call.connection_lost(now)
        elif fate == "unreached" or (fate == "late" or fate == "late, then good") and now - since < LATE:
            pass
        elif at not in self.told:
            self.told.add(at)
            link.accept(since)
            self.begin(fate, call)
        elif (fate in ("endless", "listless") or fate.endswith("good")) and (now - since) % HEARTBEAT < STEP:
            call.data_received(chunk(b"\n"), now)

    def begin(self, fate: str, call: DiscoveryCall) -> None:
        """The first that comes on a call."""
        now = self.here.now
        first = {
            "silent": b"",
            "failed": b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n",
            "spoilt": HEAD + chunk(b"[7]\n"),
            "cut": HEAD + chunk(b'{"generation": 42, '),
            "endless": HEAD + chunk(b'{"generation": 42, '),
            "listless": HEAD,
        }
        call.data_received(first.get(fate, HEAD + self.list() + (b"" if call.watch else b"0\r\n\r\n")), now)
        if fate == "cut":
            call.eof_received(now)
        if fate == "reset":
            call.connection_lost(now)

    def drain(self) -> None:
        """All is well from now on, and a change is there: watches that live hear of it."""
        self.drained = True
        for at, (fate, _) in self.seen.items():
            link = self.here.dials[at]
            if fate == "good" and at in self.told and not link.closed and link.machine.watch:
                link.machine.data_received(self.list(), self.here.now)


def play(folder: Path, discovery: str, fates: list[str], before: int, moves: list[int]) -> int:
    """How long after the moment the node's module knew of the drain."""
    here = world(folder, settings={**settings(), "discovery": discovery})
    service = Discovery(here, fates)
    for step in range(before):
        service.step()
        here.run(STEP)
        if step in moves:  # SIGHUP: discovery is elsewhere
            here.node.discovery.change_address(("127.0.0.1", 7000 + step), here.now)
    since = here.now
    service.drain()
    while here.node.upstreams.get_or_create("s-1").state == ServerState.READY:
        assert here.now - since < 60 * SECOND, "never heard"
        service.step()
        here.run(STEP)
    server = here.node.balancer.servers[here.node.upstreams.by_name["s-1"].number]  # type: ignore[attr-defined]
    assert server.state == ServerState.DRAINING, "the module goes by it too"
    return here.now - since


@limits(max_examples=150, deadline=None, derandomize=True)
@given(
    st.sampled_from(["on_request", "pushed"]),
    st.lists(st.sampled_from(FATES), max_size=24),
    st.integers(0, 300),
    st.lists(st.integers(0, 300), max_size=2),
)
@example("on_request", ["good"], 45, [])
@example("on_request", ["good", "endless"], 20, [10])
@example("on_request", ["unreached"] * 20, 200, [])
@example("on_request", ["failed"] * 300, 300, [])
@example("on_request", ["refused"] * 300, 299, [])
@example("on_request", ["listless"] * 20, 31, [])
@example("on_request", ["stops"] * 20, 31, [])
@example("pushed", ["silent"] * 200, 150, [])
def test_a_change_is_heard_within_six_seconds_of_the_moment_discovery_can_be_reached(
    discovery: str, fates: list[str], before: int, moves: list[int]
) -> None:
    with TemporaryDirectory() as folder:
        took = play(Path(folder), discovery, fates, before, moves)
    assert took <= NOTIFY_DEADLINE_US, f"heard {took / SECOND:.2f} s after"


def test_the_longest_way_to_an_answer_is_shorter_than_the_bound() -> None:
    assert CALL_TIMEOUT_US + CHECK_INTERVAL_US + MAX_BACKOFF_US + FIRST_BYTE_TIMEOUT_US < NOTIFY_DEADLINE_US
    assert IDLE_TIMEOUT_US > 2 * SECOND, "an empty line is due every 2 s"


@pytest.mark.parametrize("ask_every", [0, SECOND, 10 * SECOND])
def test_waits_grow_and_stay_bounded_and_begin_anew_once_discovery_has_told(poll_interval_us: int) -> None:
    waits, rng = Backoff(poll_interval_us), Random(7)
    drawn = [waits.failed(rng) for _ in range(200)]
    assert min(drawn) > 0 and max(drawn) <= min(MAX_BACKOFF_US, max(poll_interval_us // 2, CHECK_INTERVAL_US))
    assert len(set(drawn)) > 150, "nodes that fail together do not ask together"
    many = [Backoff(10 * SECOND) for _ in range(400)]
    firsts = [one.failed(rng) for one in many]
    later = [one.failed(rng) for one in many]
    assert sum(firsts) < sum(later)
    for one in many:
        one.heard()
    assert abs(sum(one.failed(rng) for one in many) / sum(firsts) - 1) < 0.2


@pytest.mark.parametrize("pushed", [False, True])
def test_a_call_is_dead_where_nothing_on_it_would_come_in_time(pushed: bool) -> None:
    def call(*words: tuple[int, int, bool]) -> CallDeadline:
        clock = CallDeadline(pushed, 0)
        for at, lists, unfinished in words:
            clock.word(lists, unfinished, at)
        return clock

    assert not call().dead(FIRST_BYTE_TIMEOUT_US // 8) and call().dead(FIRST_BYTE_TIMEOUT_US + 1)
    assert call().dead(FIRST_BYTE_TIMEOUT_US // 2) == pushed, "an agent on the same machine answers at once"
    second = (1, 0, True)
    assert not call(second).dead(COMPLETE_TIMEOUT_US) and call(second, (COMPLETE_TIMEOUT_US, 0, True)).dead(
        COMPLETE_TIMEOUT_US + 2
    )
    # lines without a list, however many
    assert call(*((n * SECOND, 0, False) for n in range(1, 5))).dead(4 * SECOND)
    told = call((1, 1, False), (2 * SECOND, 0, False))
    assert not told.dead(2 * SECOND + IDLE_TIMEOUT_US) and told.dead(2 * SECOND + IDLE_TIMEOUT_US + 1)
    # one list after another, each in time
    assert not call(*((n * SECOND, 1, True) for n in range(1, 9))).dead(9 * SECOND)
