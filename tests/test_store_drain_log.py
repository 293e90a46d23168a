"""The drain log: observed drains, maintenance holds, returns to service and agreed records."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limerudder.store.commands import Put
from limerudder.store.drain_log import (
    DrainFact,
    DrainLog,
    DrainObserved,
    HostRecord,
    MaintenanceHold,
    ReturnToService,
    apply_fact,
    encode_host_record,
)


def _held_by(node: str) -> bytes:
    return encode_host_record(HostRecord(held=True, by=node))


def test_only_a_newer_start_or_an_operator_ends_a_drain() -> None:
    drain_log = DrainLog({}, {})
    assert drain_log.record_drain("h", 100)
    assert drain_log.record_drain("h", 100) is None
    assert drain_log.record_drain("h", 50) is None
    record = drain_log.effective_record("h")
    assert record.excludes(100) and record.excludes(50) and not record.excludes(101)
    drain_log.record_return("h", 7)
    record = drain_log.effective_record("h")
    assert not record.excludes(100) and record.back_at == 7
    drain_log.record_drain("h", 100)
    assert drain_log.effective_record("h").excludes(100), "the drain is active once observed again"


def test_a_return_ends_the_holds_seen_by_the_operator_but_not_later_ones() -> None:
    drain_log = DrainLog({}, {})
    drain_log.update_agreed("h", 5, _held_by("n1"))
    drain_log.record_return("h", 9)
    assert not drain_log.effective_record("h").held
    transaction = drain_log.prepare_write("h", 8, _held_by("n2"))
    assert transaction is None and drain_log.pending_facts == {}, "the hold of revision 8 remains"
    drain_log.update_agreed("h", 8, _held_by("n2"))
    assert drain_log.effective_record("h").held
    drain_log.record_return("h", 10)
    transaction = drain_log.prepare_write("h", 8, _held_by("n2"))
    assert transaction
    (put,) = transaction.on_success
    assert isinstance(put, Put) and json.loads(put.value) == {"back_at": 10}


def test_a_return_during_the_write_of_a_hold_is_kept() -> None:
    drain_log = DrainLog({}, {})
    drain_log.record_hold("h", "n0")
    transaction = drain_log.prepare_write("h", 0, None)
    assert transaction
    drain_log.record_return("h", 3)
    (put,) = transaction.on_success
    assert isinstance(put, Put)
    drain_log.update_agreed("h", 4, put.value)
    drain_log.finish_write("h", 4)
    assert not drain_log.effective_record("h").held
    assert drain_log.prepare_write("h", 4, _held_by("n0")), "the return is written after the hold"


@pytest.mark.parametrize("first_written", ["hold", "return"])
def test_a_hold_of_a_held_host_outlasts_an_older_return_of_another_member(first_written: str) -> None:
    """Regression (review/9): the later hold was answered from the record, and the older return undid it."""
    returning, holding = DrainLog({}, {}), DrainLog({}, {})
    for drain_log in (returning, holding):
        drain_log.update_agreed("h", 5, _held_by("n0"))
    returning.record_return("h", 7)
    number = holding.record_hold("h", "n1")
    assert holding.is_unsaved(number) and number in holding.pending_facts, "durable before the answer"
    order = [holding, returning] if first_written == "hold" else [returning, holding]
    revision, value = 5, _held_by("n0")
    for drain_log in order:
        transaction = drain_log.prepare_write("h", revision, value)
        if transaction:
            (put,) = transaction.on_success
            assert isinstance(put, Put)
            revision, value = revision + 1, put.value
            for each in order:
                each.update_agreed("h", revision, value)
            drain_log.finish_write("h", revision)
        assert holding.effective_record("h").held
    assert returning.effective_record("h").held
    assert not returning.pending_facts and not holding.pending_facts


def test_a_repeated_hold_needs_a_new_fact_only_while_the_last_one_is_being_written() -> None:
    drain_log = DrainLog({}, {})
    number = drain_log.record_hold("h", "n0")
    assert drain_log.record_hold("h", "n0") == number
    assert drain_log.prepare_write("h", 0, None)
    assert drain_log.record_hold("h", "n0") != number, "a return may be based on the one being written"
    drain_log.finish_write("h", 1)
    assert len(drain_log.pending_facts) == 1 and drain_log.effective_record("h").held


def test_a_hold_is_not_dropped_for_a_record_that_this_member_alone_still_knows() -> None:
    """Guards against a write that is omitted by an outdated state: the leader's record may be returned."""
    drain_log = DrainLog({}, {})
    drain_log.record_hold("h", "n1")
    transaction = drain_log.prepare_write("h", 5, _held_by("n0"))
    assert transaction and transaction.comparisons[0].number == 5
    (put,) = transaction.on_success
    assert isinstance(put, Put) and put.value == _held_by("n0")


def test_outdated_agreed_records_and_malformed_values_are_ignored() -> None:
    drain_log = DrainLog({}, {})
    drain_log.update_agreed("h", 5, encode_host_record(HostRecord(drained=9)))
    drain_log.update_agreed("h", 4, encode_host_record(HostRecord()))
    drain_log.update_agreed("h", 6, b"nonsense")
    assert drain_log.effective_record("h").excludes(9)
    drain_log.update_agreed("h", 7, None)
    assert not drain_log.effective_record("h").excludes(9), "the drain ends with the removal of its record"


@given(
    st.lists(
        st.tuples(st.sampled_from(["drain", "hold", "return"]), st.integers(0, 9), st.integers(0, 9)),
        max_size=12,
    )
)
@settings(derandomize=True, deadline=None)
def test_only_a_return_lets_a_host_in_again(steps: list[tuple[str, int, int]]) -> None:
    record = HostRecord()
    for modified_revision, (kind, time, basis_revision) in enumerate(steps):
        facts: dict[str, DrainFact] = {
            "drain": DrainObserved("h", time),
            "hold": MaintenanceHold("h", "x"),
            "return": ReturnToService("h", time, basis_revision),
        }
        updated = apply_fact(record, modified_revision, facts[kind])
        if kind != "return" or modified_revision > basis_revision:
            assert updated.drained >= record.drained and updated.held >= record.held
        assert updated.back_at >= record.back_at
        record = updated
