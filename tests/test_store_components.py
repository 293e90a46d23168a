"""The store's parts by themselves: frames, messages, records, ledger, doorman, and the schema of keys."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.configurations import host, hosts
from limerudder.store import rpc
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
from limerudder.store.drain_log import (
    DrainLog,
    DrainObserved,
    HostRecord,
    MaintenanceHold,
    ReturnToService,
    apply_fact,
    encode_host_record,
)
from limerudder.store.framing import MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from limerudder.store.key_schema import read_setting, write_error
from limerudder.store.peer_authentication import (
    PROTOCOL_BUILD,
    DurabilityProof,
    Handshake,
    Incarnation,
    PeerAuthenticator,
)
from limerudder.store.raft.messages import (
    AppendEntries,
    ClusterConfig,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    Member,
    RequestVote,
    SnapshotMeta,
)
from limerudder.store.snapshots import SnapshotError
from limerudder.store.state_machine import (
    MAX_SESSIONS,
    MAX_UNACKNOWLEDGED_RESULTS,
    CompactedError,
    KeyValueState,
)

# frames and messages


@given(st.lists(st.binary(max_size=300), max_size=6), st.lists(st.integers(1, 50), min_size=1, max_size=40))
@settings(derandomize=True, deadline=None)
def test_frames_come_whole_however_they_are_cut(bodies: list[bytes], cuts: list[int]) -> None:
    data, frames, found = b"".join(map(encode_frame, bodies)), FrameDecoder(), list[bytes]()
    at = turn = 0
    while at < len(data):
        step = cuts[turn % len(cuts)]
        found += frames.feed(data[at : at + step])
        at, turn = at + step, turn + 1
    assert found == bodies


@given(st.binary(max_size=400))
@settings(derandomize=True, deadline=None)
def test_garbage_is_an_error_or_waits_and_never_more(data: bytes) -> None:
    try:
        bodies = FrameDecoder().feed(data)
        for body in bodies:
            rpc.decode_message(body)
    except (FrameError, msgspec.DecodeError):
        pass


def test_a_length_is_not_believed_and_a_flipped_bit_is_noticed() -> None:
    with pytest.raises(FrameError, match=f"at most {MAX_FRAME_BYTES} are taken"):
        FrameDecoder().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(4))
    spoiled = bytearray(encode_frame(b"hello"))
    spoiled[-1] ^= 1
    with pytest.raises(FrameError, match="checksum"):
        FrameDecoder().feed(bytes(spoiled))


def test_each_message_is_read_as_it_was_written() -> None:
    config = ClusterConfig((Member(1, "a", "127.0.0.1:1"),))
    meta = SnapshotMeta(4, 2, config, 3, 77)
    for message in (
        RequestVote(3, 9, 2, True, False),
        AppendEntries(3, 8, 2, (Entry(9, 3, EntryKind.DATA, b"x"), Entry(10, 3, EntryKind.EMPTY)), 8, 5),
        InstallSnapshotChunk(3, meta, 1, b"data", 5),
        rpc.Request(1, rpc.RequestKind.WRITE, b"x"),
        rpc.Reply(1, rpc.ReplyStatus.DONE, b""),
    ):
        assert rpc.decode_message(rpc.encode_message(message)) == message


# records


class Writer:
    """One session on records of its own."""

    def __init__(self, history: int = 1000) -> None:
        self.records = KeyValueState(history)
        self.index = 1
        self.session = self.records.apply(1, encode_command(OpenSession())).index
        self.serial = 0

    def do(
        self, *then: Operation, compares: tuple[Compare, ...] = (), other: tuple[Operation, ...] = ()
    ) -> CommandResult:
        self.serial += 1
        return self.say(self.serial, self.serial - 1, Transaction(compares, then, other))

    def say(self, serial: int, seen: int, txn: Transaction) -> CommandResult:
        self.index += 1
        return self.records.apply(self.index, encode_command(SessionWrite(self.session, serial, seen, txn)))


def test_a_transaction_is_one_revision_and_compares_first() -> None:
    one = Writer()
    assert one.do(Put("a", b"1"), Put("b", b"1")).revision == 1
    again = one.do(Put("a", b"2"), Get("a"), Delete("b"), compares=(Compare("a", CompareTarget.VALUE, b"1"),))
    assert again.succeeded and again.revision == 2
    (item,) = again.items
    assert item and (item.value, item.created_revision, item.modified_revision, item.version) == (
        b"2",
        1,
        2,
        2,
    )
    refused = one.do(
        Put("a", b"3"), compares=(Compare("a", CompareTarget.MODIFIED, b"", 1),), other=(Get("a"),)
    )
    assert not refused.succeeded and refused.revision == 2 and refused.items == (item,)
    assert one.do(
        Put("b", b"1"), compares=(Compare("b", CompareTarget.VERSION, b"", 0),)
    ).succeeded, "not there: version 0"
    assert one.do(Delete("nothing")).revision == 3, "what changes nothing is no revision"
    assert [key for key, _ in one.records.list_prefix("")] == ["a", "b"]


def test_a_write_said_again_gives_its_first_result_and_is_done_once() -> None:
    one = Writer()
    add = Transaction((), (Put("a", b"1"),))
    first = one.say(1, 0, add)
    assert one.say(1, 0, add) == first and one.records.revision == 1
    assert one.say(3, 0, add).revision == 2 and one.say(2, 0, add).revision == 3, "in any order"
    assert "passed this serial" in one.say(1, 2, add).error and one.records.revision == 3
    for n in range(10, 10 + MAX_UNACKNOWLEDGED_RESULTS - 1):
        assert not one.say(n, 2, add).error
    assert "not seen" in one.say(9999, 2, add).error
    one.records.apply(one.index + 1, encode_command(CloseSession(one.session)))
    one.index += 1
    assert "has ended" in one.say(10_000, 2, add).error


def test_the_longest_unused_session_goes_first() -> None:
    one = Writer()
    one.do(Put("a", b"1"))
    for n in range(MAX_SESSIONS):
        one.records.apply(one.index + 1 + n, encode_command(OpenSession()))
    one.index += MAX_SESSIONS
    assert len(one.records.sessions) == MAX_SESSIONS
    assert "has ended" in one.do(Put("a", b"2")).error


def test_a_watch_is_told_all_in_order_or_that_it_is_too_late() -> None:
    one = Writer(history=10)
    for n in range(8):
        one.do(Put(f"k/{n}", b"1"), Put("other", b"1"))
    events, upto = one.records.changes_since(4, "k/")
    assert [(e.revision, e.key) for e in events] == [
        (5, "k/4"),
        (6, "k/5"),
        (7, "k/6"),
        (8, "k/7"),
    ] and upto == 8
    events, upto = one.records.changes_since(4, "", 1)
    assert [e.key for e in events] == ["k/4", "other"] and upto == 5, "a transaction's changes stay together"
    with pytest.raises(CompactedError) as caught:
        one.records.changes_since(1)
    assert caught.value.revision == 3 == one.records.compacted_revision
    fresh = KeyValueState()
    fresh.restore(list(one.records.snapshot_view().chunks()))
    assert fresh.compacted_revision == 8 and fresh.changes_since(8) == ([], 8)


def test_a_snapshot_holds_all_and_a_spoiled_one_changes_nothing() -> None:
    one = Writer()
    for n in range(50):
        one.do(Put(f"k/{n}", b"v" * n))
    pieces = list(one.records.snapshot_view(200).chunks())
    assert len(pieces) > 5
    fresh = KeyValueState()
    fresh.restore(pieces)
    assert list(fresh.snapshot_view(200).chunks()) == pieces, "the same records are the same bytes"
    newer = msgspec.msgpack.encode([99, 1, 1, 0, 0])
    for spoiled in (pieces[:-2], pieces[:1], [b"?"], [], [pieces[0], b"?"], [newer]):
        with pytest.raises(SnapshotError):
            fresh.restore(spoiled)
    assert list(fresh.snapshot_view(200).chunks()) == pieces


@given(st.binary(max_size=60))
@settings(derandomize=True, deadline=None)
def test_a_command_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    records = KeyValueState()
    result = records.apply(1, data)
    assert records.revision == 0 and (result.error or records.sessions)


@pytest.mark.parametrize(
    ("txn", "told"),
    [
        (Transaction((), (Put("kv/a", b"x" * 65537),)), "has 65537 bytes; at most 65536 are taken"),
        (Transaction((), (Put("kv/a", b"x" * 10_000_000),)), "has 10000000 bytes"),
        (Transaction((), tuple(Put(f"kv/{n}", b"x" * 60000) for n in range(5))), "in one go"),
        (Transaction((), (Put("", b""),)), "is empty"),
        (Transaction((), (Put("kv/" + "a" * 300, b""),)), "longer than 256 bytes"),
        (Transaction((), (Put("kv/\n", b""),)), "not printable"),
        (Transaction((), tuple(Put(f"kv/{n}", b"") for n in range(65))), "more than 64"),
        (Transaction((), (Put("else/a", b""),)), "keys begin with hosts/, config/ or kv/, or are list/last"),
        (
            Transaction((), (), (Put("config/nope", b"1"),)),
            "no such setting; there are config/discovery, config/log",
        ),
        (Transaction((), (Put("config/discovery", b'"there"'),)), '"there" stands here, expected string'),
        (
            Transaction((), (Put("config/log", b'{"format":"xml"}'),)),
            '"xml" stands here, expected "text" | "json"',
        ),
        (Transaction((), (Put("config/log", b'{"lnes":3}'),)), "did you mean lines?"),
        (Transaction((), (Put("config/log", b"\xff"),)), "config/log"),
        (Transaction((), (Put("config/log", b"[" * 5000),)), "config/log"),
        (Transaction((), (Put("hosts/a", b'{"held":"yes"}'),)), "hosts/a: "),
        (Transaction((), (Put("list/last", b'{"generation":1}'),)), "list/last: bad list of hosts"),
    ],
)
def test_a_write_that_breaks_the_schema_is_told_why(txn: Transaction, told: str) -> None:
    error = write_error(txn, 65536)
    assert error is not None and told in error


def test_what_keeps_the_schema_passes() -> None:
    good = (
        Put("kv/a", b"\xff\x00"),
        Put("hosts/a", encode_host_record(HostRecord(3, True, "x", 4))),
        Put("config/log", b'{"format":"json"}'),
        Put("config/discovery", b'"10.0.0.1:8500"'),
        Put("list/last", json.dumps(hosts(host("a"))).encode()),
        Delete("anything"),
    )
    assert write_error(Transaction((), good), 65536) is None
    assert read_setting("config/log", b'{"lines":7}') == {"format": "text", "lines": 7, "per": 10_000_000}


# ledger


def test_only_a_newer_start_or_the_hand_lifts_a_drain() -> None:
    ledger = DrainLog({}, {})
    assert (
        ledger.record_drain("h", 100)
        and ledger.record_drain("h", 100) is None
        and ledger.record_drain("h", 50) is None
    )
    assert (
        ledger.effective_record("h").excludes(100)
        and ledger.effective_record("h").excludes(50)
        and not ledger.effective_record("h").excludes(101)
    )
    ledger.record_return("h", 7)
    assert not ledger.effective_record("h").excludes(100) and ledger.effective_record("h").back_at == 7
    ledger.record_drain("h", 100)
    assert ledger.effective_record("h").excludes(100), "heard again, it holds again"


def test_a_hand_puts_back_what_it_has_seen_and_not_what_others_put_down_meanwhile() -> None:
    ledger = DrainLog({}, {})
    ledger.update_agreed("h", 5, encode_host_record(HostRecord(held=True, by="n1")))
    ledger.record_return("h", 9)
    assert not ledger.effective_record("h").held
    push = ledger.prepare_write("h", 8, encode_host_record(HostRecord(held=True, by="n2")))
    assert push is None and ledger.pending_facts == {}, "it was held anew at revision 8: that stands"
    ledger.update_agreed("h", 8, encode_host_record(HostRecord(held=True, by="n2")))
    assert ledger.effective_record("h").held
    ledger.record_return("h", 10)
    push = ledger.prepare_write("h", 8, encode_host_record(HostRecord(held=True, by="n2")))
    assert push
    (put,) = push.on_success
    assert isinstance(put, Put) and json.loads(put.value) == {"back_at": 10}


def test_a_hand_amid_a_push_of_its_own_hold_is_heard() -> None:
    ledger = DrainLog({}, {})
    ledger.record_hold("h", "n0")
    push = ledger.prepare_write("h", 0, None)
    assert push
    ledger.record_return("h", 3)
    ledger.update_agreed("h", 4, push.on_success[0].value if isinstance(push.on_success[0], Put) else b"")
    ledger.finish_write("h", 4)
    assert not ledger.effective_record("h").held
    again = ledger.prepare_write("h", 4, encode_host_record(HostRecord(held=True, by="n0")))
    assert again, "and goes into the records after it"


def test_what_is_known_never_falls_back_and_bad_values_change_nothing() -> None:
    ledger = DrainLog({}, {})
    ledger.update_agreed("h", 5, encode_host_record(HostRecord(drained=9)))
    ledger.update_agreed("h", 4, encode_host_record(HostRecord()))
    ledger.update_agreed("h", 6, b"nonsense")
    assert ledger.effective_record("h").excludes(9)
    ledger.update_agreed("h", 7, None)
    assert not ledger.effective_record("h").excludes(9), "a record that was deleted is forgotten"


@given(
    st.lists(
        st.tuples(st.sampled_from(["drain", "hold", "back"]), st.integers(0, 9), st.integers(0, 9)),
        max_size=12,
    )
)
@settings(derandomize=True, deadline=None)
def test_nothing_but_a_hand_makes_a_record_less_safe(words: list[tuple[str, int, int]]) -> None:
    record = HostRecord()
    for modified, (word, a, b) in enumerate(words):
        facts = {
            "drain": DrainObserved("h", a),
            "hold": MaintenanceHold("h", "x"),
            "back": ReturnToService("h", a, b),
        }
        after = apply_fact(record, modified, facts[word])  # type: ignore[arg-type]
        if word != "back" or modified > b:
            assert after.drained >= record.drained and after.held >= record.held
        assert after.back_at >= record.back_at
        record = after


# the doorman

CONFIG = ClusterConfig((Member(1, "n0", "a"), Member(2, "n1", "b")))
GOOD = Handshake(PROTOCOL_BUILD, 7, 2, 1, "n1", Incarnation(3, 33), 5, 50)


def _with(**changes: object) -> Handshake:
    return msgspec.structs.replace(GOOD, **changes)


@pytest.mark.parametrize(
    ("hello", "told"),
    [
        (GOOD, None),
        (_with(protocol_build=PROTOCOL_BUILD + 1), f"this member speaks {PROTOCOL_BUILD}"),
        (_with(cluster_id=8), "cluster 0000000000000008; this is 0000000000000007"),
        (_with(recipient_id=9), "it looks for member 0000000000000009"),
        (_with(sender_id=9), "n1 is member 0000000000000002 and this is 0000000000000009: a new disk"),
        (_with(sender_id=9, name="n9"), "is no member, or is one no more"),
        (_with(incarnation=Incarnation(2, 22)), "shows start 2 after start 3: it is an older copy"),
        (_with(incarnation=Incarnation(3, 34)), "is used by two processes, or is a copy"),
        (_with(incarnation=Incarnation(4, 44), term=4), "shows term 4 after term 5"),
        (
            _with(incarnation=Incarnation(4, 44), term=5, last_index=49),
            "has acknowledged entry 50 and shows 49",
        ),
        (_with(incarnation=Incarnation(4, 44), term=5, last_index=50), None),
        (_with(incarnation=Incarnation(4, 44), term=6, last_index=10), None),
    ],
)
def test_who_may_talk(hello: Handshake, told: str | None) -> None:
    doorman = PeerAuthenticator(7, 1, {})
    assert doorman.rejection_reason(GOOD, CONFIG, True) is None and doorman.take_unsaved_proofs() == {
        2: DurabilityProof(Incarnation(3, 33))
    }
    doorman.record_acknowledgement(2, 5, 50)
    doorman.record_acknowledgement(2, 5, 40)
    said = doorman.rejection_reason(hello, CONFIG, True)
    assert said is None if told is None else said is not None and told in said


def test_who_does_not_lead_hears_members_that_it_does_not_know_yet() -> None:
    stranger = _with(sender_id=9, name="n9")
    assert PeerAuthenticator(7, 1, {}).judge(stranger, CONFIG, False) is None
    assert PeerAuthenticator(7, 1, {}).judge(stranger, CONFIG, True) is not None


def test_an_old_copy_passes_where_nobody_has_seen_more() -> None:
    fresh = PeerAuthenticator(7, 1, {})
    assert (
        fresh.judge(_with(incarnation=Incarnation(1, 1)), CONFIG, True) is None
    ), "so it is the memory that refuses"
