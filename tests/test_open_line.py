"""Parsing and forwarding of a client's first line."""

from __future__ import annotations

import pytest

from harness.configurations import ID, KEY, LINE, SECOND
from limerudder.core.client.open_line import MalformedLineError, format_attempt_line, parse_open_line


def test_a_first_line_is_forwarded_unchanged_except_for_d() -> None:
    request = parse_open_line((LINE + ",r=1,again=1,h=12,x=y").encode())
    assert (request.class_name, request.tenant, request.key, request.time_left_us) == (
        "chat",
        "acme",
        int(KEY, 16),
        2 * SECOND,
    )
    assert (request.group, request.is_retry, request.is_reconnect, request.hint) == (
        0x5C0F6E1A2B3D4C59,
        True,
        True,
        12,
    )
    assert (
        format_attempt_line(LINE.encode(), 1_234_567) == LINE.replace("d=2000", "d=1234").encode() + b"\r\n"
    )
    assert format_attempt_line(LINE.encode(), None) == LINE.encode() + b"\r\n"


MALFORMED_FIELDS = (
    "d=nan",
    "d=inf",
    "d=-1",
    "d=+1",
    "d=1e9",
    "d=1_0",
    "d=1.5",
    "d=",
    "d",
    "d=soon",
    "d=\u0661",
    "d=4294968",
    "d=99999999999999999999999",
    "d=1,d=2",
    "d=1,d=1",
    "c=chat",
    "h=x",
    "h=1e3",
    "h=-1",
    "g=",
    "g=1",
    "at=",
    "r=2",
    "again=yes",
    "r=",
    "=1",
    "",
    "\u00e9=1",
    "t=a=b",
    "t=a\tb",
    "t=a\x7f",
    "t=a\nb",
    "t=a\rb",
    "x=\x00",
    "t=\xa0",
)
MALFORMED_IDS = ("x!", "+1", "0x1", "1_0", ID[:-1], ID + "0", ID.upper())


@pytest.mark.parametrize(
    "line",
    [
        "",
        "HELLO",
        "OPEN",
        f"OPEN {ID}",
        f"OPEN {ID} {KEY}",
        f"OPEN {ID} {KEY} t=acme",
        f"{LINE} x",
        f" {LINE}",
        *(f"OPEN {bad} {KEY} c=chat" for bad in MALFORMED_IDS),
        f"OPEN {ID} {KEY[:-1]}\u0661 c=chat",
        LINE.replace("OPEN", "open"),
        *(f"OPEN {ID} {KEY} c=chat,{bad}" for bad in MALFORMED_FIELDS),
    ],
)
def test_a_malformed_first_line_is_an_error(line: str) -> None:
    with pytest.raises(MalformedLineError):
        parse_open_line(line.encode())
