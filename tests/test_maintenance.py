"""Hosts held by hand: the yes comes when it holds, and putting one back brings it into use soon and cold."""

from __future__ import annotations

from pathlib import Path

import pytest

from limerudder.core.discovery.drain_memory import InheritedDrains
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.operations.maintenance import InMemoryMarks
from limerudder.net.mark_files import MarkFiles
from limerudder.policy.events import (
    EndpointUpdate,
    ServerState,
)
from tests.scripted_peers import LINE, SECOND, World, host, hosts, world
from tests.test_node import events

START = 1_700_000_000_000  #: milliseconds


def upstream(here: World, name: str) -> int:
    return here.node.upstreams.by_name[name].number


def hold_all_but(here: World, name: str) -> None:
    for other in set(here.node.upstreams.by_name) - {name}:
        assert here.node.maintenance.enable(other, here.now)


@pytest.mark.parametrize("lists_meanwhile", ["nothing", "ready", "restarted", "gone and back"])
def test_a_held_host_gets_nothing_new_whatever_discovery_lists(tmp_path: Path, lists_meanwhile: str) -> None:
    here = world(tmp_path)
    hold_all_but(here, "s-2")
    entry = host("s-1")
    if lists_meanwhile == "restarted":
        entry["startedAtMs"] = START
    if lists_meanwhile == "gone and back":
        here.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), here.now)
    if lists_meanwhile != "nothing":
        here.node.endpoints_received(parse_endpoint_list(hosts(entry, host("s-2"))), here.now)
    for _ in range(20):
        here.client()
    assert {dial.machine.observer.upstream.name for dial in here.attempts()} == {"s-2"}


def test_what_is_pending_ends_and_what_stands_is_moved_at_once_and_spread(tmp_path: Path) -> None:
    here = world(tmp_path, known=hosts(host("s-1")))
    standing = [here.served() for _ in range(10)]
    _, late = here.client()
    (setting_up,) = (d for d in here.attempts() if d not in [attempt for _, _, attempt in standing])
    setting_up.accept(here.now)
    here.client()
    (dialled,) = (d for d in here.attempts() if not d.machine.sent)
    assert here.node.maintenance.enable("s-1", here.now)
    assert dialled.closed, "no line is written after the yes"
    here.run(SECOND // 2)
    moved = sum(link.sent.endswith(b"MOVE\r\n") for _, link, _ in standing)
    assert 3 <= moved <= 7
    setting_up.machine.data_received(b"UP 8\r\n", here.now)
    here.run(SECOND // 2)
    assert all(link.sent.endswith(b"MOVE\r\n") for _, link, _ in standing)
    assert late.sent == b"UP 8\r\nMOVE\r\n", "it came up after the yes"


def test_a_connection_of_before_the_start_waits_for_its_held_host(tmp_path: Path) -> None:
    here = world(tmp_path)
    hold_all_but(here, "s-2")
    here.client(LINE + ",at=s-1")
    assert not here.attempts()
    assert here.node.maintenance.disable("s-1", here.now)
    here.run(SECOND // 4 + 5000)
    assert [dial.machine.observer.upstream.name for dial in here.attempts()] == ["s-1"]


def test_two_calls_out_are_undone_by_one_back_and_unknown_ids_are_refused(tmp_path: Path) -> None:
    here = world(tmp_path)
    node = here.node.maintenance
    assert not node.on("s-9", here.now) and not node.off("s-9", here.now) and not node.held
    assert node.on("s-1", here.now) and node.on("s-1", here.now)
    here.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), here.now)
    assert node.on("s-1", here.now), "held, though listed no more"
    assert node.off("s-1", here.now) and not node.held and not node.off("s-1", here.now)
    assert node.off("s-2", here.now), "listed, though not held"
    assert not here.node.is_listed("s-1")


@pytest.mark.parametrize("way", ["listed all along", "listed again later", "listed with its new start"])
def test_one_put_back_is_cold_and_tried_at_once(tmp_path: Path, way: str) -> None:
    here = world(tmp_path)
    told = events(here)
    hold_all_but(here, "s-2")
    if way == "listed again later":
        here.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), here.now)
        here.node.maintenance.disable("s-1", here.now)
        here.node.endpoints_received(parse_endpoint_list(hosts(host("s-1"), host("s-2"))), here.now)
    else:
        here.node.maintenance.disable("s-1", here.now)
    if way == "listed with its new start":
        assert here.node.upstreams.by_name["s-1"].returned_to_service_us == here.now
        here.node.endpoints_received(
            parse_endpoint_list(hosts(host("s-1") | {"startedAtMs": 40_000}, host("s-2"))), here.now
        )
    entries = [
        e
        for m in told
        if isinstance(m, EndpointUpdate)
        for e in m.entries
        if e.server == upstream(here, "s-1")
    ]
    assert (
        entries[-1].state == ServerState.READY and entries[-1].since == here.now
    ), "cold, whatever is listed"
    here.served()
    assert here.attempts()[-1].machine.observer.upstream.name == "s-1", "the next one goes there"
    placed = set[str]()
    for _ in range(19):
        here.served()
        placed |= {dial.machine.observer.upstream.name for dial in here.attempts()}
    assert placed == {"s-1", "s-2"}
    many = sum(dial.machine.observer.upstream.name == "s-1" for dial in here.attempts())
    assert many <= 4, "inside the cold budget"


def test_where_nobody_new_comes_a_connection_is_moved_for_one_put_back(tmp_path: Path) -> None:
    here = world(tmp_path)
    hold_all_but(here, "s-2")
    standing = [here.served()[1] for _ in range(6)]
    here.node.maintenance.disable("s-1", here.now)
    here.run(SECOND + 10_000)
    moved = sum(link.sent.endswith(b"MOVE\r\n") for link in standing)
    assert moved == 2
    here.served()
    assert here.attempts()[-1].machine.observer.upstream.name == "s-1"
    here.run(5 * SECOND)
    assert sum(link.sent.endswith(b"MOVE\r\n") for link in standing) == moved, "and no more than it takes"


@pytest.mark.parametrize("ago", [SECOND, 20 * SECOND])
def test_a_successor_knows_what_was_put_back(tmp_path: Path, ago: int) -> None:
    here = world(tmp_path)
    hold_all_but(here, "s-2")
    here.node.maintenance.disable("s-1", here.now)
    here.run(ago)
    other = world(tmp_path)
    other.now = here.now
    told = events(other)
    other.node.apply_return_to_service_times(here.node.return_to_service_times(), other.now)
    (entry,) = (e for m in told if isinstance(m, EndpointUpdate) for e in m.entries)
    assert entry.since == here.now - ago
    other.served()
    (attempt,) = other.attempts()
    assert ago > SECOND or attempt.machine.observer.upstream.name == "s-1"


def test_discovery_is_asked_no_later_for_a_call_by_hand(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.dials[0].machine.connection_lost(here.now)  # the watch
    before = len(here.dials)
    hold_all_but(here, "s-2")
    here.run(2 * SECOND)
    assert len(here.dials) > before


def test_numbers_count_a_held_host_once(tmp_path: Path) -> None:
    here = world(tmp_path)
    hold_all_but(here, "s-2")
    assert here.node.gauges(here.now)["out_of_rotation"] == 1
    here.node.endpoints_received(parse_endpoint_list(hosts(host("s-2"))), here.now)
    gauges = here.node.gauges(here.now)
    assert (gauges["registry_entries"], gauges["out_of_rotation"]) == (1, 0)


def test_both_processes_follow_the_marks(tmp_path: Path) -> None:
    here, other = world(tmp_path), world(tmp_path)
    marks = InMemoryMarks()
    here.node.maintenance.marks = other.node.maintenance.marks = marks
    assert here.node.maintenance.enable("s-1", here.now)
    other.run(SECOND // 10 + 10_000)
    assert other.node.maintenance.hosts == {"s-1"}
    assert other.node.upstreams.by_name["s-1"].state == ServerState.DRAINING
    assert other.node.maintenance.disable("s-1", other.now)
    here.run(SECOND // 10 + 10_000)
    assert not here.node.maintenance.hosts
    assert here.node.upstreams.by_name["s-1"].state == ServerState.READY


class Broken(InMemoryMarks):
    def add(self, name: str) -> None:
        raise OSError(28, "No space left on device")

    def read(self) -> set[str]:
        raise OSError(5, "gone")


def test_a_mark_that_cannot_be_written_holds_nothing(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.node.maintenance.marks = Broken()
    with pytest.raises(OSError):
        here.node.maintenance.enable("s-1", here.now)
    here.run(SECOND)
    assert not here.node.maintenance.hosts


@pytest.mark.parametrize("name", ["s-1", "../s-1", "a/b", ".", "%2F", "é\n"])
def test_marks_are_files_in_their_folder_whatever_the_name(tmp_path: Path, name: str) -> None:
    folder = tmp_path / "state"
    folder.mkdir()
    marks = MarkFiles(str(folder))
    marks.add(name)
    marks.add(name)
    (folder / "handover").touch()
    assert MarkFiles(str(folder)).read() == {name} and len(list(tmp_path.iterdir())) == 1
    marks.remove(name)
    marks.remove(name)
    assert marks.read() == set()
    with pytest.raises(OSError):
        marks.add("x" * 300)


def test_a_remembered_drain_outlives_the_list_and_is_lifted_by_a_newer_start_alone(tmp_path: Path) -> None:
    here = world(tmp_path)
    here.node.drain_memory = recall = InheritedDrains({"s-1": START})
    for started, out in [(START, True), (START - 5, True), (START + 1, False)]:
        entry = host("s-1") | {"startedAtMs": started}
        here.node.endpoints_received(parse_endpoint_list(hosts(entry, host("s-2"))), here.now)
        assert (here.node.upstreams.by_name["s-1"].state == ServerState.DRAINING) == out, started
    recall.record_drain("s-1", START + 9)
    here.node.refresh_endpoint("s-1", here.now)
    assert here.node.upstreams.by_name["s-1"].state == ServerState.DRAINING
    leaving = host("s-2", lifecycle="leaving") | {"startedAtMs": 7}
    here.node.endpoints_received(parse_endpoint_list(hosts(leaving)), here.now)
    assert recall.observed_here == {"s-2": 7} and recall.drained_starts() == {"s-1": START + 9, "s-2": 7}
    assert upstream(here, "s-2") and not here.node.is_listed("s-1")
