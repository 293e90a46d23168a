"""Tests for the one-line description of an unhandled exception."""

from __future__ import annotations

from limerudder.core.transport import parse_address
from limerudder.net.error_text import error_text


def test_the_innermost_frame_in_the_package_is_named() -> None:
    try:
        parse_address("1.2.3:80")
    except ValueError as exc:
        text = error_text(exc)
    assert text.startswith(
        "AddressValueError: Expected 4 octets in '1.2.3' in parse_address, transport.py line "
    )


def test_a_multiline_error_that_was_not_raised_becomes_one_line() -> None:
    assert error_text(OSError("one\n  two")) == "OSError: one two"
