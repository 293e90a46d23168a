"""The first line of the line protocol, `OPEN ID KEY c=CLASS,...`: reading, parsing and forwarding it."""

from __future__ import annotations

import re
from typing import ClassVar

from limerudder.core.line_framing import MAX_LINE_BYTES
from limerudder.core.operations.counters import CounterName
from limerudder.core.ports import ConnectRequest

LINE_END = b"\r\n"
MICROSECONDS_PER_MILLISECOND = 1000
FIELD_VALUE_LIMIT = 1 << 32  #: Exclusive upper bound of numbers in fields, after conversion to their unit
_OPEN_LINE_WORDS = 4  #: Number of words: OPEN, id, key and fields
_IDENTIFIER = re.compile("[0-9a-f]{16}")
_FIELD = "[A-Za-z][A-Za-z0-9_]*=[^,=]+"
_FIELDS = re.compile(f"{_FIELD}(?:,{_FIELD})*")
_WHOLE_NUMBER = re.compile("0|[1-9][0-9]{0,9}")
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{1,10})?")


class OpenLineError(ValueError):
    """A first line that the node rejects with ERR."""

    counter: ClassVar[CounterName]  #: Counter for lines with this error


class MalformedLineError(OpenLineError):
    """A line that does not follow the protocol."""

    counter = CounterName.REQUESTS_MALFORMED


class OverlongLineError(OpenLineError):
    """A line longer than the protocol allows."""

    counter = CounterName.REQUESTS_OVERLONG


class EarlyDataError(OpenLineError):
    """Data that a client sent after a line without waiting for the answer."""

    counter = CounterName.REQUESTS_PIPELINED_EARLY


class FirstLineBuffer:
    """Buffers a client's first line; its size stays below the maximum line length."""

    __slots__ = ("line",)

    def __init__(self) -> None:
        self.line = b""  # data received so far, without the line end

    def feed(self, data: bytes) -> bool:
        """Add received data; return True once the line is complete. Raises OpenLineError."""
        # To bound memory and time for a client that never ends its line or sends a huge value, no more than
        # the maximum line length is kept and searched.
        text = self.line + data[:MAX_LINE_BYTES]
        line, end, rest = text.partition(LINE_END)
        if len(line) + len(LINE_END) > MAX_LINE_BYTES:
            raise OverlongLineError(line)
        self.line = line
        if not end:
            if not is_printable_ascii(line.removesuffix(b"\r")):
                raise MalformedLineError(line)
            return False
        # Clients must wait for the answer to a line; pipelined commands are not executed.
        if rest or len(data) > MAX_LINE_BYTES:
            raise EarlyDataError(line)
        return True

    def clear(self) -> None:
        """Discard the line."""
        self.line = b""


def parse_open_line(line: bytes) -> ConnectRequest:
    """Parse `OPEN ID KEY c=CLASS,...` without the line end. Raises MalformedLineError.

    The accepted formats of numbers and names are narrower than Python's: a line in a format that no client
    sends, or that can be interpreted in two ways, must not reach an upstream.
    """
    words = line.decode("ascii", "replace").split(" ")
    if not is_printable_ascii(line) or len(words) != _OPEN_LINE_WORDS or words[0] != "OPEN":
        raise MalformedLineError(line)
    fields = _parse_fields(words[3])
    if "c" not in fields or fields.get("r", "1") != "1" or fields.get("again", "1") != "1":
        raise MalformedLineError(line)
    return ConnectRequest(
        id=_parse_identifier(words[1]),
        class_name=fields["c"],
        tenant=fields.get("t", ""),
        key=_parse_identifier(words[2]),
        time_left_us=(
            _parse_number(fields["d"], _WHOLE_NUMBER, MICROSECONDS_PER_MILLISECOND) if "d" in fields else None
        ),
        hint=_parse_number(fields["h"], _DECIMAL_NUMBER, 1) if "h" in fields else None,
        group=_parse_identifier(fields["g"]) if "g" in fields else 0,
        is_retry="r" in fields,
        is_reconnect="again" in fields,
        pinned_upstream=fields.get("at"),
    )


def format_attempt_line(line: bytes, wait_us: int | None) -> bytes:
    """Return the client's line for an upstream, with `d` set to the node's timeout in whole milliseconds.

    Everything else is unchanged. Without a timeout (`wait_us` is None) the whole line is unchanged.
    """
    if wait_us is None:
        return line + LINE_END
    head, _, pairs = line.rpartition(b" ")
    wait = b"d=%d" % max(wait_us // MICROSECONDS_PER_MILLISECOND, 1)
    forwarded = [wait if pair.startswith(b"d=") else pair for pair in pairs.split(b",")]
    return head + b" " + b",".join(forwarded) + LINE_END


def is_printable_ascii(text: bytes) -> bool:
    """Return whether the text is empty or contains only printable ASCII characters."""
    return text.isascii() and text.decode().isprintable()


def _parse_fields(text: str) -> dict[str, str]:
    # one match for the whole list, since a line may hold hundreds of short fields
    if not _FIELDS.fullmatch(text):
        raise MalformedLineError(text)
    pairs = text.split(",")
    fields = dict(pair.split("=") for pair in pairs)
    if len(fields) < len(pairs):
        raise MalformedLineError(text)
    return fields


def _parse_identifier(text: str) -> int:
    if not _IDENTIFIER.fullmatch(text):
        raise MalformedLineError(text)
    return int(text, 16)


def _parse_number(text: str, pattern: re.Pattern[str], unit: int) -> int:
    if not pattern.fullmatch(text) or float(text) * unit >= FIELD_VALUE_LIMIT:
        raise MalformedLineError(text)
    return int(float(text) * unit)
