"""The schema of the replicated keys, and the size limits of writes."""

from __future__ import annotations

import json

import pytest

from harness.configurations import host, hosts
from limerudder.store.commands import Delete, Put, Transaction
from limerudder.store.drain_log import HostRecord, encode_host_record
from limerudder.store.key_schema import read_setting, write_error

MAX_VALUE_BYTES = 65536


def _put(key: str, value: bytes) -> Transaction:
    return Transaction((), (Put(key, value),))


@pytest.mark.parametrize(
    ("transaction", "reason"),
    [
        (_put("kv/a", b"x" * 65537), "has 65537 bytes; at most 65536 are taken"),
        (_put("kv/a", b"x" * 10_000_000), "has 10000000 bytes"),
        (Transaction((), tuple(Put(f"kv/{n}", b"x" * 60000) for n in range(5))), "in one go"),
        (_put("", b""), "is empty"),
        (_put("kv/" + "a" * 300, b""), "longer than 256 bytes"),
        (_put("kv/\n", b""), "not printable"),
        (Transaction((), tuple(Put(f"kv/{n}", b"") for n in range(65))), "more than 64"),
        (_put("else/a", b""), "keys begin with hosts/, config/ or kv/, or are list/last"),
        (
            Transaction((), (), (Put("config/nope", b"1"),)),
            "no such setting; there are config/discovery, config/log",
        ),
        (_put("config/discovery", b'"there"'), '"there" stands here, expected string'),
        (_put("config/log", b'{"format":"xml"}'), '"xml" stands here, expected "text" | "json"'),
        (_put("config/log", b'{"lnes":3}'), "did you mean lines?"),
        (_put("config/log", b"\xff"), "config/log"),
        (_put("config/log", b"[" * 5000), "config/log"),
        (_put("hosts/a", b'{"held":"yes"}'), "hosts/a: "),
        (_put("list/last", b'{"generation":1}'), "list/last: bad list of hosts"),
    ],
)
def test_an_invalid_write_is_rejected_with_the_reason(transaction: Transaction, reason: str) -> None:
    error = write_error(transaction, MAX_VALUE_BYTES)
    assert error is not None and reason in error


def test_valid_writes_are_accepted() -> None:
    operations = (
        Put("kv/a", b"\xff\x00"),
        Put("hosts/a", encode_host_record(HostRecord(3, True, "x", 4))),
        Put("config/log", b'{"format":"json"}'),
        Put("config/discovery", b'"10.0.0.1:8500"'),
        Put("list/last", json.dumps(hosts(host("a"))).encode()),
        Delete("anything"),
    )
    assert write_error(Transaction((), operations), MAX_VALUE_BYTES) is None
    assert read_setting("config/log", b'{"lines":7}') == {"format": "text", "lines": 7, "per": 10_000_000}
