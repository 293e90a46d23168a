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


@pytest.mark.parametrize("cut", range(len(TEXT) + 1))
def test_blocks_contain_complete_lines_wherever_the_stream_is_split(cut: int) -> None:
    framer = LineFramer()
    assert framer.feed_block(TEXT[:cut]) + framer.feed_block(TEXT[cut:]) == TEXT.removesuffix(b"half")
    assert framer.partial_line == b"half"


@pytest.mark.parametrize("lines_before", [0, 1, 900])
@pytest.mark.parametrize("length", [4093, 4094, 4095, 5000])
@pytest.mark.parametrize("line_end", [b"", b"\r\n", b"\r\nM 1\r\n"])
def test_a_block_has_the_limits_of_single_lines(lines_before: int, length: int, line_end: bytes) -> None:
    data = b"M 1\r\n" * lines_before + b"x" * length + line_end
    by_line, by_block = LineFramer(), LineFramer()
    try:
        lines = by_line.feed(data)
    except LineError:
        with pytest.raises(LineError):
            by_block.feed_block(data)
        return
    assert by_block.feed_block(data) == b"".join(line + b"\r\n" for line in lines)
    assert by_block.partial_line == by_line.partial_line
