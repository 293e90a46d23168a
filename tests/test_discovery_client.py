"""The discovery client: watches, polls, and another service's address."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.policy.events import EndpointUpdate, ServerState, UpdateKind
from tests.scripted_peers import SECOND, FakeTransport, host, hosts, policy_events, world


def test_a_silent_watch_times_out(tmp_path: Path) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    watch = next(d for d in here.dials if b"watch=1" in d.machine.first_bytes(here.now))
    watch.machine.connection_made(watch, here.now)
    watch.machine.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", here.now)
    here.run(3 * SECOND + 300_000)
    assert watch.closed
    assert [e.kind for e in events if isinstance(e, EndpointUpdate)] == [UpdateKind.FAILED]
    here.run(SECOND)
    assert here.node.discovery.watch and here.node.discovery.watch is not watch.machine


ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _answer(call: FakeTransport, content: dict[str, Any], now: int) -> None:
    text = json.dumps(content).encode() + b"\n"
    call.machine.data_received(ANSWER + b"%x\r\n%b\r\n" % (len(text), text), now)


@pytest.mark.parametrize("whole", [True, False])
def test_discovery_at_a_new_address_is_asked_for_all_and_the_old_one_is_ignored(
    tmp_path: Path, whole: bool
) -> None:
    here = world(tmp_path)
    events = policy_events(here)
    link = here.served()[1]
    old = [d for d in here.dials if isinstance(d.machine, DiscoveryCall)]
    here.node.discovery.poll(here.now)
    old.append(here.dials[-1])
    here.node.discovery.change_address(("127.0.0.1", 99), here.now)
    assert all(call.closed for call in old) and not link.half_closed
    new = here.dials[-1]
    assert new.address == ("127.0.0.1", 99) and b"&after=0 " in new.machine.first_bytes(here.now)
    for call in old:
        _answer(call, hosts(), here.now)
    assert not [e for e in events if isinstance(e, EndpointUpdate)]
    assert [b.state for b in here.node.upstreams.by_number.values()] == [ServerState.READY] * 2
    _answer(new, hosts(host("s-3"), reset=whole) | {"generation": 3}, here.now)
    assert here.node.discovery.version == 3
    ready = [b.name for b in here.node.upstreams.by_number.values() if b.state == ServerState.READY]
    assert ready == (["s-3"] if whole else ["s-1", "s-2", "s-3"])
    question = here.dials[-1]
    assert (question is new) is whole, "changes alone say nothing of what else there is"
    here.node.discovery.change_address(("127.0.0.1", 99), here.now)
    assert not new.closed, "discovery is where it was"


def test_a_watch_that_fails_before_its_first_list_asks_again_for_all(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.node.discovery.change_address(("127.0.0.1", 99), here.now)
    here.dials[-1].machine.connection_lost(here.now)
    here.run(SECOND)
    again = here.dials[-1].machine
    assert isinstance(again, DiscoveryCall) and again.after_version == 0


def test_a_poll_that_fails_is_repeated(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.node.discovery.change_address(("127.0.0.1", 99), here.now)
    _answer(here.dials[-1], hosts(reset=False) | {"generation": 3}, here.now)
    here.dials[-1].machine.connection_lost(here.now)
    here.run(SECOND)
    again = here.dials[-1]
    assert isinstance(again.machine, DiscoveryCall) and again.machine.after_version is None
    _answer(again, hosts(host("s-3")), here.now)
    again.machine.data_received(b"0\r\n\r\n", here.now)
    assert [b.name for b in here.node.upstreams.by_number.values() if b.state == ServerState.READY] == ["s-3"]


def test_a_node_that_starts_asks_for_changes_only(tmp_path: Path) -> None:
    here = world(tmp_path, known=hosts(host("s-1")) | {"generation": 0})
    _answer(here.dials[0], hosts(reset=False) | {"generation": 0}, here.now)
    assert len(here.dials) == 1, "many nodes start at once, and each whole list costs the service they share"
