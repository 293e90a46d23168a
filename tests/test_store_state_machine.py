"""The replicated key-value state: transactions, sessions, change history and snapshots."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limerudder.store.commands import (
    CloseSession,
    CommandResult,
    Compare,
    CompareTarget,
    Delete,
    Get,
    OpenSession,
    Operation,
    Put,
    SessionWrite,
    Transaction,
    encode_command,
)
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import (
    MAX_SESSIONS,
    MAX_UNACKNOWLEDGED_RESULTS,
    CompactedError,
    KeyValueState,
)


class SessionClient:
    """A client with one session and its own key-value state."""

    def __init__(self, max_history_events: int = 1000) -> None:
        self.state = KeyValueState(max_history_events)
        self.index = 1
        self.session_id = self.state.apply(1, encode_command(OpenSession())).index
        self.serial = 0

    def run(
        self,
        *on_success: Operation,
        comparisons: tuple[Compare, ...] = (),
        on_failure: tuple[Operation, ...] = (),
    ) -> CommandResult:
        """Run a transaction with the next serial number that acknowledges all earlier results."""
        self.serial += 1
        transaction = Transaction(comparisons, on_success, on_failure)
        return self.write(self.serial, self.serial - 1, transaction)

    def write(self, serial: int, acknowledged_serial: int, transaction: Transaction) -> CommandResult:
        """Run a transaction with the given serial number."""
        self.index += 1
        command = SessionWrite(self.session_id, serial, acknowledged_serial, transaction)
        return self.state.apply(self.index, encode_command(command))


def test_a_transaction_compares_first_and_gets_one_revision() -> None:
    client = SessionClient()
    assert client.run(Put("a", b"1"), Put("b", b"1")).revision == 1
    value_matches = Compare("a", CompareTarget.VALUE, b"1")
    result = client.run(Put("a", b"2"), Get("a"), Delete("b"), comparisons=(value_matches,))
    assert result.succeeded and result.revision == 2
    (item,) = result.items
    assert item and (item.value, item.version) == (b"2", 2)
    assert (item.created_revision, item.modified_revision) == (1, 2)
    unmodified = Compare("a", CompareTarget.MODIFIED, b"", 1)
    failed = client.run(Put("a", b"3"), comparisons=(unmodified,), on_failure=(Get("a"),))
    assert not failed.succeeded and failed.revision == 2 and failed.items == (item,)
    absent = Compare("b", CompareTarget.VERSION, b"", 0)
    assert client.run(Put("b", b"1"), comparisons=(absent,)).succeeded, "an absent key has version 0"
    assert client.run(Delete("nothing")).revision == 3, "a transaction without changes gets no revision"
    assert [key for key, _ in client.state.list_prefix("")] == ["a", "b"]


def test_a_retried_write_returns_its_first_result_and_is_applied_once() -> None:
    client = SessionClient()
    put = Transaction((), (Put("a", b"1"),))
    first = client.write(1, 0, put)
    assert client.write(1, 0, put) == first and client.state.revision == 1
    assert client.write(3, 0, put).revision == 2 and client.write(2, 0, put).revision == 3, "in any order"
    assert "passed this serial" in client.write(1, 2, put).error and client.state.revision == 3
    for serial in range(10, 10 + MAX_UNACKNOWLEDGED_RESULTS - 1):
        assert not client.write(serial, 2, put).error
    assert "not seen" in client.write(9999, 2, put).error
    client.state.apply(client.index + 1, encode_command(CloseSession(client.session_id)))
    client.index += 1
    assert "has ended" in client.write(10_000, 2, put).error


def test_the_least_recently_used_session_is_evicted() -> None:
    client = SessionClient()
    client.run(Put("a", b"1"))
    for offset in range(MAX_SESSIONS):
        client.state.apply(client.index + 1 + offset, encode_command(OpenSession()))
    client.index += MAX_SESSIONS
    assert len(client.state.sessions) == MAX_SESSIONS
    assert "has ended" in client.run(Put("a", b"2")).error


def test_a_watch_receives_all_changes_in_order_or_an_error_if_some_are_discarded() -> None:
    client = SessionClient(max_history_events=10)
    for number in range(8):
        client.run(Put(f"k/{number}", b"1"), Put("other", b"1"))
    changes, complete_revision = client.state.changes_since(4, "k/")
    found = [(change.revision, change.key) for change in changes]
    assert found == [(5, "k/4"), (6, "k/5"), (7, "k/6"), (8, "k/7")]
    assert complete_revision == 8
    changes, complete_revision = client.state.changes_since(4, "", 1)
    assert [change.key for change in changes] == ["k/4", "other"], "a transaction's changes stay together"
    assert complete_revision == 5
    with pytest.raises(CompactedError) as caught:
        client.state.changes_since(1)
    assert caught.value.revision == 3 == client.state.compacted_revision
    restored = KeyValueState()
    restored.restore(list(client.state.snapshot_view().chunks()))
    assert restored.compacted_revision == 8 and restored.changes_since(8) == ([], 8)


def test_a_snapshot_restores_the_state_and_a_malformed_one_changes_nothing() -> None:
    client = SessionClient()
    for number in range(50):
        client.run(Put(f"k/{number}", b"v" * number))
    chunks = list(client.state.snapshot_view(200).chunks())
    assert len(chunks) > 5
    restored = KeyValueState()
    restored.restore(chunks)
    assert list(restored.snapshot_view(200).chunks()) == chunks, "the same state gives the same bytes"
    newer_format = msgspec.msgpack.encode([99, 1, 1, 0, 0])
    for malformed in (chunks[:-2], chunks[:1], [b"?"], [], [chunks[0], b"?"], [newer_format]):
        with pytest.raises(SnapshotError):
            restored.restore(malformed)
    assert list(restored.snapshot_view(200).chunks()) == chunks


@given(st.binary(max_size=60))
@settings(derandomize=True, deadline=None)
def test_a_malformed_command_changes_nothing(data: bytes) -> None:
    state = KeyValueState()
    result = state.apply(1, data)
    assert state.revision == 0 and (result.error or state.sessions)
