"""Literals of operator files: strings, numbers with units, and the keywords true, false and null."""

from __future__ import annotations

import json
import re

from limerudder.cue.errors import SourceError, SourcePosition
from limerudder.cue.syntax_tree import Kind, Literal

MAX_DIGITS = 40  #: Maximum number of digits of a number
DURATION_UNITS_US = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS_BYTES = {
    "B": 1,
    "KB": 1000,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
NUMBER = re.compile(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?)([A-Za-zµ]*)")
KEYWORDS = {"true": True, "false": False, "null": None}


def parse_string(position: SourcePosition, text: str, errors: list[SourceError]) -> Literal:
    """Return a quoted string, decoded as JSON; an empty string, with an error, if it is invalid."""
    try:
        return Literal(position, Kind.STRING, json.loads(text), text)
    except ValueError:
        message = f"{text} is not a valid string: invalid escape sequence or character"
        errors.append(SourceError(position, message))
        return Literal(position, Kind.STRING, "", text)


def parse_keyword(position: SourcePosition, text: str) -> Literal:
    """Return `true`, `false` or `null`."""
    value = KEYWORDS[text]
    kind = Kind.NULL if value is None else Kind.BOOL
    return Literal(position, kind, value, text)


def parse_number(position: SourcePosition, text: str, errors: list[SourceError]) -> Literal:
    """Return a number, a duration in microseconds or a size in bytes; unknown units are errors."""
    match = NUMBER.fullmatch(text)
    assert match, "the grammar accepts no other numbers"
    digits = match[1].replace("_", "")
    unit = match[2].replace("µ", "u")
    if len(digits) > MAX_DIGITS:
        message = f"a number of {len(digits)} digits; at most {MAX_DIGITS} are read"
        errors.append(SourceError(position, message))
        return Literal(position, Kind.INT, 0, text)
    is_fraction = "." in digits
    number: int | float = float(digits) if is_fraction else int(digits)
    if unit in DURATION_UNITS_US:
        return Literal(position, Kind.DURATION, round(number * DURATION_UNITS_US[unit]), text)
    if unit in SIZE_UNITS_BYTES:
        return Literal(position, Kind.SIZE, round(number * SIZE_UNITS_BYTES[unit]), text)
    if unit:
        known_units = ", ".join([*DURATION_UNITS_US, *SIZE_UNITS_BYTES])
        errors.append(SourceError(position, f"{text} has the unit {unit}; there are {known_units}"))
    kind = Kind.FLOAT if is_fraction else Kind.INT
    return Literal(position, kind, number, text)
