"""Splitting a byte stream into lines."""

from __future__ import annotations

import pytest

from limerudder.core.line_framing import LineError, LineFramer

TEXT = b"OPEN a\r\n\r\nLOAD 1.5\r\nhalf"


@pytest.mark.parametrize("cut", range(len(TEXT) + 1))
def test_lines_are_complete_wherever_the_stream_is_split(cut: int) -> None:
    framer = LineFramer()
    assert framer.feed(TEXT[:cut]) + framer.feed(TEXT[cut:]) == [b"OPEN a", b"", b"LOAD 1.5"]
    assert framer.partial_line == b"half"


@pytest.mark.parametrize("data", [b"x" * 4096, b"x" * 4095 + b"\r\n"])
def test_a_line_over_4_kib_is_an_error(data: bytes) -> None:
    assert LineFramer().feed(b"x" * 4094 + b"\r\n")
    with pytest.raises(LineError):
        LineFramer().feed(data)
