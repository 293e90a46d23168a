"""Tests of the adapter as the simulator runs it: batches as input, replies as output."""

from __future__ import annotations

import io as std_io
import struct
import subprocess
import tomllib
from pathlib import Path

import pytest

from limerudder.policy.actions import Action
from limerudder.policy.balancer import Balancer
from limerudder.policy.events import Event
from limerudder.simulator import adapter
from tests.test_simulator_protocol import LIST, REQUEST, SETTINGS, SYNC

ROOT = Path(__file__).parent.parent


def batch(number: int, *records: bytes, clock: int = 50_000_000) -> bytes:
    body = b"".join(records)
    return struct.pack("<IQI", len(body), clock, number) + body


def attach(instance: int, text: str = SETTINGS) -> bytes:
    data = text.encode()
    return struct.pack("<BHQI", 2, instance, 42, len(data)) + data


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command = tomllib.load(file)["sim"]
    return subprocess.run(
        ["/bin/sh", "-c", command], input=data, capture_output=True, cwd=ROOT, timeout=60, check=False
    )


def replies(out: bytes) -> list[tuple[int, int, bytes]]:
    """Return each reply's batch number, number of records and body."""
    found = []
    while out:
        size, count, number = struct.unpack_from("<III", out)
        found.append((number, count, out[12 : 12 + size]))
        out = out[12 + size :]
    return found


START = attach(3) + bytes.fromhex(LIST + SYNC)


def test_a_session_from_attach_to_end_of_input() -> None:
    restart = bytes.fromhex("0b 0300") + START  # the instance is killed and attached again in one batch
    process = run(
        batch(1)
        + batch(2, START)
        + batch(3, bytes.fromhex(REQUEST))
        + batch(4, bytes.fromhex("07 0300 c4913a5db8a60a00 074a1203 00 22240000"))
        + batch(5, restart, bytes.fromhex(REQUEST))
    )
    assert process.returncode == 0 and process.stderr == b""
    got = replies(process.stdout)
    assert [number for number, _, _ in got] == [1, 2, 3, 4, 5]
    assert got[0] == (1, 0, b"")
    assert bytes.fromhex("4a 0300 01") in got[1][2]
    assert got[2][2][:11] == bytes.fromhex("40 0300 c4913a5db8a60a00") and got[2][1] == 1
    assert bytes.fromhex("40 0300 c4913a5db8a60a00") in got[4][2]


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (batch(7, b"\x63\x03\x00"), "batch 7: unknown event code 99"),
        (batch(7, bytes.fromhex(REQUEST)), "batch 7: NewRequest for instance 3, which is not attached"),
        (batch(7, START)[:-4], "input truncated in a batch"),
        (batch(7)[:9], "input truncated in a header"),
        (struct.pack("<IQI", 0xFFFFFFFF, 0, 7), "body of 4294967295 bytes exceeds"),
        (batch(7, attach(3, SETTINGS.replace("zone=1", ""))), "lack the key zone"),
    ],
)
def test_malformed_input_is_reported_in_one_line_with_a_failing_exit(data: bytes, words: str) -> None:
    process = run(data)
    assert process.returncode == 2
    lines = process.stderr.decode().splitlines()
    assert len(lines) == 1 and words in lines[0] and lines[0].startswith("limerudder: ")


def test_an_exception_in_the_policy_becomes_an_error_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Balancer, event: Event, now: int) -> list[Action]:
        raise IndexError("out of range")

    monkeypatch.setattr(Balancer, "handle", broken)
    sink = std_io.BytesIO()
    adapter.serve(std_io.BytesIO(batch(1, START)), sink)
    assert replies(sink.getvalue())[0][2] == bytes.fromhex("49 0300 1800") + b"IndexError: out of range"


def test_instances_in_one_process_behave_as_each_does_alone() -> None:
    def session(*instances: int) -> list[bytes]:
        first = b"".join(
            attach(i) + bytes.fromhex(LIST + SYNC.replace("0300", f"{i:02x}00", 1)) for i in instances
        )
        requests = [bytes.fromhex(REQUEST.replace("0300", f"{i:02x}00", 1)) for i in instances]
        sink = std_io.BytesIO()
        adapter.serve(std_io.BytesIO(batch(1, first) + batch(2, *requests)), sink)
        return [body for _, _, body in replies(sink.getvalue())]

    both, one, two = session(3, 4), session(3), session(4)
    assert both == [a + b for a, b in zip(one, two, strict=True)]
