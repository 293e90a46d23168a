"""Answers of discovery that arrive out of order, and numberings of its lists that begin anew."""

from __future__ import annotations

from pathlib import Path

import pytest

from harness.configurations import host, settings
from limerudder.core.operations.counters import CounterName
from limerudder.policy.events import ServerState
from tests.discovery_stub import SITES, DiscoveryStub, moved_testbed, states, versioned
from tests.node_testbed import node_testbed

READY, DRAINING = ServerState.READY, ServerState.DRAINING


@pytest.mark.parametrize("site", SITES)
def test_a_late_complete_list_does_not_undo_a_drain(tmp_path: Path, site: str) -> None:
    """Guards against an answer in transit that replaces what the watch has told since (review case 1)."""
    testbed, discovery = moved_testbed(tmp_path, site)
    watch = discovery.watch()
    discovery.send(watch, versioned(7, host("h1"), host("h2"), complete=False))
    poll = discovery.poll()
    discovery.send(watch, versioned(8, host("h1", lifecycle="leaving"), complete=False))
    discovery.send(watch, versioned(9, host("h2", lifecycle="left"), host("h3"), complete=False))
    discovery.send(poll, versioned(7, host("h1"), host("h2"), complete=True))
    discovery.end(poll)
    assert states(testbed) == {"h1": DRAINING, "h3": READY}, "the old service's hosts are gone"
    assert testbed.node.discovery.version == 9
    assert testbed.node.counters[CounterName.ENDPOINT_LISTS_OUTDATED] == 1
    assert any("version 7 arrived after version 9" in line for line in testbed.logged)


def test_late_changes_do_not_undo_a_newer_complete_list(tmp_path: Path) -> None:
    """Guards against a slow watch that repeats what a poll's newer answer has changed."""
    testbed, discovery = moved_testbed(tmp_path)
    watch = discovery.watch()
    discovery.send(watch, versioned(7, host("h1"), complete=False))
    poll = discovery.poll()
    discovery.send(poll, versioned(9, host("h1", lifecycle="leaving"), host("h2"), complete=True))
    discovery.end(poll)
    discovery.send(watch, versioned(8, host("h1"), host("h3"), complete=False))
    assert states(testbed) == {"h1": DRAINING, "h2": READY}
    discovery.send(watch, versioned(9, host("h1", lifecycle="leaving"), complete=False))
    discovery.send(watch, versioned(10, host("h2", lifecycle="leaving"), complete=False))
    assert states(testbed) == {"h1": DRAINING, "h2": DRAINING}
    assert testbed.node.discovery.version == 10


def test_an_older_complete_list_does_not_replace_a_newer_one(tmp_path: Path) -> None:
    """Guards against the first list of a slow watch that replaces a poll's newer one."""
    testbed, discovery = moved_testbed(tmp_path)
    testbed.node.discovery.poll(testbed.now)
    watch, poll = discovery.watch(), discovery.poll()
    discovery.send(poll, versioned(9, host("h1", lifecycle="leaving"), complete=True))
    discovery.send(watch, versioned(8, host("h1"), host("h2"), complete=True))
    assert states(testbed) == {"h1": DRAINING}


@pytest.mark.parametrize("complete", [True, False])
@pytest.mark.parametrize("site", SITES)
def test_a_numbering_that_begins_anew_at_the_same_address_is_believed(
    tmp_path: Path, site: str, complete: bool
) -> None:
    """Guards against a version check that ignores a restarted service until it has caught up."""
    testbed = node_testbed(tmp_path, settings={**settings(), "discovery": site})
    discovery = DiscoveryStub(testbed)
    old_watch = discovery.watch()
    discovery.send(old_watch, versioned(41, host("h1"), host("h2"), complete=True))
    old_watch.machine.eof_received(testbed.now)
    watch = discovery.next_watch()
    discovery.send(watch, versioned(2, host("h1", lifecycle="leaving"), host("h3"), complete=complete))
    assert states(testbed)["h1"] == DRAINING and states(testbed)["h3"] == READY
    assert testbed.node.counters[CounterName.DISCOVERY_RENUMBERED] == 1
    if not complete:  # what has gone meanwhile stands in no list of changes
        poll = discovery.next_poll()
        discovery.send(poll, versioned(3, host("h1", lifecycle="leaving"), host("h3"), complete=True))
        discovery.end(poll)
    assert states(testbed) == {"h1": DRAINING, "h3": READY}
    discovery.send(watch, versioned(4, host("h3", lifecycle="leaving"), complete=False))
    assert states(testbed) == {"h1": DRAINING, "h3": DRAINING}
    watch.machine.eof_received(testbed.now)
    assert b"after=4 " in discovery.next_watch().machine.first_bytes(testbed.now)


def test_a_numbering_that_begins_anew_between_two_lists_of_a_watch_is_believed(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    discovery = DiscoveryStub(testbed)
    watch = discovery.watch()
    discovery.send(watch, versioned(41, host("h1"), complete=True))
    discovery.send(watch, versioned(3, host("h1", lifecycle="leaving"), complete=True))
    assert states(testbed) == {"h1": DRAINING}
    assert discovery.watch() is watch


def test_a_poll_of_the_earlier_numbering_is_ignored(tmp_path: Path) -> None:
    """Guards against a late answer of a service that has been replaced at the same address."""
    testbed, discovery = moved_testbed(tmp_path)
    watch = discovery.watch()
    discovery.send(watch, versioned(41, host("h1"), complete=False))
    old_poll = discovery.poll()
    watch.machine.eof_received(testbed.now)
    discovery.send(discovery.next_watch(), versioned(2, host("h1", lifecycle="leaving"), complete=True))
    assert old_poll.closed
    discovery.send(old_poll, versioned(42, host("h1"), complete=True))
    assert states(testbed) == {"h1": DRAINING}


def test_a_poll_that_shows_a_new_numbering_reopens_the_watch_in_it(tmp_path: Path) -> None:
    testbed, discovery = moved_testbed(tmp_path)
    watch = discovery.watch()
    discovery.send(watch, versioned(41, host("h1"), complete=False))
    discovery.send(discovery.poll(), versioned(5, host("h1", lifecycle="leaving"), complete=True))
    assert watch.closed
    assert b"after=5 " in discovery.next_watch().machine.first_bytes(testbed.now)
    assert states(testbed) == {"h1": DRAINING}
