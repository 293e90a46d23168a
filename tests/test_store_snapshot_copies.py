"""A snapshot that replaces the state also removes what it lacks from each copy, listener and watch."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from limerudder.core.transport import Address
from limerudder.store.commands import (
    Delete,
    OpenSession,
    Operation,
    Put,
    SessionWrite,
    Transaction,
    encode_command,
)
from limerudder.store.control_arguments import WatchArguments
from limerudder.store.control_watch import WatchStream
from limerudder.store.drain_log import DrainLog, HostRecord, encode_host_record
from limerudder.store.durability import PersistedValue
from limerudder.store.endpoint_list_writer import WRITE_INTERVAL_US, EndpointListWriter
from limerudder.store.persisted_values import PersistedValues
from limerudder.store.settings_applier import DISCOVERY_KEY, LOG_KEY, ConfiguredSettings, SettingsApplier
from limerudder.store.state_machine import KeyValueState
from tests.in_process_cluster import InProcessCluster, run_scenario
from tests.test_endpoint_list_writer import MAX_VALUE_BYTES, FakeStore, endpoint_list

HELD = encode_host_record(HostRecord(held=True, by="n0"))
STORED_DISCOVERY = ("127.0.0.1", 1)
OWN_DISCOVERY = ("127.0.0.1", 2)
COMPACTING = {"snapshot_entries": 100, "snapshot_bytes": 64 << 10}


class StateWriter:
    """Applies transactions to a state in one session."""

    def __init__(self) -> None:
        self.state = KeyValueState()
        self._serials = iter(range(1, 1000))
        self.state.apply(1, encode_command(OpenSession()))

    def run(self, *operations: Operation) -> None:
        serial = next(self._serials)
        command = SessionWrite(1, serial, serial - 1, Transaction((), operations))
        self.state.apply(self.state.applied_index + 1, encode_command(command))


@pytest.fixture
def writer() -> StateWriter:
    """A state that has had two keys with copies, of which one is removed again."""
    writer = StateWriter()
    writer.run(Put("hosts/b1", HELD), Put(DISCOVERY_KEY, b'"127.0.0.1:1"'))
    writer.run(Delete("hosts/b1"), Delete(DISCOVERY_KEY))
    writer.run(Put("hosts/b2", HELD))
    return writer


def test_a_snapshot_removes_the_copies_of_keys_that_it_lacks(writer: StateWriter) -> None:
    """Regression (review/10): a key deleted while a member was down stayed in force at that member."""
    drain_log = DrainLog({}, {})
    copies = {key: PersistedValue(1, value) for key, value in (("hosts/b1", HELD), (DISCOVERY_KEY, b"x"))}
    persisted = PersistedValues(copies, KeyValueState(), drain_log)
    assert drain_log.held_hosts() == {"b1"}
    persisted._state = writer.state
    persisted.refresh()
    removed = PersistedValue(writer.state.revision, None)
    assert persisted.get("hosts/b1") == persisted.get(DISCOVERY_KEY) == removed
    assert drain_log.held_hosts() == {"b2"}
    unsaved = persisted.take_unsaved()
    assert unsaved["hosts/b1"] == unsaved[DISCOVERY_KEY] == removed
    persisted.refresh()
    assert not persisted.has_unsaved()


def test_a_start_keeps_the_copies_that_are_newer_than_the_last_snapshot(writer: StateWriter) -> None:
    newer = {"hosts/b3": PersistedValue(writer.state.revision + 1, HELD)}
    drain_log = DrainLog({}, {})
    persisted = PersistedValues(newer, writer.state, drain_log)
    persisted.refresh()
    assert persisted.get("hosts/b3") == newer["hosts/b3"] and drain_log.held_hosts() == {"b2", "b3"}


def test_the_last_of_several_changes_in_one_transaction_is_copied() -> None:
    writer = StateWriter()
    drain_log = DrainLog({}, {})
    persisted = PersistedValues({}, writer.state, drain_log)
    writer.run(Put("hosts/b1", HELD), Delete("hosts/b1"))
    persisted.refresh_changes(0)
    assert persisted.get("hosts/b1").value is None and not drain_log.held_hosts()


class FakeMember:
    """A member with settable persisted values."""

    def __init__(self) -> None:
        self.values: dict[str, PersistedValue] = {}

    def persisted_value(self, key: str) -> PersistedValue:
        return self.values.get(key, PersistedValue(0, None))


@pytest.fixture
def applied() -> list[Any]:
    return []


def settings_applier(member: FakeMember, applied: list[Any]) -> SettingsApplier:
    def set_address(address: Address) -> None:
        applied.append(address)

    configured = ConfiguredSettings(lambda: OWN_DISCOVERY, lambda: applied.append("own log"))
    log = lambda kind, text, detail="": None  # noqa: E731
    configure_log = lambda *log_settings: applied.append(log_settings[0])  # noqa: E731
    return SettingsApplier(member, log, configure_log, set_address, configured)  # type: ignore[arg-type]


@pytest.mark.parametrize("is_start", [False, True], ids=["in service", "from the start"])
def test_a_removed_setting_gives_way_to_the_configured_one(applied: list[Any], is_start: bool) -> None:
    member = FakeMember()
    applier = settings_applier(member, applied)
    member.values[DISCOVERY_KEY] = PersistedValue(3, json.dumps("127.0.0.1:1").encode())
    member.values[LOG_KEY] = PersistedValue(3, b'{"format": "json"}')
    if is_start:
        assert applier.initial_discovery_address() == STORED_DISCOVERY
        applier.apply_log_settings()
    applier.apply_changes()
    assert applied[-1] == "json" and applied[:-1] == ([] if is_start else [STORED_DISCOVERY])
    applied.clear()
    member.values[DISCOVERY_KEY] = member.values[LOG_KEY] = PersistedValue(4, None)
    for _ in range(2):
        applier.apply_changes()
    assert applied == [OWN_DISCOVERY, "own log"]


def test_a_list_that_was_removed_from_the_store_is_saved_again() -> None:
    store = FakeStore()
    writer = EndpointListWriter(store, MAX_VALUE_BYTES)  # type: ignore[arg-type]
    content = endpoint_list(7, "h1")
    for number in range(3):
        writer.write(content, number * WRITE_INTERVAL_US)
    assert len(store.written) == 1
    saved = store.written[0]
    removed = PersistedValue(9, None)
    store.persisted_value = lambda key: removed  # type: ignore[method-assign]
    writer.write(content, 4 * WRITE_INTERVAL_US)
    assert store.written == [saved, saved]
    assert store.compared_revisions == [0, 0], "the key does not exist at either write"


def test_a_watch_repeats_no_change_while_its_member_is_behind_the_caller(writer: StateWriter) -> None:
    sent: list[bytes] = []
    transport = SimpleNamespace(write=sent.append, is_closing=lambda: False, get_write_buffer_size=lambda: 0)
    stream = WatchStream(writer.state, transport)  # type: ignore[arg-type]
    stream.start(WatchArguments("hosts/", writer.state.revision + 1))
    writer.run(Put("hosts/b4", HELD))
    stream.send_changes()
    assert not sent
    writer.run(Put("hosts/b5", HELD))
    stream.send_changes()
    assert len(sent) == 1 and b"hosts/b5" in sent[0]


def test_a_member_that_was_down_forgets_what_was_deleted_meanwhile(tmp_path: Path) -> None:
    """Regression (review/10), on disks: the member catches up by a snapshot and is then started again."""

    async def scenario(cluster: InProcessCluster) -> None:
        await cluster.start(3, **COMPACTING)
        down = (await cluster.leader() + 1) % 3
        up = (down + 1) % 3
        for key, value in ((DISCOVERY_KEY, '"127.0.0.1:1"'), ("hosts/b1", HELD.decode())):
            assert (await cluster.call("put", up, key=key, value=value))["ok"]
        while cluster.stores[down].member.persisted_value("hosts/b1").value is None:
            await cluster.call("status", down)
        cluster.stop(down)
        for key in (DISCOVERY_KEY, "hosts/b1"):
            assert (await cluster.call("delete", up, key=key))["ok"]
        for number in range(1500):
            assert (await cluster.call("put", up, key=f"kv/{number % 7}", value="x" * 100))["ok"]
        last_index = cluster.stores[down].member.raft.log.last_index
        assert last_index < cluster.stores[up].member.raft.log.base_index, "it needs a snapshot"
        for _ in range(2):
            await cluster.restart(down)
            member = cluster.stores[down].member
            while member.state.revision < cluster.stores[up].member.state.revision:
                await cluster.call("status", down)
            assert member.persisted_value(DISCOVERY_KEY).value is None
            assert not member.drain_log.held_hosts()
            cluster.stop(down)

    run_scenario(scenario, tmp_path)
