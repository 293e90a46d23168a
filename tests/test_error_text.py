"""The one line that is left of an exception that nothing handled."""

from __future__ import annotations

from limerudder.core.transport import parse_address
from limerudder.net.error_text import error_text


def test_the_innermost_place_of_the_package_is_named() -> None:
    try:
        parse_address("1.2.3:80")
    except ValueError as exc:
        text = error_text(exc)
    assert text.startswith(
        "AddressValueError: Expected 4 octets in '1.2.3' in parse_address, transport.py line "
    )


def test_an_error_that_was_never_raised_and_spans_lines_is_one_line() -> None:
    assert error_text(OSError("one\n  two")) == "OSError: one two"
