"""Changes of the endpoint list are not lost by what goes wrong after or beside them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from harness.configurations import host
from limerudder.policy.events import ServerState
from tests.discovery_stub import DiscoveryStub, chunk, states, versioned
from tests.node_testbed import node_testbed

READY, DRAINING = ServerState.READY, ServerState.DRAINING


def test_a_list_whose_application_failed_is_received_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change that is lost because an exception comes between its receipt and its effect."""
    testbed = node_testbed(tmp_path)
    discovery = DiscoveryStub(testbed)
    watch = discovery.watch()
    discovery.send(watch, versioned(41, host("h1"), complete=True))
    leaving = versioned(42, host("h1", lifecycle="leaving"), complete=False)
    with monkeypatch.context() as patch:
        patch.setattr(testbed.node.endpoint_updater, "_report_returned", lambda *arguments: 1 // 0)
        with pytest.raises(ZeroDivisionError):
            discovery.send(watch, leaving, versioned(43, host("h2"), complete=False))
    assert watch.closed
    again = discovery.next_watch()
    assert b"after=41 " in again.machine.first_bytes(testbed.now)
    discovery.send(again, leaving, versioned(43, host("h2"), complete=False))
    assert states(testbed) == {"h1": DRAINING, "h2": READY}


MALFORMED_LISTS = {
    "no object": b"[7]\n",
    "no list": b'{"generation": 43}\n',
    "unpaired surrogate": json.dumps(versioned(43, host("\ud800"), complete=False)).encode(),
}


@pytest.mark.parametrize("malformed", MALFORMED_LISTS.values(), ids=MALFORMED_LISTS.keys())
def test_a_malformed_list_does_not_drop_the_change_before_it(tmp_path: Path, malformed: bytes) -> None:
    """Guards against a change that is lost since it arrives in one piece with a malformed list."""
    testbed = node_testbed(tmp_path)
    discovery = DiscoveryStub(testbed)
    watch = discovery.watch()
    discovery.send(watch, versioned(41, host("h1"), complete=True))
    change = json.dumps(versioned(42, host("h1", lifecycle="leaving"), complete=False)).encode() + b"\n"
    watch.machine.data_received(chunk(change + malformed), testbed.now)
    assert states(testbed) == {"h1": DRAINING}
    assert watch.closed
    assert b"after=42 " in discovery.next_watch().machine.first_bytes(testbed.now)
