"""A complete list that a new discovery service has yet to send is requested until it arrives."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from harness.configurations import SECOND, configuration, host, settings
from limerudder.config import load_config
from limerudder.core.lifecycle.hot_restart.handover_state import format_handover_state, parse_handover_state
from limerudder.core.lifecycle.hot_restart.node_binding import current_handover_state
from limerudder.policy.discovery_timing import (
    CALL_TIMEOUT_US,
    CHECK_INTERVAL_US,
    FIRST_BYTE_TIMEOUT_US,
    NOTIFY_DEADLINE_US,
    client_retry_wait_us,
)
from limerudder.policy.events import ServerState
from tests.discovery_stub import SITES, DiscoveryStub, moved_testbed, states, versioned
from tests.node_testbed import NodeTestbed, node_testbed

READY = ServerState.READY


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("failures", [1, 4])
def test_a_failed_poll_for_the_complete_list_is_repeated(tmp_path: Path, site: str, failures: int) -> None:
    """Guards against a host that only the old service lists and that stays in use after one 503."""
    testbed, discovery = moved_testbed(tmp_path, site)
    watch = discovery.watch()
    discovery.send(watch, versioned(7, host("h1"), complete=False))
    for failure in range(failures):
        discovery.fail(discovery.next_poll())
        # an answer on the watch must not postpone the retry
        discovery.send(watch, versioned(8 + failure, host("h1"), complete=False))
    assert not testbed.node.endpoint_list().is_complete
    discovery.send(discovery.next_poll(), versioned(7 + failures, host("h1"), complete=True))
    assert states(testbed) == {"h1": READY}
    assert testbed.node.endpoint_list().is_complete


def test_a_refreshed_entry_does_not_postpone_a_failed_watch(tmp_path: Path) -> None:
    """Guards against a record of the store that the policy takes for an answer, and that delays its retry."""
    testbed = node_testbed(tmp_path)
    discovery = DiscoveryStub(testbed)
    discovery.send(discovery.watch(), versioned(41, host("h1"), complete=True))
    discovery.watch().machine.eof_received(testbed.now)
    testbed.node.refresh_endpoint("h1", testbed.now)
    testbed.run(SECOND)
    assert discovery.watch()


@pytest.mark.parametrize("site", SITES)
def test_a_successor_also_awaits_the_complete_list(tmp_path: Path, site: str) -> None:
    """Guards against a hot restart in which the duty to fetch the complete list is lost."""
    parent, parent_discovery = moved_testbed(tmp_path, site)
    parent_discovery.send(parent_discovery.watch(), versioned(7, host("h1"), complete=False))
    state = parse_handover_state(format_handover_state(current_handover_state(parent.node)))
    config = load_config(configuration(tmp_path, settings={**settings(), "discovery": site}))
    testbed = NodeTestbed(replace(config, known=state.endpoints))
    discovery = DiscoveryStub(testbed)
    assert set(states(testbed)) == {"s-1", "s-2", "h1"}
    discovery.send(discovery.watch(), versioned(7, complete=False))
    assert not testbed.node.is_ready_to_serve()
    discovery.send(discovery.poll(), versioned(7, host("h1"), complete=True))
    assert states(testbed) == {"h1": READY}
    assert testbed.node.is_ready_to_serve()


@pytest.mark.parametrize("pushed", [True, False])
def test_the_clients_own_retry_keeps_the_deadline(pushed: bool) -> None:
    wait_us = client_retry_wait_us(pushed) + CHECK_INTERVAL_US
    assert CALL_TIMEOUT_US + CHECK_INTERVAL_US + wait_us + FIRST_BYTE_TIMEOUT_US < NOTIFY_DEADLINE_US
